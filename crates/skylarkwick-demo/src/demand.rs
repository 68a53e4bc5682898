//! The brief's demand: in turns, five times the mean and a twentieth of it.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use skylarkwick_version::document;

/// Length of one service's turn.
const TURN: Duration = Duration::from_secs(2);
/// Demand during a turn, over the mean.
const BURST_FACTOR: f64 = 5.0;
/// Demand between turns, over the mean.
const QUIET_FACTOR: f64 = 0.05;
/// Demand during a turn, over what the pool holds.
const BURST_OVER_CAPACITY: f64 = 1.1;
/// Share of stragglers among all requests.
const STRAGGLERS: f64 = 0.02;
/// Run time of a straggler, over that of other work.
const STRAGGLER_FACTOR: f64 = 50.0;

/// A request to send.
#[derive(Clone, Debug)]
pub(crate) struct Order {
    /// When to send it, since the start.
    pub(crate) at: Duration,
    /// The service.
    pub(crate) document: Arc<document::Settings>,
    /// The kind of work.
    pub(crate) kind: &'static str,
    /// How long it runs.
    pub(crate) run_time: Duration,
    /// What identifies it.
    pub(crate) payload: String,
}

/// Kind of the usual work.
pub(crate) const SHORT: &str = "short";
/// Kind of the stragglers.
pub(crate) const LONG: &str = "long";

/// Returns every request of a run, in the order of sending.
pub(crate) fn orders(
    documents: &[Arc<document::Settings>],
    slots: u32,
    time: Duration,
    seed: u64,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (turn, document) in documents.iter().enumerate() {
        let mut random = Pcg64Mcg::seed_from_u64(seed ^ ((turn as u64 + 1) << 32));
        let mut at = Duration::ZERO;
        let mut number = 0;
        loop {
            let rate = rate(document, slots, at, turn, documents.len());
            let gap = -f64::ln(1.0 - random.random::<f64>()) / rate;
            at += Duration::from_secs_f64(gap.min(TURN.as_secs_f64() / 4.0));
            if at >= time {
                break;
            }
            let payload = format!("{}-{seed}-{number}", document.service);
            orders.push(order(document, at, payload, &mut random));
            number += 1;
        }
    }
    orders.sort_by_key(|order| order.at);
    orders
}

/// Requests a second at a moment.
fn rate(
    document: &document::Settings,
    slots: u32,
    at: Duration,
    turn: usize,
    services: usize,
) -> f64 {
    let mean_run =
        document.work.run_time.as_secs_f64() * (1.0 - STRAGGLERS + STRAGGLERS * STRAGGLER_FACTOR);
    let capacity = f64::from(document.hosts * slots) / mean_run;
    let mean = BURST_OVER_CAPACITY * capacity / BURST_FACTOR;
    let current = (at.as_secs_f64() / TURN.as_secs_f64()) as usize % services;
    mean * if current == turn { BURST_FACTOR } else { QUIET_FACTOR }
}

fn order(
    document: &Arc<document::Settings>,
    at: Duration,
    payload: String,
    random: &mut Pcg64Mcg,
) -> Order {
    let is_straggler = random.random_bool(STRAGGLERS);
    let factor = if is_straggler { STRAGGLER_FACTOR } else { 1.0 };
    Order {
        at,
        document: Arc::clone(document),
        kind: if is_straggler { LONG } else { SHORT },
        run_time: document.work.run_time.mul_f64(factor * random.random_range(0.5..1.5)),
        payload,
    }
}
