//! Demand on one pool in virtual time: bursts of short requests with some
//! stragglers among them, as the requirements describe them.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkwick_version::moment::Moment;

/// A pool of one site and the demand on it: hosts, slots, mean run time and load during
/// a burst.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// The site that the pool belongs to.
    pub(crate) name: &'static str,
    /// Number of hosts in the pool.
    pub(crate) hosts: u32,
    /// Tasks that a host runs at once.
    pub(crate) slots: u32,
    /// Mean run time of a request that is no straggler.
    pub(crate) run_time: Duration,
    /// Demand during a burst, as a multiple of the pool's capacity.
    pub(crate) burst_load: f64,
}

/// The pool with the largest bursts at each site.
pub(crate) const SCENARIOS: [Scenario; 2] = [
    Scenario {
        name: "pamet",
        hosts: 12,
        slots: 8,
        run_time: Duration::from_millis(60),
        burst_load: 1.2,
    },
    Scenario {
        name: "caroni",
        hosts: 9,
        slots: 8,
        run_time: Duration::from_millis(30),
        burst_load: 1.1,
    },
];

/// Length of a burst.
const BURST_TIME: Duration = Duration::from_secs(4);
/// Time from the start of one burst to the next; five services burst in turn.
const BURST_PERIOD: Duration = Duration::from_secs(20);
/// Virtual time in which requests arrive.
const ARRIVAL_TIME: Duration = Duration::from_secs(200);
/// Demand during a burst, as a multiple of the mean demand over a burst period.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a multiple of the mean demand over a burst period.
const QUIET_FACTOR: f64 = 0.05;
/// Share of requests, from 0 to 1, that are stragglers, which run much longer than
/// others.
const STRAGGLER_SHARE: f64 = 0.02;
/// Run time of a straggler, as a multiple of the mean of other requests.
const STRAGGLER_FACTOR: f64 = 50.0;
/// Share of stragglers, from 0 to 1, whose callers declare the kind `short`.
const MISLABELLED_SHARE: f64 = 0.1;

/// A generated request: when it arrives, how long it runs, and the kind that its caller
/// declares.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// When it arrives.
    pub(crate) arrives_at: Moment,
    /// How long a worker takes for it.
    pub(crate) run_time: Duration,
    /// Whether it runs much longer than other requests.
    pub(crate) is_straggler: bool,
    /// The kind that its caller declares.
    pub(crate) kind: &'static str,
}

/// Returns the requests of one simulation, in the order of arrival.
pub(crate) fn requests(scenario: &Scenario, seed: u64) -> Vec<Request> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mean = scenario.run_time.as_secs_f64()
        * (1.0 - STRAGGLER_SHARE + STRAGGLER_SHARE * STRAGGLER_FACTOR);
    let burst_rate = scenario.burst_load * f64::from(scenario.hosts * scenario.slots) / mean;
    let mut requests = Vec::new();
    let mut at = Duration::ZERO;
    while at < ARRIVAL_TIME {
        let is_burst = at.as_secs_f64() % BURST_PERIOD.as_secs_f64() < BURST_TIME.as_secs_f64();
        let factor = if is_burst { 1.0 } else { QUIET_FACTOR / BURST_FACTOR };
        let gap = -f64::ln(1.0 - random.random::<f64>()) / (burst_rate * factor);
        at += Duration::from_secs_f64(gap.min(0.25));
        requests.push(request(scenario, at, &mut random));
    }
    requests
}

/// Generates the request that arrives at `at`, with a random run time and kind.
fn request(scenario: &Scenario, at: Duration, random: &mut Pcg64Mcg) -> Request {
    let is_straggler = random.random_bool(STRAGGLER_SHARE);
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    let is_declared_long = is_straggler && !random.random_bool(MISLABELLED_SHARE);
    Request {
        arrives_at: Moment::from_start(at),
        run_time: scenario.run_time.mul_f64(factor * random.random_range(0.5..1.5)),
        is_straggler,
        kind: if is_declared_long { "long" } else { "short" },
    }
}
