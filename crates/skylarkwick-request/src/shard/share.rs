//! Shares of workspaces: whose tasks come first when a pool is full. See `docs/design/shares.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::{moment::Moment, resources::Resources, workspace::Workspaces};

use super::{
    Shard,
    overdue::Overdue,
    ranking::ReadyStep,
    usage::{Group, Usage},
};
use crate::job::footprint::Reservation;

/// What each workspace uses of each group of servers within one decision, and what part each
/// should get while others wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    weights: BTreeMap<Arc<str>, f64>,
    groups: BTreeMap<Group, Usage>,
    overdue: Overdue,
}

impl Shares {
    /// Returns whether the workspace of a step uses all that its weight gives it, among those that
    /// use or want some of the servers that can run the step: its dominant share, the largest of
    /// its shares of processor time, memory and accelerators, has reached its part of the weights.
    /// A job that has begun goes on: what it holds would be held for longer. A workspace without a
    /// weight has no limit.
    pub(super) fn is_above(&self, ready: &ReadyStep) -> bool {
        let (Some(name), Some(usage)) = (&ready.workspace, self.groups.get(&ready.group())) else {
            return false;
        };
        if ready.rank.is_started() || !self.weights.contains_key(name) {
            return false;
        }
        let weight_of = |name: &Arc<str>| self.weights.get(name).copied().unwrap_or_default();
        let sum: f64 = usage.workspaces.keys().map(weight_of).sum();
        let used = usage.workspaces.get(name).copied().unwrap_or_default();
        sum > 0.0 && dominant_share(used, usage.capacity) >= weight_of(name) / sum
    }

    /// Returns how many of its waiting tasks a step may start. What a workspace submits beyond its
    /// weight leaves room for the jobs of others when they come.
    pub(super) fn admit(&self, ready: &ReadyStep) -> usize {
        match (self.groups.get(&ready.group()), self.groups.get(&ready.whole_pool())) {
            (Some(usage), Some(pool)) if ready.rank.is_excess() => {
                let admitted = usage.admit_excess(ready, pool.is_half_used());
                admitted.max(self.overdue.admit(ready))
            }
            _ => ready.tasks.len(),
        }
    }

    /// Records that a workspace wants room for a step, or has got it for some of its tasks.
    pub(super) fn add(&mut self, ready: &ReadyStep, tasks: u64) {
        if self.groups.is_empty() {
            return;
        }
        if tasks > 0 {
            self.overdue.add(ready);
        }
        let step = &ready.job.steps[ready.step];
        let reservation = step.reservation().times(tasks);
        let workspace = ready.workspace.as_ref();
        let weighted = workspace.filter(|name| self.weights.contains_key(*name));
        let (pool, group) = (ready.whole_pool(), ready.group());
        if group != pool
            && let Some(usage) = self.groups.get_mut(&group)
        {
            usage.add(weighted, step, reservation);
        }
        if let Some(usage) = self.groups.get_mut(&pool) {
            usage.add(weighted, step, reservation);
        }
    }
}

/// Returns the largest share of any resource.
fn dominant_share(used: Reservation, capacity: Resources) -> f64 {
    let parts = used.resources().components().into_iter().zip(capacity.components());
    let share = |(used, capacity): (u64, u64)| match used {
        0 => 0.0,
        _ => used as f64 / capacity.max(1) as f64,
    };
    parts.map(share).fold(0.0, f64::max)
}

/// Returns the weight of each workspace that has one.
fn weights(workspaces: &Workspaces) -> BTreeMap<Arc<str>, f64> {
    let weighted = workspaces.iter().filter(|(_, workspace)| workspace.weight > 0.0);
    weighted.map(|(name, workspace)| (Arc::clone(name), workspace.weight)).collect()
}

impl Shard {
    /// Returns what workspaces with a weight use now of the servers that can run the steps, where
    /// the order matters: in pools with less room than the steps need, and for steps beyond a
    /// weight. Nothing if no workspace has a weight.
    pub(super) fn shares(&self, now: Moment, ready: &[ReadyStep]) -> Shares {
        let weights = weights(&self.quotas.workspaces);
        if weights.is_empty() {
            return Shares::default();
        }
        let full_pools = self.full_pools(ready);
        let is_contended =
            |step: &&ReadyStep| step.rank.is_excess() || full_pools.contains(&step.pool);
        let contended = ready.iter().filter(is_contended);
        let groups: BTreeSet<Group> =
            contended.flat_map(|step| [step.whole_pool(), step.group()]).collect();
        let usages = groups.into_iter().map(|group| {
            let usage = self.usage(now, &group);
            (group, usage)
        });
        let overdue = match ready.iter().any(|step| step.rank.is_overdue()) {
            true => self.overdue_runs(now),
            false => Overdue::default(),
        };
        let mut shares = Shares { weights, groups: usages.collect(), overdue };
        for step in ready {
            shares.add(step, 0);
        }
        shares
    }

    /// Returns the pools that have less processor time free than the steps need, or in which tasks
    /// found no room at the last decision.
    fn full_pools(&self, ready: &[ReadyStep]) -> BTreeSet<Arc<str>> {
        let mut lacking: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for step in ready {
            let tasks = u64::try_from(step.tasks.len()).unwrap_or(u64::MAX);
            let each = step.job.steps[step.step].reservation().millicores();
            let needed = lacking.entry(&step.pool).or_default();
            *needed = needed.saturating_add(each.saturating_mul(tasks));
        }
        for server in self.servers.values() {
            if let Some(needed) = lacking.get_mut(&server.info.pool) {
                *needed = needed.saturating_sub(server.available().millicores);
            }
        }
        let is_full = |(pool, needed): &(&Arc<str>, u64)| {
            *needed > 0 || self.fleet.unmet_millicores.contains_key(*pool)
        };
        lacking.into_iter().filter(is_full).map(|(pool, _)| Arc::clone(pool)).collect()
    }
}
