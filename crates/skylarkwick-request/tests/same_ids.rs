//! Jobs of two queues with the same identifier, as the holder of their shard knows them.

mod harness;

use std::sync::Arc;

use harness::{Harness, POOL, QUEUE, finished_run, job_key, queue, starts, step, stops};
use skylarkwick_request::{
    job::{Id, Key, task::RunOutcome},
    shard::input::AcceptedJob,
};

const OTHER: &str = "other";

/// A shard with two queues and a server.
fn two_queues() -> Harness {
    let mut harness = Harness::with_servers(&["a"]);
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue(OTHER, POOL)]);
    harness
}

fn other_key() -> Key {
    Key::new(Arc::from(OTHER), Id::new("job"))
}

/// Guards against a job that is stopped because another queue has none with its identifier
/// (review/11).
#[test]
fn foreign_removal_ignored() {
    let mut harness = two_queues();
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    assert_eq!(harness.confirm_starts(&effects).len(), 1);
    harness.shard.remove_job(harness.now, &other_key());
    assert!(stops(&harness.decide()).is_empty());
    harness.shard.remove_job(harness.now, &job_key("job"));
    assert_eq!(stops(&harness.decide()).len(), 1);
}

/// Guards against a job that is never added because another queue's job with its identifier ended
/// shortly before.
#[test]
fn foreign_end_admits() {
    let mut harness = two_queues();
    harness.shard.remove_job(harness.now, &other_key());
    harness.submit("job", vec![step(1, 4)]);
    assert_eq!(starts(&harness.decide()).len(), 1);
}

/// Guards against an accepted job that never runs because another queue's job has its identifier,
/// and against its tasks being taken for those of the other.
#[test]
fn namesakes_take_turns() {
    let mut harness = two_queues();
    harness.submit("job", vec![step(1, 4)]);
    let accepted = Harness::accepted_job("job", vec![step(1, 8)]);
    let queue: Arc<str> = Arc::from(OTHER);
    harness.shard.add_job(harness.now, AcceptedJob { queue, ..accepted });
    let effects = harness.decide();
    let (_, first) = harness.confirm_starts(&effects).remove(0);
    assert_eq!(harness.shard.backlog()[OTHER], [Id::new("job")]);

    let (task, run) = (first.task.clone(), first.run);
    harness.shard.remove_job(harness.now, &job_key("job"));
    harness.report("a", &[(task.clone(), run, 10)], &[]);
    assert!(starts(&harness.decide()).is_empty(), "the first is being stopped");
    harness.report("a", &[], &[finished_run(1, task, run, RunOutcome::Stopped)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    assert_eq!(started.len(), 1);
    assert!(started[0].1.run > run);
    assert!(harness.shard.backlog()[OTHER].is_empty());
}
