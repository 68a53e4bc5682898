//! Division of a site into shards, each scheduled by one holder.
//!
//! A shard owns a fixed part of the site's hosts, taken from every pool and
//! every rack alike, and the jobs whose identifiers belong to it. Every process
//! computes the same owner from the stored division and a name, so that no process
//! has to ask another one. The division never changes once it is stored.
//! See `docs/DESIGN.md`, section "Shards".

use std::{cmp::Reverse, collections::BTreeMap, fmt, num::NonZeroU32};

/// Number of hosts that one shard should have; a site with more gets more shards.
const HOSTS_PER_SHARD: usize = 115;
/// Largest number of shards of a site.
const MAX_SHARDS: u32 = 512;
/// Number of seeds that are compared for the most even division.
const SEEDS: u32 = 512;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
/// Spreads the bits of a seed (the golden ratio as a fraction of 2^64).
const SEED_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identity of a shard of a site: its number, counted from 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    /// Writes the number.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Division of a site into a number of shards; the seed selects one of the ways to divide it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharding {
    count: NonZeroU32,
    seed: u32,
}

impl Sharding {
    /// A site with a single shard.
    pub const SINGLE: Sharding = Sharding { count: NonZeroU32::MIN, seed: 0 };

    /// Creates a division into `count` shards; zero counts as one.
    pub fn new(count: u32, seed: u32) -> Sharding {
        let count = NonZeroU32::new(count.min(MAX_SHARDS)).unwrap_or(NonZeroU32::MIN);
        Sharding { count, seed }
    }

    /// Returns the division for a site with these hosts, each given by its pool and name: about
    /// [`HOSTS_PER_SHARD`] in each shard. Jobs spread evenly over the shards, so of many
    /// divisions it is the one that spreads the hosts of each pool most evenly.
    pub fn for_hosts(hosts: &[(&str, &str)]) -> Sharding {
        let count = (hosts.len() + HOSTS_PER_SHARD / 2) / HOSTS_PER_SHARD;
        let count = u32::try_from(count).unwrap_or(MAX_SHARDS);
        let seeds = if count > 1 { SEEDS } else { 1 };
        let divisions = (0..seeds).map(|seed| Sharding::new(count, seed));
        divisions
            .max_by_key(|sharding| Reverse(sharding.unevenness(hosts)))
            .unwrap_or(Sharding::SINGLE)
    }

    /// Returns the sum of the squared numbers of hosts of each shard, and of each pool in each
    /// shard: the lower, the more even.
    fn unevenness(self, hosts: &[(&str, &str)]) -> usize {
        let mut of_shards: BTreeMap<ShardId, usize> = BTreeMap::new();
        let mut of_pools: BTreeMap<(ShardId, &str), usize> = BTreeMap::new();
        for (pool, name) in hosts {
            let shard = self.owner(name);
            *of_shards.entry(shard).or_default() += 1;
            *of_pools.entry((shard, pool)).or_default() += 1;
        }
        of_shards.values().chain(of_pools.values()).map(|hosts| hosts * hosts).sum()
    }

    /// Returns the number of shards.
    pub fn count(self) -> u32 {
        self.count.get()
    }

    /// Returns the seed, which selects one of the ways to divide the site.
    pub fn seed(self) -> u32 {
        self.seed
    }

    /// Returns all shards of the site.
    pub fn shards(self) -> impl Iterator<Item = ShardId> {
        (0..self.count.get()).map(ShardId)
    }

    /// Returns the shard that owns the host or job with this name.
    pub fn owner(self, name: &str) -> ShardId {
        // The remainder of a 64-bit hash by a 32-bit number fits in 32 bits.
        let seed = u64::from(self.seed).wrapping_mul(SEED_FACTOR);
        let number = spread(hash(name.bytes()) ^ seed) % u64::from(self.count.get());
        ShardId(u32::try_from(number).unwrap_or_default())
    }
}

/// Returns how strongly an entry host prefers a shard over others that it could acquire;
/// different entry hosts prefer different shards, so that they rarely compete for one.
pub fn preference(entry: &str, shard: ShardId) -> u64 {
    spread(hash(entry.bytes().chain(shard.0.to_be_bytes())))
}

/// Returns the 64-bit FNV-1a hash; it is part of the stored format, because jobs and hosts
/// are assigned to shards by it.
fn hash(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Mixes the bits of a hash, so that those of names that differ in one character spread over
/// all remainders (the finalizer of MurmurHash3).
fn spread(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
