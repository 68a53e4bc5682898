//! Hosts move to the pools whose jobs need them, and back when these are done.

mod shard;

use std::{collections::BTreeMap, sync::Arc};

use shard::{POOL, Site, host, ms, step, up};
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

fn maintained(effects: &[Effect]) -> usize {
    effects.iter().filter(|effect| matches!(effect, Effect::MaintainHost { .. })).count()
}

/// Creates a shard with hosts in some pools; each server has the name of its
/// host.
fn site(pools: &[(&'static str, &[&'static str])]) -> Site {
    let names: Vec<&str> = pools.iter().flat_map(|(_, names)| names.iter().copied()).collect();
    let mut site = Site::with_servers(&names);
    place(&mut site, pools);
    for name in names {
        site.look(name, &[], &[]);
    }
    site
}

/// Lists the hosts and their servers in the given pools.
fn place(site: &mut Site, pools: &[(&'static str, &[&'static str])]) {
    let mut hosts = Vec::new();
    for (pool, names) in pools {
        for name in *names {
            hosts.push(up(name, pool, Some(name)));
            for listing in site.listings.iter_mut().filter(|listing| &*listing.id.0 == *name) {
                listing.pool = Arc::from(*pool);
            }
        }
    }
    site.shard.set_servers(site.now, site.listings.clone());
    site.shard.set_hosts(site.now, hosts);
    site.shard.set_spare_pools([Arc::from(SPARE)].into());
}

#[test]
fn a_burst_brings_idle_hosts_at_once() {
    let mut site = site(&[(POOL, &["a"]), (OTHER, &["b", "c", "d", "e"])]);
    site.submit("job", vec![step(30, 16)]);
    let moved = moves(&site.decide());
    assert!(!moved.is_empty() && moved.len() <= 2, "the giving pool keeps two hosts: {moved:?}");
    assert!(moved.values().all(|pool| pool == POOL));
}

#[test]
fn hosts_that_are_off_come_last() {
    let mut site = site(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"]), (SPARE, &["s"])]);
    site.submit("job", vec![step(6, 16)]);
    let moved = moves(&site.decide());
    assert_eq!(moved.keys().collect::<Vec<_>>(), ["d"], "one more host is enough");
}

#[test]
fn a_large_burst_takes_hosts_that_are_off() {
    let mut site = site(&[(POOL, &["a"]), (OTHER, &["b", "c"]), (SPARE, &["s"])]);
    site.submit("job", vec![step(30, 16)]);
    assert_eq!(moves(&site.decide()).keys().collect::<Vec<_>>(), ["s"]);
}

#[test]
fn a_host_that_has_arrived_works_at_once() {
    let mut site = site(&[(POOL, &["a"]), (OTHER, &["b", "c", "d"])]);
    site.submit("job", vec![step(6, 32)]);
    let moved = moves(&site.decide()).into_keys().next().unwrap();
    site.shard.handle_host_order_result(site.now, &host(&moved), HostOrderResult::Done);
    site.advance(1600);
    // The new server is listed while the list of hosts still shows the old
    // pool.
    let arrived = shard::listing("new", POOL, &moved);
    site.listings.push(arrived);
    site.shard.set_servers(site.now, site.listings.clone());
    site.decide();
    site.look("new", &[], &[]);
    let started = shard::starts(&site.decide());
    assert!(started.iter().any(|(server, _)| &*server.0 == "new"), "{started:?}");
}

#[test]
fn idle_hosts_go_home() {
    let mut site = site(&[(POOL, &["a", "b", "c"]), (OTHER, &["d", "e", "f"])]);
    assert!(moves(&site.decide()).is_empty());
    // A burst in one pool has taken two hosts of the other, and is over.
    place(&mut site, &[(POOL, &["a", "b", "c", "d", "e"]), (OTHER, &["f"])]);
    site.advance(400);
    let moved = moves(&site.decide());
    assert_eq!(moved.len(), 2);
    assert!(moved.values().all(|pool| pool == OTHER));
}

#[test]
fn sizes_of_an_earlier_holder_hold() {
    let mut site = site(&[(POOL, &["a", "b", "c", "d"]), (OTHER, &["e"])]);
    let homes = [(Arc::from(POOL), 2), (Arc::from(OTHER), 3)];
    site.shard.set_pool_sizes(homes.into());
    site.advance(400);
    let effects = site.decide();
    assert_eq!(moves(&effects).len(), 2);
    assert!(!effects.iter().any(|effect| matches!(effect, Effect::SavePoolSizes(_))));
}

fn ask(site: &mut Site, names: &[&str], time_left: u64, now: Moment) {
    let hosts = names.iter().map(|name| host(name)).collect();
    let wave = MaintenanceWave {
        number: 1,
        hosts,
        time_left: ms(time_left),
        max_unavailable: 10,
        started: Default::default(),
    };
    site.shard.add_wave(now, wave);
}

const MANY: [&str; 10] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"];

#[test]
fn a_wave_with_time_takes_idle_hosts_one_after_another() {
    let mut site = site(&[(POOL, &MANY)]);
    let now = site.now;
    ask(&mut site, &MANY, 50_000, now);
    assert_eq!(maintained(&site.decide()), 1, "each takes 2 s, and 20 s are enough");
}

#[test]
fn a_wave_without_time_takes_all_at_once() {
    let mut site = site(&[(POOL, &MANY)]);
    let now = site.now;
    ask(&mut site, &MANY, 2_000, now);
    assert_eq!(maintained(&site.decide()), 10);
}

#[test]
fn a_late_wave_empties_busy_hosts() {
    let mut site = site(&[(POOL, &["a", "b", "c", "d", "e", "f"])]);
    site.submit("job", vec![step(6, 64)]);
    let effects = site.decide();
    assert_eq!(site.confirm(&effects).len(), 6);
    let now = site.now;
    ask(&mut site, &["a", "b", "c", "d", "e", "f"], 20_000, now);
    site.decide();
    let emptied = |site: &Site| 6 - site.shard.pool_loads(site.now)[POOL].usable;
    assert_eq!(emptied(&site), 2);
    site.advance(1500);
    site.decide();
    site.advance(13_000);
    for name in ["a", "b", "c", "d", "e", "f"] {
        site.shard.update_clock(&shard::server(name), site.reading());
    }
    site.decide();
    assert_eq!(emptied(&site), 6);
}
