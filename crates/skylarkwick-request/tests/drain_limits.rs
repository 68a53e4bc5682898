//! Drain of long-running tasks: what may have become unavailable since the last report, or
//! by an order of an earlier holder, counts against the step's limit.

mod harness;

use std::sync::Arc;

use harness::{Harness, POOL, ms, server_info, step, stops, task, timings};
use skylarkwick_request::{
    job::{Step, task::RunId},
    shard::{effect::Effect, input::AcceptedJob},
};
use skylarkwick_version::revision::Revision;

const NAMES: [&str; 4] = ["a", "b", "c", "d"];
/// Runs of the tasks on servers a and b, which an earlier holder has started.
const RUNS: [RunId; 2] = [RunId(5), RunId(6)];
/// Time for which a run of an earlier holder is not trusted, and a little more.
const SETTLING_MS: u64 = 2600;

/// A job with two long-running tasks, of which one may be unavailable; each fills most of a
/// server.
fn service_job() -> AcceptedJob {
    let long_running = Step { is_long_running: true, max_unavailable: 1, ..step(2, 40) };
    let mut accepted = Harness::accepted_job("job", vec![long_running]);
    accepted.progress.servers = [Arc::from("a"), Arc::from("b")].into();
    accepted.progress_revision = Revision(8);
    accepted
}

/// Creates a shard that the second holder took some time ago. It has read the rows just now,
/// and knows that the servers with tasks are leaving.
fn taken_shard(elapsed_ms: u64) -> Harness {
    let mut harness = harness::taken_shard();
    harness.advance(elapsed_ms);
    harness.shard.add_job(harness.now, service_job());
    let mut servers: Vec<_> = NAMES.map(|name| server_info(name, POOL, name)).into();
    servers[0].is_leaving = true;
    servers[1].is_leaving = true;
    harness.shard.set_servers(harness.now, servers);
    harness
}

/// Reports that the task on server a or b is available, or that nothing runs on another one.
fn report(harness: &mut Harness, name: &str) {
    let index = NAMES.iter().position(|other| *other == name).unwrap_or_default();
    let runs: Vec<_> = RUNS
        .iter()
        .enumerate()
        .filter(|(of, _)| *of == index)
        .map(|(of, run)| (task("job", 0, of), *run, 100))
        .collect();
    harness.report(name, &runs, &[]);
}

/// Reports all servers, and decides.
fn decide_reported(harness: &mut Harness) -> Vec<Effect> {
    for name in NAMES {
        report(harness, name);
    }
    harness.decide()
}

/// Guards against a stop by a new holder while a task that it has just heard of ends, because
/// the holder before stopped it: reading the rows took longer than such a stop.
#[test]
fn adopted_run_awaited() {
    let mut harness = taken_shard(SETTLING_MS + 1000);
    assert_eq!(stops(&decide_reported(&mut harness)), [], "each task may be about to end");
    harness.advance(SETTLING_MS);
    assert_eq!(stops(&decide_reported(&mut harness)).len(), 1);
}

/// Guards against a stop while the other task may have been unavailable for long, because its
/// server has not been heard of.
#[test]
fn old_report_ignored() {
    let mut harness = taken_shard(0);
    decide_reported(&mut harness);
    // Polls of server b are not answered, nor have they failed yet. A stop takes a second.
    harness.now = harness.now + timings().outage_threshold - ms(1000);
    for name in ["a", "c", "d"] {
        report(&mut harness, name);
    }
    assert_eq!(stops(&harness.decide()), []);
    harness.now = harness.now + ms(100);
    assert_eq!(stops(&decide_reported(&mut harness)).len(), 1);
}
