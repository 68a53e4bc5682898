//! Amounts of processors, memory and accelerators.

use std::ops::{Add, Sub};

/// What a host offers or a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Quantity {
    /// Thousandths of a processor core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Quantity {
    /// Tells whether every part of `self` is at most that of `room`.
    pub fn fits(&self, room: &Quantity) -> bool {
        self.millicores <= room.millicores
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }
}

impl Add for Quantity {
    type Output = Quantity;

    fn add(self, other: Quantity) -> Quantity {
        Quantity {
            millicores: self.millicores.saturating_add(other.millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

impl Sub for Quantity {
    type Output = Quantity;

    fn sub(self, other: Quantity) -> Quantity {
        Quantity {
            millicores: self.millicores.saturating_sub(other.millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}
