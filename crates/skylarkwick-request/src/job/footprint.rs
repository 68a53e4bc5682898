//! What tasks count for their workspace, and what they take of their hosts. A best-effort task
//! differs in both, so each has a type. See `docs/design/quotas.md` and `docs/design/shares.md`.

use std::ops::{Add, Sub};

use skylarkwick_version::resources::Resources;

use super::Step;

/// What tasks count for the quota of their workspace: all that they request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Charge(Resources);

/// What tasks reserve on their hosts, so that others find no room there. A best-effort task
/// reserves no processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation(Resources);

impl Step {
    /// Returns what one task counts for its workspace.
    pub fn charge(&self) -> Charge {
        Charge(self.resources)
    }

    /// Returns what one task reserves on its host.
    pub fn reservation(&self) -> Reservation {
        match self.is_best_effort {
            true => Reservation(Resources { millicores: 0, ..self.resources }),
            false => Reservation(self.resources),
        }
    }
}

impl Charge {
    /// Returns the resources that are counted.
    pub fn resources(self) -> Resources {
        self.0
    }

    /// Returns what this many tasks count.
    #[must_use]
    pub fn times(self, tasks: u64) -> Charge {
        Charge(self.0.times(tasks))
    }

    /// Returns the larger of each component.
    #[must_use]
    pub fn max_each(self, other: Charge) -> Charge {
        Charge(self.0.max_each(&other.0))
    }
}

impl Reservation {
    /// Returns the resources that are reserved.
    pub fn resources(self) -> Resources {
        self.0
    }

    /// Returns the processor time that is reserved, in thousandths of a core.
    pub fn millicores(self) -> u64 {
        self.0.millicores
    }

    /// Returns what this many tasks reserve.
    #[must_use]
    pub fn times(self, tasks: u64) -> Reservation {
        Reservation(self.0.times(tasks))
    }
}

impl Add for Charge {
    type Output = Charge;

    fn add(self, other: Charge) -> Charge {
        Charge(self.0 + other.0)
    }
}

impl Sub for Charge {
    type Output = Charge;

    fn sub(self, other: Charge) -> Charge {
        Charge(self.0 - other.0)
    }
}

impl Add for Reservation {
    type Output = Reservation;

    fn add(self, other: Reservation) -> Reservation {
        Reservation(self.0 + other.0)
    }
}

impl Sub for Reservation {
    type Output = Reservation;

    fn sub(self, other: Reservation) -> Reservation {
        Reservation(self.0 - other.0)
    }
}
