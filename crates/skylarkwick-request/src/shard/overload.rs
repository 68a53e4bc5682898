//! Jobs that are postponed because their pool has too little room for all that could end in time.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob, input::Queue};
use crate::{
    job,
    triage::{self, Work},
};

/// Part of the processor time of a pool that its tasks can use; the rest is left over between tasks
/// that don't fill their hosts, and while starts and ends are reported.
const USABLE_PERCENT: u64 = 85;

/// The jobs of a pool, or of one workspace there, that could end in time alone.
#[derive(Debug, Default)]
struct Group<'a> {
    ids: Vec<&'a job::Id>,
    works: Vec<Work>,
}

impl<'a> Group<'a> {
    /// Returns those of its jobs that have to be postponed with this processor time.
    fn postponed(&self, now: Moment, millicores: u64) -> impl Iterator<Item = &'a job::Id> {
        let is_postponed = triage::postponed(now, millicores, &self.works);
        let chosen = self.ids.iter().zip(is_postponed).filter(|(_, postponed)| *postponed);
        chosen.map(|(id, _)| *id).collect::<Vec<_>>().into_iter()
    }
}

impl Shard {
    /// Returns the jobs to postpone: of the pools in which tasks found no room at the last decision,
    /// those that could still meet their objectives alone, but not all together, see
    /// [`triage::postponed`]. If workspaces have weights, each
    /// has its part of the room. Long-running work and what workspaces submit beyond their weight
    /// have places of their own.
    pub(super) fn postponed_jobs(&self, now: Moment) -> BTreeSet<job::Id> {
        let mut postponed = BTreeSet::new();
        for (pool, workspaces) in self.timely_jobs(now) {
            let millicores = self.finite_millicores(now, pool) / 100 * USABLE_PERCENT;
            let all: Vec<Work> =
                workspaces.values().flat_map(|group| group.works.iter().copied()).collect();
            if !triage::postponed(now, millicores, &all).contains(&true) {
                continue;
            }
            let weights: BTreeMap<&str, f64> =
                workspaces.keys().map(|name| (*name, self.weight(name))).collect();
            let sum: f64 = weights.values().sum();
            for (name, group) in &workspaces {
                #[expect(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a part"
                )]
                let part = match workspaces.len() {
                    1 => millicores,
                    _ => (millicores as f64 * weights[name] / sum) as u64,
                };
                postponed.extend(group.postponed(now, part).cloned());
            }
        }
        postponed
    }

    /// Returns the weight of a workspace; 1 if it has none.
    fn weight(&self, name: &str) -> f64 {
        self.quotas.weight(name).unwrap_or(1.0)
    }

    /// Returns the jobs of each pool that could end in time alone, by workspace; by the empty name
    /// those without a workspace, or all of them if there are no weights.
    fn timely_jobs(&self, now: Moment) -> BTreeMap<&Arc<str>, BTreeMap<&str, Group<'_>>> {
        let has_weights = self.quotas.workspaces.values().any(|workspace| workspace.weight > 0.0);
        let mut pools: BTreeMap<&Arc<str>, BTreeMap<&str, Group<'_>>> = BTreeMap::new();
        for (id, active) in &self.jobs {
            let Some(queue) = active.queue_settings.as_deref() else {
                continue;
            };
            let has_room = !self.fleet.unmet_millicores.contains_key(&queue.pool);
            if has_room || active.outcome.is_some() || self.is_excess(active) {
                continue;
            }
            if let Some(work) = self.timely_work(now, active, queue) {
                let workspace = active.workspace.as_deref().filter(|_| has_weights);
                let workspaces = pools.entry(&queue.pool).or_default();
                let group = workspaces.entry(workspace.unwrap_or_default()).or_default();
                group.ids.push(id);
                group.works.push(work);
            }
        }
        pools
    }

    /// Returns the work that is left of a job that can still end in time; `None` if it can't, or
    /// if none is left.
    fn timely_work(&self, now: Moment, active: &ActiveJob, queue: &Queue) -> Option<Work> {
        let estimate = self.run_times.estimate(&active.queue);
        let time = self.time(now);
        let mut work =
            Work { priority: queue.priority, is_started: false, deadline: now, millicore_ms: 0 };
        for (&number, occurrence) in &active.occurrences {
            let (objective, _) = active.deadlines(time, number, queue, estimate);
            if now + active.remaining_time(occurrence, estimate) > objective {
                return None;
            }
            let left = active.remaining_work(occurrence, estimate);
            work.millicore_ms = work.millicore_ms.saturating_add(left);
            work.is_started |= occurrence.has_begun();
            work.deadline = work.deadline.max(objective);
        }
        (work.millicore_ms > 0).then_some(work)
    }

    /// Returns the processor time of a pool for tasks that are not long-running: that of its
    /// usable servers and of the hosts on their way to it.
    fn finite_millicores(&self, now: Moment, pool: &Arc<str>) -> u64 {
        let mut millicores = 0_u64;
        let mut usable = 0_usize;
        for server in self.servers.values().filter(|server| server.info.pool == *pool) {
            if self.is_usable(now, server) {
                usable += 1;
                let reserved = server.tally().long_running().millicores();
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
