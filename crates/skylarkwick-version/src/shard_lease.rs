//! Leases on shards: who may acquire one, and how long a holder may continue.
//!
//! A new holder fences every backend server that it reaches before it sends an
//! order there. On the others, what earlier holders have started may run until
//! the leases end that they have granted, see [`GRANT_LIMIT`]; the other
//! durations here only avoid unnecessary takeovers. All observers use the store's
//! clock, which the store sends with each response. See `docs/DESIGN.md`, section
//! "Shards".

use std::time::Duration;

use crate::{
    lease::Incarnation,
    moment::{Moment, millis},
    revision::Revision,
};

/// Time since the last renewal, on the store's clock, after which another process may
/// acquire the shard.
pub const LEASE_DURATION: Duration = Duration::from_millis(2300);
/// Time, counted from when a renewal that was then confirmed was sent, during which no
/// other process can have acquired the shard; shorter than the lease by the allowed
/// difference between clocks.
pub const EXCLUSIVE_WINDOW: Duration = Duration::from_millis(1900);
/// Time for which an observer must have seen the row unchanged before a takeover,
/// so that the holder can renew first when the store recovers from an outage.
pub const MIN_OBSERVATION: Duration = Duration::from_millis(1000);
/// Maximum time between two reads of the row within one observation; after a longer gap
/// the observation starts anew.
const MAX_READ_INTERVAL: Duration = Duration::from_millis(1600);
/// Time after its last confirmed renewal for which a holder continues; after it, the
/// holder stops acting for the shard. The store may be unavailable to every process, and
/// then none can have taken over.
pub const MAX_RENEWAL_GAP: Duration = Duration::from_millis(7400);
/// Time, counted from when a renewal that was then confirmed was sent, at which all leases of
/// runs that the holder grants end, so that the next holder knows when they are over.
pub const GRANT_LIMIT: Duration = Duration::from_millis(7600);
/// Longest time after an acquisition for which an earlier holder may still act: it continues
/// this long after its lease has expired.
pub const HOLDER_OVERLAP: Duration = MAX_RENEWAL_GAP.saturating_sub(LEASE_DURATION);

/// Lease row of a shard, as far as it matters for acquiring the shard: its holder, if any,
/// the time of the last renewal, and until when holders before that one may act and the runs
/// to which they have granted a lease may go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Entry host of the holder; none if the shard was released.
    pub entry: Option<String>,
    /// Incarnation of the holder's process.
    pub incarnation: Incarnation,
    /// Time of the last renewal on the store's clock, in milliseconds.
    pub renewed_ms: u64,
    /// Time on the store's clock, in milliseconds, until which a holder before this one may
    /// act; none if an earlier release has written the row, which does not tell.
    pub earlier_until_ms: Option<u64>,
    /// Time on the store's clock, in milliseconds, at which the leases end that holders before
    /// this one may have granted, by the servers' clocks; none if an earlier release has written
    /// the row, whose holder does not keep to [`GRANT_LIMIT`] either.
    pub granted_until_ms: Option<u64>,
}

/// What earlier holders of a shard, the last one or those before it, may still do after an
/// acquisition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Time for which they may act: at most [`HOLDER_OVERLAP`], and zero if all have certainly
    /// stopped.
    pub overlap: Duration,
    /// Time for which the leases of runs last that they have granted or may still grant, by the
    /// servers' clocks.
    pub granted: Duration,
}

/// What a process does about a shard that it does not hold, see [`decide`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Acquire the shard.
    Acquire(Remainder),
    /// Leave the shard to its holder.
    Wait,
}

impl Record {
    /// Returns what holders before the one in the row may still do. `run_lease` is the lease of
    /// a run.
    ///
    /// Without the times in the row, its holder may have taken over as late as with its last
    /// renewal, and those before it have granted as long as they could act.
    fn earlier(&self, now_ms: u64, run_lease: Duration) -> Remainder {
        let time_left = |until_ms: u64| Duration::from_millis(until_ms.saturating_sub(now_ms));
        let until_ms = self
            .earlier_until_ms
            .unwrap_or_else(|| self.renewed_ms.saturating_add(millis(HOLDER_OVERLAP)));
        let overlap = time_left(until_ms).min(HOLDER_OVERLAP);
        let unlimited = overlap + run_lease;
        let granted = self.granted_until_ms.map_or(unlimited, time_left);
        Remainder { overlap, granted: granted.min(HOLDER_OVERLAP + run_lease) }
    }

    /// Returns what the holder in the row may still do, which has not renewed the lease for
    /// longer than [`LEASE_DURATION`]. `unchanged` is the time since an observer has read the row
    /// first, which the holder's last renewal can't be later than.
    fn last(&self, unchanged: Duration, run_lease: Duration) -> Remainder {
        let unlimited = HOLDER_OVERLAP + run_lease;
        let granted = match self.granted_until_ms {
            Some(_) => GRANT_LIMIT.saturating_sub(unchanged).min(unlimited),
            None => unlimited,
        };
        Remainder { overlap: HOLDER_OVERLAP, granted }
    }
}

impl Remainder {
    /// Returns what remains of a holder that has ended: the leases that it has granted.
    fn ended(run_lease: Duration) -> Remainder {
        Remainder { overlap: Duration::ZERO, granted: run_lease }
    }

    /// Returns what several holders may still do.
    fn or(self, other: Remainder) -> Remainder {
        Remainder {
            overlap: self.overlap.max(other.overlap),
            granted: self.granted.max(other.granted),
        }
    }
}

/// Consecutive reads of a shard's row at the same revision: that revision and the times
/// of the first and last read, on the observer's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    revision: Revision,
    first_read: Moment,
    last_read: Moment,
}

impl Observation {
    /// Records a read of the row; a new revision, or more than `MAX_READ_INTERVAL` since
    /// the last read, starts a new observation.
    pub fn update(self, revision: Revision, now: Moment) -> Observation {
        let is_continued =
            revision == self.revision && now.since(self.last_read) <= MAX_READ_INTERVAL;
        Observation {
            revision,
            first_read: if is_continued { self.first_read } else { now },
            last_read: now,
        }
    }

    /// Returns the time from the first read to the last one.
    pub fn duration(self) -> Duration {
        self.last_read.since(self.first_read)
    }
}

/// Decides what a process does about a shard that it does not hold. It takes over from
/// another entry host only after [`LEASE_DURATION`] without a renewal and
/// [`MIN_OBSERVATION`] of an unchanged row. A holder on its own entry host was an earlier
/// process there and has ended, or was this process, whose write was applied although the
/// answer was lost; the holders before it may still act.
///
/// `record` is the row, or none if it was never written. `own_entry` is the entry
/// host of this process, `now_ms` the store's clock in milliseconds, and `run_lease` the lease
/// that holders grant to runs.
pub fn decide(
    record: Option<&Record>,
    observation: Observation,
    own_entry: &str,
    now_ms: u64,
    run_lease: Duration,
) -> Decision {
    let Some(record) = record else {
        return Decision::Acquire(Remainder::default());
    };
    let since_renewal = Duration::from_millis(now_ms.saturating_sub(record.renewed_ms));
    let earlier = record.earlier(now_ms, run_lease);
    match &record.entry {
        None => Decision::Acquire(earlier.or(Remainder::ended(run_lease))),
        Some(entry) if entry == own_entry => {
            Decision::Acquire(earlier.or(Remainder::ended(run_lease)))
        }
        Some(_) if since_renewal >= LEASE_DURATION && observation.duration() >= MIN_OBSERVATION => {
            Decision::Acquire(earlier.or(record.last(observation.duration(), run_lease)))
        }
        Some(_) => Decision::Wait,
    }
}
