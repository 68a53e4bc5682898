//! Servers that leave around a planned change of the holder: the next one knows until when
//! anything can run there, and waits no longer (review/5).

mod harness;

use std::{collections::BTreeMap, time::Duration};

use harness::{Harness, earlier_job_on_a, ms, server, starts, step, taken_shard, timings};
use skylarkwick_request::{job::task::RunId, shard::input::ServerId};

/// Creates a shard of the second holder with the job of an earlier one that may run on server
/// a, and what was handed on of that server.
fn with_handover(left: &[(&str, u64)]) -> Harness {
    let mut harness = taken_shard();
    let settled: BTreeMap<ServerId, Duration> =
        left.iter().map(|(name, time)| (server(name), ms(*time))).collect();
    harness.shard.set_settled_servers(settled);
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness
}

/// Returns for how long the job waits after the start of the term.
fn wait_for_start(harness: &mut Harness) -> Duration {
    let since = harness.now;
    for _ in 0..400 {
        harness.advance(50);
        harness.report("b", &[], &[]);
        if !starts(&harness.decide()).is_empty() {
            return harness.now.since(since);
        }
    }
    panic!("the job waits for good");
}

/// Guards against lasting tasks that stand still through a rolling restart, because each
/// holder waits anew for a server that has left.
#[test]
fn left_server_not_awaited() {
    let mut harness = with_handover(&[("a", 2_000)]);
    harness.set_servers(&["b"]);
    let waited = wait_for_start(&mut harness);
    assert!(waited > ms(2_000), "the run may be in progress: {waited:?}");
    assert!(waited < ms(2_300), "{waited:?}");
}

/// Guards against a second run: the holder before knew of a lease that outlasts the grace of this
/// one.
#[test]
fn longer_lease_awaited() {
    let handed_on = timings().takeover_grace + ms(1_000);
    let mut harness = with_handover(&[("a", u64::try_from(handed_on.as_millis()).unwrap())]);
    harness.set_servers(&["b"]);
    let waited = wait_for_start(&mut harness);
    assert!(waited > handed_on && waited < handed_on + ms(300), "{waited:?}");
}

/// A server that is still listed has runs that its holder may adopt.
#[test]
fn listed_server_awaited() {
    let mut harness = with_handover(&[("a", 0)]);
    harness.set_servers(&["a", "b"]);
    let waited = wait_for_start(&mut harness);
    assert!(waited > timings().takeover_grace, "server a is only silent: {waited:?}");
}

/// Guards against a start before the list tells whether the server has left.
#[test]
fn unlisted_not_known_yet() {
    let mut harness = with_handover(&[("a", 0), ("b", 0)]);
    harness.advance(500);
    assert!(starts(&harness.decide()).is_empty());
    harness.set_servers(&["a", "b"]);
    harness.report("b", &[], &[]);
    assert!(starts(&harness.decide()).is_empty(), "server a is listed");
}

/// Guards against less than the lease of a run being handed on.
#[test]
fn leases_handed_on() {
    let mut harness = Harness::with_servers(&["a"]);
    harness.submit("job", vec![step(1, 4)]);
    let effects = harness.decide();
    let (_, start) = harness.confirm_starts(&effects).remove(0);
    // From here on no lease is longer than this holder has granted.
    for _ in 0..30 {
        harness.advance(100);
        harness.report("a", &[(start.task.clone(), start.run, 50)], &[]);
        harness.decide();
    }
    let left = harness.shard.settled_servers(harness.now)[&server("a")];
    assert!(left > timings().lease_duration, "the server's clock may be slow: {left:?}");
    assert!(left < timings().lease_duration + ms(500), "{left:?}");
    let later = harness.shard.settled_servers(harness.now + ms(1_000))[&server("a")];
    assert!(later < left - ms(900));
}

/// Guards against a wait that begins anew with each of several holders.
#[test]
fn waits_carried_on() {
    let mut harness = with_handover(&[("a", 2_000)]);
    harness.set_servers(&["b"]);
    harness.advance(500);
    let settled = harness.shard.settled_servers(harness.now);
    assert_eq!(settled.get(&server("a")), Some(&ms(1_500)));
    // Without a word of the holder before, its own grace is what it hands on.
    let mut harness = with_handover(&[]);
    harness.set_servers(&["b"]);
    harness.advance(500);
    let settled = harness.shard.settled_servers(harness.now);
    assert_eq!(settled.get(&server("a")), Some(&(timings().takeover_grace - ms(500))));
}

/// A server that came back has runs of this holder, by whose leases it counts.
#[test]
fn returned_server_counts_anew() {
    let mut harness = with_handover(&[("a", 0)]);
    harness.set_servers(&["a"]);
    harness.report("a", &[(harness::task("job", 0, 0), RunId(5), 40)], &[]);
    harness.decide();
    let left = harness.shard.settled_servers(harness.now)[&server("a")];
    assert!(left > timings().lease_duration, "{left:?}");
}
