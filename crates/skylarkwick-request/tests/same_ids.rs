//! Jobs of two queues with the same identifier, as the holder of their shard knows them.

mod harness;

use std::sync::Arc;

use harness::{Harness, POOL, QUEUE, finished_run, job_key, queue, starts, step, stops, task};
use skylarkwick_request::{
    job::{
        Id, Key, Step,
        task::{RunId, RunOutcome},
    },
    shard::{
        effect::{Change, Effect},
        input::AcceptedJob,
    },
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

/// Adds a job of the other queue with the same identifier.
fn add_other(harness: &mut Harness, accepted: AcceptedJob) {
    let queue: Arc<str> = Arc::from(OTHER);
    harness.shard.add_job(harness.now, AcceptedJob { queue, ..accepted });
}

/// Creates a shard with two queues that a second holder has taken, and servers a and b.
fn taken_with_two_queues() -> Harness {
    let mut harness = harness::taken_shard();
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue(OTHER, POOL)]);
    harness.set_servers(&["a", "b"]);
    harness
}

/// A job of which an earlier holder may have started tasks on this server.
fn begun_on(server: &str, steps: Vec<Step>) -> AcceptedJob {
    let mut accepted = Harness::accepted_job("job", steps);
    accepted.progress.servers = [Arc::from(server)].into();
    accepted
}

/// Returns the queues of the jobs that are stored as finished.
fn finished_queues(effects: &[Effect]) -> Vec<String> {
    let batches = harness::batches(effects);
    let updates = batches.iter().flat_map(|batch| &batch.updates);
    let finished = updates.filter(|update| matches!(update.change, Change::Finished(_)));
    finished.map(|update| update.key.queue().to_string()).collect()
}

/// Guards against a job that waits for good because another queue's job with its identifier has
/// tasks that last, and against an end that is taken for one of the other job.
#[test]
fn runs_beside_lasting_namesake() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue(OTHER, POOL)]);
    harness.submit("job", vec![Step { is_long_running: true, ..step(1, 4) }]);
    let effects = harness.decide();
    let (lasting, first) = harness.confirm_starts(&effects).remove(0);
    add_other(&mut harness, Harness::accepted_job("job", vec![step(1, 8)]));
    let effects = harness.decide();
    let (server, second) = harness.confirm_starts(&effects).remove(0);
    assert_ne!(server, lasting, "the server could not tell them apart");
    assert_eq!(second.task.to_string(), first.task.to_string());

    let wire_task = task("job", 0, 0);
    harness.report(&lasting.0, &[(wire_task.clone(), first.run, 100)], &[]);
    let done = finished_run(1, wire_task, second.run, RunOutcome::Done);
    harness.report(&server.0, &[], &[done]);
    let effects = harness.decide();
    assert_eq!(finished_queues(&effects), [OTHER]);
    assert!(stops(&effects).is_empty(), "the first runs on");
    harness.shard.remove_job(harness.now, &job_key("job"));
    assert_eq!(stops(&harness.decide()).len(), 1);
}

/// Guards against runs that a new holder takes for those of the other queue's job.
#[test]
fn runs_told_apart_after_takeover() {
    let mut harness = taken_with_two_queues();
    let lasting = Step { is_long_running: true, ..step(1, 4) };
    harness.shard.add_job(harness.now, begun_on("a", vec![lasting]));
    add_other(&mut harness, begun_on("b", vec![step(1, 8)]));
    harness.decide();
    harness.report("a", &[(task("job", 0, 0), RunId(5), 100)], &[]);
    harness.report("b", &[(task("job", 0, 0), RunId(6), 10)], &[]);
    let effects = harness.decide();
    assert!(stops(&effects).is_empty() && starts(&effects).is_empty(), "both run on");
    harness.report("b", &[], &[finished_run(1, task("job", 0, 0), RunId(6), RunOutcome::Done)]);
    assert_eq!(finished_queues(&harness.decide()), [OTHER]);
}

/// Guards against a job that never runs because a new holder takes an unread end of another
/// queue's job with its identifier, which is over, for its own.
#[test]
fn unread_end_of_namesake() {
    let mut harness = taken_with_two_queues();
    harness.shard.expect_namesake(&Id::new("job"));
    add_other(&mut harness, Harness::accepted_job("job", vec![step(1, 8)]));
    harness.report("a", &[], &[finished_run(1, task("job", 0, 0), RunId(5), RunOutcome::Done)]);
    harness.report("b", &[], &[]);
    let effects = harness.decide();
    assert!(finished_queues(&effects).is_empty());
    assert_eq!(starts(&effects).len(), 1);
}

/// Guards against an end of a cancelled job that is taken for one of another queue's job, which was
/// handed in right after.
#[test]
fn end_of_cancelled_namesake() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.shard.set_queues(vec![queue(QUEUE, POOL), queue(OTHER, POOL)]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (server, start) = harness.confirm_starts(&effects).remove(0);
    harness.shard.remove_job(harness.now, &job_key("job"));
    add_other(&mut harness, Harness::accepted_job("job", vec![step(1, 8)]));
    let done = finished_run(1, start.task, start.run, RunOutcome::Done);
    harness.report(&server.0, &[], &[done]);
    let effects = harness.decide();
    assert!(finished_queues(&effects).is_empty());
    assert_eq!(starts(&effects).len(), 1);
}
