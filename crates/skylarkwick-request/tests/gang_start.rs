//! The members of a gang start together or not at all.

mod shard;

use shard::{Harness, batches, ended, starts, step, stops};
use skylarkwick_request::{
    job::{State, Step, task::RunOutcome},
    shard::{
        effect::Change,
        input::{OrderResult, RejectReason},
    },
};

fn gang(count: u32, cores: u64) -> Step {
    Step { is_gang: true, ..step(count, cores) }
}

#[test]
fn all_members_or_none() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![gang(3, 64)]);
    assert!(starts(&harness.decide()).is_empty(), "two servers hold two members");
    harness.list_servers(&["a", "b", "c"]);
    harness.report("c", &[], &[]);
    let started = starts(&harness.decide());
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|(_, start)| start.run == started[0].1.run));
}

#[test]
fn a_rejected_member_stops_the_others() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![gang(2, 64)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    // The first member's start gets a second answer, a rejection.
    let (server, start) = &started[0];
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, Some(harness.reading()));
    harness.shard.handle_start_result(harness.now, server, &start.task, start.run, refused);
    let stopped = stops(&{
        let mut effects = harness.decide();
        effects.extend(harness.decide());
        effects
    });
    assert_eq!(stopped.len(), 1, "the other member would wait alone");
    assert_eq!(stopped[0].1, started[1].1.task);
}

#[test]
fn a_leaving_server_cancels_all_starts() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![gang(2, 64)]);
    let batch = shard::batches(&harness.decide_unsaved()).remove(0);
    let mut servers = harness.servers.clone();
    servers[0].is_leaving = true;
    harness.shard.set_servers(harness.now, servers);
    harness.shard.handle_batch_saved(harness.now, &batch);
    assert!(starts(&harness.decide_unsaved()).is_empty());
}

#[test]
fn one_success_completes_all() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![gang(2, 64)]);
    let effects = harness.decide();
    let (server, start) = harness.confirm_starts(&effects).remove(0);
    harness.advance(100);
    harness.report(&server.0, &[], &[ended(1, start.task, start.run, RunOutcome::Done)]);
    let batch = batches(&harness.decide_unsaved()).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Completed));
}

#[test]
fn members_on_recorded_servers_wait_for_the_others() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4), Step { depends_on: vec![0], ..gang(2, 64) }]);
    let effects = harness.decide();
    let (server, start) = harness.confirm_starts(&effects).remove(0);
    harness.advance(100);
    harness.report(&server.0, &[], &[ended(1, start.task, start.run, RunOutcome::Done)]);
    let effects = harness.decide_unsaved();
    assert!(starts(&effects).is_empty(), "one of the two servers is not recorded with the job");
    for batch in batches(&effects) {
        harness.shard.handle_batch_saved(harness.now, &batch);
    }
    assert_eq!(starts(&harness.decide()).len(), 2);
}
