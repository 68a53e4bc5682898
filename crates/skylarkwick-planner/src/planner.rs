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

/// A running planner; the lease is released only by [`Planner::stop`].
#[derive(Debug)]
pub struct Planner {
    keep_lease: Arc<AtomicBool>,
    stop: StopSignal,
    duties: Vec<Duty>,
}

impl Planner {
    /// Starts the planner and probe threads.
    ///
    /// # Errors
    ///
    /// Returns the thread that could not be started and the cause.
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

    /// Releases the lease and stops.
    pub fn stop(self) {
        self.shut_down(false);
    }

    /// Stops without releasing the lease, as if the host had failed.
    pub fn abort(self) {
        self.shut_down(true);
    }

    fn shut_down(self, keep_lease: bool) {
        self.keep_lease.store(keep_lease, Ordering::Release);
        self.stop.request();
        for duty in self.duties {
            duty.join();
        }
    }
}
