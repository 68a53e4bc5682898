//! What the holder decides and does in each second, and the load of each pool, for the log.

use std::time::Duration;

use skylarkwick_request::shard::{
    Shard,
    effect::{LogEntry, Unavailable},
};
use skylarkwick_version::moment::{Moment, millis};
use slog::{Logger, info};

use super::{outages::OutageLog, takeover::TakeoverLog};

/// Minimum time between two logs of the activity.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Work of the holder's duty since its last log: the events that it applied, its decisions,
/// and the time that these took; and what is logged once about tasks and the takeover.
#[derive(Debug, Default)]
pub(super) struct Activity {
    events: u64,
    decisions: u64,
    decision_time: Duration,
    outages: OutageLog,
    takeover: TakeoverLog,
    /// When the activity is next logged.
    log_due: Moment,
}

impl Activity {
    /// Counts an event that was applied to the shard.
    pub(super) fn record_event(&mut self) {
        self.events += 1;
    }

    /// Counts a decision, which took this long.
    pub(super) fn record_decision(&mut self, time: Duration) {
        self.decisions += 1;
        self.decision_time += time;
    }

    /// Logs the activity and the load of each pool if [`LOG_PERIOD`] has passed since they
    /// were last logged, and starts counting anew.
    pub(super) fn log_if_due(&mut self, now: Moment, shard: &Shard, log: &Logger) {
        if now < self.log_due {
            return;
        }
        let kept = shard.kept();
        let outages = self.outages.log(now, shard, log);
        self.takeover.log(now, shard, log);
        info!(log, "activity"; "events" => self.events, "decisions" => self.decisions,
            "decision_ms" => millis(self.decision_time), "kept_jobs" => kept.jobs,
            "kept_tasks" => kept.tasks, "kept_bytes" => kept.bytes,
            "long_running" => outages.running,
            "without_run" => outages.count(),
            "without_run_ms" => millis(outages.longest_time()));
        (self.events, self.decisions, self.decision_time) = (0, 0, Duration::ZERO);
        self.log_due = now + LOG_PERIOD;
        for (pool, load) in shard.pool_loads(now) {
            info!(log, "load"; "pool" => &*pool, "jobs" => load.jobs,
                "servers" => load.servers, "usable" => load.usable, "idle" => load.idle,
                "runs" => load.runs, "planned" => load.planned, "starting" => load.starting,
                "stopping" => load.stopping, "unmet_millicores" => load.unmet_millicores,
                "hosts" => load.hosts, "hosts_needed" => load.hosts_needed,
                "hosts_wanted" => load.hosts_wanted, "held_by_quota" => load.held.quota,
                "held_by_reserve" => load.held.reserve, "held_by_share" => load.held.share,
                "held_by_room" => load.held.room, "held_ms" => millis(load.held.longest));
        }
        for (name, load) in shard.workspace_loads(now) {
            info!(log, "workspace load"; "workspace" => &*name, "jobs" => load.jobs,
                "excess_jobs" => load.excess_jobs, "waiting_jobs" => load.waiting_jobs,
                "millicores" => load.used.millicores,
                "millicores_limit" => load.limit.millicores,
                "millicores_demand" => load.demand.millicores,
                "memory_mib" => load.used.memory_mib,
                "memory_mib_limit" => load.limit.memory_mib,
                "accelerators" => load.used.accelerators,
                "accelerators_limit" => load.limit.accelerators,
                "held_by_quota" => load.held.quota, "held_by_reserve" => load.held.reserve,
                "held_by_share" => load.held.share, "held_by_room" => load.held.room,
                "held_ms" => millis(load.held.longest));
        }
    }
}

/// Logs a decision about a task.
pub(super) fn log_decision(entry: &LogEntry, log: &Logger) {
    let LogEntry { action, task, server, reason, unavailable } = entry;
    match unavailable {
        Some(Unavailable { others, limit }) => info!(log, "{}", action; "task" => task,
            "at" => &**server, "because" => reason, "unavailable" => others, "limit" => limit),
        None => info!(log, "{}", action; "task" => task, "at" => &**server, "because" => reason),
    }
}
