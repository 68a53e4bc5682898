//! A holder that is lost together with a backend server, both for good.

use std::{sync::Arc, time::Duration};

use skylarkwick_planner::jobs::{Config, timings};
use skylarkwick_version::{
    lease::Incarnation,
    moment::Moment,
    revision::Revision,
    shard_lease::{
        Decision, GRANT_LIMIT, HOLDER_OVERLAP, LEASE_DURATION, Observation, Record, Remainder,
        decide,
    },
};

/// Longest time without a run of a long-running task, beside its start: it is due 6 s after its
/// last run, and 3 s later it counts as lost.
const MAX_TIME_WITHOUT_RUN: Duration = Duration::from_millis(6000 + 3000);
/// Time between two reads of the leases by a process that competes for them.
const READ_PERIOD: Duration = Duration::from_millis(400);
/// Time for the next decision, the write of the job and its start.
const REACTION: Duration = Duration::from_millis(300);

fn config(max_run_lease: Duration) -> Config {
    Config {
        entry: Arc::from("entry-1"),
        cores: 1.0,
        max_run_lease,
        handover_delay: Duration::from_secs(3),
        outage_threshold: Duration::from_secs(4),
        maintenance_duration: Duration::from_secs(2),
        result_retention: Duration::from_secs(120),
        memory_bytes: 260 << 20,
    }
}

/// Returns the time from the last renewal until the next holder gives the runs up: the row was
/// read first as late as possible after it, and again each `READ_PERIOD`.
fn time_until_given_up(config: &Config) -> Duration {
    let record = Record {
        entry: Some("entry-2".to_owned()),
        incarnation: Incarnation(1),
        renewed_ms: 0,
        earlier_until_ms: Some(0),
        granted_until_ms: Some(0),
    };
    let mut elapsed = READ_PERIOD;
    let mut observation = Observation::default();
    loop {
        observation = observation.update(Revision(1), Moment::from_start(elapsed));
        let now_ms = u64::try_from(elapsed.as_millis()).unwrap();
        let (own, run_lease) = (&*config.entry, config.run_lease());
        if let Decision::Acquire(earlier) =
            decide(Some(&record), observation, own, now_ms, run_lease)
        {
            assert!(elapsed < LEASE_DURATION + READ_PERIOD);
            return elapsed + timings(config, earlier).takeover_grace;
        }
        elapsed += READ_PERIOD;
    }
}

/// Guards against LOST: long-running tasks stood still for 12 s and more, because the next holder
/// waited for more than the earlier one can have granted.
#[test]
fn lost_together() {
    for max_run_lease in [Duration::from_secs(6), Duration::from_secs(10)] {
        let time_without_run = time_until_given_up(&config(max_run_lease)) + REACTION;
        assert!(time_without_run <= MAX_TIME_WITHOUT_RUN, "{time_without_run:?}");
    }
}

/// Guards against TWICE: a call by the clock of an earlier incarnation gets the longest lease from
/// when it is carried out, which a holder may do as long as it acts.
#[test]
fn unknown_lease_awaited() {
    for max_run_lease in [Duration::from_secs(6), Duration::from_secs(10)] {
        for overlap in [Duration::ZERO, HOLDER_OVERLAP] {
            let granted = GRANT_LIMIT.saturating_sub(LEASE_DURATION);
            let timings = timings(&config(max_run_lease), Remainder { overlap, granted });
            assert!(timings.longest_grace > overlap + max_run_lease, "{timings:?}");
            assert!(timings.longest_grace >= timings.takeover_grace, "{timings:?}");
        }
    }
}
