//! Owners of hosts and jobs: every process computes the same one, and shards are about equal.

use std::collections::BTreeMap;

use skylarkwick_version::sharding::{ShardId, Sharding, preference};

/// Returns the names of hosts with their pools, five of different sizes.
fn hosts(count: usize) -> Vec<(&'static str, String)> {
    let pools = ["a", "b", "b", "c", "c", "c", "d", "d", "d", "d", "e"];
    (0..count).map(|number| (pools[number % pools.len()], format!("m-{number:x}"))).collect()
}

fn division(hosts: &[(&'static str, String)]) -> Sharding {
    let listed: Vec<(&str, &str)> = hosts.iter().map(|(pool, name)| (*pool, &**name)).collect();
    Sharding::for_hosts(&listed)
}

#[test]
fn small_site_undivided() {
    for count in [0, 1, 49, 132] {
        assert_eq!(division(&hosts(count)), Sharding::SINGLE, "{count} hosts");
    }
    assert_eq!(Sharding::SINGLE.owner("any"), ShardId(0));
    assert_eq!(Sharding::new(0, 0), Sharding::SINGLE);
}

#[test]
fn division_grows() {
    assert_eq!(division(&hosts(350)).count(), 3);
    assert_eq!(division(&hosts(1100)).count(), 10);
    assert_eq!(division(&hosts(23_000)).count(), 200);
}

/// A shard with fewer hosts than others is full while theirs are idle, because jobs spread
/// evenly.
#[test]
fn hosts_are_even() {
    for count in [180, 350, 1100] {
        let hosts = hosts(count);
        let sharding = division(&hosts);
        let mut shares: BTreeMap<ShardId, usize> = BTreeMap::new();
        for (_, name) in &hosts {
            *shares.entry(sharding.owner(name)).or_default() += 1;
        }
        let mean = count / shares.len();
        let is_even = |share: &usize| share.abs_diff(mean) <= mean / 5;
        assert!(shares.values().all(is_even), "{count} hosts: {shares:?}");
    }
}

/// The owners of stored jobs must not change with a release.
#[test]
fn owner_is_stable() {
    let sharding = Sharding::new(16, 0);
    let owners = ["5c0e7a21d94b36f8", "m-1", "m-2", ""].map(|name| sharding.owner(name).0);
    assert_eq!(owners, OWNERS);
}

const OWNERS: [u32; 4] = [7, 0, 7, 6];

#[test]
fn shares_are_even() {
    let sharding = Sharding::new(8, 0);
    let mut shares: BTreeMap<ShardId, usize> = BTreeMap::new();
    for number in 0..8000 {
        *shares.entry(sharding.owner(&format!("machine-{number:04}"))).or_default() += 1;
    }
    assert_eq!(shares.len(), 8);
    assert!(shares.values().all(|share| (850..1150).contains(share)), "{shares:?}");
}

#[test]
fn preferences_differ() {
    let first = |entry: &str| {
        Sharding::new(16, 0).shards().max_by_key(|shard| preference(entry, *shard)).unwrap()
    };
    let mut preferred: BTreeMap<ShardId, usize> = BTreeMap::new();
    for number in 0..160 {
        *preferred.entry(first(&format!("front-{number}"))).or_default() += 1;
    }
    assert!(preferred.len() >= 14, "{preferred:?}");
}
