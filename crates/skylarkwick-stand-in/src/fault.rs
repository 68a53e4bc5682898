//! Fault injection for the fake platform.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_version::name;

/// Faults injected into the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request fails.
    pub is_unavailable: bool,
    /// Delay before each table request is processed.
    pub request_delay: Duration,
    /// Every n-th accepted transaction loses its answer; 0 disables this.
    pub lost_answer_every: u64,
    /// Data centres whose requests to the platform fail.
    pub cut_off: BTreeSet<name::DataCentre>,
    /// The published list of hosts no longer follows changes.
    pub is_host_list_frozen: bool,
}

/// Shared handle to the injected faults; faults can change while requests are served.
#[derive(Clone, Debug, Default)]
pub struct Switches {
    faults: Arc<Mutex<Faults>>,
}

impl Switches {
    /// Returns the current faults.
    pub fn get(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies a change to the current faults.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
