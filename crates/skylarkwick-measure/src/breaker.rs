//! Requests lost to workers that fail every task immediately, with and without
//! circuit breakers.

use std::{collections::BTreeMap, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{balancer::Balancer, estimate::Class};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

use crate::{
    pool::host,
    rows::{Row, mean},
};

/// Number of workers in the pool.
const WORKERS: u32 = 12;
/// Tasks that a worker runs at once.
const SLOTS_PER_WORKER: u32 = 8;
/// Run time of a task on a healthy worker.
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time from the start of a task until a failing worker reports its failure.
const FAILURE_TIME: Duration = Duration::from_millis(1);
/// Requests per simulation.
const REQUESTS: u32 = 20_000;
/// Time between two requests; loads the pool to 60% of its capacity.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(1_040);

/// Measures the share of failed requests with one, four and all workers failing, each
/// without and with circuit breakers.
pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let share = |failing_workers: u32, has_breaker: bool| {
        let shares: Vec<f64> =
            seeds.iter().map(|&seed| failed_share(failing_workers, has_breaker, seed)).collect();
        mean(&shares)
    };
    let mut rows = Vec::new();
    for (name, failing_workers) in
        [("one of 12 workers", 1), ("a rack of four", 4), ("the pool", 12)]
    {
        let (without, with) = (share(failing_workers, false), share(failing_workers, true));
        rows.push(Row::new(format!("{name} fails all: failed, no breaker"), without, "share"));
        rows.push(Row::new(format!("{name} fails all: failed, breaker"), with, "share"));
    }
    rows
}

/// Simulates one pool and returns the share of requests, from 0 to 1, whose first
/// attempt went to a failing worker. A request for which the balancer chooses no worker
/// is dropped and does not count as failed.
///
/// `has_breaker` sets whether the balancer learns the results of attempts, on which its
/// circuit breakers act.
fn failed_share(failing_workers: u32, has_breaker: bool, seed: u64) -> f64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut balancer = Balancer::new();
    balancer.set_workers(
        &(0..WORKERS).map(|number| (host(number), (Epoch(1), SLOTS_PER_WORKER))).collect(),
    );
    let failing: Vec<name::Host> = (0..failing_workers).map(host).collect();
    let mut completions: BTreeMap<(Moment, u32), name::Host> = BTreeMap::new();
    let mut failed = 0;
    let mut now = Moment::ZERO;
    for number in 0..REQUESTS {
        now = now + ARRIVAL_INTERVAL;
        while let Some(completion) = completions.first_entry().filter(|first| first.key().0 <= now)
        {
            let ((at, _), host) = completion.remove_entry();
            let succeeded = !failing.contains(&host);
            balancer.record_finish(&host, Class::Short, has_breaker.then_some(succeeded), at);
        }
        let Some((host, _)) = balancer.choose(None, now, &mut random) else { continue };
        balancer.record_start(&host, Class::Short, now);
        let is_failing = failing.contains(&host);
        failed += u32::from(is_failing);
        let run_time = if is_failing { FAILURE_TIME } else { RUN_TIME };
        completions.insert((now + run_time, number), host);
    }
    f64::from(failed) / f64::from(REQUESTS)
}
