//! Leases on shards of control work.
//!
//! A planner holds a shard by a row with its incarnation and a fencing number.
//! The holder renews the row; another planner takes the shard over once it has
//! seen the row unchanged for longer than the lease on its own clock. Every
//! write for the shard carries the row's revision as a condition, so a holder
//! that was paused past its lease has its late writes refused by the platform.
//! No clock of another host is trusted. See `docs/DESIGN.md`, section "Leases".

use std::{fmt, time::Duration};

use crate::{moment::Moment, name, revision::Revision};

/// Identity of one run of a process; a restart gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Number that grows whenever a lease changes hands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lease {
    /// The process that holds the lease, unless it was released.
    pub holder: Option<Incarnation>,
    /// The entry host of the holder, for people.
    pub entry: Option<name::Entry>,
    /// The current fencing number.
    pub fencing_token: FencingToken,
}

/// What a process has seen of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Revision of the row when it was last read.
    pub revision: Revision,
    /// When that revision was first seen.
    pub first_seen: Moment,
}

impl Observation {
    /// Notes a fresh read of the row.
    pub fn update(self, revision: Revision, now: Moment) -> Observation {
        match revision == self.revision {
            true => self,
            false => Observation { revision, first_seen: now },
        }
    }

    /// Tells whether the row has not changed for as long as the lease lasts.
    pub fn has_lapsed(&self, lease: Duration, now: Moment) -> bool {
        now.since(self.first_seen) > lease
    }
}

/// What to do about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write this row, on condition that it has not changed since it was read.
    Write(Lease),
    /// Another process holds the lease.
    Wait,
}

impl Lease {
    /// The row of a lease that nobody has held.
    pub const VACANT: Lease = Lease { holder: None, entry: None, fencing_token: FencingToken(0) };

    /// Decides how the process `me` keeps or takes the lease.
    ///
    /// `is_preferred` is false where another live process should hold the
    /// shard; such a process takes it only after it has lapsed.
    pub fn next_action(
        &self,
        me: Incarnation,
        entry: &name::Entry,
        has_lapsed: bool,
        is_preferred: bool,
    ) -> Action {
        let take = || {
            Action::Write(Lease {
                holder: Some(me),
                entry: Some(entry.clone()),
                fencing_token: FencingToken(self.fencing_token.0 + 1),
            })
        };
        match self.holder {
            Some(holder) if holder == me => Action::Write(self.clone()),
            None if is_preferred || has_lapsed => take(),
            Some(_) if has_lapsed => take(),
            _ => Action::Wait,
        }
    }

    /// Returns the row that gives the lease up, if `me` holds it.
    pub fn release(&self, me: Incarnation) -> Option<Lease> {
        (self.holder == Some(me)).then_some(Lease {
            holder: None,
            entry: None,
            fencing_token: self.fencing_token,
        })
    }
}
