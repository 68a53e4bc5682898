//! Fault switches of the stand-ins.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_version::name;

/// Faults of the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The platform answers nothing but errors.
    pub is_unavailable: bool,
    /// Time that every answer is delayed.
    pub answer_delay: Duration,
    /// Every how many-th accepted transaction loses its answer; 0 for none.
    pub lost_answer_every: u64,
    /// Data centres that can't reach the platform.
    pub cut_off: BTreeSet<name::DataCentre>,
    /// Whether the list of hosts is frozen as it was.
    pub is_host_list_frozen: bool,
}

/// Fault switches that can be thrown while the stand-in runs.
#[derive(Clone, Debug, Default)]
pub struct Switches {
    faults: Arc<Mutex<Faults>>,
}

impl Switches {
    /// Returns the faults in force.
    pub fn get(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Changes the faults in force.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
