//! Starts and stops the duties of a planner.

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

use crate::{leases::Leases, probe, round};

/// A running planner.
#[derive(Debug)]
pub struct Planner {
    keeps_lease: Arc<AtomicBool>,
    stop: StopSignal,
    duties: Vec<Duty>,
}

impl Planner {
    /// Starts the duties of a planner.
    ///
    /// # Errors
    ///
    /// Returns which part could not be started, and why.
    pub fn start(settings: &Settings, log: &Logger) -> Result<Planner, StartError> {
        let site = &settings.site;
        let Some(host) = site.entries.get(&settings.entry) else {
            unreachable!("settings name an entry host of their site");
        };
        let fail = |part| move |error| StartError::new("planner", &settings.entry, part, error);
        let stop = StopSignal::default();
        let keeps_lease = Arc::new(AtomicBool::new(false));
        let clock = Monotonic::default();
        let (targets, probe_input) = ring::bounded(1);
        let (probe_output, answers) = ring::bounded(1);
        let incarnation = Incarnation(rand::random());
        let duty = round::Duty {
            platform: Platform::new(site.platform, host.data_centre.clone()),
            clock,
            data_centre: host.data_centre.clone(),
            data_centres: site.data_centres(),
            leases: Leases::new(incarnation, settings.entry.clone(), &host.data_centre),
            targets,
            answers,
            keeps_lease: Arc::clone(&keeps_lease),
            log: log.new(slog::o!("planner" => settings.entry.to_string())),
        };
        let round_stop = stop.clone();
        let round = Duty::spawn("planner", move || duty.run(&round_stop));
        let probe_stop = stop.clone();
        let probe = Duty::spawn("probe", move || {
            probe::run(&Backend::default(), &clock, &probe_input, &probe_output, &probe_stop);
        });
        let duties = vec![round.map_err(fail("rounds"))?, probe.map_err(fail("probe"))?];
        Ok(Planner { keeps_lease, stop, duties })
    }

    /// Gives the lease up and stops.
    pub fn stop(self) {
        self.end(false);
    }

    /// Ends the duties and leaves the lease to lapse, as a lost host would.
    pub fn abort(self) {
        self.end(true);
    }

    fn end(self, keeps_lease: bool) {
        self.keeps_lease.store(keeps_lease, Ordering::Release);
        self.stop.request();
        for duty in self.duties {
            duty.join();
        }
    }
}
