//! A worker that fails everything at once, with and without breakers.

use std::{collections::BTreeMap, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_request::{balancer::Balancer, estimate::Class};
use skylarkwick_version::{host::Epoch, moment::Moment, name};

use crate::{
    pool::host,
    rows::{Row, mean},
};

/// Workers of the pool.
const HOSTS: u32 = 12;
/// Slots of each.
const SLOTS: u32 = 8;
/// Run time of a task.
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time that the failing worker takes for a task.
const FAILURE_TIME: Duration = Duration::from_millis(1);
/// Requests of a run.
const REQUESTS: u32 = 20_000;
/// Time between two requests: 60% of what the pool holds.
const GAP: Duration = Duration::from_micros(1_040);

pub(crate) fn run(seeds: &[u64]) -> Vec<Row> {
    let share = |failing: u32, has_breaker: bool| {
        let shares: Vec<f64> =
            seeds.iter().map(|&seed| failed_share(failing, has_breaker, seed)).collect();
        mean(&shares)
    };
    let mut rows = Vec::new();
    for (name, failing) in [("one of 12 workers", 1), ("a rack of four", 4), ("the pool", 12)] {
        let (without, with) = (share(failing, false), share(failing, true));
        rows.push(Row::new(format!("{name} fails all: failed, no breaker"), without, "share"));
        rows.push(Row::new(format!("{name} fails all: failed, breaker"), with, "share"));
    }
    rows
}

/// Returns the share of first attempts that went to a failing worker.
fn failed_share(failing: u32, has_breaker: bool, seed: u64) -> f64 {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut board = Balancer::new();
    board.set_workers(&(0..HOSTS).map(|number| (host(number), (Epoch(1), SLOTS))).collect());
    let failing: Vec<name::Host> = (0..failing).map(host).collect();
    let mut ends: BTreeMap<(Moment, u32), name::Host> = BTreeMap::new();
    let mut failed = 0;
    let mut now = Moment::ZERO;
    for number in 0..REQUESTS {
        now = now + GAP;
        while let Some(entry) = ends.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), host) = entry.remove_entry();
            let succeeded = !failing.contains(&host);
            board.record_finish(&host, Class::Short, has_breaker.then_some(succeeded), at);
        }
        let Some((host, _)) = board.choose(None, now, &mut random) else { continue };
        board.record_start(&host, Class::Short, now);
        let is_failing = failing.contains(&host);
        failed += u32::from(is_failing);
        let run_time = if is_failing { FAILURE_TIME } else { RUN_TIME };
        ends.insert((now + run_time, number), host);
    }
    f64::from(failed) / f64::from(REQUESTS)
}
