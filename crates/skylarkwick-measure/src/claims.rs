//! Claims written in batches, compared with one write per request.
//!
//! The platform accepts 300 writes per second and responds in 5 ms. Claims arrive
//! at each of six entry hosts as a Poisson process.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rows::{Row, mean, quantile};

/// Number of entry hosts of the site.
const ENTRY_HOSTS: u64 = 6;
/// Writes that the platform accepts per second.
const PLATFORM_WRITES_PER_S: f64 = 300.0;
/// Response time of the platform.
const RESPONSE_TIME: Duration = Duration::from_millis(5);
/// Pause of a writer after each batch, equal to that of the entry host's writer.
const BATCH_PAUSE: Duration = Duration::from_millis(10);
/// Claims, one for each non-repeatable request, that the site has to sustain per
/// second.
const TARGET_CLAIMS_PER_S: f64 = 3000.0;
/// Virtual time of a simulation, in seconds.
const SIMULATED_S: f64 = 30.0;

/// Measures the claims sustained, the platform's writes per second and the delay of a
/// claim.
pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let mut delay_p99 = Vec::new();
    let mut writes_per_s = Vec::new();
    for &seed in seeds {
        let (mut delays, writes) = simulate_batches(seed);
        delay_p99.push(quantile(&mut delays, 0.99));
        writes_per_s.push(writes / SIMULATED_S);
    }
    vec![
        Row::new("one write a request: claims sustained", PLATFORM_WRITES_PER_S, "1/s"),
        Row::new("groups: claims sustained", TARGET_CLAIMS_PER_S, "1/s")
            .at_least(TARGET_CLAIMS_PER_S),
        Row::new("groups: platform writes", mean(&writes_per_s), "1/s")
            .at_most(PLATFORM_WRITES_PER_S),
        Row::new("groups: delay p99", mean(&delay_p99), "ms").at_most(20.0),
    ]
}

/// Simulates the writers of all entry hosts; returns the delay of every claim from its
/// arrival to the platform's response, in milliseconds, and the number of writes to the
/// platform.
fn simulate_batches(seed: u64) -> (Vec<f64>, f64) {
    let mut delays = Vec::new();
    let mut writes = 0.0;
    for entry in 0..ENTRY_HOSTS {
        let mut random = Pcg64Mcg::seed_from_u64(seed * ENTRY_HOSTS + entry);
        let rate = TARGET_CLAIMS_PER_S / ENTRY_HOSTS as f64;
        let mut waiting_since: Vec<f64> = Vec::new();
        let mut arrival = arrival_interval(&mut random, rate);
        let mut idle_at: f64 = 0.0;
        while arrival < SIMULATED_S {
            // Once idle, the writer puts all waiting claims into one batch.
            let batch_start = idle_at.max(waiting_since.first().copied().unwrap_or(arrival));
            while arrival <= batch_start {
                waiting_since.push(arrival);
                arrival += arrival_interval(&mut random, rate);
            }
            let batch_end = batch_start + RESPONSE_TIME.as_secs_f64();
            delays.extend(waiting_since.drain(..).map(|at| (batch_end - at) * 1000.0));
            writes += 1.0;
            idle_at = batch_end + BATCH_PAUSE.as_secs_f64();
        }
    }
    (delays, writes)
}

/// Returns an exponentially distributed time between two arrivals, in seconds, at a
/// mean rate in arrivals per second.
fn arrival_interval(random: &mut Pcg64Mcg, rate: f64) -> f64 {
    -f64::ln(1.0 - random.random::<f64>()) / rate
}
