//! Owners of hosts and jobs: every process computes the same one, and shards are about equal.

use std::collections::BTreeMap;

use skylarkwick_version::sharding::{ShardId, Sharding, preference};

#[test]
fn small_site_undivided() {
    for hosts in [0, 1, 49, 104] {
        assert_eq!(Sharding::for_hosts(hosts), Sharding::SINGLE, "{hosts} hosts");
    }
    assert_eq!(Sharding::SINGLE.owner("any"), ShardId(0));
    assert_eq!(Sharding::new(0), Sharding::SINGLE);
}

#[test]
fn division_grows() {
    assert_eq!(Sharding::for_hosts(350).count(), 5);
    assert_eq!(Sharding::for_hosts(1100).count(), 16);
    assert!(Sharding::for_hosts(23_000).count() > 300);
}

/// The owners of stored jobs must not change with a release.
#[test]
fn owner_is_stable() {
    let sharding = Sharding::new(16);
    let owners = ["5c0e7a21d94b36f8", "m-1", "m-2", ""].map(|name| sharding.owner(name).0);
    assert_eq!(owners, OWNERS);
}

const OWNERS: [u32; 4] = [7, 0, 7, 6];

#[test]
fn shares_are_even() {
    let sharding = Sharding::new(8);
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
        Sharding::new(16).shards().max_by_key(|shard| preference(entry, *shard)).unwrap()
    };
    let mut preferred: BTreeMap<ShardId, usize> = BTreeMap::new();
    for number in 0..160 {
        *preferred.entry(first(&format!("front-{number}"))).or_default() += 1;
    }
    assert!(preferred.len() >= 14, "{preferred:?}");
}
