//! Wait of short requests behind long ones under the product's scheduler, compared
//! with first come, first served and with an oracle.

use std::collections::BTreeMap;

use skylarkwick_request::queue::Limits;

use crate::{
    demand::{Request, SCENARIOS, Scenario, requests},
    pool::{Fifo, Oracle, Product, Times, simulate},
    rows::{Row, mean, quantile},
};

/// The default limits of the product's queue, except that its length is unbounded.
const LIMITS: Limits = Limits { max_waiting: usize::MAX, ..Limits::DEFAULT };

/// Wait of short requests and completion time of stragglers in one simulation under one
/// policy.
struct Summary {
    /// 99th percentile of the wait of short requests from arrival to start, in
    /// milliseconds.
    short_p99_ms: f64,
    /// Mean time from arrival to end of stragglers, in seconds.
    long_mean_s: f64,
}

/// Measures every scenario.
pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    SCENARIOS.iter().flat_map(|scenario| measure(scenario, seeds)).collect()
}

/// Simulates a scenario with each seed under each policy; returns the means over the
/// seeds and the product's ratios to the other policies.
fn measure(scenario: &Scenario, seeds: &[u64]) -> Vec<Row> {
    let mut summaries: BTreeMap<&str, Vec<Summary>> = BTreeMap::new();
    for &seed in seeds {
        let requests = requests(scenario, seed);
        let mut add = |name, times: Times| {
            summaries.entry(name).or_default().push(summarize(&requests, &times));
        };
        add("fifo", simulate(&requests, &mut Fifo::new(scenario)));
        add("oracle", simulate(&requests, &mut Oracle::new(scenario)));
        add("product", simulate(&requests, &mut Product::new(scenario, LIMITS, seed)));
    }
    let short = |name: &str| mean(&values(&summaries[name], |summary| summary.short_p99_ms));
    let long = |name: &str| mean(&values(&summaries[name], |summary| summary.long_mean_s));
    let name = |what: &str| format!("{}: {what}", scenario.name);
    vec![
        Row::new(name("short wait p99, first come first served"), short("fifo"), "ms"),
        Row::new(name("short wait p99, oracle"), short("oracle"), "ms"),
        Row::new(name("short wait p99, product"), short("product"), "ms"),
        Row::new(
            name("short wait p99, over first come"),
            short("product") / short("fifo"),
            "ratio",
        )
        .at_most(0.2),
        Row::new(name("short wait p99, over oracle"), short("product") / short("oracle"), "ratio")
            .at_most(2.0),
        Row::new(name("long completion, first come first served"), long("fifo"), "s"),
        Row::new(name("long completion, oracle"), long("oracle"), "s"),
        Row::new(name("long completion, product"), long("product"), "s"),
        Row::new(name("long completion, over first come"), long("product") / long("fifo"), "ratio")
            .at_most(1.3),
    ]
}

/// Returns the value that `value` takes from each summary.
fn values(summaries: &[Summary], value: impl Fn(&Summary) -> f64) -> Vec<f64> {
    summaries.iter().map(value).collect()
}

/// Summarizes the waits of all requests but stragglers, and the completion times of
/// stragglers.
fn summarize(requests: &[Request], times: &Times) -> Summary {
    let mut short = Vec::new();
    let mut long = Vec::new();
    for (number, request) in requests.iter().enumerate() {
        match request.is_straggler {
            true => long.push(times.ended[number].since(request.arrives_at).as_secs_f64()),
            false => {
                short.push(times.started[number].since(request.arrives_at).as_secs_f64() * 1000.0);
            }
        }
    }
    Summary { short_p99_ms: quantile(&mut short, 0.99), long_mean_s: mean(&long) }
}
