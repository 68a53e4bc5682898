//! Jobs that are postponed because their pool has too little room for all that could end in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob};
use crate::{
    job,
    triage::{self, Work},
};

/// Part of the processor time of a pool that its tasks can use; the rest is left over between tasks
/// that don't fill their hosts, and while starts and ends are reported.
const USABLE_PERCENT: u64 = 85;

impl Shard {
    /// Returns the jobs to postpone: those that could still meet their objectives alone, but not
    /// all of their pool's together, see [`triage::postponed`]. Long-running work and what
    /// workspaces submit beyond their weight have places of their own.
    pub(super) fn postponed_jobs(&self, now: Moment) -> BTreeSet<job::Id> {
        let mut pools: BTreeMap<&Arc<str>, (Vec<&job::Id>, Vec<Work>)> = BTreeMap::new();
        for (id, active) in &self.jobs {
            let Some(queue) = self.queues.get(&active.queue) else {
                continue;
            };
            if active.outcome.is_some() || active.is_excess {
                continue;
            }
            let estimate = self.run_times.estimate(&active.queue);
            let (objective, _) = active.deadlines(queue, estimate);
            let occurrences = active.occurrences.values();
            let work = occurrences.filter(|occurrence| !occurrence.is_done()).map(|occurrence| {
                (
                    active.remaining_work(occurrence, estimate),
                    active.remaining_time(occurrence, estimate),
                )
            });
            let (millicore_ms, left) = work.fold((0_u64, None), |(sum, longest), (work, time)| {
                (sum.saturating_add(work), longest.max(Some(time)))
            });
            let is_timely = left.is_some_and(|left| now + left <= objective);
            if millicore_ms > 0 && is_timely {
                let (ids, works) = pools.entry(&queue.pool).or_default();
                ids.push(id);
                works.push(Work {
                    priority: queue.priority,
                    is_started: active.has_scheduled_tasks(),
                    deadline: objective,
                    millicore_ms,
                });
            }
        }
        let mut postponed = BTreeSet::new();
        for (pool, (ids, works)) in pools {
            let millicores = self.finite_millicores(now, pool) / 100 * USABLE_PERCENT;
            let is_postponed = triage::postponed(now, millicores, &works);
            let chosen = ids.into_iter().zip(is_postponed).filter(|(_, postponed)| *postponed);
            postponed.extend(chosen.map(|(id, _)| id.clone()));
        }
        postponed
    }

    /// Returns the processor time of a pool for tasks that are not long-running: that of its
    /// usable servers and of the hosts on their way to it.
    fn finite_millicores(&self, now: Moment, pool: &Arc<str>) -> u64 {
        let mut millicores = 0_u64;
        let mut usable = 0_usize;
        for server in self.servers.values().filter(|server| server.info.pool == *pool) {
            if self.is_usable(now, server) {
                usable += 1;
                let lasting = server.runs.values().filter(|run| run.is_long_running);
                let reserved: u64 = lasting.map(|run| run.resources.millicores).sum();
                let capacity = server.info.capacity.millicores;
                millicores = millicores.saturating_add(capacity.saturating_sub(reserved));
            }
        }
        let hosts = self.fleet.allocations.get(pool).map_or(0, |allocation| allocation.hosts);
        let arriving = u64::try_from(hosts.saturating_sub(usable)).unwrap_or_default();
        millicores.saturating_add(arriving.saturating_mul(self.fleet.mean_capacity().millicores))
    }
}

impl ActiveJob {
    /// Returns whether this job is among those that are postponed.
    pub(super) fn is_postponed(&self, postponed: &BTreeSet<job::Id>) -> bool {
        postponed.contains(&self.id)
    }
}
