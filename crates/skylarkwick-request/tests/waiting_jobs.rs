//! A job counts as waiting until a server has certainly started one of its
//! tasks.

mod shard;

use shard::{Harness, QUEUE, ended, starts, step, task};
use skylarkwick_request::{
    job::{Id, task::RunOutcome},
    shard::input::{OrderResult, RejectReason},
};

fn waiting(harness: &Harness) -> Vec<Id> {
    harness.shard.backlog()[QUEUE].clone()
}

/// Creates a shard with one job to start.
fn starting() -> Harness {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    harness
}

#[test]
fn an_unanswered_start_is_waiting() {
    let mut harness = starting();
    let (server_id, start) = starts(&harness.decide()).remove(0);
    assert_eq!(waiting(&harness), [Id::new("job")], "it may not have arrived");
    harness.shard.handle_start_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Unknown,
    );
    assert_eq!(waiting(&harness), [Id::new("job")], "it may never arrive");
}

#[test]
fn a_rejected_start_is_waiting() {
    let mut harness = starting();
    let (server_id, start) = starts(&harness.decide()).remove(0);
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, Some(harness.reading()));
    harness.shard.handle_start_result(harness.now, &server_id, &start.task, start.run, refused);
    assert_eq!(waiting(&harness), [Id::new("job")]);
}

#[test]
fn an_answered_start_is_not_waiting() {
    let mut harness = starting();
    let effects = harness.decide();
    harness.confirm_starts(&effects);
    assert!(waiting(&harness).is_empty());
}

#[test]
fn a_reported_run_is_not_waiting() {
    let mut harness = starting();
    let (_, start) = starts(&harness.decide()).remove(0);
    harness.report("a", &[(task("job", 0, 0), start.run, 10)], &[]);
    assert!(waiting(&harness).is_empty());
}

#[test]
fn an_ended_run_is_not_waiting() {
    let mut harness = starting();
    let (_, start) = starts(&harness.decide()).remove(0);
    harness.report("a", &[], &[ended(1, task("job", 0, 0), start.run, RunOutcome::Failed)]);
    assert!(waiting(&harness).is_empty());
}
