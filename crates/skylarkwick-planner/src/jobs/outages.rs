//! Long-running tasks without a run, and jobs without any, for the log. See `docs/OPERATIONS.md`,
//! section "Long-running tasks without a run".

use skylarkwick_request::shard::{
    Shard,
    outage::{
        Outage, Outages, Total,
        tracker::{Ended, Tracker},
    },
};
use skylarkwick_version::moment::{Moment, millis};
use slog::{Logger, info};

/// What was logged of the tasks without a run.
#[derive(Debug, Default)]
pub(super) struct OutageLog {
    tracker: Tracker,
}

impl OutageLog {
    /// Logs the long-running tasks that have been without a run for long, each once, those that
    /// are so no more, how many of them are left out, and the totals by cause. Returns the totals.
    pub(super) fn log(&mut self, now: Moment, shard: &Shard, log: &Logger) -> Outages {
        let report = self.tracker.update(now, shard);
        report.begun.iter().for_each(|outage| log_outage(now, outage, log));
        report.ended.iter().for_each(|ended| log_end(ended, log));
        if report.omitted > 0 {
            info!(log, "tasks without a run left out"; "count" => report.omitted);
        }
        for (cause, total) in &report.outages.tasks {
            log_total("long-running tasks without a run", cause.as_str(), total, log);
        }
        for (cause, total) in &report.outages.jobs {
            log_total("jobs without a run", cause.as_str(), total, log);
        }
        report.outages
    }
}

/// Logs a task that has been without a run for long.
fn log_outage(now: Moment, outage: &Outage, log: &Logger) {
    let Outage { task, tasks, queue, since, origin, reason } = outage;
    let awaited = reason.awaited.as_ref();
    let until = awaited.and_then(|awaited| awaited.until);
    info!(log, "task without a run"; "task" => %task, "tasks" => tasks, "queue" => &**queue,
        "without_run_ms" => millis(now.since(*since)), "counted_from" => origin.as_str(),
        "because" => reason.cause.as_str(),
        "at" => awaited.map(|awaited| awaited.server.to_string()),
        "at_most_ms" => until.map(|until| millis(until.since(now))));
}

/// Logs a task that is no longer without a run.
fn log_end(ended: &Ended, log: &Logger) {
    let Ended { task, queue, server, time, cause, cause_time, last } = ended;
    info!(log, "task no longer without a run"; "task" => %task, "queue" => &**queue,
        "at" => server.as_ref().map(ToString::to_string), "without_run_ms" => millis(*time),
        "because" => cause.as_str(), "because_ms" => millis(*cause_time),
        "last" => last.as_str());
}

/// Logs the tasks or jobs without a run for one cause.
fn log_total(message: &'static str, cause: &'static str, total: &Total, log: &Logger) {
    let Total { count, longest, job } = total;
    let (queue, id) = match job {
        Some(job) => (&**job.queue(), job.id().as_str()),
        None => ("", ""),
    };
    info!(log, "{}", message; "because" => cause, "count" => count,
        "without_run_ms" => millis(*longest), "queue" => queue, "job" => id);
}
