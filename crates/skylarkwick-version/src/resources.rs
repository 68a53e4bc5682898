//! Compute resources: processors, memory and accelerators.

use std::ops::{Add, Sub};

/// Resources that a host provides or a task reserves.
///
/// Addition and subtraction work on each component and saturate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Resources {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators; they are not shared.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether every component is at most that of `available`.
    pub fn fits_within(&self, available: &Resources) -> bool {
        self.millicores <= available.millicores
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }
}

impl Resources {
    /// Returns the components: processor time, memory and accelerators.
    pub const fn components(&self) -> [u64; 3] {
        [self.millicores, self.memory_mib, self.accelerators]
    }

    /// Creates resources from their components.
    pub const fn from_components(components: [u64; 3]) -> Resources {
        let [millicores, memory_mib, accelerators] = components;
        Resources { millicores, memory_mib, accelerators }
    }

    /// Returns this many times the resources, at most `u64::MAX` of each.
    #[must_use]
    pub fn times(&self, count: u64) -> Resources {
        Resources::from_components(self.components().map(|each| each.saturating_mul(count)))
    }

    /// Returns the larger of each component.
    #[must_use]
    pub fn max_each(&self, other: &Resources) -> Resources {
        Resources {
            millicores: self.millicores.max(other.millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns how many times times these resources fit within `host` together; `None` if nothing is
    /// required.
    pub fn count_within(&self, host: &Resources) -> Option<u64> {
        let components = [
            (host.millicores, self.millicores),
            (host.memory_mib, self.memory_mib),
            (host.accelerators, self.accelerators),
        ];
        components.into_iter().filter_map(|(all, each)| all.checked_div(each)).min()
    }
}

impl Add for Resources {
    type Output = Resources;

    fn add(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Sub for Resources {
    type Output = Resources;

    fn sub(self, other: Resources) -> Resources {
        Resources {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
