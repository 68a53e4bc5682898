//! Host moves: hosts go to the pools whose jobs need them, and return when those are
//! done.

mod harness;

use std::{collections::BTreeMap, sync::Arc};

use harness::{Harness, POOL, host, host_up, ms, step};
use skylarkwick_request::{
    job::Step,
    shard::{
        effect::Effect,
        input::{HostOrderResult, MaintenanceWave},
    },
};
use skylarkwick_version::{moment::Moment, resources::Resources};

const OTHER: &str = "other";
const SPARE: &str = "spare";

/// Returns the hosts that are ordered to move, with their new pool.
fn moves(effects: &[Effect]) -> BTreeMap<String, String> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::MoveHost { host, pool } => Some((host.to_string(), pool.to_string())),
            _ => None,
        })
        .collect()
}

fn maintained_count(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::MaintainHost { .. })).count()
}

/// Creates a shard with these hosts in each pool; each server has the name of its host.
fn with_pools(pools: &[(&'static str, &[&'static str])]) -> Harness {
    let names: Vec<&str> = pools.iter().flat_map(|(_, names)| names.iter().copied()).collect();
    let mut harness = Harness::with_servers(&names);
    set_pool_hosts(&mut harness, pools);
    for name in names {
        harness.report(name, &[], &[]);
    }
    harness
}

/// Sets the hosts of each pool and their servers.
fn set_pool_hosts(harness: &mut Harness, pools: &[(&'static str, &[&'static str])]) {
    let mut hosts = Vec::new();
    for (pool, names) in pools {
        for name in *names {
            hosts.push(host_up(name, pool, Some(name)));
            for server_info in
                harness.servers.iter_mut().filter(|server_info| &*server_info.id.0 == *name)
            {
                server_info.pool = Arc::from(*pool);
            }
        }
    }
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.shard.set_hosts(harness.now, hosts);
    harness.shard.set_spare_pools([Arc::from(SPARE)].into());
}

#[test]
fn burst_takes_idle() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c", "d", "e"])]);
    harness.submit("job", vec![step(30, 16)]);
    let moved = moves(&harness.decide());
    assert!(!moved.is_empty() && moved.len() <= 2, "the other pool keeps two hosts: {moved:?}");
    assert!(moved.values().all(|pool| pool == POOL));
}

#[test]
fn spare_hosts_last() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"]), (SPARE, &["s"])]);
    harness.submit("job", vec![step(6, 16)]);
    let moved = moves(&harness.decide());
    assert_eq!(moved.keys().collect::<Vec<_>>(), ["d"], "one more host is enough");
}

#[test]
fn burst_takes_spares() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c"]), (SPARE, &["s"])]);
    harness.submit("job", vec![step(30, 16)]);
    assert_eq!(moves(&harness.decide()).keys().collect::<Vec<_>>(), ["s"]);
}

/// Returns a step of long-running tasks that each need this much memory, in MiB.
fn long_running_step(count: u32, memory_mib: u64) -> Step {
    let step = step(count, 1);
    let resources = Resources { memory_mib, ..step.resources };
    Step { is_long_running: true, resources, ..step }
}

/// Long-running tasks wait for memory, of which a host has enough for two.
#[test]
fn long_running_pulls_hosts() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c", "d", "e", "f"])]);
    harness.submit("job", vec![long_running_step(6, 24_000)]);
    let moved = moves(&harness.decide());
    assert_eq!(moved.len(), 2, "{moved:?}");
    assert!(moved.values().all(|pool| pool == POOL));
}

/// Tasks that fit on no host move none.
#[test]
fn hopeless_task_pulls_none() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c", "d", "e", "f"])]);
    harness.submit("large", vec![long_running_step(6, 100_000)]);
    let unlabelled = Step { required_label: Some(Arc::from("none")), ..long_running_step(6, 64) };
    harness.submit("unlabelled", vec![unlabelled]);
    assert!(moves(&harness.decide()).is_empty());
}

#[test]
fn moved_host_used() {
    let mut harness = with_pools(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"])]);
    harness.submit("job", vec![step(6, 32)]);
    let moved = moves(&harness.decide()).into_keys().next().unwrap();
    harness.shard.handle_host_order_result(harness.now, &host(&moved), HostOrderResult::Done);
    harness.advance(1600);
    // The new server is listed while the list of hosts still shows the old pool.
    let new_server = harness::server_info("new", POOL, &moved);
    harness.servers.push(new_server);
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.decide();
    harness.report("new", &[], &[]);
    let started = harness::starts(&harness.decide());
    assert!(started.iter().any(|(server, _)| &*server.0 == "new"), "{started:?}");
}

#[test]
fn idle_hosts_return() {
    let mut harness = with_pools(&[(POOL, &["a", "b", "c"]), (OTHER, &["d", "e", "f"])]);
    assert!(moves(&harness.decide()).is_empty());
    // A burst in one pool took two hosts of the other, and has ended.
    set_pool_hosts(&mut harness, &[(POOL, &["a", "b", "c", "d", "e"]), (OTHER, &["f"])]);
    harness.advance(400);
    let moved = moves(&harness.decide());
    assert_eq!(moved.len(), 2);
    assert!(moved.values().all(|pool| pool == OTHER));
}

#[test]
fn stored_sizes_kept() {
    let mut harness = with_pools(&[(POOL, &["a", "b", "c", "d"]), (OTHER, &["e"])]);
    let pool_sizes = [(Arc::from(POOL), 2), (Arc::from(OTHER), 3)];
    harness.shard.set_pool_sizes(pool_sizes.into());
    harness.advance(400);
    let effects = harness.decide();
    assert_eq!(moves(&effects).len(), 2);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::SavePoolSizes(_))));
}

fn add_wave(harness: &mut Harness, names: &[&str], time_left: u64, now: Moment) {
    let hosts = names.iter().map(|name| host(name)).collect();
    let wave = MaintenanceWave {
        number: 1,
        hosts,
        time_left: ms(time_left),
        max_unavailable: 10,
        started: Default::default(),
    };
    harness.shard.add_wave(now, wave);
}

const TEN_HOSTS: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

#[test]
fn early_wave_spreads() {
    let mut harness = with_pools(&[(POOL, &TEN_HOSTS)]);
    let now = harness.now;
    add_wave(&mut harness, &TEN_HOSTS, 50_000, now);
    assert_eq!(maintained_count(&harness.decide()), 1, "each takes 2 s, and 20 s are enough");
}

#[test]
fn urgent_wave_immediate() {
    let mut harness = with_pools(&[(POOL, &TEN_HOSTS)]);
    let now = harness.now;
    add_wave(&mut harness, &TEN_HOSTS, 2_000, now);
    assert_eq!(maintained_count(&harness.decide()), 10);
}

#[test]
fn late_wave_drains() {
    let mut harness = with_pools(&[(POOL, &["a", "b", "c", "d", "e", "f"])]);
    harness.submit("job", vec![step(6, 64)]);
    let effects = harness.decide();
    assert_eq!(harness.confirm_starts(&effects).len(), 6);
    let now = harness.now;
    add_wave(&mut harness, &["a", "b", "c", "d", "e", "f"], 20_000, now);
    harness.decide();
    let drained_count = |harness: &Harness| 6 - harness.shard.pool_loads(harness.now)[POOL].usable;
    assert_eq!(drained_count(&harness), 2);
    harness.advance(1500);
    harness.decide();
    harness.advance(13_000);
    for name in ["a", "b", "c", "d", "e", "f"] {
        harness.shard.update_clock(&harness::server(name), harness.reading());
    }
    harness.decide();
    assert_eq!(drained_count(&harness), 6);
}

/// Each host of a pool runs a small long-running task, and a late task that needs most of a
/// host waits. Then hosts of another pool become idle.
#[test]
fn large_task_pulls_host() {
    const OTHERS: [&str; 5] = ["d", "e", "f", "g", "h"];
    let mut harness = with_pools(&[(POOL, &["a", "b", "c"])]);
    let spread = Step { max_per_host: 1, is_long_running: true, ..step(3, 10) };
    harness.submit("spread", vec![spread]);
    let effects = harness.decide();
    let running = harness.confirm_starts(&effects);
    assert_eq!(running.len(), 3);
    harness.submit("large", vec![step(1, 58)]);
    // The job can no longer end in time, and its demand has stopped rising.
    let run_for = |harness: &mut Harness, rounds: u32| {
        let mut moved = BTreeMap::new();
        for _ in 0..rounds {
            for info in harness.servers.clone() {
                let runs = running.iter().filter(|(server, _)| *server == info.id);
                let runs: Vec<_> =
                    runs.map(|(_, start)| (start.task.clone(), start.run, 100)).collect();
                harness.report(&info.id.0, &runs, &[]);
            }
            moved.extend(moves(&harness.decide()));
        }
        moved
    };
    run_for(&mut harness, 400);
    harness.servers.extend(OTHERS.map(|name| harness::server_info(name, OTHER, name)));
    set_pool_hosts(&mut harness, &[(POOL, &["a", "b", "c"]), (OTHER, &OTHERS)]);
    let moved = run_for(&mut harness, 100);
    assert!(moved.values().any(|pool| pool == POOL), "{moved:?}");
}

/// Guards against a pool that gets one host after another for a large task that none of its
/// hosts can run.
#[test]
fn unplaced_task_pulls_few() {
    const OTHERS: [&str; 12] = ["c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"];
    let mut harness = with_pools(&[(POOL, &["a", "b"]), (OTHER, &OTHERS)]);
    let labelled = Step { required_label: Some(Arc::from("big")), ..step(1, 58) };
    harness.submit("large", vec![labelled]);
    harness.submit("small", vec![Step { is_long_running: true, ..step(2, 40) }]);
    let effects = harness.decide();
    let mut running = harness.confirm_starts(&effects);
    assert_eq!(running.len(), 2);
    let mut pool = vec!["a", "b"];
    let mut others = OTHERS.to_vec();
    for _ in 0..200 {
        let effects = harness.decide();
        running.extend(harness.confirm_starts(&effects));
        for name in moves(&effects).into_keys() {
            let moved =
                others.iter().position(|other| **other == *name).expect("a host of the other pool");
            pool.push(others.remove(moved));
            let result = HostOrderResult::Done;
            harness.shard.handle_host_order_result(harness.now, &host(&name), result);
        }
        set_pool_hosts(&mut harness, &[(POOL, &pool), (OTHER, &others)]);
        for info in harness.servers.clone() {
            let runs = running.iter().filter(|(server, _)| *server == info.id);
            let runs: Vec<_> =
                runs.map(|(_, start)| (start.task.clone(), start.run, 100)).collect();
            harness.report(&info.id.0, &runs, &[]);
        }
    }
    // The demand alone asks for four, and then two are idle.
    assert!(pool.len() <= 4, "{pool:?}");
}
