//! Occurrences of scheduled jobs after a takeover: none is forgotten, and none starts early.

mod harness;

use std::sync::Arc;

use harness::{earlier_job_on_a, finished_run, ms, starts, stops, taken_shard, task};
use skylarkwick_request::{
    job::{
        Job, Schedule,
        progress::{TaskPosition, TaskProgress},
        task::{RunId, RunOutcome},
    },
    shard::{effect::Change, input::AcceptedJob},
};

/// A job with two occurrences that are due at this time of day, in Unix milliseconds.
fn scheduled_job(due_ms: u64) -> AcceptedJob {
    let mut accepted = earlier_job_on_a();
    let schedule = Schedule { count: 2, first_ms: due_ms, interval: ms(0) };
    accepted.job = Arc::new(Job { schedule: Some(schedule), ..(*accepted.job).clone() });
    accepted
}

/// Guards against an open occurrence that is never run again after a takeover, because only
/// a later one has stored progress.
#[test]
fn earlier_occurrence_opened() {
    let mut harness = taken_shard();
    let mut accepted = scheduled_job(0);
    for index in 0..2 {
        let position = TaskPosition { occurrence: 1, step: 0, index };
        let done = TaskProgress { is_done: true, ..TaskProgress::default() };
        accepted.progress.tasks.insert(position, done);
    }
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a"]);
    harness.decide();
    harness.report("a", &[(task("job", 0, 0), RunId(5), 40)], &[]);
    let effects = harness.decide();
    assert!(stops(&effects).is_empty(), "the run of the earlier occurrence goes on");
    let started: Vec<_> = starts(&effects).into_iter().map(|(_, start)| start.task).collect();
    assert_eq!(started, [task("job", 0, 1)]);
}

/// Guards against runs that are stopped and ends that are forgotten, because the clock of
/// the holder that started them was ahead of this one's.
#[test]
fn reported_occurrence_opened() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, scheduled_job(500));
    harness.set_servers(&["a"]);
    harness.decide();
    let done = finished_run(1, task("job", 0, 1), RunId(4), RunOutcome::Done);
    harness.report("a", &[(task("job", 0, 0), RunId(5), 40)], &[done]);
    let effects = harness.decide();
    assert!(stops(&effects).is_empty(), "an earlier holder has started the occurrence");
    let Change::Progress(progress) = harness::batches(&effects)[0].updates[0].change.clone() else {
        panic!("the job is not finished");
    };
    let ended = TaskPosition { occurrence: 0, step: 0, index: 1 };
    assert!(progress.is_done(ended));
}

/// Guards against tasks that start before their time, because an earlier holder whose clock
/// was ahead has started others of their occurrence.
#[test]
fn early_occurrence_waits() {
    let mut harness = taken_shard();
    harness.shard.add_job(harness.now, scheduled_job(500));
    harness.set_servers(&["a"]);
    harness.decide();
    harness.report("a", &[(task("job", 0, 0), RunId(5), 40)], &[]);
    let effects = harness.decide();
    assert!(stops(&effects).is_empty(), "the run goes on");
    assert!(starts(&effects).is_empty(), "the occurrence is not due yet");
    harness.unix_ms = 500;
    let started: Vec<_> =
        starts(&harness.decide()).into_iter().map(|(_, start)| start.task).collect();
    assert!(started.contains(&task("job", 0, 1)), "the occurrence is due");
}

/// Guards against tasks that run again, because an end of their occurrence, which is done, is
/// reported once more after a takeover.
#[test]
fn done_occurrence_closed() {
    let mut harness = taken_shard();
    let mut accepted = scheduled_job(0);
    accepted.progress.done_occurrences.insert(0);
    harness.shard.add_job(harness.now, accepted);
    harness.set_servers(&["a"]);
    harness.decide();
    let done = finished_run(1, task("job", 0, 0), RunId(4), RunOutcome::Done);
    harness.report("a", &[], &[done]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 2, "those of the other occurrence");
    assert!(started.iter().all(|(_, start)| start.task.occurrence == 1));
}
