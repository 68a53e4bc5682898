//! The ownership of a host, which moves between pools through epochs.
//!
//! A host belongs to one pool at any moment. It moves `active(A, e)` ->
//! `leaving(A, e+1)` -> `free(e+1)` -> `active(B, e+2)`. The step out of
//! `leaving` needs the word of the host itself that it refuses every epoch below
//! `e+1` and runs no task, so that an entry host with an old view can do no
//! harm and no clock is trusted. See `docs/DESIGN.md`, section "Hosts".

use crate::name;

/// Number that grows with every change of ownership of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

impl Epoch {
    fn next(self) -> Epoch {
        Epoch(self.0 + 1)
    }
}

/// Why a host is leaving its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Cause {
    /// The host moves to where it is needed more.
    Move,
    /// The host is drained on an operator's word.
    Drain,
    /// The host is maintained in a wave and then returns to its pool.
    Wave(name::Wave),
}

/// Phase of a host's ownership.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Owned by no pool.
    Free,
    /// Serves a pool.
    Active {
        /// The owner.
        pool: name::Pool,
    },
    /// Finishes the work of a pool and takes no more.
    Leaving {
        /// The owner.
        pool: name::Pool,
        /// Why it leaves.
        cause: Cause,
    },
    /// Is rebooted in a wave; the pool gets it back.
    Maintenance {
        /// The pool that the host returns to.
        pool: name::Pool,
        /// The wave that maintains it.
        wave: name::Wave,
        /// The host's boot number before its reboot was asked for.
        boot: u64,
    },
}

/// Ownership of one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    /// Number of changes of ownership so far.
    pub epoch: Epoch,
    /// The current phase.
    pub phase: Phase,
}

/// What a host said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Report {
    /// The lowest epoch whose work the host still accepts.
    pub epoch: Epoch,
    /// Tasks in progress.
    pub running: u32,
    /// How often the host has booted.
    pub boot: u64,
}

/// Guards of the protocol, so that the model checker can show what each is for.
pub trait Checks {
    /// Whether a leaving host is let go only on its own word.
    const NEEDS_ACKNOWLEDGEMENT: bool;
}

/// The guards of the product.
#[derive(Clone, Copy, Debug)]
pub struct AllChecks;

impl Checks for AllChecks {
    const NEEDS_ACKNOWLEDGEMENT: bool = true;
}

impl Ownership {
    /// A host that was just listed.
    pub const NEW: Ownership = Ownership { epoch: Epoch(0), phase: Phase::Free };

    /// Returns the pool that owns the host.
    pub fn pool(&self) -> Option<&name::Pool> {
        match &self.phase {
            Phase::Free => None,
            Phase::Active { pool }
            | Phase::Leaving { pool, .. }
            | Phase::Maintenance { pool, .. } => Some(pool),
        }
    }

    /// Tells whether the host takes work of `pool`.
    pub fn serves(&self, pool: &name::Pool) -> bool {
        matches!(&self.phase, Phase::Active { pool: owner } if owner == pool)
    }

    /// Gives a free host to a pool.
    pub fn assign(&self, pool: &name::Pool) -> Option<Ownership> {
        match self.phase {
            Phase::Free => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Active { pool: pool.clone() },
            }),
            _ => None,
        }
    }

    /// Starts to take an active host out of its pool.
    pub fn begin_leave(&self, cause: Cause) -> Option<Ownership> {
        match &self.phase {
            Phase::Active { pool } => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Leaving { pool: pool.clone(), cause },
            }),
            _ => None,
        }
    }

    /// Ends the departure of a host that has acknowledged it and runs no task.
    ///
    /// A move or a drain frees the host; a wave starts its reboot.
    pub fn finish_leave<G: Checks>(&self, said: Option<Report>) -> Option<Ownership> {
        let (Phase::Leaving { pool, cause }, epoch) = (&self.phase, self.epoch) else {
            return None;
        };
        let boot = match said {
            Some(said) if said.epoch >= epoch && said.running == 0 => said.boot,
            _ if !G::NEEDS_ACKNOWLEDGEMENT => 0,
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

    /// Returns a maintained host, which has booted again, to its pool.
    pub fn finish_maintenance(&self, said: Report) -> Option<Ownership> {
        match &self.phase {
            Phase::Maintenance { pool, boot, .. } if said.boot > *boot => Some(Ownership {
                epoch: self.epoch.next(),
                phase: Phase::Active { pool: pool.clone() },
            }),
            _ => None,
        }
    }
}
