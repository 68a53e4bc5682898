//! Ownership of hosts by pools.
//!
//! At most one pool owns a host at any time. A host moves from pool A to pool B
//! through `active(A, e)` -> `leaving(A, e+1)` -> `free(e+1)` -> `active(B, e+2)`,
//! where `e` is its epoch. It leaves `leaving` only after it has acknowledged
//! that it rejects epochs below `e+1` and runs no task. An entry host with a
//! stale view therefore cannot start tasks on it, and no clock is trusted. See
//! `docs/DESIGN.md`, section "Hosts".

use crate::name;

/// Number that increases when a host joins or rejoins a pool and when it starts to leave
/// one. Tasks are sent with the epoch that the sender knows, and a host rejects those of
/// epochs below the highest that it has accepted or was fenced at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
    fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// Why a host is leaving its pool: for another pool, for an operator's drain, or for
/// maintenance in a wave.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The host is withdrawn for another pool that lacks hosts; it becomes free.
    Move,
    /// An operator drains the host; it becomes free and is not assigned again until it
    /// is undrained.
    Drain,
    /// A wave maintains the host, which then returns to its pool.
    Wave(name::Wave),
}

/// Phase of a host's ownership: free, active in a pool, leaving it, or under maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// No pool owns the host.
    Free,
    /// The host accepts tasks of a pool.
    Active {
        /// The owning pool.
        pool: name::Pool,
    },
    /// The host finishes the tasks of a pool and accepts no new ones.
    Leaving {
        /// The owning pool.
        pool: name::Pool,
        /// Why the host leaves.
        cause: Cause,
    },
    /// A wave reboots the host, which then returns to its pool.
    Maintenance {
        /// The owning pool, to which the host returns.
        pool: name::Pool,
        /// The wave that maintains the host.
        wave: name::Wave,
        /// Boot count of the host before its reboot was requested.
        boot: u64,
    },
}

/// Ownership row of a host: its epoch and phase.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// Current epoch.
    pub epoch: Epoch,
    /// Current phase.
    pub phase: Phase,
}

/// State that a host reports about itself: the epoch that it accepts, its number of
/// running tasks and its number of boots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// Lowest epoch whose tasks the host accepts.
    pub epoch: Epoch,
    /// Number of running tasks.
    pub running: u32,
    /// Number of times that the host has booted, to tell whether it has rebooted.
    pub boot: u64,
}

/// Safety checks of the ownership protocol.
///
/// The model checker disables each check in turn, to show that the protocol is
/// unsafe without it.
pub trait Checks {
    /// Whether a leaving host is released only after its own acknowledgement.
    const NEEDS_ACKNOWLEDGEMENT: bool;
}

/// Every check of [`Checks`] enabled, as in production.
#[derive(Clone, Copy, Debug)]
pub struct AllChecks;

impl Checks for AllChecks {
    const NEEDS_ACKNOWLEDGEMENT: bool = true;
}

impl Ownership {
    /// Ownership of a newly listed host: free, in epoch 0.
    pub const NEW: Ownership = Ownership { epoch: Epoch(0), phase: Phase::Free };

    /// Returns the pool that owns the host, in any phase; none if the host is free.
    pub fn pool(&self) -> Option<&name::Pool> {
        match &self.phase {
            Phase::Free => None,
            Phase::Active { pool }
            | Phase::Leaving { pool, .. }
            | Phase::Maintenance { pool, .. } => Some(pool),
        }
    }

    /// Returns whether the host accepts tasks of `pool`: it is active in that pool and not
    /// leaving it.
    pub fn serves(&self, pool: &name::Pool) -> bool {
        matches!(&self.phase, Phase::Active { pool: owner } if owner == pool)
    }

    /// Returns the next row, which assigns a free host to a pool in a new epoch; none in
    /// any other phase.
    pub fn assign(&self, pool: &name::Pool) -> Option<Ownership> {
        match self.phase {
            Phase::Free => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Active { pool: pool.clone() },
            }),
            _ => None,
        }
    }

    /// Returns the next row, in which an active host starts to leave its pool in a new
    /// epoch; none in any other phase.
    pub fn begin_leave(&self, cause: Cause) -> Option<Ownership> {
        match &self.phase {
            Phase::Active { pool } => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Leaving { pool: pool.clone(), cause },
            }),
            _ => None,
        }
    }

    /// Returns the next row of a leaving host that has acknowledged the epoch and runs no
    /// task; the epoch stays.
    ///
    /// A move or a drain frees the host; a wave starts its maintenance. Returns none if
    /// the host is not leaving or `report` does not confirm that it may leave.
    pub fn finish_leave<C: Checks>(&self, report: Option<Report>) -> Option<Ownership> {
        let (Phase::Leaving { pool, cause }, epoch) = (&self.phase, self.epoch) else {
            return None;
        };
        let boot = match report {
            Some(report) if report.epoch >= epoch && report.running == 0 => report.boot,
            _ if !C::NEEDS_ACKNOWLEDGEMENT => 0,
            _ => return None,
        };
        let phase = match cause {
            Cause::Move | Cause::Drain => Phase::Free,
            Cause::Wave(wave) => {
                Phase::Maintenance { pool: pool.clone(), wave: wave.clone(), boot }
            }
        };
        Some(Ownership { epoch, phase })
    }

    /// Returns the next row, which returns a host under maintenance to its pool in a new
    /// epoch; none in any other phase or until `report` shows that it has rebooted.
    pub fn finish_maintenance(&self, report: Report) -> Option<Ownership> {
        match &self.phase {
            Phase::Maintenance { pool, boot, .. } if report.boot > *boot => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Active { pool: pool.clone() },
            }),
            _ => None,
        }
    }
}
