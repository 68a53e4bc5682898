//! Which hosts change their pool.
//!
//! A pool gets hosts for work that it can't do at full speed, from pools that do
//! not use theirs. Idle hosts then go back to where the most work came at once so
//! far, so that each pool meets its next burst with its part of the hosts.
//! See `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    fact::{Host, HostId, Standing},
    fleet::Purpose,
};

/// How long work must lack room before hosts are moved for it.
const LACK_BEFORE_MOVE: Duration = Duration::from_millis(100);
/// Hosts asked for beyond what the jobs at hand use at full speed, in percent:
/// more come while a host moves.
const HEADROOM_PERCENT: u64 = 180;
/// Idle hosts that a pool keeps when it gives some away.
const KEPT_IDLE: usize = 2;
/// Time in which a pool's peak demand is forgotten by half.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(60);
/// Time between two moves of idle hosts to where they may be needed next.
const REBALANCE_PERIOD: Duration = Duration::from_millis(300);

/// Demand of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Processor time that the jobs at hand use at full speed.
    pub(super) used_millicores: u64,
    /// The highest of these, slowly forgotten.
    pub(super) peak_millicores: f64,
    /// When the peak was last updated.
    updated: Moment,
}

impl Shard {
    pub(super) fn note_lack(&mut self, now: Moment) {
        self.note_demand(now);
        let unmet = &self.fleet.unmet;
        self.fleet.lacking_since.retain(|pool, _| unmet.contains_key(pool));
        for pool in unmet.keys() {
            self.fleet.lacking_since.entry(Arc::clone(pool)).or_insert(now);
        }
    }

    /// Moves idle hosts to pools whose waiting work they can't hold.
    pub(super) fn meet_lack(&mut self, now: Moment) {
        let lacking: Vec<Arc<str>> = self
            .fleet
            .lacking_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= LACK_BEFORE_MOVE)
            .map(|(pool, _)| Arc::clone(pool))
            .collect();
        for pool in lacking {
            for _ in 0..self.hosts_lacking(&pool) {
                let Some(host) = self.giver(&pool) else {
                    return;
                };
                self.move_host(host, &pool);
            }
        }
    }

    fn move_host(&mut self, host: HostId, pool: &Arc<str>) {
        self.order(host.clone(), Purpose::Move(Arc::clone(pool)));
        self.effects.push(Effect::Move { host, pool: Arc::clone(pool) });
    }

    fn note_demand(&mut self, now: Moment) {
        let mut used: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for active in self.jobs.values() {
            if let Some(queue) = self.queues.get(&active.queue) {
                let of_pool = used.entry(Arc::clone(&queue.pool)).or_default();
                *of_pool += active.millicores_at_full_speed(&self.learning);
            }
        }
        for queue in self.queues.values() {
            let demand = self.fleet.demand.entry(Arc::clone(&queue.pool)).or_default();
            demand.note(now, used.get(&queue.pool).copied().unwrap_or_default());
        }
    }

    /// Moves an idle host from the pool that has the most beyond its part of the
    /// hosts to the one that lacks the most, while no work waits.
    pub(super) fn rebalance(&mut self, now: Moment) {
        let is_due = now.since(self.fleet.rebalanced) >= REBALANCE_PERIOD;
        if !is_due || !self.fleet.unmet.is_empty() {
            return;
        }
        let beyond = self.hosts_beyond_part();
        let taker = beyond.iter().min_by(|left, right| left.1.total_cmp(right.1));
        let Some((taker, _)) = taker.filter(|(_, beyond)| **beyond <= -1.0) else {
            return;
        };
        let idle = self.idle_hosts();
        let giver = idle
            .iter()
            .filter(|(pool, hosts)| {
                beyond.get(*pool).is_some_and(|beyond| *beyond >= 1.0) && hosts.len() > KEPT_IDLE
            })
            .max_by(|left, right| beyond[left.0].total_cmp(&beyond[right.0]))
            .and_then(|(_, hosts)| hosts.first().cloned());
        if let Some(host) = giver {
            self.fleet.rebalanced = now;
            self.move_host(host, taker);
        }
    }

    /// Returns how many hosts each pool has beyond its part, by peak demand.
    #[expect(clippy::cast_precision_loss, reason = "hosts are far fewer than 2^52")]
    fn hosts_beyond_part(&self) -> BTreeMap<Arc<str>, f64> {
        let mut hosts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        for host in self.fleet.hosts.values() {
            *hosts.entry(self.fleet.pool_after_orders(host)).or_default() += 1;
        }
        let demand = self.fleet.demand.iter();
        let demand: Vec<_> =
            demand.filter(|(pool, _)| !self.fleet.spare_pools.contains(*pool)).collect();
        let peaks: f64 = demand.iter().map(|(_, demand)| demand.peak_millicores).sum();
        let count = |pool| hosts.get(pool).copied().unwrap_or_default() as f64;
        let all: f64 = demand.iter().map(|(pool, _)| count(*pool)).sum();
        demand
            .into_iter()
            .filter(|_| peaks > 0.0)
            .map(|(pool, demand)| {
                let part = all * demand.peak_millicores / peaks;
                (Arc::clone(pool), count(pool) - part)
            })
            .collect()
    }

    /// Returns how many more hosts a pool's waiting work needs.
    fn hosts_lacking(&self, pool: &Arc<str>) -> usize {
        let own = self.fleet.hosts.values().filter(|host| host.pool == *pool);
        let room: u64 = own.clone().map(|host| host.capacity.millicores).sum();
        let hosts = u64::try_from(own.count()).unwrap_or_default().max(1);
        let of_one = (room / hosts).max(1);
        let used = self.fleet.demand.get(pool).map_or(0, |demand| demand.used_millicores);
        let wanted = used * HEADROOM_PERCENT / 100 + self.lasting_millicores(pool);
        let lacking = wanted.saturating_sub(room).div_ceil(of_one);
        usize::try_from(lacking).unwrap_or_default().saturating_sub(self.incoming(pool))
    }

    /// Returns the processor time that lasting tasks hold in a pool.
    fn lasting_millicores(&self, pool: &str) -> u64 {
        let servers = self.servers.values().filter(|server| &*server.listing.pool == pool);
        servers
            .flat_map(|server| &server.runs)
            .filter(|(task, _)| self.step(task).is_some_and(|step| step.is_lasting))
            .map(|(_, taken)| taken.size.millicores)
            .sum()
    }

    /// Counts the hosts that a pool is about to get.
    fn incoming(&self, pool: &Arc<str>) -> usize {
        let is_arriving = |host: &&Host| {
            let is_moving = host.pool == *pool && host.standing == Standing::Busy;
            self.fleet.is_incoming(&host.id, pool)
                || (is_moving && !self.fleet.is_ordered(&host.id))
        };
        self.fleet.hosts.values().filter(is_arriving).count()
    }

    /// Returns an idle host of the pool that can best spare one.
    fn giver(&self, taker: &Arc<str>) -> Option<HostId> {
        let mut idle = self.idle_hosts();
        idle.retain(|pool, _| pool != taker && !self.fleet.unmet.contains_key(pool));
        let is_spare = |pool: &Arc<str>| self.fleet.spare_pools.contains(pool);
        let spare = idle.iter().find(|(pool, _)| is_spare(pool)).map(|(_, hosts)| hosts);
        let other = idle
            .iter()
            .filter(|(pool, hosts)| !is_spare(pool) && hosts.len() > KEPT_IDLE)
            .max_by_key(|(_, hosts)| hosts.len())
            .map(|(_, hosts)| hosts);
        other.or(spare).and_then(|hosts| hosts.first().cloned())
    }

    /// Returns the hosts of each pool that may be moved at once.
    fn idle_hosts(&self) -> BTreeMap<Arc<str>, Vec<HostId>> {
        let mut idle: BTreeMap<Arc<str>, Vec<HostId>> = BTreeMap::new();
        for (id, host) in &self.fleet.hosts {
            if !self.fleet.is_ordered(id) && self.is_empty_and_up(id) {
                idle.entry(Arc::clone(&host.pool)).or_default().push(id.clone());
            }
        }
        idle
    }
}

impl Demand {
    fn note(&mut self, now: Moment, used_millicores: u64) {
        let age = now.since(self.updated).as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64();
        self.updated = now;
        self.used_millicores = used_millicores;
        #[expect(clippy::cast_precision_loss, reason = "millicores are far below 2^52")]
        let used = used_millicores as f64;
        self.peak_millicores = used.max(self.peak_millicores * 0.5_f64.powf(age));
    }
}
