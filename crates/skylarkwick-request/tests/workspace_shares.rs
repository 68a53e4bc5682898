//! Shares of workspaces under load, in virtual time: one sends a multiple of its usual beside
//! 19 quiet ones, one comes back after silence, two compete for one rack, and weights change.

mod harness;

use std::sync::Arc;

use harness::{
    Harness,
    load::{Load, RUN_TICKS, weighted},
    ms, step,
};
use skylarkwick_request::{job::Step, shard::input::AcceptedJob};
use skylarkwick_version::workspace::Workspaces;

const CORES: u64 = 8;
const QUIET: u64 = 19;
const HOT: &str = "hot";

/// The hot workspace and the quiet ones, each with twice the weight of its usual jobs a second.
fn usual_workspaces() -> Workspaces {
    let quiet: Vec<String> = (0..QUIET).map(|number| format!("quiet-{number}")).collect();
    let mut weights: Vec<(&str, f64)> = quiet.iter().map(|name| (&**name, 3.0)).collect();
    weights.push((HOT, 3.0));
    weighted(&weights)
}

/// Returns the p99 wait of the quiet workspaces while one sends `multiple` times its usual 1.5
/// jobs a second.
fn quiet_wait(multiple: u64) -> u64 {
    let mut load = Load::new(usual_workspaces());
    for tick in 0..400 {
        // 23.75 jobs a second of the 32 that the servers can run.
        for number in 0..QUIET {
            if (tick + number).is_multiple_of(16) {
                load.submit(&format!("quiet-{number}"), step(1, CORES));
            }
        }
        let hot = (tick + 1) * 3 * multiple / 40 - tick * 3 * multiple / 40;
        for _ in 0..hot {
            load.submit(HOT, step(1, CORES));
        }
        load.step();
    }
    load.p99(|name| name != HOT)
}

#[test]
fn hot_workspace_waits_itself() {
    let usual = quiet_wait(1);
    for multiple in [2, 5, 10] {
        let wait = quiet_wait(multiple);
        assert!(wait * 10 <= (usual * 12).max(10), "{multiple}: {wait} ticks, usually {usual}");
    }
}

/// Jobs beyond the weight run as soon as there is room, and leave a quarter for others.
#[test]
fn excess_uses_idle_room() {
    let mut load = Load::new(usual_workspaces());
    for _ in 0..16 {
        load.submit(HOT, step(1, CORES));
    }
    load.step();
    assert_eq!(load.waits[HOT].len(), 12);
}

/// A task beyond the weight that needs more than is left to such tasks starts all the same.
#[test]
fn large_excess_not_starved() {
    let mut load = Load::new(weighted(&[(HOT, 0.1)]));
    load.submit(HOT, step(1, CORES));
    load.submit(HOT, step(2, 60));
    for _ in 0..=2 * RUN_TICKS {
        load.step();
    }
    assert_eq!(load.waits[HOT].len(), 3);
}

/// Two workspaces whose tasks all need the same rack get it by their weights.
#[test]
fn rack_shared_by_weight() {
    let mut load = Load::new(weighted(&[("large", 300.0), ("small", 100.0)]));
    let on_rack = || Step { required_label: Some(Arc::from("r1")), ..step(1, CORES) };
    load.label_servers(1, "r1");
    for _ in 0..100 {
        load.submit("large", on_rack());
        load.submit("small", on_rack());
    }
    load.step();
    let started = |name: &str| load.started(name);
    // The rack has room for 8 tasks, half of the pool's.
    assert_eq!(started("large") + started("small"), 8);
    assert!(started("small") >= 2, "{:?}", load.waits);
}

/// A workspace that was silent gets its share at once, although others have filled the pool.
#[test]
fn silent_one_returns() {
    let mut load = Load::new(weighted(&[("busy", 100.0), ("silent", 100.0)]));
    for _ in 0..200 {
        load.submit("busy", step(1, CORES));
    }
    for _ in 0..25 {
        load.step();
    }
    for _ in 0..4 {
        load.submit("silent", step(1, CORES));
    }
    for _ in 0..=RUN_TICKS {
        load.step();
    }
    assert_eq!(load.waits["silent"].len(), 4);
}

/// A weight that is changed counts for the jobs that come from then on.
#[test]
fn changed_weight_counts() {
    let mut load = Load::new(usual_workspaces());
    for _ in 0..40 {
        load.submit(HOT, step(1, CORES));
    }
    load.harness.shard.set_workspaces(weighted(&[(HOT, 100.0), ("quiet-0", 3.0)]));
    for _ in 0..3 {
        load.step();
    }
    load.submit(HOT, step(1, 1));
    let before = load.waits[HOT].len();
    for _ in 0..=RUN_TICKS {
        load.step();
    }
    assert!(load.waits[HOT].len() > before);
}

/// A new holder reads the jobs before the configuration, in the order of their identifiers: those
/// beyond the weight are known again, and no others. Without that, the backlog of a workspace that
/// sends too much comes before the jobs of others after each change of the holder.
#[test]
fn takeover_keeps_excess() {
    let mut harness = harness::taken_shard();
    for number in 0..20 {
        // Accepted every 100 ms, the last identifier first.
        let age = ms(1000 + 100 * number);
        for (workspace, burst) in [("even", 1), ("hot", 4)] {
            for copy in 0..burst {
                let id = format!("{workspace}/{number:02}/{copy}");
                let workspace = Some(Arc::from(workspace));
                let accepted = Harness::accepted_job(&id, vec![step(1, 1)]);
                harness.shard.add_job(harness.now, AcceptedJob { workspace, age, ..accepted });
            }
        }
    }
    harness.decide();
    harness.shard.set_workspaces(weighted(&[("even", 10.0), ("hot", 10.0)]));
    harness.decide();
    let loads = harness.shard.workspace_loads(harness.now);
    let excess: Vec<_> = loads.iter().map(|(name, load)| (&**name, load.excess_jobs)).collect();
    // 80 jobs in 1.9 s, of which the weight and the burst allow 20 + 19.
    assert_eq!(excess, [("hot", 41), ("even", 0)]);
}

/// The jobs of a workspace spread over the shards of a site, so each allows its part of the weight;
/// all of it in each would let a workspace that sends too much through.
#[test]
fn shards_divide_weight() {
    for (shards, excess) in [(1, 0), (4, 10)] {
        let mut load = Load::new(weighted(&[(HOT, 40.0)]));
        load.harness.shard.set_shard_count(shards);
        for _ in 0..30 {
            load.submit(HOT, step(1, 1));
        }
        load.step();
        let loads = load.harness.shard.workspace_loads(load.harness.now);
        assert_eq!(loads[0].1.excess_jobs, excess, "{shards} shards");
    }
}
