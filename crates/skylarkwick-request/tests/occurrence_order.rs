//! Order in which the occurrences of scheduled jobs get room that others want too.

mod harness;

use std::sync::Arc;

use harness::{Harness, finished_run, ms, starts, step};
use skylarkwick_request::{
    job::{Job, Schedule, task::RunOutcome},
    shard::input::AcceptedJob,
};

/// Age of jobs whose results have lost their value, in milliseconds.
const LATE_MS: u64 = 60_000;
const HOUR_MS: u64 = 3_600_000;

/// Gives a job a schedule.
fn scheduled(accepted: AcceptedJob, count: u32, first_ms: u64) -> AcceptedJob {
    let schedule = Schedule { count, first_ms, interval: ms(HOUR_MS) };
    let job = Arc::new(Job { schedule: Some(schedule), ..(*accepted.job).clone() });
    AcceptedJob { job, ..accepted }
}

fn late(accepted: AcceptedJob) -> AcceptedJob {
    AcceptedJob { age: ms(LATE_MS), ..accepted }
}

/// Guards against an occurrence that is placed as if its result had lost its value, because its
/// job was accepted long before it was due.
#[test]
fn due_time_counts() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.unix_ms = 10 * HOUR_MS;
    let (small, large) = (vec![step(1, 40)], vec![step(1, 50)]);
    harness.shard.add_job(harness.now, late(Harness::accepted_job("late", small)));
    let due = scheduled(late(Harness::accepted_job("due", large)), 2, 10 * HOUR_MS);
    harness.shard.add_job(harness.now, due);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 1, "there is room for one");
    assert_eq!(started[0].1.task.job.as_str(), "due");
}

/// Guards against a job that waits until all past occurrences of another one are done.
#[test]
fn turn_left_to_others() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.unix_ms = 100_000 * HOUR_MS;
    let hourly = scheduled(late(Harness::accepted_job("hourly", vec![step(1, 40)])), 90_000, 0);
    harness.shard.add_job(harness.now, hourly);
    let effects = harness.decide();
    let mut running = harness.confirm_starts(&effects);
    harness.shard.add_job(harness.now, late(Harness::accepted_job("other", vec![step(2, 50)])));
    for number in 1..=5 {
        let (_, start) = running.remove(0);
        if start.task.job.as_str() == "other" {
            return;
        }
        let done = finished_run(number, start.task, start.run, RunOutcome::Done);
        harness.report("a", &[], &[done]);
        let effects = harness.decide();
        running = harness.confirm_starts(&effects);
    }
    panic!("the other job has not begun");
}
