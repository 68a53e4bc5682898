//! Wait of short work behind long work.

use std::collections::BTreeMap;

use skylarkwick_request::queue::Limits;

use crate::{
    demand::{Job, SITES, Site, jobs},
    pool::{Fifo, Oracle, Product, Times, simulate},
    rows::{Row, mean, quantile},
};

/// Limits of the product, but for the length of the queue.
const LIMITS: Limits = Limits { max_waiting: usize::MAX, ..Limits::DEFAULT };

/// What one policy made of a run.
struct Result {
    short_p99_ms: f64,
    long_mean_s: f64,
}

pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    SITES.iter().flat_map(|site| measure(site, seeds)).collect()
}

fn measure(site: &Site, seeds: &[u64]) -> Vec<Row> {
    let mut results: BTreeMap<&str, Vec<Result>> = BTreeMap::new();
    for &seed in seeds {
        let jobs = jobs(site, seed);
        let mut add = |name, times: Times| {
            results.entry(name).or_default().push(result(&jobs, &times));
        };
        add("fifo", simulate(&jobs, &mut Fifo::new(site)));
        add("oracle", simulate(&jobs, &mut Oracle::new(site)));
        add("product", simulate(&jobs, &mut Product::new(site, LIMITS, seed)));
    }
    let short = |name: &str| mean(&of(&results[name], |result| result.short_p99_ms));
    let long = |name: &str| mean(&of(&results[name], |result| result.long_mean_s));
    let name = |what: &str| format!("{}: {what}", site.name);
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

fn of(results: &[Result], value: impl Fn(&Result) -> f64) -> Vec<f64> {
    results.iter().map(value).collect()
}

fn result(jobs: &[Job], times: &Times) -> Result {
    let mut short = Vec::new();
    let mut long = Vec::new();
    for (number, job) in jobs.iter().enumerate() {
        match job.is_straggler {
            true => long.push(times.ended[number].since(job.arrives).as_secs_f64()),
            false => {
                short.push(times.started[number].since(job.arrives).as_secs_f64() * 1000.0);
            }
        }
    }
    Result { short_p99_ms: quantile(&mut short, 0.99), long_mean_s: mean(&long) }
}
