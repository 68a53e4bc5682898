//! Hosts of a wave that the platform's list lacks: just added, or gone.

mod harness;

use harness::{
    Harness, POOL, host, host_up, server_info,
    waves::{maintained_hosts, saved_waves, wave, with_hosts},
};
use skylarkwick_request::shard::input::{HostOrderResult, HostState};
use skylarkwick_version::moment::Moment;

/// Adds a host with an idle server of the same name to those of `names`, and lists all.
fn add_host(harness: &mut Harness, names: &[&str]) {
    harness.servers = names.iter().map(|name| server_info(name, POOL, name)).collect();
    harness.shard.set_servers(harness.now, harness.servers.clone());
    list_now(harness, names);
    harness.decide();
    for name in names {
        harness.report(name, &[], &[]);
    }
}

/// Passes in a list of these hosts that was requested at a time.
fn list(harness: &mut Harness, requested: Moment, names: &[&str]) {
    let hosts = names.iter().map(|name| host_up(name, POOL, Some(name))).collect();
    harness.shard.set_hosts(requested, hosts);
}

/// Passes in a list of these hosts that was requested just now.
fn list_now(harness: &mut Harness, names: &[&str]) {
    let now = harness.now;
    list(harness, now, names);
}

/// Returns whether a decision has the wave stored as completed.
fn is_completed(harness: &mut Harness) -> bool {
    saved_waves(&harness.decide()).iter().any(|(_, is_completed)| *is_completed)
}

/// Guards against a wave that is completed at once, because the last list is from before its
/// hosts were added (review/10).
#[test]
fn added_host_awaited() {
    let mut harness = with_hosts(&["a"]);
    harness.advance(500);
    harness.shard.add_wave(harness.now, wave(&["new"], 1));
    assert!(!is_completed(&mut harness), "the list is older than the wave");
    harness.advance(500);
    add_host(&mut harness, &["a", "new"]);
    assert_eq!(maintained_hosts(&harness.decide()), ["new"]);
}

/// Guards against a list that counts as new because it arrives late.
#[test]
fn late_list_ignored() {
    let mut harness = with_hosts(&["a"]);
    let before = harness.now;
    harness.advance(500);
    harness.shard.add_wave(harness.now, wave(&["new"], 1));
    for _ in 0..3 {
        harness.advance(500);
        list(&mut harness, before, &["a"]);
        assert!(!is_completed(&mut harness), "the list was requested before the wave was known");
    }
}

/// Guards against a host that is left out because one list, read in pages, lacks it.
#[test]
fn lacking_list_confirmed() {
    let mut harness = with_hosts(&["a", "b"]);
    harness.shard.add_wave(harness.now, wave(&["b"], 1));
    for _ in 0..3 {
        harness.advance(500);
        list_now(&mut harness, &["a"]);
        assert!(!is_completed(&mut harness), "one list lacks the host");
        list_now(&mut harness, &["a", "b"]);
    }
    assert_eq!(maintained_hosts(&harness.decide()), ["b"]);
}

/// Guards against a wave that waits for ever for a host that has left.
#[test]
fn gone_host_skipped() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["gone"], 1));
    for _ in 0..2 {
        harness.advance(500);
        list_now(&mut harness, &["a"]);
    }
    assert!(is_completed(&mut harness));
}

/// Guards against a wave that waits for ever because the last host has left.
#[test]
fn last_host_skipped() {
    let mut harness = with_hosts(&["a"]);
    harness.shard.add_wave(harness.now, wave(&["a"], 1));
    for _ in 0..2 {
        harness.advance(500);
        list_now(&mut harness, &[]);
    }
    assert!(is_completed(&mut harness));
}

/// Guards against a host that leaves during its maintenance and counts as down for ever.
#[test]
fn gone_host_not_down() {
    let mut harness = with_hosts(&["a", "b"]);
    harness.shard.add_wave(harness.now, wave(&["a", "b"], 1));
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Done);
    for _ in 0..3 {
        harness.advance(1000);
        list_now(&mut harness, &["b"]);
        harness.report("b", &[], &[]);
    }
    assert_eq!(maintained_hosts(&harness.decide()), ["b"]);
}

/// Guards against an order that a list from before its result ends: the host is down.
#[test]
fn late_list_keeps_order() {
    let mut harness = with_hosts(&["a", "b"]);
    harness.shard.add_wave(harness.now, wave(&["a", "b"], 1));
    assert_eq!(maintained_hosts(&harness.decide()), ["a"]);
    let before = harness.now;
    harness.shard.handle_host_order_result(harness.now, &host("a"), HostOrderResult::Done);
    harness.advance(1600);
    list(&mut harness, before, &["a", "b"]);
    harness.report("b", &[], &[]);
    assert!(maintained_hosts(&harness.decide()).is_empty(), "one host may be down");
    let mut busy = host_up("a", POOL, None);
    busy.state = HostState::Busy;
    harness.shard.set_hosts(harness.now, vec![busy, host_up("b", POOL, Some("b"))]);
    assert!(maintained_hosts(&harness.decide()).is_empty(), "one host is down");
}
