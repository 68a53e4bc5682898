//! Jobs beyond the weight of their workspace start while enough room is free. See
//! `docs/design/shares.md`.

mod harness;

use harness::{
    load::{Load, weighted},
    step,
};
use skylarkwick_request::job::Step;

const HOT: &str = "hot";
const OTHER: &str = "other";

fn long_running(count: u32, cores: u64) -> Step {
    Step { is_long_running: true, max_per_host: 1, ..step(count, cores) }
}

fn best_effort(count: u32, cores: u64) -> Step {
    Step { is_best_effort: true, ..long_running(count, cores) }
}

/// Submits jobs of one core beyond a weight; returns how many of all began at once.
fn started_at_once(load: &mut Load, jobs: usize) -> usize {
    for _ in 0..jobs {
        load.submit(HOT, step(1, 1));
    }
    load.step();
    load.started(HOT)
}

fn hot_beside_other() -> Load {
    Load::new(weighted(&[(HOT, 1.0), (OTHER, 100.0)]))
}

/// Best-effort tasks reserve no processor time: jobs beyond a weight wait for none of it
/// (review/17).
#[test]
fn best_effort_leaves_room() {
    let mut load = hot_beside_other();
    load.submit(OTHER, best_effort(2, 64));
    load.step();
    assert_eq!(started_at_once(&mut load, 20), 20);
}

/// A silent server is no room, so what it runs takes none: together they would keep jobs beyond a
/// weight waiting beside a free server.
#[test]
fn silent_server_not_counted() {
    let mut load = hot_beside_other();
    load.submit(OTHER, long_running(1, 60));
    load.step();
    load.step();
    let effects = load.harness.decide();
    assert!(harness::starts(&effects).is_empty());
    for _ in 0..6 {
        load.harness.advance(500);
        load.harness.fail_poll("a");
        load.harness.report("b", &[], &[]);
    }
    for _ in 0..20 {
        load.submit(HOT, step(1, 1));
    }
    assert_eq!(harness::starts(&load.harness.decide()).len(), 20);
}

/// Long-running tasks come before all other work, also beyond a weight: without that, one whose
/// workspace had submitted too many jobs waited in a pool that is three quarters full.
#[test]
fn long_running_not_held() {
    let mut load = hot_beside_other();
    load.submit(OTHER, long_running(2, 48));
    load.step();
    for _ in 0..20 {
        load.submit(HOT, long_running(1, 1));
    }
    load.step();
    assert_eq!(load.started(HOT), 20);
}

/// Tasks that never end must not use up what jobs beyond a weight may have: those would wait for
/// good beside free cores.
#[test]
fn endless_tasks_leave_part() {
    let mut load = hot_beside_other();
    load.submit(OTHER, long_running(2, 48));
    load.step();
    // Of the 32 cores that are left, 16 stay free for others.
    assert_eq!(started_at_once(&mut load, 30), 16);
}

/// Long-running tasks don't make the reserve for others smaller while they have half of a pool.
#[test]
fn reserve_kept_beside_lasting() {
    let mut load = hot_beside_other();
    load.submit(OTHER, long_running(2, 32));
    load.step();
    assert_eq!(started_at_once(&mut load, 60), 32);
}
