//! Guards against LOST: tasks of a server that started recently and is lost together with the
//! holder wait for a lease that it can't have, see `docs/incidents/recent-server-awaited.md`.

mod harness;

use std::{collections::BTreeMap, time::Duration};

use harness::{
    Harness, POOL, earlier_job_on_a, ms, server, server_info, starts, taken_shard, timings,
};
use skylarkwick_request::shard::{Incarnation, input::ServerId};
use skylarkwick_version::moment::{Moment, millis};

/// Time of day at a take-over, in Unix milliseconds.
const UNIX_MS: u64 = 1_780_000_000_000;
/// Start of server a, shortly before.
const STARTED_MS: u64 = UNIX_MS - 9_000;
/// A later start of it.
const RESTARTED_MS: u64 = UNIX_MS - 1_000;

type Known = BTreeMap<ServerId, Incarnation>;

/// What an earlier holder hands on of server a.
fn known(started_ms: u64, late_calls_until: Moment) -> Known {
    [(server("a"), Incarnation { started_ms, late_calls_until })].into()
}

/// Returns for how long after a take-over the tasks on server a, which never answers, are
/// waited for, by what earlier holders have handed on and by its entry in the list.
fn await_silent(known: impl Fn(Moment) -> Known, listed_ms: u64) -> Duration {
    await_listed(known, Some(listed_ms))
}

/// The same, if server a may have left the list.
fn await_listed(known: impl Fn(Moment) -> Known, listed_ms: Option<u64>) -> Duration {
    let mut harness = taken_shard();
    let since = harness.now;
    harness.shard.set_known_incarnations(known(since));
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.servers = vec![server_info("a", POOL, "a"), server_info("b", POOL, "b")];
    if listed_ms.is_none() {
        harness.servers.remove(0);
    }
    let listed_ms = listed_ms.unwrap_or_default();
    harness.list_incarnation("a", listed_ms);
    harness.report("b", &[], &[]);
    for _ in 0..400 {
        harness.advance(50);
        harness.unix_ms = UNIX_MS + millis(harness.now.since(since));
        harness.shard.handle_poll_failure(harness.now, &Harness::target("a", listed_ms));
        harness.report("b", &[], &[]);
        if !starts(&harness.decide()).is_empty() {
            return harness.now.since(since);
        }
    }
    panic!("the tasks wait for good");
}

fn assert_plain(waited: Duration) {
    let grace = timings().takeover_grace;
    assert!(waited > grace && waited < grace + ms(300), "{waited:?}");
}

fn assert_longer(waited: Duration) {
    let grace = timings().takeover_grace;
    assert!(waited > grace + ms(1_400) && waited < grace + ms(2_000), "{waited:?}");
}

#[test]
fn fresh_server_given_up() {
    assert_plain(await_silent(|since| known(STARTED_MS, since - ms(8_000)), STARTED_MS));
}

/// Guards against a second run: the earlier holders knew of no restart.
#[test]
fn unknown_restart_awaited() {
    assert_longer(await_silent(|since| known(STARTED_MS, since - ms(8_000)), RESTARTED_MS));
}

/// Guards against a second run: a holder of the release before hands on nothing.
#[test]
fn missing_row_awaited() {
    assert_longer(await_silent(|_| Known::new(), STARTED_MS));
}

/// Guards against a second run: a call by the earlier clock may have been carried out late.
#[test]
fn late_call_awaited() {
    let until = |since| since + timings().takeover_grace;
    assert_longer(await_silent(|since| known(STARTED_MS, until(since)), STARTED_MS));
    let until = |since| since + timings().takeover_grace - timings().max_lease;
    let waited = await_silent(|since| known(STARTED_MS, until(since)), STARTED_MS);
    let lease_over = timings().takeover_grace + ms(500);
    assert!(waited > lease_over && waited < lease_over + ms(500), "{waited:?}");
}

/// Guards against a second run: a server that has just started again is cut off from the store, so
/// that its entry is missing, or that of the earlier incarnation is still there.
#[test]
fn unlisted_restart_awaited() {
    let until = |since| since + timings().takeover_grace;
    assert_longer(await_listed(|since| known(RESTARTED_MS, until(since)), None));
    let old_ms = UNIX_MS - 600_000;
    assert_longer(await_listed(|since| known(RESTARTED_MS, until(since)), Some(old_ms)));
    let other =
        |since: Moment| Known::from([(server("b"), known(STARTED_MS, since)[&server("a")])]);
    assert_longer(await_listed(other, None));
}

/// Guards against LOST: the entry of a server that is lost with the holder has lapsed.
#[test]
fn unlisted_server_given_up() {
    assert_plain(await_listed(|since| known(STARTED_MS, since - ms(8_000)), None));
    assert_plain(await_listed(|_| Known::new(), None));
}

/// What was handed on of a server that has left the list is handed on while a job waits for it.
#[test]
fn unlisted_server_inherited() {
    let mut harness = taken_shard();
    let earlier = known(STARTED_MS, harness.now - ms(8_000));
    harness.shard.set_known_incarnations(earlier.clone());
    harness.shard.add_job(harness.now, earlier_job_on_a());
    harness.set_servers(&["b"]);
    assert_eq!(harness.shard.known_incarnations(), earlier);
}

/// A holder of which server a has answered, as incarnation `STARTED_MS`.
fn answered_holder() -> Harness {
    let mut harness = taken_shard();
    harness.servers = vec![server_info("a", POOL, "a")];
    harness.list_incarnation("a", STARTED_MS);
    harness.advance(100);
    harness.report_incarnation("a", STARTED_MS, &[], &[]);
    harness
}

/// A server that has answered rejects earlier holders, and is handed on with that time.
#[test]
fn answer_handed_on() {
    let mut harness = answered_holder();
    let answered = harness.now;
    harness.advance(1_000);
    harness.report_incarnation("a", STARTED_MS, &[], &[]);
    assert_eq!(harness.shard.known_incarnations(), known(STARTED_MS, answered));
}

#[test]
fn silent_server_left_out() {
    let mut harness = taken_shard();
    harness.set_servers(&["a"]);
    harness.advance(60_000);
    assert_eq!(harness.shard.known_incarnations(), Known::new());
}

/// What was handed on to a holder that the server never answers is handed on by it, but not for
/// another incarnation.
#[test]
fn silent_server_inherited() {
    for (listed_ms, is_kept) in [(STARTED_MS, true), (RESTARTED_MS, false)] {
        let mut harness = taken_shard();
        let earlier = known(STARTED_MS, harness.now - ms(8_000));
        harness.shard.set_known_incarnations(earlier.clone());
        assert_eq!(harness.shard.known_incarnations(), earlier, "before the first list");
        harness.servers = vec![server_info("a", POOL, "a")];
        harness.list_incarnation("a", listed_ms);
        let expected = if is_kept { earlier } else { Known::new() };
        assert_eq!(harness.shard.known_incarnations(), expected);
    }
}

/// Guards against a second run: this holder's own calls by the earlier clock may still be under
/// way to a server that it has seen restart.
#[test]
fn restart_handed_on() {
    let mut harness = answered_holder();
    harness.advance(5_000);
    harness.list_incarnation("a", RESTARTED_MS);
    let restarted = harness.now;
    assert_eq!(harness.shard.known_incarnations(), Known::new(), "it has not answered");
    harness.advance(100);
    harness.report_incarnation("a", RESTARTED_MS, &[], &[]);
    let expected = known(RESTARTED_MS, restarted + ms(12_000));
    assert_eq!(harness.shard.known_incarnations(), expected);
}

/// The same if it was removed in between, because another incarnation was at its address.
#[test]
fn replaced_server_handed_on() {
    let mut harness = answered_holder();
    harness.decide();
    harness.shard.handle_server_replaced(&Harness::target("a", STARTED_MS));
    assert_eq!(harness.shard.known_incarnations(), Known::new());
    harness.list_incarnation("a", RESTARTED_MS);
    let listed = harness.now;
    harness.advance(100);
    harness.report_incarnation("a", RESTARTED_MS, &[], &[]);
    assert_eq!(harness.shard.known_incarnations(), known(RESTARTED_MS, listed + ms(12_000)));
}
