//! Jobs are told as waiting until a server has certainly begun a task of theirs.

mod shard;

use shard::{QUEUE, Site, ended, starts, step, task};
use skylarkwick_request::{
    job::{Id, task::RunOutcome},
    shard::input::{OrderResult, RejectReason},
};

fn waiting(site: &Site) -> Vec<Id> {
    site.shard.backlog()[QUEUE].clone()
}

/// A site with one job whose start was sent and is not answered.
fn starting() -> Site {
    let mut site = Site::with_servers(&["a"]);
    site.submit("job", vec![step(1, 4)]);
    site
}

#[test]
fn a_start_without_an_answer_has_not_begun() {
    let mut site = starting();
    let (place, start) = starts(&site.decide()).remove(0);
    assert_eq!(waiting(&site), [Id::new("job")], "nobody knows whether it arrived");
    site.shard.handle_start_result(site.now, &place, &start.task, start.run, OrderResult::Unknown);
    assert_eq!(waiting(&site), [Id::new("job")], "it may never arrive");
}

#[test]
fn a_refused_start_has_not_begun() {
    let mut site = starting();
    let (place, start) = starts(&site.decide()).remove(0);
    let refused = OrderResult::Refused(RejectReason::InsufficientCapacity, Some(site.reading()));
    site.shard.handle_start_result(site.now, &place, &start.task, start.run, refused);
    assert_eq!(waiting(&site), [Id::new("job")]);
}

#[test]
fn an_answered_start_has_begun() {
    let mut site = starting();
    let effects = site.decide();
    site.confirm(&effects);
    assert!(waiting(&site).is_empty());
}

#[test]
fn a_listed_run_has_begun() {
    let mut site = starting();
    let (_, start) = starts(&site.decide()).remove(0);
    site.look("a", &[(task("job", 0, 0), start.run, 10)], &[]);
    assert!(waiting(&site).is_empty());
}

#[test]
fn an_end_tells_of_a_beginning() {
    let mut site = starting();
    let (_, start) = starts(&site.decide()).remove(0);
    site.look("a", &[], &[ended(1, task("job", 0, 0), start.run, RunOutcome::Failed)]);
    assert!(waiting(&site).is_empty());
}
