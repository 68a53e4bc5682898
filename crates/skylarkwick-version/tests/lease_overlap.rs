//! Overlap of holders: whoever acquires a shard knows for how long any earlier holder may act.

use std::time::Duration;

use skylarkwick_version::{
    lease::Incarnation,
    moment::Moment,
    revision::Revision,
    shard_lease::{
        Decision, HOLDER_OVERLAP, LEASE_DURATION, MIN_OBSERVATION, Observation, Record, Remainder,
        decide,
    },
};

const OWN_ENTRY: &str = "entry-1";
const NOW_MS: u64 = 60_000;
const RUN_LEASE: Duration = Duration::from_millis(4600);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A lease that was renewed just now, whose row has `earlier_until_ms`.
fn record(entry: Option<&str>, earlier_until_ms: Option<u64>) -> Record {
    Record {
        entry: entry.map(str::to_owned),
        incarnation: Incarnation(1),
        renewed_ms: NOW_MS,
        earlier_until_ms,
        granted_until_ms: None,
    }
}

fn acquire(record: &Record) -> Decision {
    decide(Some(record), Observation::default(), OWN_ENTRY, NOW_MS, RUN_LEASE)
}

/// The decision after which earlier holders may act for this long, and grant leases until then.
fn acquired_with(overlap: Duration) -> Decision {
    Decision::Acquire(Remainder { overlap, granted: overlap + RUN_LEASE })
}

/// Guards against a holder that took over, restarts, and starts tasks anew which the holder
/// before it still keeps running.
#[test]
fn restart_keeps_overlap() {
    let record = record(Some(OWN_ENTRY), Some(NOW_MS + 3300));
    assert_eq!(acquire(&record), acquired_with(ms(3300)));
}

/// Guards against the same after a planned hand-over.
#[test]
fn release_keeps_overlap() {
    let record = record(None, Some(NOW_MS + 3300));
    assert_eq!(acquire(&record), acquired_with(ms(3300)));
}

#[test]
fn past_overlap_over() {
    for entry in [Some(OWN_ENTRY), None] {
        let record = record(entry, Some(NOW_MS - 1));
        assert_eq!(acquire(&record), acquired_with(Duration::ZERO));
    }
}

#[test]
fn takeover_overlaps_fully() {
    let at = |time| Moment::from_start(time);
    let observation = Observation::default().update(Revision(7), at(ms(1000)));
    let observation = observation.update(Revision(7), at(ms(1000) + MIN_OBSERVATION));
    let taken = Record {
        renewed_ms: NOW_MS - u64::try_from(LEASE_DURATION.as_millis()).unwrap(),
        ..record(Some("entry-2"), Some(0))
    };
    let decision = decide(Some(&taken), observation, OWN_ENTRY, NOW_MS, RUN_LEASE);
    assert_eq!(decision, acquired_with(HOLDER_OVERLAP));
}

/// A row of an earlier release does not tell whether its holder had taken over.
#[test]
fn unknown_overlap_assumed() {
    let record = record(Some(OWN_ENTRY), None);
    assert_eq!(acquire(&record), acquired_with(HOLDER_OVERLAP));
}

/// Guards against a shard that starts nothing, because its row was damaged.
#[test]
fn overlap_is_bounded() {
    let record = record(None, Some(u64::MAX));
    assert_eq!(acquire(&record), acquired_with(HOLDER_OVERLAP));
}

#[test]
fn first_holder_alone() {
    let decision = decide(None, Observation::default(), OWN_ENTRY, NOW_MS, RUN_LEASE);
    assert_eq!(decision, Decision::Acquire(Remainder::default()));
}
