//! The start of a queue's burst: demand rises for some seconds, and a host works for its new
//! pool only about two seconds after its move was decided.

mod harness;

use harness::{Harness, POOL, host_up, ms, step};
use skylarkwick_request::job::Step;

/// Time between two jobs of the burst, in milliseconds; a multiple of the time between two
/// decisions of the harness.
const INTERVAL_MS: u64 = 100;
const DECISIONS_PER_JOB: u64 = 2;

/// Returns a step that fills one host for ten seconds.
fn large_step() -> Step {
    Step { run_time_estimate: ms(10_000), ..step(1, 64) }
}

/// Creates a shard with one pool, whose hosts have answered.
fn with_pool() -> Harness {
    let mut harness = Harness::with_servers(&["a", "b"]);
    let hosts = ["a", "b"].map(|name| host_up(name, POOL, Some(name)));
    harness.shard.set_hosts(harness.now, hosts.into());
    harness.decide();
    harness
}

/// Submits a job every `INTERVAL_MS`, and returns the hosts needed after the last one.
fn needed_after(harness: &mut Harness, jobs: u64) -> usize {
    for number in 0..jobs {
        harness.submit(&format!("job-{number}"), vec![large_step()]);
        for _ in 0..DECISIONS_PER_JOB {
            harness.decide();
        }
    }
    needed(harness)
}

fn needed(harness: &Harness) -> usize {
    harness.shard.pool_loads(harness.now)[POOL].hosts_needed
}

/// The hosts that a pool gets while its demand rises are those that it needs once they can
/// be used.
#[test]
fn burst_met_ahead() {
    let second = 1000 / INTERVAL_MS;
    let early = needed_after(&mut with_pool(), second);
    let settled = {
        let mut harness = with_pool();
        needed_after(&mut harness, 2 * second);
        // No further job: the demand no longer rises.
        for _ in 0..100 {
            harness.decide();
        }
        needed(&harness)
    };
    assert!(early >= settled, "{early} a second early, {settled} once all jobs are there");
}

/// A demand that has stopped rising needs no more hosts than it did before.
#[test]
fn steady_demand_settles() {
    let mut harness = with_pool();
    let rising = needed_after(&mut harness, 10);
    for _ in 0..100 {
        harness.decide();
    }
    let steady = needed(&harness);
    assert!(steady < rising, "{steady} of {rising} hosts");
}
