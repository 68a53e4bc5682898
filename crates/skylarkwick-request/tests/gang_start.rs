//! The members of a gang start together or not at all.

mod shard;

use shard::{Site, batches, ended, starts, step, stops};
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
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![gang(3, 64)]);
    assert!(starts(&site.decide()).is_empty(), "two servers hold two members");
    site.list(&["a", "b", "c"]);
    site.look("c", &[], &[]);
    let started = starts(&site.decide());
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|(_, start)| start.run == started[0].1.run));
}

#[test]
fn a_member_that_was_refused_ends_the_others() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![gang(2, 64)]);
    let effects = site.decide();
    let started = site.confirm(&effects);
    // The answer to the first member is told once more, as a refusal.
    let (server, start) = &started[0];
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, Some(site.reading()));
    site.shard.handle_start_result(site.now, server, &start.task, start.run, refused);
    let stopped = stops(&{
        let mut effects = site.decide();
        effects.extend(site.decide());
        effects
    });
    assert_eq!(stopped.len(), 1, "the other member would wait alone");
    assert_eq!(stopped[0].1, started[1].1.task);
}

#[test]
fn a_server_that_left_meanwhile_holds_all_back() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![gang(2, 64)]);
    let batch = shard::batches(&site.decide_unstored()).remove(0);
    let mut listings = site.listings.clone();
    listings[0].is_leaving = true;
    site.shard.set_servers(site.now, listings);
    site.shard.handle_batch_saved(site.now, &batch);
    assert!(starts(&site.decide_unstored()).is_empty());
}

#[test]
fn one_good_end_stands_for_all() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![gang(2, 64)]);
    let effects = site.decide();
    let (server, start) = site.confirm(&effects).remove(0);
    site.advance(100);
    site.look(&server.0, &[], &[ended(1, start.task, start.run, RunOutcome::Done)]);
    let batch = batches(&site.decide_unstored()).remove(0);
    assert_eq!(batch.updates[0].change, Change::Finished(State::Completed));
}

#[test]
fn members_on_stored_servers_wait_for_the_others() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4), Step { depends_on: vec![0], ..gang(2, 64) }]);
    let effects = site.decide();
    let (server, start) = site.confirm(&effects).remove(0);
    site.advance(100);
    site.look(&server.0, &[], &[ended(1, start.task, start.run, RunOutcome::Done)]);
    let effects = site.decide_unstored();
    assert!(starts(&effects).is_empty(), "one of the two servers is not stored with the job");
    for batch in batches(&effects) {
        site.shard.handle_batch_saved(site.now, &batch);
    }
    assert_eq!(starts(&site.decide()).len(), 2);
}
