//! The runs of an unreachable server are given up only once they have certainly
//! ended.

mod shard;

use shard::{Harness, ms, server, starts, step, stops, task};
use skylarkwick_request::shard::{
    effect::Effect,
    input::{OrderResult, RejectReason},
};

/// Starts a task on one of two servers; returns the shard and the server's
/// name.
fn started() -> (Harness, String) {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let started = harness.confirm_starts(&effects);
    let name = started[0].0.0.to_string();
    (harness, name)
}

fn other(name: &str) -> &'static str {
    if name == "a" { "b" } else { "a" }
}

#[test]
fn an_expired_lease_frees_the_task() {
    let (mut harness, name) = started();
    for _ in 0..24 {
        harness.advance(250);
        harness.shard.handle_poll_failure(harness.now, &server(&name));
        harness.report(other(&name), &[], &[]);
        let effects = harness.decide();
        if let [(server_id, start)] = &starts(&effects)[..] {
            assert_eq!(&*server_id.0, other(&name));
            assert_eq!(start.task, task("job", 0, 0));
            return;
        }
    }
    panic!("unanswered polls have renewed the lease");
}

#[test]
fn a_valid_lease_keeps_the_task() {
    let (mut harness, name) = started();
    harness.advance(4000);
    harness.shard.handle_poll_failure(harness.now, &server(&name));
    harness.report(other(&name), &[], &[]);
    assert!(starts(&harness.decide()).is_empty());
}

#[test]
fn an_unconfirmed_holder_gives_nothing_up() {
    let (mut harness, name) = started();
    harness.advance(8000);
    harness.shard.handle_poll_failure(harness.now, &server(&name));
    harness.report(other(&name), &[], &[]);
    assert!(starts(&harness.decide_unconfirmed()).is_empty(), "another holder may renew the lease");
    assert_eq!(starts(&harness.decide()).len(), 1);
}

#[test]
fn polls_after_a_failure_renew_nothing() {
    let (mut harness, name) = started();
    harness.advance(1000);
    harness.shard.handle_poll_failure(harness.now, &server(&name));
    harness.now = harness.now + ms(300);
    let renewed = harness.decide().into_iter().any(|effect| match effect {
        Effect::Poll { target, lease_until_ms, .. } => {
            *target.server.0 == *name && lease_until_ms.is_some()
        }
        _ => false,
    });
    assert!(!renewed);
}

#[test]
fn an_unanswered_start_is_stopped_first() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, start) = starts(&harness.decide()).remove(0);
    harness.shard.handle_start_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Unknown,
    );
    let effects = harness.decide();
    assert_eq!(stops(&effects), [(server_id.clone(), start.task.clone(), start.run)]);
    assert!(starts(&effects).is_empty());
    // The stop is acknowledged, and a later report shows that nothing runs
    // there.
    harness.shard.handle_stop_result(
        harness.now,
        &server_id,
        &start.task,
        start.run,
        OrderResult::Done(harness.reading()),
    );
    assert!(starts(&harness.decide()).is_empty(), "the run may have ended well before the stop");
    harness.advance(50);
    harness.report(&server_id.0, &[], &[]);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert!(again[0].1.run > start.run);
}

#[test]
fn a_rejected_start_goes_elsewhere() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("job", vec![step(1, 4)]);
    let (server_id, start) = starts(&harness.decide()).remove(0);
    let answer = OrderResult::Refused(RejectReason::Unavailable, None);
    harness.shard.handle_start_result(harness.now, &server_id, &start.task, start.run, answer);
    let again = starts(&harness.decide());
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].0, server_id);
}

#[test]
fn a_new_incarnation_runs_nothing() {
    let (mut harness, name) = started();
    let mut servers = harness.servers.clone();
    for server_info in &mut servers {
        server_info.incarnation_ms += u64::from(*server_info.id.0 == *name);
    }
    harness.shard.set_servers(harness.now, servers);
    assert_eq!(starts(&harness.decide()).len(), 1);
}
