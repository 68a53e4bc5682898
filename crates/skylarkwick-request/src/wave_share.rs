//! Division of a maintenance wave among the shards of a site.
//!
//! Each shard maintains its own hosts of the wave. The hosts that may be down at once are
//! divided so that the shards together never exceed the wave's limit, without a call between
//! their holders. If there are fewer than shards, some shards wait for others to finish. See
//! `docs/DESIGN.md`, section "Hosts and waves".

use skylarkwick_version::sharding::{ShardId, Sharding};

use crate::shard::input::MaintenanceWave;

/// A shard's part of a wave: its hosts, how many of them may be down at once, and the shard
/// that has to finish its own part first, if any.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The wave as the shard carries it out.
    pub wave: MaintenanceWave,
    /// Shard whose part has to be over before this one begins.
    pub predecessor: Option<ShardId>,
}

/// Returns a shard's part of a wave; `None` if it has none of its hosts. A wave without hosts
/// belongs to the first shard.
pub fn share(wave: &MaintenanceWave, sharding: Sharding, shard: ShardId) -> Option<Share> {
    let hosts_of = |shard| wave.hosts.iter().filter(move |host| sharding.owner(&host.0) == shard);
    if wave.hosts.is_empty() {
        let share = Share { wave: wave.clone(), predecessor: None };
        return (shard == ShardId::default()).then_some(share);
    }
    let active: Vec<(ShardId, usize)> = sharding
        .shards()
        .map(|shard| (shard, hosts_of(shard).count()))
        .filter(|(_, hosts)| *hosts > 0)
        .collect();
    let position = active.iter().position(|(active, _)| *active == shard)?;
    let limit = wave.max_unavailable.max(1);
    let (max_unavailable, predecessor) = match limit.checked_sub(active.len()) {
        Some(extra) => (1 + extra_share(&active, position, extra), None),
        // One shard after the other in as many rows as hosts may be down.
        None => (1, position.checked_sub(limit).map(|before| active[before].0)),
    };
    let hosts = hosts_of(shard).cloned().collect();
    let wave = MaintenanceWave { hosts, max_unavailable, ..wave.clone() };
    Some(Share { wave, predecessor })
}

/// Returns the part of `extra` for the shard at a position, in proportion to its hosts: the
/// parts of all shards add up to `extra`.
fn extra_share(active: &[(ShardId, usize)], position: usize, extra: usize) -> usize {
    let hosts_before =
        |position: usize| active[..position].iter().map(|(_, hosts)| hosts).sum::<usize>();
    let all = hosts_before(active.len());
    hosts_before(position + 1) * extra / all - hosts_before(position) * extra / all
}
