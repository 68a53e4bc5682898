//! Leases of runs that a holder grants while the lease of its shard is not renewed.

mod harness;

use std::time::Duration;

use harness::{Harness, ms, server, starts, step, timings};
use skylarkwick_request::shard::effect::Effect;
use skylarkwick_version::{moment::Moment, shard_lease::GRANT_LIMIT};

/// Time between two answers of the servers, and from there to the next decision.
const POLL_MS: u64 = 300;
const REACTION_MS: u64 = 10;

/// Returns the latest end, on the servers' clocks, of the leases that some effects grant.
fn last_grant_ms(effects: &[Effect]) -> Option<u64> {
    let grant = |effect: &Effect| match effect {
        Effect::Start { start, .. } => Some(start.until_ms),
        Effect::Poll { lease_until_ms, .. } => *lease_until_ms,
        _ => None,
    };
    effects.iter().filter_map(grant).max()
}

/// A time on the servers' clocks, which run as fast as the holder's.
fn clock_ms(harness: &Harness, at: Moment) -> u64 {
    let reading = harness.reading();
    let since_start = |moment: Moment| u64::try_from(moment.since_start().as_millis()).unwrap();
    reading.clock_ms - since_start(harness.now) + since_start(at)
}

/// Decides with this last renewal, every `POLL_MS` for this long; the servers answer, and new jobs
/// come. Returns the latest end of the leases that are granted.
fn grant_for(harness: &mut Harness, renewed: Moment, time: Duration) -> u64 {
    let end = harness.now + time;
    let mut last_ms = 0;
    while harness.now < end {
        harness.advance(POLL_MS);
        for name in ["a", "b"] {
            harness.report(name, &[], &[]);
        }
        harness.advance(REACTION_MS);
        harness.submit(&format!("job-{:?}", harness.now), vec![step(1, 1)]);
        let effects = harness.shard.decide(harness.now, harness.unix_ms, renewed);
        for batch in harness::batches(&effects) {
            harness.shard.handle_batch_saved(harness.now, &batch);
        }
        last_ms = last_ms.max(last_grant_ms(&effects).unwrap_or_default());
        harness.confirm_starts(&effects);
    }
    last_ms
}

/// Guards against TWICE: a holder that is cut off from the store extends leases beyond the time
/// that the next one waits for, on servers that this one does not reach.
#[test]
fn unrenewed_grants_end() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    let renewed = harness.now;
    let last_ms = grant_for(&mut harness, renewed, GRANT_LIMIT + ms(2000));
    let limit_ms = clock_ms(&harness, renewed + GRANT_LIMIT);
    assert!(last_ms <= limit_ms, "{last_ms} after {limit_ms}");
    assert!(last_ms + 200 > limit_ms, "the work goes on until then: {last_ms}, {limit_ms}");
}

/// Guards against work that lapses in an outage of the store which ends in time.
#[test]
fn renewed_grants_go_on() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    let renewed = harness.now;
    grant_for(&mut harness, renewed, ms(6900));
    let renewed = harness.now;
    let last_ms = grant_for(&mut harness, renewed, ms(300));
    let full = clock_ms(&harness, harness.now + timings().lease_duration);
    assert!(last_ms + 200 > full, "{last_ms}, {full}");
}

/// Guards against work that lapses although the store is back in time, because each server's poll
/// waits for a run to end before the next one may extend its lease.
#[test]
fn unconfirmed_polls_short() {
    let mut harness = Harness::with_servers(&["a"]);
    let wait = |effects: &[Effect]| {
        let polls = effects.iter().filter_map(|effect| match effect {
            Effect::Poll { max_wait, .. } => Some(*max_wait),
            _ => None,
        });
        polls.max().expect("a poll is due")
    };
    let confirmed = wait(&harness.decide());
    harness.report("a", &[], &[]);
    let unconfirmed = wait(&harness.decide_unconfirmed());
    assert!(unconfirmed * 4 < confirmed, "{unconfirmed:?}, {confirmed:?}");
}

/// A start that no lease may be granted for is not sent, and its task is not held by it.
#[test]
fn late_start_not_sent() {
    let mut harness = Harness::with_servers(&["a", "b"]);
    harness.submit("first", vec![step(1, 1)]);
    let effects = harness.decide();
    let recorded = starts(&effects)[0].0.clone();
    assert!(recorded == server("a") || recorded == server("b"));
    harness.confirm_starts(&effects);
    let renewed = harness.now;
    harness.now = harness.now + GRANT_LIMIT + ms(10);
    harness.report("a", &[], &[]);
    harness.report("b", &[], &[]);
    let effects = harness.shard.decide(harness.now, harness.unix_ms, renewed);
    assert!(starts(&effects).is_empty());
    let effects = harness.decide();
    assert_eq!(starts(&effects).len(), 1, "it starts once the lease is renewed");
}
