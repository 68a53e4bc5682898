//! Leases of runs that earlier holders have granted: whoever acquires a shard knows when they end.

use std::time::Duration;

use skylarkwick_version::{
    lease::Incarnation,
    moment::Moment,
    revision::Revision,
    shard_lease::{
        Decision, GRANT_LIMIT, HOLDER_OVERLAP, LEASE_DURATION, MAX_RENEWAL_GAP, Observation,
        Record, decide,
    },
};

const OWN_ENTRY: &str = "entry-1";
const NOW_MS: u64 = 60_000;
const RUN_LEASE: Duration = Duration::from_millis(4600);
/// Time between two reads of the row.
const READ_PERIOD: Duration = Duration::from_millis(400);

fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A lease that has just expired, with the time until which holders before its own have granted
/// leases of runs.
fn expired(granted_until_ms: Option<u64>) -> Record {
    Record {
        entry: Some("entry-2".to_owned()),
        incarnation: Incarnation(1),
        renewed_ms: NOW_MS - u64::try_from(LEASE_DURATION.as_millis()).unwrap(),
        earlier_until_ms: Some(0),
        granted_until_ms,
    }
}

/// Reads of the row, which is unchanged for this long.
fn observed(unchanged: Duration) -> Observation {
    let start = Moment::from_start(ms(1000));
    let mut observation = Observation::default().update(Revision(7), start);
    let mut elapsed = Duration::ZERO;
    while elapsed < unchanged {
        elapsed = (elapsed + READ_PERIOD).min(unchanged);
        observation = observation.update(Revision(7), start + elapsed);
    }
    observation
}

/// Returns for how long leases last that earlier holders have granted.
fn granted(record: &Record, unchanged: Duration) -> Duration {
    match decide(Some(record), observed(unchanged), OWN_ENTRY, NOW_MS, RUN_LEASE) {
        Decision::Acquire(earlier) => earlier.granted,
        Decision::Wait => panic!("the lease has expired"),
    }
}

/// Guards against LOST: the next holder counted what the earlier one grants from its own
/// acquisition, not from the last renewal.
#[test]
fn counted_from_renewal() {
    for unchanged in [ms(1000), ms(2300), ms(5000)] {
        assert_eq!(granted(&expired(Some(0)), unchanged), GRANT_LIMIT - unchanged);
    }
    assert_eq!(granted(&expired(Some(0)), ms(9000)), Duration::ZERO);
}

/// Guards against TWICE: the holder of an earlier release grants leases as long as it acts.
#[test]
fn earlier_release_awaited() {
    assert_eq!(granted(&expired(None), LEASE_DURATION), HOLDER_OVERLAP + RUN_LEASE);
}

/// Guards against TWICE: a holder that has just taken over is lost, and the one before it, which
/// is cut off, has granted more than that.
#[test]
fn earlier_grants_kept() {
    let record = expired(Some(NOW_MS + 7000));
    assert_eq!(granted(&record, LEASE_DURATION), ms(7000));
    for entry in [None, Some(OWN_ENTRY.to_owned())] {
        let record = Record { entry, ..record.clone() };
        assert_eq!(granted(&record, Duration::ZERO), ms(7000));
    }
}

/// What a holder that has ended granted lasts for one lease.
#[test]
fn ended_holder_awaited() {
    for entry in [None, Some(OWN_ENTRY.to_owned())] {
        let record = Record { entry, ..expired(Some(0)) };
        assert_eq!(granted(&record, Duration::ZERO), RUN_LEASE);
    }
}

/// Guards against a shard that starts nothing, because its row was damaged.
#[test]
fn grants_are_bounded() {
    let longest = HOLDER_OVERLAP + RUN_LEASE;
    assert_eq!(granted(&expired(Some(u64::MAX)), LEASE_DURATION), longest);
}

/// A holder that may act has something left to grant.
#[test]
fn limit_after_last_call() {
    assert!(GRANT_LIMIT > MAX_RENEWAL_GAP);
}
