//! A wave over several shards: together they have no more hosts down than the wave allows.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use skylarkwick_request::{
    shard::input::{HostId, MaintenanceWave},
    wave_share::{Share, share},
};
use skylarkwick_version::sharding::{ShardId, Sharding};

fn wave(hosts: usize, max_unavailable: usize) -> MaintenanceWave {
    MaintenanceWave {
        number: 7,
        hosts: (0..hosts).map(|number| HostId(Arc::from(format!("m-{number}")))).collect(),
        time_left: Duration::from_secs(20),
        max_unavailable,
        started: BTreeSet::new(),
    }
}

fn shares(wave: &MaintenanceWave, count: u32) -> Vec<(ShardId, Share)> {
    let sharding = Sharding::new(count, 0);
    sharding.shards().filter_map(|shard| Some((shard, share(wave, sharding, shard)?))).collect()
}

#[test]
fn hosts_divided() {
    for count in [1, 2, 5, 16] {
        let wave = wave(100, 40);
        let shares = shares(&wave, count);
        let hosts: BTreeSet<HostId> =
            shares.iter().flat_map(|(_, share)| share.wave.hosts.clone()).collect();
        assert_eq!(hosts, wave.hosts, "{count} shards");
        let sum: usize = shares.iter().map(|(_, share)| share.wave.hosts.len()).sum();
        assert_eq!(sum, 100, "no host belongs to two of {count} shards");
    }
}

#[test]
fn limit_kept() {
    for (hosts, limit) in [(100, 40), (100, 16), (3, 2), (100, 17), (40, 100)] {
        for count in [1, 2, 5, 16] {
            let shares = shares(&wave(hosts, limit), count);
            // Shards that wait for another one are never down together with it.
            let at_once = shares.iter().filter(|(_, share)| share.predecessor.is_none());
            let down: usize = at_once.map(|(_, share)| share.wave.max_unavailable).sum();
            assert!(down <= limit, "{down} of {limit} down with {count} shards");
            assert!(shares.iter().all(|(_, share)| share.wave.max_unavailable >= 1));
        }
    }
}

#[test]
fn shards_take_turns() {
    let shares = shares(&wave(100, 3), 16);
    let starters = shares.iter().filter(|(_, share)| share.predecessor.is_none()).count();
    assert_eq!(starters, 3);
    let predecessors: BTreeSet<ShardId> =
        shares.iter().filter_map(|(_, share)| share.predecessor).collect();
    assert_eq!(predecessors.len(), shares.len() - 3, "each shard is followed by one at most");
}

#[test]
fn empty_wave_has_owner() {
    assert_eq!(shares(&wave(0, 0), 16).len(), 1);
}
