//! Claims in groups against one write a request.
//!
//! The platform takes 300 writes a second and answers in 5 ms. Claims arrive at
//! random at each of six entry hosts.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::rows::{Row, mean, quantile};

/// Entry hosts of the site.
const ENTRIES: u64 = 6;
/// Writes that the platform takes in a second.
const PLATFORM_WRITES: f64 = 300.0;
/// Time that the platform takes to answer.
const ANSWER: Duration = Duration::from_millis(5);
/// Pause of a writer after each batch, as in the entry host's writer.
const PAUSE: Duration = Duration::from_millis(10);
/// Unrepeatable requests a second that the site has to sustain.
const WANTED: f64 = 3000.0;
/// Virtual time of a run.
const TIME: f64 = 30.0;

pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let mut p99 = Vec::new();
    let mut writes = Vec::new();
    for &seed in seeds {
        let (mut delays, count) = grouped(seed);
        p99.push(quantile(&mut delays, 0.99));
        writes.push(count / TIME);
    }
    vec![
        Row::new("one write a request: claims sustained", PLATFORM_WRITES, "1/s"),
        Row::new("groups: claims sustained", WANTED, "1/s").at_least(WANTED),
        Row::new("groups: platform writes", mean(&writes), "1/s").at_most(PLATFORM_WRITES),
        Row::new("groups: delay p99", mean(&p99), "ms").at_most(20.0),
    ]
}

/// Returns the delay of every claim in milliseconds, and the platform's writes.
fn grouped(seed: u64) -> (Vec<f64>, f64) {
    let mut delays = Vec::new();
    let mut writes = 0.0;
    for entry in 0..ENTRIES {
        let mut random = Pcg64Mcg::seed_from_u64(seed * ENTRIES + entry);
        let rate = WANTED / ENTRIES as f64;
        let mut waiting: Vec<f64> = Vec::new();
        let mut arrival = gap(&mut random, rate);
        let mut idle_at: f64 = 0.0;
        while arrival < TIME {
            // The writer takes all that has come once it is idle again.
            let starts = idle_at.max(waiting.first().copied().unwrap_or(arrival));
            while arrival <= starts {
                waiting.push(arrival);
                arrival += gap(&mut random, rate);
            }
            let answered = starts + ANSWER.as_secs_f64();
            delays.extend(waiting.drain(..).map(|at| (answered - at) * 1000.0));
            writes += 1.0;
            idle_at = answered + PAUSE.as_secs_f64();
        }
    }
    (delays, writes)
}

fn gap(random: &mut Pcg64Mcg, rate: f64) -> f64 {
    -f64::ln(1.0 - random.random::<f64>()) / rate
}
