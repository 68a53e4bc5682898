//! Leases on shards of the control plane, held by planners.
//!
//! The lease row names the holder's incarnation and a fencing token. The holder
//! renews the row; another planner takes the shard over after it has seen the
//! row unchanged for longer than the lease, on its own clock. Every write for the
//! shard is conditional on the revision of the lease row, so the platform rejects
//! late writes of a holder that was paused past its lease. No clock of another
//! host is trusted. See `docs/DESIGN.md`, section "Leases".

use std::{fmt, time::Duration};

use crate::{moment::Moment, name, revision::Revision};

/// Random identifier of a process from its start to its end; a restart gets a new one.
/// Printed as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number that increases whenever a lease gets a new holder, so that a write or an
/// order of an earlier holder can be told from one of the current holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// Row of a lease: its holder, if any, and fencing token. It contains no time: observers
/// see from a change of its revision that it was renewed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// Incarnation of the holder; none if the lease was released.
    pub holder: Option<Incarnation>,
    /// Entry host of the holder; informational.
    pub entry: Option<name::Entry>,
    /// Fencing token of the holder; it stays when the lease is released.
    pub fencing_token: FencingToken,
}

/// Last observed revision of a lease row, and since when it has been the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Revision of the row when it was last read.
    pub revision: Revision,
    /// Time at which that revision was first read, on the observer's clock.
    pub first_seen: Moment,
}

impl Observation {
    /// Records a read of the row; a new revision restarts the observation.
    pub fn update(self, revision: Revision, now: Moment) -> Observation {
        match revision == self.revision {
            true => self,
            false => Observation { revision, first_seen: now },
        }
    }

    /// Returns whether the row has been unchanged for longer than `lease_duration` since
    /// its revision was first read.
    pub fn has_lapsed(&self, lease_duration: Duration, now: Moment) -> bool {
        now.since(self.first_seen) > lease_duration
    }
}

/// Next action of a process on a lease, see [`Lease::next_action`]: write a row, which
/// renews or acquires it, or wait.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Renew or acquire the lease: write this row, only if the current one is unchanged
    /// since it was read.
    Write(Lease),
    /// Write nothing: another process holds the lease or should acquire it.
    Wait,
}

impl Lease {
    /// Lease that was never held: no holder, no entry host, and fencing token 0.
    pub const VACANT: Lease = Lease { holder: None, entry: None, fencing_token: FencingToken(0) };

    /// Decides whether process `own` on entry host `entry` renews or acquires the lease,
    /// or waits. Acquiring increments the fencing token; a renewal writes the same row.
    ///
    /// `has_lapsed` is whether the row was observed unchanged for the lease's duration.
    /// `is_preferred` is false if another live process should hold the shard; the
    /// process then acquires the lease only once it has lapsed.
    pub fn next_action(
        &self,
        own: Incarnation,
        entry: &name::Entry,
        has_lapsed: bool,
        is_preferred: bool,
    ) -> Action {
        let acquire = || {
            Action::Write(Lease {
                holder: Some(own),
                entry: Some(entry.clone()),
                fencing_token: FencingToken(self.fencing_token.0 + 1),
            })
        };
        match self.holder {
            Some(holder) if holder == own => Action::Write(self.clone()),
            None if is_preferred || has_lapsed => acquire(),
            Some(_) if has_lapsed => acquire(),
            _ => Action::Wait,
        }
    }

    /// Returns the row that releases the lease, with the fencing token unchanged, or none
    /// if `own` does not hold it.
    pub fn release(&self, own: Incarnation) -> Option<Lease> {
        (self.holder == Some(own)).then_some(Lease {
            holder: None,
            entry: None,
            fencing_token: self.fencing_token,
        })
    }
}
