//! Which pool gets which host.
//!
//! The decision follows a slow mean of demand with hysteresis, never a burst:
//! a move costs a drain and a reboot's worth of capacity, so it has to pay for
//! itself. The spare pool is first to give and last to take. See
//! `docs/DESIGN.md`, section "Capacity".

use std::collections::BTreeMap;

use crate::name;

/// What a pool has and needs in one data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolDemand {
    /// Hosts that the pool should have.
    pub target_hosts: u32,
    /// Hosts that the pool has, leaving ones not counted.
    pub owned_hosts: u32,
    /// Whether the pool holds what no other needs.
    pub is_spare: bool,
}

/// One change of ownership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// Give a free host to a pool.
    Assign {
        /// The receiver.
        pool: name::Pool,
    },
    /// Take a host out of a pool that can spare it.
    Withdraw {
        /// The giver.
        pool: name::Pool,
    },
}

/// Splits what a service needs over data centres as evenly as the hosts allow.
///
/// The remainder goes to the first data centres in the order of their names,
/// which every planner computes alike without asking another.
pub fn hosts_for_data_centre(
    hosts: u32,
    data_centres: &[name::DataCentre],
    mine: &name::DataCentre,
) -> u32 {
    let count = data_centres.len() as u32;
    let Some(place) = data_centres.iter().position(|name| name == mine) else { return 0 };
    let extra = u32::from((place as u32) < hosts % count);
    hosts / count + extra
}

/// Decides the changes of ownership of one data centre.
///
/// `free` is the number of hosts that no pool owns, `coming` the number of those
/// that leave their pools already. Pools that lack hosts are
/// served in the order of their shortage; a host is withdrawn only where a pool
/// lacks one and no free host is left, and the spare pool takes what remains.
pub fn plan_changes(
    pools: &BTreeMap<name::Pool, PoolDemand>,
    free: u32,
    coming: u32,
) -> Vec<OwnershipChange> {
    let mut lacking: Vec<(&name::Pool, u32)> = pools
        .iter()
        .filter(|(_, need)| !need.is_spare && need.owned_hosts < need.target_hosts)
        .map(|(pool, need)| (pool, need.target_hosts - need.owned_hosts))
        .collect();
    lacking.sort_by_key(|&(pool, short)| (std::cmp::Reverse(short), pool));
    let total: u32 = lacking.iter().map(|(_, short)| short).sum();

    let mut changes = Vec::new();
    let mut left = free;
    for (pool, short) in lacking {
        let given = short.min(left);
        left -= given;
        changes.extend((0..given).map(|_| OwnershipChange::Assign { pool: pool.clone() }));
    }
    changes.extend(withdrawals(pools, total.saturating_sub(free + coming)));
    let is_settled = total <= free;
    if let Some((pool, _)) = pools.iter().find(|(_, need)| is_settled && need.is_spare) {
        changes.extend((0..left).map(|_| OwnershipChange::Assign { pool: pool.clone() }));
    }
    changes
}

fn withdrawals(pools: &BTreeMap<name::Pool, PoolDemand>, wanted: u32) -> Vec<OwnershipChange> {
    let mut givers: Vec<(&name::Pool, &PoolDemand)> = pools
        .iter()
        .filter(|(_, need)| need.is_spare || need.owned_hosts > need.target_hosts)
        .collect();
    givers.sort_by_key(|(pool, need)| (!need.is_spare, *pool));
    givers
        .into_iter()
        .flat_map(|(pool, need)| {
            let surplus = need.owned_hosts.saturating_sub(need.target_hosts);
            (0..surplus).map(|_| OwnershipChange::Withdraw { pool: pool.clone() })
        })
        .take(wanted as usize)
        .collect()
}
