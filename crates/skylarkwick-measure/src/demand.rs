//! The brief's demand for one pool, in virtual time.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkwick_version::moment::Moment;

/// A pool under the brief's demand.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Site {
    pub(crate) name: &'static str,
    pub(crate) hosts: u32,
    pub(crate) slots: u32,
    pub(crate) run_time: Duration,
    /// Demand during a burst, over what the pool holds.
    pub(crate) burst_load: f64,
}

/// The pool of each site that bursts most.
pub(crate) const SITES: [Site; 2] = [
    Site {
        name: "pamet",
        hosts: 12,
        slots: 8,
        run_time: Duration::from_millis(60),
        burst_load: 1.2,
    },
    Site {
        name: "caroni",
        hosts: 9,
        slots: 8,
        run_time: Duration::from_millis(30),
        burst_load: 1.1,
    },
];

/// Length of a burst.
const BURST: Duration = Duration::from_secs(4);
/// Time from one burst to the next: the service's turn among five.
const PERIOD: Duration = Duration::from_secs(20);
/// Virtual time of a run.
const TIME: Duration = Duration::from_secs(200);
/// Demand during a burst, over the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, over the mean.
const QUIET_FACTOR: f64 = 0.05;
/// Share of stragglers.
const STRAGGLERS: f64 = 0.02;
/// Run time of a straggler, over the mean of other work.
const STRAGGLER_FACTOR: f64 = 50.0;
/// Share of stragglers that come under the name of short work.
const HIDDEN: f64 = 0.1;

/// A piece of work.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) arrives: Moment,
    pub(crate) run_time: Duration,
    pub(crate) is_straggler: bool,
    /// The kind that the caller names.
    pub(crate) kind: &'static str,
}

/// Returns the work of one run, in the order of arrival.
pub(crate) fn jobs(site: &Site, seed: u64) -> Vec<Job> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mean = site.run_time.as_secs_f64() * (1.0 - STRAGGLERS + STRAGGLERS * STRAGGLER_FACTOR);
    let burst_rate = site.burst_load * f64::from(site.hosts * site.slots) / mean;
    let mut jobs = Vec::new();
    let mut at = Duration::ZERO;
    while at < TIME {
        let is_burst = at.as_secs_f64() % PERIOD.as_secs_f64() < BURST.as_secs_f64();
        let factor = if is_burst { 1.0 } else { QUIET_FACTOR / BURST_FACTOR };
        let gap = -f64::ln(1.0 - random.random::<f64>()) / (burst_rate * factor);
        at += Duration::from_secs_f64(gap.min(0.25));
        jobs.push(job(site, at, &mut random));
    }
    jobs
}

fn job(site: &Site, at: Duration, random: &mut Pcg64Mcg) -> Job {
    let is_straggler = random.random_bool(STRAGGLERS);
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    let is_named = is_straggler && !random.random_bool(HIDDEN);
    Job {
        arrives: Moment::from_start(at),
        run_time: site.run_time.mul_f64(factor * random.random_range(0.5..1.5)),
        is_straggler,
        kind: if is_named { "long" } else { "short" },
    }
}
