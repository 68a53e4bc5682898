//! Allocation of hosts to pools.
//!
//! Each pool first gets hosts for its current jobs. The remaining hosts go to
//! the pools in proportion to their initial sizes, which operators chose, so
//! that each has hosts ready for its next burst: a host that arrives after the
//! burst has begun is too late for its first jobs. See `docs/DESIGN.md`, section
//! "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{Shard, fleet::Occupancy, input::HostId, trend::Trend};

/// Processor time allocated for tasks that are not long-running, in percent of
/// what the current jobs need to finish in time; more jobs arrive while a host
/// moves.
const HEADROOM_PERCENT: u64 = 150;
/// Fewest hosts that a pool keeps for the start of its next burst when others
/// take hosts from it.
const MIN_RESERVE_HOSTS: usize = 2;
/// A pool keeps its initial number of hosts divided by this for the start of
/// its next burst, or `MIN_RESERVE_HOSTS` if that is more.
const RESERVE_DIVISOR: usize = 2;
/// Time for which a task that needs most of a host finds no room in its pool
/// until the pool gets another host; in a burst, room is soon free again.
const EMPTY_HOST_DELAY: Duration = Duration::from_millis(1000);
/// Shortest time between two rounds of rebalancing, which move hosts towards
/// the targets of the pools.
const REBALANCE_PERIOD: Duration = Duration::from_millis(300);
/// Upper limit of the hosts that count as needed by a pool; more than a shard has.
const MAX_NEEDED_HOSTS: usize = 100_000;
/// A round of rebalancing moves at most the number of all hosts divided by
/// this, or `MIN_REBALANCED_HOSTS` if that is more.
const REBALANCE_DIVISOR: usize = 16;
/// Hosts that a round of rebalancing may move even if the divisor allows fewer.
const MIN_REBALANCED_HOSTS: usize = 3;

/// Allocation of hosts to one pool: how many it has, needs and should have, how
/// many it keeps in reserve, and which may move.
#[derive(Clone, Debug, Default)]
pub(super) struct Allocation {
    /// Hosts in the pool or ordered to move to it, without those that drain or
    /// are ordered to leave.
    pub(super) hosts: usize,
    /// Hosts that the current jobs need.
    pub(super) needed: usize,
    /// Hosts that the pool should have: those needed and its share of the
    /// others.
    pub(super) target: usize,
    /// Hosts that stay for the start of the next burst.
    reserve: usize,
    /// Idle hosts without an order, which may move.
    idle: Vec<HostId>,
}

impl Allocation {
    /// Returns how many idle hosts may leave the pool while it keeps as many
    /// hosts as the larger of `kept` and its reserve.
    pub(super) fn surplus(&self, kept: usize) -> usize {
        self.hosts.saturating_sub(kept.max(self.reserve)).min(self.idle.len())
    }

    /// Returns whether a host is idle and may move.
    pub(super) fn is_idle(&self, host: &HostId) -> bool {
        self.idle.contains(host)
    }

    /// Keeps an idle host in the pool.
    pub(super) fn keep(&mut self, host: &HostId) {
        self.idle.retain(|idle| idle != host);
    }

    /// Removes an idle host from this allocation, which then counts one host less.
    pub(super) fn remove(&mut self, host: &HostId) {
        self.keep(host);
        self.hosts = self.hosts.saturating_sub(1);
    }

    /// Removes an idle host from this allocation, which then counts one host
    /// less, and returns it; `None` if there is none.
    fn take_idle_host(&mut self) -> Option<HostId> {
        let host = self.idle.pop()?;
        self.hosts -= 1;
        Some(host)
    }
}

/// Allocation of each pool, spare pools included.
pub(super) type Allocations = BTreeMap<Arc<str>, Allocation>;

impl Shard {
    /// Orders idle hosts to move to the pools that need them for their current
    /// jobs, those with a required label first, and at most once in
    /// `REBALANCE_PERIOD` (0.3 s) towards the targets of the pools. Keeps the allocations for metrics.
    pub(super) fn allocate_hosts(&mut self, now: Moment, occupancy: &Occupancy) {
        let mut allocations = self.allocations(now, occupancy);
        self.set_targets(&mut allocations);
        self.supply_labelled_hosts(&mut allocations);
        self.meet_demand(&mut allocations);
        if now.since(self.fleet.last_rebalance) >= REBALANCE_PERIOD {
            self.fleet.last_rebalance = now;
            self.rebalance(&mut allocations);
        }
        self.fleet.allocations = allocations;
    }

    /// Returns the allocation of each pool that has hosts or a queue: what it
    /// has, needs and keeps in reserve, and its idle hosts. The targets are not
    /// set yet. Takes the present demand of each pool into its trend.
    fn allocations(&mut self, now: Moment, occupancy: &Occupancy) -> Allocations {
        let mut allocations = Allocations::new();
        for host in self.fleet.hosts.values() {
            let pool = self.fleet.target_pool(host);
            let allocation = allocations.entry(Arc::clone(pool)).or_default();
            // A draining host accepts no work, so its pool can't count on it.
            allocation.hosts += usize::from(!self.fleet.draining.contains(&host.id));
            if occupancy.is_idle(&host.id) && !self.fleet.is_draining_or_ordered(&host.id) {
                allocation.idle.push(host.id.clone());
            }
        }
        for (pool, allocation) in &mut allocations {
            allocation.reserve = MIN_RESERVE_HOSTS.max(self.initial_size(pool) / RESERVE_DIVISOR);
        }
        let host_millicores = self.fleet.mean_capacity().millicores.max(1);
        let demand = self.demand(now);
        self.fleet.trends.retain(|pool, _| demand.contains_key(pool));
        for (pool, demand) in demand {
            let new_trend = || Trend::new(now, demand.batch_millicores);
            let trend = self.fleet.trends.entry(Arc::clone(&pool)).or_insert_with(new_trend);
            let forecast = trend.forecast(now, demand.batch_millicores);
            let batch_millicores = forecast.saturating_mul(HEADROOM_PERCENT) / 100;
            let allocation = allocations.entry(Arc::clone(&pool)).or_default();
            let millicores = batch_millicores.saturating_add(demand.long_running_millicores);
            let hosts = hosts_for(millicores, host_millicores).min(MAX_NEEDED_HOSTS);
            allocation.needed = hosts.max(demand.min_hosts);
            if self.lacks_empty_host(now, &pool, allocation) {
                allocation.needed = allocation.needed.max(allocation.hosts + 1);
            }
        }
        allocations
    }

    /// Returns whether a pool needs another host because a task that needs most
    /// of one has found no room for `EMPTY_HOST_DELAY`, and no host of the pool
    /// is idle or on its way.
    ///
    /// The demand counts processor time, which the pool may have enough of in
    /// parts that are too small for such a task.
    fn lacks_empty_host(&self, now: Moment, pool: &Arc<str>, allocation: &Allocation) -> bool {
        let since = self.fleet.lacking_room.get(pool);
        since.is_some_and(|since| now.since(*since) >= EMPTY_HOST_DELAY)
            && allocation.idle.is_empty()
            && !self.fleet.is_host_arriving(pool)
    }

    /// Returns the initial number of hosts of a pool, 0 if unknown.
    fn initial_size(&self, pool: &Arc<str>) -> usize {
        self.fleet.pool_sizes.get(pool).copied().unwrap_or_default()
    }

    /// Sets the targets: each pool gets the hosts that its jobs need, and a
    /// share, rounded down, of the hosts that are left, in proportion to how
    /// many more its initial size is than what it needs. Spare pools, whose
    /// hosts are powered off, have no target, and their hosts are not shared
    /// out.
    fn set_targets(&self, allocations: &mut Allocations) {
        let is_active = |pool: &Arc<str>| !self.fleet.spare_pools.contains(pool);
        let active_pools = || allocations.iter().filter(|(pool, _)| is_active(pool));
        let hosts: usize = active_pools().map(|(_, allocation)| allocation.hosts).sum();
        let needed: usize = active_pools().map(|(_, allocation)| allocation.needed).sum();
        let total_shortfall: usize = active_pools()
            .map(|(pool, allocation)| self.initial_size(pool).saturating_sub(allocation.needed))
            .sum();
        let remaining = hosts.saturating_sub(needed);
        for (pool, allocation) in allocations.iter_mut().filter(|(pool, _)| is_active(pool)) {
            let shortfall = self.initial_size(pool).saturating_sub(allocation.needed);
            allocation.target = allocation.needed + remaining * shortfall / total_shortfall.max(1);
        }
    }

    /// Orders hosts to move to the pools that have fewer than their current
    /// jobs need, until there is no such pool or no host can move to the one
    /// that lacks most. They come from pools with a surplus and no unmet
    /// demand, or else from spare pools, whose hosts are powered off.
    fn meet_demand(&mut self, allocations: &mut Allocations) {
        while let Some(receiver) = largest(allocations, |pool, allocation| {
            let shortfall = allocation.needed.saturating_sub(allocation.hosts);
            if self.fleet.spare_pools.contains(pool) { 0 } else { shortfall }
        }) {
            let donor = largest(allocations, |pool, allocation| {
                let is_active = !self.fleet.spare_pools.contains(pool);
                let may_donate = is_active
                    && *pool != receiver
                    && !self.fleet.unmet_millicores.contains_key(pool);
                if may_donate { allocation.surplus(allocation.needed) } else { 0 }
            });
            let spare = || {
                largest(allocations, |pool, allocation| {
                    if self.fleet.spare_pools.contains(pool) { allocation.idle.len() } else { 0 }
                })
            };
            let Some(donor) = donor.or_else(spare) else {
                return;
            };
            self.transfer(allocations, &donor, &receiver);
        }
    }

    /// Orders hosts to move towards the targets of the pools, at most as many
    /// as a round of rebalancing allows. Pools with unmet demand and spare
    /// pools give up none.
    fn rebalance(&mut self, allocations: &mut Allocations) {
        let max_moves = self.fleet.hosts.len() / REBALANCE_DIVISOR;
        for _ in 0..max_moves.max(MIN_REBALANCED_HOSTS) {
            let receiver = largest(allocations, |_, allocation| {
                allocation.target.saturating_sub(allocation.hosts)
            });
            let donor = largest(allocations, |pool, allocation| {
                let may_donate = !self.fleet.spare_pools.contains(pool)
                    && !self.fleet.unmet_millicores.contains_key(pool);
                if may_donate { allocation.surplus(allocation.target) } else { 0 }
            });
            let (Some(receiver), Some(donor)) = (receiver, donor) else {
                return;
            };
            self.transfer(allocations, &donor, &receiver);
        }
    }

    /// Orders an idle host of the donor pool, which must have one, to move to the
    /// receiver pool, and updates both allocations.
    fn transfer(&mut self, allocations: &mut Allocations, donor: &Arc<str>, receiver: &Arc<str>) {
        let host = allocations.get_mut(donor).and_then(Allocation::take_idle_host);
        if let Some(allocation) = allocations.get_mut(receiver) {
            allocation.hosts += 1;
        }
        if let Some(host) = host {
            self.move_host(host, receiver);
        }
    }
}

/// Returns the pool with the largest value, of equal ones the last by name;
/// `None` if no value is above zero.
fn largest(
    allocations: &Allocations,
    value: impl Fn(&Arc<str>, &Allocation) -> usize,
) -> Option<Arc<str>> {
    let values = allocations.iter().map(|(pool, allocation)| (pool, value(pool, allocation)));
    let best = values.filter(|(_, value)| *value > 0).max_by_key(|(_, value)| *value)?;
    Some(Arc::clone(best.0))
}

/// Returns how many hosts provide this processor time, rounded up; both are in
/// thousandths of a core, and `host_millicores` must not be 0.
fn hosts_for(millicores: u64, host_millicores: u64) -> usize {
    usize::try_from(millicores.div_ceil(host_millicores)).unwrap_or(usize::MAX)
}
