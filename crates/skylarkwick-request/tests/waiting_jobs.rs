//! Backlog: a job is waiting until a server has certainly started one of its tasks.

mod harness;

use harness::{Harness, QUEUE, finished_run, starts, step, task};
use skylarkwick_request::{
    job::{Id, task::RunOutcome},
    shard::input::{OrderResult, RejectReason},
};

fn waiting_jobs(harness: &Harness) -> Vec<Id> {
    harness.shard.backlog()[QUEUE].clone()
}

/// Creates a shard with one job, not yet started.
fn with_unstarted_job() -> Harness {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    harness
}

#[test]
fn unanswered_start_waits() {
    let mut harness = with_unstarted_job();
    let (server_id, start) = starts(&harness.decide()).remove(0);
    assert_eq!(waiting_jobs(&harness), [Id::new("job")], "the start may not have arrived");
    harness.shard.handle_start_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Unknown,
    );
    assert_eq!(waiting_jobs(&harness), [Id::new("job")], "the start may never arrive");
}

#[test]
fn rejected_start_waits() {
    let mut harness = with_unstarted_job();
    let (server_id, start) = starts(&harness.decide()).remove(0);
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, Some(harness.reading()));
    harness.shard.handle_start_result(harness.now, &server_id, &start.task, start.run, refused);
    assert_eq!(waiting_jobs(&harness), [Id::new("job")]);
}

#[test]
fn answered_start_removed() {
    let mut harness = with_unstarted_job();
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    assert!(waiting_jobs(&harness).is_empty());
}

#[test]
fn reported_run_removed() {
    let mut harness = with_unstarted_job();
    let (_, start) = starts(&harness.decide()).remove(0);
    harness.report("a", &[(task("job", 0, 0), start.run, 10)], &[]);
    assert!(waiting_jobs(&harness).is_empty());
}

#[test]
fn ended_run_removed() {
    let mut harness = with_unstarted_job();
    let (_, start) = starts(&harness.decide()).remove(0);
    harness.report("a", &[], &[finished_run(1, task("job", 0, 0), start.run, RunOutcome::Failed)]);
    assert!(waiting_jobs(&harness).is_empty());
}
