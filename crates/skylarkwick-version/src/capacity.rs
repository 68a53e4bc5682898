//! Assignment of hosts to pools.
//!
//! Assignments follow the numbers of hosts in the services' documents and ignore
//! bursts of load: moving a host costs the capacity lost to a drain and a reboot.
//! Hosts are withdrawn from the spare pool first and assigned to it last. See
//! `docs/DESIGN.md`, section "Capacity".

use std::collections::BTreeMap;

use crate::name;

/// Number of hosts that a pool owns and needs in one data centre, and whether it is the
/// spare pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemand {
    /// Number of hosts that the pool should own according to its services' documents.
    pub target_hosts: u32,
    /// Number of hosts that the pool owns and can count on: without those that leave it
    /// for a move or a drain, and active ones that do not respond.
    pub owned_hosts: u32,
    /// Whether the pool takes the hosts that no other pool needs.
    pub is_spare: bool,
}

/// Change of ownership of one host: a pool gets a free host, or gives up one of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// Assign a free host to a pool.
    Assign {
        /// Pool that receives the host.
        pool: name::Pool,
    },
    /// Withdraw a host from a pool that has a surplus.
    Withdraw {
        /// Pool that loses the host.
        pool: name::Pool,
    },
}

/// Returns the share of a service's `hosts` that data centre `local` provides.
///
/// Hosts are divided evenly over `data_centres`, and the remainder goes to the
/// first ones. All planners pass the same list, ordered by name, so their shares
/// add up to `hosts` without coordination. Returns 0 if `local` is not listed.
pub fn hosts_for_data_centre(
    hosts: u32,
    data_centres: &[name::DataCentre],
    local: &name::DataCentre,
) -> u32 {
    let count = data_centres.len() as u32;
    let Some(index) = data_centres.iter().position(|name| name == local) else { return 0 };
    let remainder = u32::from((index as u32) < hosts % count);
    hosts / count + remainder
}

/// Returns the ownership changes that a data centre needs, one for each host that
/// changes; the caller selects the hosts.
///
/// `free` is the number of hosts that no pool owns, and `arriving` the number of
/// hosts that are leaving a pool and will be free. Free hosts go to the pools
/// with the largest shortage first. Hosts are withdrawn from other pools only
/// for a shortage that free and arriving hosts do not cover. Without a shortage,
/// the spare pool gets the remaining free hosts.
pub fn plan_changes(
    pools: &BTreeMap<name::Pool, PoolDemand>,
    free: u32,
    arriving: u32,
) -> Vec<OwnershipChange> {
    let mut shortages: Vec<(&name::Pool, u32)> = pools
        .iter()
        .filter(|(_, demand)| !demand.is_spare && demand.owned_hosts < demand.target_hosts)
        .map(|(pool, demand)| (pool, demand.target_hosts - demand.owned_hosts))
        .collect();
    shortages.sort_by_key(|&(pool, shortage)| (std::cmp::Reverse(shortage), pool));
    let total_shortage: u32 = shortages.iter().map(|(_, shortage)| shortage).sum();

    let mut changes = Vec::new();
    let mut remaining = free;
    for (pool, shortage) in shortages {
        let assigned = shortage.min(remaining);
        remaining -= assigned;
        changes.extend((0..assigned).map(|_| OwnershipChange::Assign { pool: pool.clone() }));
    }
    changes.extend(withdrawals(pools, total_shortage.saturating_sub(free + arriving)));
    let has_no_shortage = total_shortage <= free;
    if let Some((pool, _)) = pools.iter().find(|(_, demand)| has_no_shortage && demand.is_spare) {
        changes.extend((0..remaining).map(|_| OwnershipChange::Assign { pool: pool.clone() }));
    }
    changes
}

/// Returns at most `count` withdrawals, from the spare pool first and then from the other
/// pools by name; each pool loses at most its surplus over its target.
fn withdrawals(pools: &BTreeMap<name::Pool, PoolDemand>, count: u32) -> Vec<OwnershipChange> {
    let mut donors: Vec<(&name::Pool, &PoolDemand)> = pools
        .iter()
        .filter(|(_, demand)| demand.is_spare || demand.owned_hosts > demand.target_hosts)
        .collect();
    donors.sort_by_key(|(pool, demand)| (!demand.is_spare, *pool));
    donors
        .into_iter()
        .flat_map(|(pool, demand)| {
            let surplus = demand.owned_hosts.saturating_sub(demand.target_hosts);
            (0..surplus).map(|_| OwnershipChange::Withdraw { pool: pool.clone() })
        })
        .take(count as usize)
        .collect()
}
