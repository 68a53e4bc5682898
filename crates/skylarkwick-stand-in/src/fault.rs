//! Fault injection for the fake platform.

use std::{
    collections::BTreeSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use skylarkwick_version::name;

/// Faults injected into the platform: outage, delay, lost answers, data centres that
/// are cut off, and a host list that is not updated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every request is answered with status 503.
    pub is_unavailable: bool,
    /// Delay before each table request is processed.
    pub request_delay: Duration,
    /// Every n-th accepted transaction takes effect but gets an empty answer; 0
    /// disables this.
    pub lost_answer_every: u64,
    /// Data centres whose requests to the platform are answered with status 503.
    pub cut_off: BTreeSet<name::DataCentre>,
    /// The published list of hosts no longer follows changes.
    pub is_host_list_frozen: bool,
}

/// Shared handle to the faults injected into the platform; faults can change while
/// requests are served.
#[derive(Clone, Debug, Default)]
pub struct Switches {
    faults: Arc<Mutex<Faults>>,
}

impl Switches {
    /// Returns a copy of the current faults.
    pub fn get(&self) -> Faults {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies a change to the current faults.
    pub fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.faults.lock().unwrap_or_else(PoisonError::into_inner));
    }
}
