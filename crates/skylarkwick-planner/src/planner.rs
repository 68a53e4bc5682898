//! Starts and stops the threads of a planner.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use skylarkwick_connection::{backend::http::Backend, platform::http::Platform};
use skylarkwick_process::{
    clock::Monotonic,
    duty::{Duty, StopSignal},
    program::StartError,
    ring,
    settings::process::Settings,
};
use skylarkwick_version::lease::Incarnation;
use slog::Logger;

use crate::{leases::LeaseTracker, probe, round};

/// Handle of the running planner and probe threads of an entry host. Dropping it stops
/// neither of them; only [`Planner::stop`] releases the lease.
#[derive(Debug)]
pub struct Planner {
    /// Whether the planner thread leaves its lease to expire when it stops.
    keep_lease: Arc<AtomicBool>,
    stop: StopSignal,
    duties: Vec<Duty>,
}

impl Planner {
    /// Starts the planner and probe threads with a new incarnation. They run until
    /// [`Planner::stop`] or [`Planner::abort`].
    ///
    /// # Errors
    ///
    /// Returns an error that names the thread that could not be started, and why. The other
    /// thread is not stopped if it has started.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Planner, StartError> {
        let site = &settings.site;
        let Some(host) = site.entries.get(&settings.entry) else {
            unreachable!("settings name an entry host of their site");
        };
        let start_error =
            |part| move |error| StartError::new("planner", &settings.entry, part, error);
        let stop = StopSignal::default();
        let keep_lease = Arc::new(AtomicBool::new(false));
        let clock = Monotonic::default();
        let (targets, target_input) = ring::bounded(1);
        let (result_output, probe_results) = ring::bounded(1);
        let incarnation = Incarnation(rand::random());
        let duty = round::PlannerDuty {
            platform: Platform::new(site.platform, host.data_centre.clone()),
            clock,
            data_centre: host.data_centre.clone(),
            data_centres: site.data_centres(),
            leases: LeaseTracker::new(incarnation, settings.entry.clone(), &host.data_centre),
            targets,
            probe_results,
            keep_lease: Arc::clone(&keep_lease),
            log: log.new(slog::o!("planner" => settings.entry.to_string())),
        };
        let planner_stop = stop.clone();
        let planner_duty = Duty::spawn("planner", move || duty.run(&planner_stop));
        let probe_stop = stop.clone();
        let probe_duty = Duty::spawn("probe", move || {
            probe::run(&Backend::default(), &clock, &target_input, &result_output, &probe_stop);
        });
        let duties = vec![
            planner_duty.map_err(start_error("rounds"))?,
            probe_duty.map_err(start_error("probe"))?,
        ];
        Ok(Planner { keep_lease, stop, duties })
    }

    /// Stops the threads, releases the lease if it is held, and blocks until both
    /// threads have ended.
    pub fn stop(self) {
        self.shut_down(false);
    }

    /// Stops the threads without releasing the lease, as if the host had failed, and
    /// blocks until both have ended. Another planner takes over when the lease expires.
    pub fn abort(self) {
        self.shut_down(true);
    }

    /// Requests the stop and blocks until both threads have ended; the lease is left to
    /// expire if `keep_lease` is set and released otherwise.
    fn shut_down(self, keep_lease: bool) {
        self.keep_lease.store(keep_lease, Ordering::Release);
        self.stop.request();
        for duty in self.duties {
            duty.join();
        }
    }
}
