//! Records the runs that the fake backend servers executed.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use skylarkwick_version::name;

/// A run of one attempt at a task on a backend server: the host, the service, the
/// payload, when it started, and whether it has finished or was interrupted.
#[derive(Clone, Debug)]
pub struct Run {
    /// The host that executed the run.
    pub host: name::Host,
    /// The service that the task belongs to.
    pub service: String,
    /// The payload of the task body, which identifies the task.
    pub payload: String,
    /// When the run started.
    pub started: Instant,
    /// Whether the run ended without interruption, successfully or not.
    pub is_finished: bool,
    /// Whether a reboot of the host interrupted the run.
    pub is_interrupted: bool,
}

/// Record of every run, shared by the workers of a site; nothing is removed from it.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    state: Arc<Mutex<State>>,
}

/// The runs, the running tasks of each host by service, and what was derived from them
/// when each run started.
#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    /// Number of running tasks of each service on each host.
    running: BTreeMap<name::Host, BTreeMap<String, u32>>,
    two_pool_hosts: BTreeSet<name::Host>,
    /// When each host that is leaving started to leave.
    leaving_since: BTreeMap<name::Host, Instant>,
    max_start_delay_after_leaving: Duration,
}

/// Index of a run in the ledger, returned by [`Ledger::record_start`].
#[derive(Clone, Copy, Debug)]
pub struct RunIndex(usize);

impl Ledger {
    /// Records the start of a run now; also records if the host runs tasks of another
    /// service, and the time since the host started to leave if it is leaving.
    pub fn record_start(&self, host: &name::Host, service: &str, payload: &str) -> RunIndex {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *state;
        let now = Instant::now();
        if let Some(since) = state.leaving_since.get(host) {
            let delay = now.saturating_duration_since(*since);
            state.max_start_delay_after_leaving = state.max_start_delay_after_leaving.max(delay);
        }
        let running = state.running.entry(host.clone()).or_default();
        *running.entry(service.to_owned()).or_default() += 1;
        if running.len() > 1 {
            state.two_pool_hosts.insert(host.clone());
        }
        state.runs.push(Run {
            host: host.clone(),
            service: service.to_owned(),
            payload: payload.to_owned(),
            started: now,
            is_finished: false,
            is_interrupted: false,
        });
        RunIndex(state.runs.len() - 1)
    }

    /// Records that a run ended; `is_interrupted` means that a reboot of its host cut
    /// it off.
    pub fn record_finish(&self, index: RunIndex, is_interrupted: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let state = &mut *state;
        let Some(run) = state.runs.get_mut(index.0) else { return };
        run.is_finished = !is_interrupted;
        run.is_interrupted = is_interrupted;
        let Some(running) = state.running.get_mut(&run.host) else { return };
        if let Some(count) = running.get_mut(&run.service) {
            *count -= 1;
        }
        running.retain(|_, count| *count > 0);
    }

    /// Records that a host started to leave now, or is active again if `is_leaving` is
    /// false.
    pub fn record_leaving(&self, host: &name::Host, is_leaving: bool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match is_leaving {
            true => state.leaving_since.insert(host.clone(), Instant::now()),
            false => state.leaving_since.remove(host),
        };
    }

    /// Returns all runs recorded so far, in the order in which they started.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).runs.clone()
    }

    /// Returns the hosts that ran tasks of more than one service at the same time, at
    /// any time so far.
    pub fn two_pool_hosts(&self) -> BTreeSet<name::Host> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).two_pool_hosts.clone()
    }

    /// Returns the longest time between the moment a host started to leave and a
    /// later start of a run on it; zero if there was none.
    pub fn max_start_delay_after_leaving(&self) -> Duration {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).max_start_delay_after_leaving
    }
}
