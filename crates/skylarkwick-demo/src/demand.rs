//! Generates requests. Services take turns: during its turn a service sends five
//! times its mean demand, otherwise a twentieth of it.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkwick_version::document;

/// Duration of one service's burst.
const BURST_DURATION: Duration = Duration::from_secs(2);
/// Demand during a burst, as a multiple of the mean demand.
const BURST_FACTOR: f64 = 5.0;
/// Demand between bursts, as a multiple of the mean demand.
const QUIET_FACTOR: f64 = 0.05;
/// Demand during a burst, as a multiple of the capacity of the pool.
const BURST_LOAD: f64 = 1.1;
/// Share of long-running requests among all requests, from 0 to 1.
const LONG_SHARE: f64 = 0.02;
/// Run time of long-running requests, as a multiple of that of short ones.
const LONG_FACTOR: f64 = 50.0;

/// A request that a caller sends: when, to which service, its kind, run time and
/// payload.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// When to send it, relative to the start of the callers.
    pub(crate) at: Duration,
    /// The document of the service.
    pub(crate) document: Arc<document::Settings>,
    /// The kind of work.
    pub(crate) kind: &'static str,
    /// How long the task runs.
    pub(crate) run_time: Duration,
    /// Identifies the request in the ledger; also its idempotency key.
    pub(crate) payload: String,
}

/// Value of the kind that callers declare for short requests.
pub(crate) const SHORT: &str = "short";
/// Value of the kind that callers declare for long-running requests.
pub(crate) const LONG: &str = "long";

/// Returns all requests to send within `duration`, in sending order. `slots` is the
/// number of task slots of a host.
pub(crate) fn requests(
    documents: &[Arc<document::Settings>],
    slots: u32,
    duration: Duration,
    seed: u64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, document) in documents.iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ ((index as u64 + 1) << 32));
        let mut at = Duration::ZERO;
        let mut number = 0;
        loop {
            let rate = request_rate(document, slots, at, index, documents.len());
            let gap = -f64::ln(1.0 - random.random::<f64>()) / rate;
            at += Duration::from_secs_f64(gap.min(BURST_DURATION.as_secs_f64() / 4.0));
            if at >= duration {
                break;
            }
            let payload = format!("{}-{seed}-{number}", document.service);
            requests.push(new_request(document, at, payload, &mut random));
            number += 1;
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Returns the requests per second of a service at the time `at` after the start.
/// `index` is the position of the service in the order of bursts, and `services` their
/// number.
fn request_rate(
    document: &document::Settings,
    slots: u32,
    at: Duration,
    index: usize,
    services: usize,
) -> f64 {
    let mean_run_time =
        document.work.run_time.as_secs_f64() * (1.0 - LONG_SHARE + LONG_SHARE * LONG_FACTOR);
    let capacity = f64::from(document.hosts * slots) / mean_run_time;
    let mean = BURST_LOAD * capacity / BURST_FACTOR;
    let current = (at.as_secs_f64() / BURST_DURATION.as_secs_f64()) as usize % services;
    mean * if current == index { BURST_FACTOR } else { QUIET_FACTOR }
}

/// Returns a request that is sent at `at`, with a random kind and run time.
fn new_request(
    document: &Arc<document::Settings>,
    at: Duration,
    payload: String,
    random: &mut Pcg64Mcg,
) -> Request {
    let is_long = random.random_bool(LONG_SHARE);
    let factor = if is_long { LONG_FACTOR } else { 1.0 };
    Request {
        at,
        document: Arc::clone(document),
        kind: if is_long { LONG } else { SHORT },
        run_time: document.work.run_time.mul_f64(factor * random.random_range(0.5..1.5)),
        payload,
    }
}
