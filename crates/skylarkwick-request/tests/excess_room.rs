//! Jobs beyond the weight of their workspace start while enough room is free. See
//! `docs/design/shares.md`.

mod harness;

use std::sync::Arc;

use harness::{
    load::{Load, RUN_TICKS, weighted},
    step,
};
use skylarkwick_request::job::Step;
use skylarkwick_version::workspace::Workspaces;

const HOT: &str = "hot";
const OTHER: &str = "other";
/// Jobs that the hot workspace submits at once before further ones are beyond its weight.
const BURST_JOBS: usize = 4;

fn long_running(count: u32, cores: u64) -> Step {
    Step { is_long_running: true, max_per_host: 1, ..step(count, cores) }
}

fn best_effort(count: u32, cores: u64) -> Step {
    Step { is_best_effort: true, ..long_running(count, cores) }
}

/// Submits the jobs that the hot workspace may have at once, which need no processor time.
fn spend_burst(load: &mut Load) {
    for _ in 0..BURST_JOBS {
        load.submit(HOT, step(1, 0));
    }
}

/// Submits jobs of one core beyond a weight; returns how many of all began at once.
fn started_at_once(load: &mut Load, jobs: usize) -> usize {
    for _ in 0..jobs {
        load.submit(HOT, step(1, 1));
    }
    load.step();
    load.started(HOT)
}

fn hot_and_other() -> Workspaces {
    weighted(&[(HOT, 1.0), (OTHER, 100.0)])
}

fn hot_beside_other() -> Load {
    Load::new(hot_and_other())
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
    load.submit(OTHER, long_running(2, 32));
    load.submit(OTHER, step(2, 20));
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

/// Few servers have the label that a job beyond a weight needs, and work of others fills three
/// quarters of them: it must not wait with room for it twice over in a pool that is hardly used.
#[test]
fn labelled_room_used() {
    let mut load = Load::with_servers(&["a", "b", "c", "d"], hot_and_other());
    load.label_servers(1, "r1");
    let on_rack = |step| Step { required_label: Some(Arc::from("r1")), ..step };
    spend_burst(&mut load);
    load.submit(OTHER, on_rack(step(1, 48)));
    for _ in 0..30 {
        load.submit(HOT, on_rack(step(1, 4)));
    }
    load.step();
    // Room for one more stays free.
    assert_eq!(load.started(HOT), BURST_JOBS + 3);
}

/// In a pool that is used by half, a whole quarter stays free.
#[test]
fn used_pool_keeps_reserve() {
    let mut load = hot_beside_other();
    load.submit(OTHER, step(2, 48));
    load.step();
    assert_eq!(started_at_once(&mut load, 30), 4);
}

/// A gang beyond a weight starts as a whole once it has room, and waits as a whole.
#[test]
fn gang_beyond_weight() {
    for (used, started) in [(28, 32), (64, 0)] {
        let mut load = Load::new(weighted(&[(HOT, 0.1), (OTHER, 100.0)]));
        spend_burst(&mut load);
        load.submit(OTHER, step(2, used));
        load.submit(HOT, Step { is_gang: true, ..step(32, 1) });
        load.step();
        load.step();
        assert_eq!(
            load.started(HOT),
            BURST_JOBS + started,
            "{used} of 64 cores are used on each server"
        );
    }
}

/// The wait of a job beyond a weight is bounded, however long others use what it may have: once its
/// result has lost its value, those of a workspace run one by one.
#[test]
fn overdue_one_by_one() {
    let mut load = hot_beside_other();
    spend_burst(&mut load);
    let waiting = 10;
    for _ in 0..waiting {
        load.submit(HOT, step(1, 4));
    }
    for tick in 0..300 {
        if tick % RUN_TICKS == 0 {
            // 112 of the 128 cores are used at all times.
            load.submit(OTHER, step(2, 56));
        }
        load.step();
    }
    assert_eq!(load.started(HOT), BURST_JOBS + waiting);
    let mut starts = load.waits[HOT][BURST_JOBS..].to_vec();
    starts.sort_unstable();
    assert!(starts.windows(2).all(|pair| pair[1] - pair[0] >= RUN_TICKS), "{starts:?}");
}

/// A workspace whose weight is taken away has no limit, also for the jobs that came before.
#[test]
fn lifted_weight_ends_hold() {
    let mut load = hot_beside_other();
    load.submit(OTHER, step(2, 48));
    spend_burst(&mut load);
    load.step();
    for _ in 0..20 {
        load.submit(HOT, step(1, 1));
    }
    load.step();
    assert_eq!(load.started(HOT), BURST_JOBS);
    load.harness.shard.set_workspaces(weighted(&[(HOT, 0.0), (OTHER, 100.0)]));
    load.step();
    assert_eq!(load.started(HOT), BURST_JOBS + 20);
}
