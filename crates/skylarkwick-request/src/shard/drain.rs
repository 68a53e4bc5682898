//! Draining of hosts, for maintenance or because their server is leaving.
//!
//! Tasks that end by themselves are awaited, unless they keep checkpoints and
//! take long. Long-running tasks are stopped and started elsewhere, as many at
//! once as their step allows to be unavailable.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::{Effect, LogEntry, Unavailable},
    input::ServerId,
    occurrence::TaskState,
    placement::PlacementRequest,
    server::{ActiveRun, Server, Stage},
};
use crate::job::{self, Step, progress::TaskPosition, task};

/// Time after a takeover in which no long-running task is stopped, and after the
/// first report of a run of an earlier holder in which it counts as unavailable:
/// that holder may just have sent it a stop, before the server rejects its orders.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(2500);

/// Time until a stop that is requested now has ended its run.
const STOP_TIME: Duration = Duration::from_millis(1000);
/// Age up to which a report is trusted however short `outage_threshold` is:
/// servers that answer are not heard of more often.
const MIN_TRUSTED_AGE: Duration = Duration::from_millis(2500);

/// Time that a task which keeps checkpoints must have run before it is stopped
/// on a draining host, to resume elsewhere. Shorter runs may end by themselves.
const MIN_RUN_TIME_TO_STOP: Duration = Duration::from_millis(1500);

/// Job, occurrence and index of a step.
pub(super) type StepKey = (job::Id, u32, usize);

impl Shard {
    /// Requests the stop of tasks on hosts that a maintenance wave drains and
    /// on leaving servers, if another server could start them now. This
    /// concerns only tasks that keep checkpoints and long-running tasks; the
    /// others are left to end.
    pub(super) fn drain_hosts(&mut self, now: Moment) {
        self.drain_checkpointing(now);
        self.drain_long_running(now);
    }

    /// On hosts that a wave drains and leaving servers, requests the stop of
    /// each task that keeps checkpoints, has been running for more than
    /// `MIN_RUN_TIME_TO_STOP` (1.5 s) and could start on another server now.
    /// Long-running tasks and members of a gang (tasks that make progress only
    /// together) are left.
    fn drain_checkpointing(&mut self, now: Moment) {
        let mut stops: Vec<(ServerId, task::Id)> = Vec::new();
        for server in self.servers.values().filter(|server| self.must_drain(server)) {
            for (task, active_run) in &server.runs {
                let has_run_long = active_run.stage == Stage::Running
                    && now.since(active_run.stage_since) > MIN_RUN_TIME_TO_STOP;
                let Some(step) = self.step(task).filter(|_| has_run_long) else {
                    continue;
                };
                let may_stop = step.is_checkpointing && !step.is_long_running && !step.is_gang;
                if may_stop && self.has_alternative(now, server, step, task) {
                    stops.push((server.id().clone(), task.clone()));
                }
            }
        }
        for (server, task) in stops {
            self.stop_for_drain(now, &server, &task, None);
        }
    }

    /// On hosts that a wave drains and leaving servers, requests the stop of
    /// long-running tasks that are running and could start on another server
    /// now, each only while fewer other tasks of its step and occurrence are
    /// unavailable (see `is_available`) than the step's `max_unavailable` (at
    /// least 1). Does nothing in the first `TAKEOVER_PAUSE` (2.5 s) of the term.
    fn drain_long_running(&mut self, now: Moment) {
        if now.since(self.term.since) < TAKEOVER_PAUSE {
            return;
        }
        let mut stops: Vec<(ServerId, task::Id, Unavailable)> = Vec::new();
        let mut unavailable: BTreeMap<StepKey, u32> = BTreeMap::new();
        for server in self.servers.values().filter(|server| self.must_drain(server)) {
            for (task, active_run) in &server.runs {
                let Some(step) = self.step(task).filter(|step| step.is_long_running) else {
                    continue;
                };
                if active_run.stage != Stage::Running {
                    continue;
                }
                let id = (task.job.clone(), task.occurrence, task.step);
                let count = *unavailable
                    .entry(id.clone())
                    .or_insert_with(|| self.count_unavailable(now, task));
                // A task that was last reported as unavailable may have become
                // available since, so only the other tasks count against the
                // limit.
                let is_unavailable = active_run.percent < 100;
                let others = count.saturating_sub(u32::from(is_unavailable));
                let limit = step.max_unavailable.max(1);
                if others >= limit || !self.has_alternative(now, server, step, task) {
                    continue;
                }
                if !is_unavailable {
                    unavailable.insert(id, count + 1);
                }
                stops.push((server.id().clone(), task.clone(), Unavailable { others, limit }));
            }
        }
        for (server, task, unavailable) in stops {
            self.stop_for_drain(now, &server, &task, Some(unavailable));
        }
    }

    /// Requests the stop of a task on its server, which `send_due_stops` then
    /// sends, and logs it.
    fn stop_for_drain(
        &mut self,
        now: Moment,
        server: &ServerId,
        task: &task::Id,
        unavailable: Option<Unavailable>,
    ) {
        self.request_stop(now, server, task);
        self.effects.push(Effect::Log(LogEntry {
            action: "task stopped",
            task: task.to_string(),
            server: Arc::clone(&server.0),
            reason: "its host is being drained",
            unavailable,
        }));
    }

    /// Returns whether a task could start on another server of the pool now.
    fn has_alternative(&self, now: Moment, server: &Server, step: &Step, task: &task::Id) -> bool {
        let pool = &*server.info.pool;
        let request = PlacementRequest { now, pool, step, allowed_servers: None, rack: None };
        self.choose_server(request, task, None).is_some()
    }

    /// Returns whether a server is leaving or a maintenance wave drains its
    /// host.
    fn must_drain(&self, server: &Server) -> bool {
        server.info.is_leaving || self.fleet.is_draining(server)
    }

    /// Counts the tasks of the step and occurrence that `task` belongs to,
    /// itself included, that are not available (see `is_available`), such as
    /// waiting ones; `u32::MAX` if the job or step is unknown.
    fn count_unavailable(&self, now: Moment, task: &task::Id) -> u32 {
        let Some(active) = self.jobs.get(&task.job) else {
            return u32::MAX;
        };
        let Some(step) = active.job.steps.get(task.step) else {
            return u32::MAX;
        };
        let count = usize::try_from(step.count).unwrap_or_default();
        let unavailable = (0..count).filter(|&index| {
            let id = task::Id { index, ..task.clone() };
            !self.is_available(now, &id)
        });
        u32::try_from(unavailable.count()).unwrap_or(u32::MAX)
    }

    /// Returns whether a task's run is in progress and was reported as fully
    /// available (100 %) in the last report of its server. False if the task
    /// has no server, its run is starting or being stopped, an earlier holder
    /// may have stopped it (see `is_settled`), the server is unreachable, or the
    /// report is too old (see `is_report_current`).
    fn is_available(&self, now: Moment, task: &task::Id) -> bool {
        let task_status =
            self.jobs.get(&task.job).and_then(|active| active.touched(TaskPosition::of(task)));
        let Some(TaskState::Assigned(server)) = task_status.map(|task_status| &task_status.state)
        else {
            return false;
        };
        self.servers
            .get(server)
            .filter(|server| !server.is_unreachable && self.is_report_current(now, server))
            .and_then(|server| server.runs.get(task))
            .filter(|active_run| self.is_settled(now, active_run))
            .is_some_and(|active_run| {
                active_run.stage == Stage::Running && active_run.percent >= 100
            })
    }

    /// Returns whether this holder has started a run, or an earlier one that has
    /// been reported to this holder for at least `TAKEOVER_PAUSE` (2.5 s).
    fn is_settled(&self, now: Moment, active_run: &ActiveRun) -> bool {
        self.is_own_run(active_run.id) || now.since(active_run.stage_since) >= TAKEOVER_PAUSE
    }

    /// Returns whether the last report of a server is so recent that a task which
    /// it shows can't have been gone for `outage_threshold` once a stop that is
    /// requested now has ended another one.
    fn is_report_current(&self, now: Moment, server: &Server) -> bool {
        let max_age = self.timings.outage_threshold.saturating_sub(STOP_TIME);
        now.since(server.last_report_sent) < max_age.max(MIN_TRUSTED_AGE)
    }
}
