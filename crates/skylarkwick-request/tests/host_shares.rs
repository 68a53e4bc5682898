//! Hosts move to the pools whose jobs need them, and back when these are done.

mod shard;

use std::{collections::BTreeMap, sync::Arc};

use shard::{Harness, POOL, host, ms, step, up};
use skylarkwick_request::shard::{
    effect::Effect,
    input::{HostOrderResult, MaintenanceWave},
};
use skylarkwick_version::moment::Moment;

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

fn maintained_hosts(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::MaintainHost { .. })).count()
}

/// Creates a shard with hosts in some pools; each server has the name of its
/// host.
fn harness(pools: &[(&'static str, &[&'static str])]) -> Harness {
    let names: Vec<&str> = pools.iter().flat_map(|(_, names)| names.iter().copied()).collect();
    let mut harness = Harness::with_servers(&names);
    list_in_pools(&mut harness, pools);
    for name in names {
        harness.report(name, &[], &[]);
    }
    harness
}

/// Lists the hosts and their servers in the given pools.
fn list_in_pools(harness: &mut Harness, pools: &[(&'static str, &[&'static str])]) {
    let mut hosts = Vec::new();
    for (pool, names) in pools {
        for name in *names {
            hosts.push(up(name, pool, Some(name)));
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
fn a_burst_takes_idle_hosts_at_once() {
    let mut harness = harness(&[(POOL, &["a"]), (OTHER, &["b", "c", "d", "e"])]);
    harness.submit("job", vec![step(30, 16)]);
    let moved = moves(&harness.decide());
    assert!(!moved.is_empty() && moved.len() <= 2, "the other pool keeps two hosts: {moved:?}");
    assert!(moved.values().all(|pool| pool == POOL));
}

#[test]
fn spare_hosts_come_last() {
    let mut harness = harness(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"]), (SPARE, &["s"])]);
    harness.submit("job", vec![step(6, 16)]);
    let moved = moves(&harness.decide());
    assert_eq!(moved.keys().collect::<Vec<_>>(), ["d"], "one more host is enough");
}

#[test]
fn a_large_burst_takes_spare_hosts() {
    let mut harness = harness(&[(POOL, &["a"]), (OTHER, &["b", "c"]), (SPARE, &["s"])]);
    harness.submit("job", vec![step(30, 16)]);
    assert_eq!(moves(&harness.decide()).keys().collect::<Vec<_>>(), ["s"]);
}

#[test]
fn a_moved_host_works_at_once() {
    let mut harness = harness(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"])]);
    harness.submit("job", vec![step(6, 32)]);
    let moved = moves(&harness.decide()).into_keys().next().unwrap();
    harness.shard.handle_host_order_result(harness.now, &host(&moved), HostOrderResult::Done);
    harness.advance(1600);
    // The new server is listed while the list of hosts still shows the old
    // pool.
    let arrived = shard::server_info("new", POOL, &moved);
    harness.servers.push(arrived);
    harness.shard.set_servers(harness.now, harness.servers.clone());
    harness.decide();
    harness.report("new", &[], &[]);
    let started = shard::starts(&harness.decide());
    assert!(started.iter().any(|(server, _)| &*server.0 == "new"), "{started:?}");
}

#[test]
fn idle_hosts_move_back() {
    let mut harness = harness(&[(POOL, &["a", "b", "c"]), (OTHER, &["d", "e", "f"])]);
    assert!(moves(&harness.decide()).is_empty());
    // A burst in one pool has taken two hosts of the other, and is over.
    list_in_pools(&mut harness, &[(POOL, &["a", "b", "c", "d", "e"]), (OTHER, &["f"])]);
    harness.advance(400);
    let moved = moves(&harness.decide());
    assert_eq!(moved.len(), 2);
    assert!(moved.values().all(|pool| pool == OTHER));
}

#[test]
fn stored_pool_sizes_are_kept() {
    let mut harness = harness(&[(POOL, &["a", "b", "c", "d"]), (OTHER, &["e"])]);
    let homes = [(Arc::from(POOL), 2), (Arc::from(OTHER), 3)];
    harness.shard.set_pool_sizes(homes.into());
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

const MANY: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

#[test]
fn an_early_wave_spreads_idle_hosts() {
    let mut harness = harness(&[(POOL, &MANY)]);
    let now = harness.now;
    add_wave(&mut harness, &MANY, 50_000, now);
    assert_eq!(maintained_hosts(&harness.decide()), 1, "each takes 2 s, and 20 s are enough");
}

#[test]
fn an_urgent_wave_takes_all_idle_hosts() {
    let mut harness = harness(&[(POOL, &MANY)]);
    let now = harness.now;
    add_wave(&mut harness, &MANY, 2_000, now);
    assert_eq!(maintained_hosts(&harness.decide()), 10);
}

#[test]
fn a_late_wave_drains_busy_hosts() {
    let mut harness = harness(&[(POOL, &["a", "b", "c", "d", "e", "f"])]);
    harness.submit("job", vec![step(6, 64)]);
    let effects = harness.decide();
    assert_eq!(harness.confirm_starts(&effects).len(), 6);
    let now = harness.now;
    add_wave(&mut harness, &["a", "b", "c", "d", "e", "f"], 20_000, now);
    harness.decide();
    let emptied = |harness: &Harness| 6 - harness.shard.pool_loads(harness.now)[POOL].usable;
    assert_eq!(emptied(&harness), 2);
    harness.advance(1500);
    harness.decide();
    harness.advance(13_000);
    for name in ["a", "b", "c", "d", "e", "f"] {
        harness.shard.update_clock(&shard::server(name), harness.reading());
    }
    harness.decide();
    assert_eq!(emptied(&harness), 6);
}
