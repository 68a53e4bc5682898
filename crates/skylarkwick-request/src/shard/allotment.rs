//! Which hosts change their pool.
//!
//! Each pool first gets hosts for the work at hand. What is left goes home, to
//! the pools in proportion to the sizes that operators gave them, so that each
//! meets its next burst with its part of the hosts: a host that comes after the
//! burst has begun comes too late for the first of its work. See
//! `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{Shard, fleet::Occupancy, input::HostId};

/// Processor time wanted for what ends the jobs at hand in time, in percent: more
/// jobs come while a host moves.
const HEADROOM_PERCENT: u64 = 150;
/// Fewest hosts that a pool keeps for the start of its next burst.
const KEPT_HOSTS: usize = 2;
/// Part of its size that a pool keeps for the start of its next burst.
const KEPT_PART: usize = 2;
/// Time between two rounds of moves home.
const REBALANCE_PERIOD: Duration = Duration::from_millis(300);
/// Part of all hosts that is moved in one such round.
const REBALANCED_PART: usize = 16;
/// Fewest hosts moved in one such round.
const REBALANCED_AT_LEAST: usize = 3;

/// Hosts of a pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Allotment {
    /// Hosts that it has, or gets by orders that were given.
    pub(super) hosts: usize,
    /// Hosts that the work at hand needs.
    pub(super) needed: usize,
    /// Hosts that it should have: those needed, and its part of the others.
    pub(super) wanted: usize,
    /// Hosts that stay for the start of its next burst.
    kept: usize,
    /// Its hosts that may be moved at once.
    idle: Vec<HostId>,
}

impl Allotment {
    /// Returns how many hosts may leave while so many stay, and those that are kept
    /// in any case.
    fn beyond(&self, stay: usize) -> usize {
        self.hosts.saturating_sub(stay.max(self.kept)).min(self.idle.len())
    }

    /// Gives an idle host away.
    fn give(&mut self) -> Option<HostId> {
        let host = self.idle.pop()?;
        self.hosts -= 1;
        Some(host)
    }
}

/// Hosts of every pool, those that are off under the name of their pool.
pub(super) type Allotments = BTreeMap<Arc<str>, Allotment>;

impl Shard {
    /// Moves idle hosts to the pools that need them.
    pub(super) fn allot(&mut self, now: Moment, occupancy: &Occupancy) {
        let mut allotments = self.allotments(now, occupancy);
        self.share_out(&mut allotments);
        self.meet_need(&mut allotments);
        if now.since(self.fleet.rebalanced) >= REBALANCE_PERIOD {
            self.fleet.rebalanced = now;
            self.rebalance(&mut allotments);
        }
        self.fleet.allotted = allotments;
    }

    fn allotments(&self, now: Moment, occupancy: &Occupancy) -> Allotments {
        let mut allotments = Allotments::new();
        for host in self.fleet.hosts.values() {
            let pool = self.fleet.pool_after_orders(host);
            let allotment = allotments.entry(Arc::clone(pool)).or_default();
            // A host that is being emptied is of no use to its pool.
            allotment.hosts += usize::from(!self.fleet.emptying.contains(&host.id));
            if occupancy.is_idle(&host.id) && !self.fleet.is_ordered(&host.id) {
                allotment.idle.push(host.id.clone());
            }
        }
        for (pool, allotment) in &mut allotments {
            allotment.kept = KEPT_HOSTS.max(self.home(pool) / KEPT_PART);
        }
        let of_one = self.millicores_of_one();
        for (pool, demand) in self.demand(now) {
            let used = demand.used_millicores * HEADROOM_PERCENT / 100;
            let allotment = allotments.entry(pool).or_default();
            let hosts = hosts_for(used + demand.lasting_millicores, of_one);
            allotment.needed = hosts.max(demand.spread);
        }
        allotments
    }

    /// Returns the number of hosts that operators gave a pool.
    fn home(&self, pool: &Arc<str>) -> usize {
        self.fleet.homes.get(pool).copied().unwrap_or_default()
    }

    /// Returns the mean processor time of a host.
    fn millicores_of_one(&self) -> u64 {
        let all: u64 = self.fleet.hosts.values().map(|host| host.capacity.millicores).sum();
        let count = u64::try_from(self.fleet.hosts.len()).unwrap_or(u64::MAX);
        (all / count.max(1)).max(1)
    }

    /// Gives each pool its part of the hosts that the work at hand does not need,
    /// in proportion to what it lacks of its own size.
    fn share_out(&self, allotments: &mut Allotments) {
        let is_on = |pool: &Arc<str>| !self.fleet.spare_pools.contains(pool);
        let on = || allotments.iter().filter(|(pool, _)| is_on(pool));
        let hosts: usize = on().map(|(_, allotment)| allotment.hosts).sum();
        let needed: usize = on().map(|(_, allotment)| allotment.needed).sum();
        let lacking: usize =
            on().map(|(pool, allotment)| self.home(pool).saturating_sub(allotment.needed)).sum();
        let left = hosts.saturating_sub(needed);
        for (pool, allotment) in allotments.iter_mut().filter(|(pool, _)| is_on(pool)) {
            let lacks = self.home(pool).saturating_sub(allotment.needed);
            allotment.wanted = allotment.needed + left * lacks / lacking.max(1);
        }
    }

    /// Moves hosts to the pools that lack some for the work at hand.
    fn meet_need(&mut self, allotments: &mut Allotments) {
        while let Some(taker) = largest(allotments, |pool, allotment| {
            let lack = allotment.needed.saturating_sub(allotment.hosts);
            if self.fleet.spare_pools.contains(pool) { 0 } else { lack }
        }) {
            let giver = largest(allotments, |pool, allotment| {
                let is_on = !self.fleet.spare_pools.contains(pool);
                let may_give = is_on && *pool != taker && !self.fleet.unmet.contains_key(pool);
                if may_give { allotment.beyond(allotment.needed) } else { 0 }
            });
            let off = || {
                largest(allotments, |pool, allotment| {
                    if self.fleet.spare_pools.contains(pool) { allotment.idle.len() } else { 0 }
                })
            };
            let Some(giver) = giver.or_else(off) else {
                return;
            };
            self.transfer(allotments, &giver, &taker);
        }
    }

    /// Moves hosts home.
    fn rebalance(&mut self, allotments: &mut Allotments) {
        let most = self.fleet.hosts.len() / REBALANCED_PART;
        for _ in 0..most.max(REBALANCED_AT_LEAST) {
            let taker = largest(allotments, |_, allotment| {
                allotment.wanted.saturating_sub(allotment.hosts)
            });
            let giver = largest(allotments, |pool, allotment| {
                let may_give =
                    !self.fleet.spare_pools.contains(pool) && !self.fleet.unmet.contains_key(pool);
                if may_give { allotment.beyond(allotment.wanted) } else { 0 }
            });
            let (Some(taker), Some(giver)) = (taker, giver) else {
                return;
            };
            self.transfer(allotments, &giver, &taker);
        }
    }

    fn transfer(&mut self, allotments: &mut Allotments, giver: &Arc<str>, taker: &Arc<str>) {
        let host = allotments.get_mut(giver).and_then(Allotment::give);
        if let Some(allotment) = allotments.get_mut(taker) {
            allotment.hosts += 1;
        }
        if let Some(host) = host {
            self.move_host(host, taker);
        }
    }
}

/// Returns the pool with the largest figure above zero.
fn largest(
    allotments: &Allotments,
    figure: impl Fn(&Arc<str>, &Allotment) -> usize,
) -> Option<Arc<str>> {
    let figures = allotments.iter().map(|(pool, allotment)| (pool, figure(pool, allotment)));
    let best = figures.filter(|(_, figure)| *figure > 0).max_by_key(|(_, figure)| *figure)?;
    Some(Arc::clone(best.0))
}

fn hosts_for(millicores: u64, of_one: u64) -> usize {
    usize::try_from(millicores.div_ceil(of_one)).unwrap_or(usize::MAX)
}
