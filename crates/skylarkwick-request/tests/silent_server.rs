//! The runs of an unreachable server are given up only once they have certainly
//! ended.

mod shard;

use shard::{Site, ms, server, starts, step, stops, task};
use skylarkwick_request::shard::{
    effect::Effect,
    input::{OrderResult, RejectReason},
};

/// Starts a task on one of two servers; returns the shard and the server's
/// name.
fn started() -> (Site, String) {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4)]);
    let effects = site.decide();
    let started = site.confirm(&effects);
    let name = started[0].0.0.to_string();
    (site, name)
}

fn other(name: &str) -> &'static str {
    if name == "a" { "b" } else { "a" }
}

#[test]
fn a_lapsed_lease_frees_the_task() {
    let (mut site, name) = started();
    for _ in 0..24 {
        site.advance(250);
        site.shard.handle_poll_failure(site.now, &server(&name));
        site.look(other(&name), &[], &[]);
        let effects = site.decide();
        if let [(place, start)] = &starts(&effects)[..] {
            assert_eq!(&*place.0, other(&name));
            assert_eq!(start.task, task("job", 0, 0));
            return;
        }
    }
    panic!("unanswered looks kept the lease alive");
}

#[test]
fn a_lease_in_force_keeps_the_task() {
    let (mut site, name) = started();
    site.advance(4000);
    site.shard.handle_poll_failure(site.now, &server(&name));
    site.look(other(&name), &[], &[]);
    assert!(starts(&site.decide()).is_empty());
}

#[test]
fn an_uncertain_holder_gives_nothing_up() {
    let (mut site, name) = started();
    site.advance(8000);
    site.shard.handle_poll_failure(site.now, &server(&name));
    site.look(other(&name), &[], &[]);
    assert!(starts(&site.decide_in_doubt()).is_empty(), "another holder may renew the lease");
    assert_eq!(starts(&site.decide()).len(), 1);
}

#[test]
fn looks_after_silence_renew_nothing() {
    let (mut site, name) = started();
    site.advance(1000);
    site.shard.handle_poll_failure(site.now, &server(&name));
    site.now = site.now + ms(300);
    let renewed = site.decide().into_iter().any(|effect| match effect {
        Effect::Poll { target, lease_until_ms, .. } => {
            *target.server.0 == *name && lease_until_ms.is_some()
        }
        _ => false,
    });
    assert!(!renewed);
}

#[test]
fn an_unanswered_start_is_stopped_first() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4)]);
    let (place, start) = starts(&site.decide()).remove(0);
    site.shard.handle_start_result(site.now, &place, &start.task, start.run, OrderResult::Unknown);
    let effects = site.decide();
    assert_eq!(stops(&effects), [(place.clone(), start.task.clone(), start.run)]);
    assert!(starts(&effects).is_empty());
    // The stop is acknowledged, and a later report shows that nothing runs
    // there.
    site.shard.handle_stop_result(
        site.now,
        &place,
        &start.task,
        start.run,
        OrderResult::Done(site.reading()),
    );
    assert!(starts(&site.decide()).is_empty(), "the run may have ended well before the stop");
    site.advance(50);
    site.look(&place.0, &[], &[]);
    let again = starts(&site.decide());
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

#[test]
fn a_refused_start_goes_elsewhere() {
    let mut site = Site::with_servers(&["a", "b"]);
    site.submit("job", vec![step(1, 4)]);
    let (place, start) = starts(&site.decide()).remove(0);
    let answer = OrderResult::Refused(RejectReason::Unavailable, None);
    site.shard.handle_start_result(site.now, &place, &start.task, start.run, answer);
    let again = starts(&site.decide());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, place);
}

#[test]
fn another_life_runs_nothing() {
    let (mut site, name) = started();
    let mut listings = site.listings.clone();
    for listing in &mut listings {
        listing.incarnation_ms += u64::from(*listing.id.0 == *name);
    }
    site.shard.set_servers(site.now, listings);
    assert_eq!(starts(&site.decide()).len(), 1);
}
