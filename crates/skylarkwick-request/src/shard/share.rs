//! Shares of workspaces: whose tasks come first when a pool is full. See `docs/design/shares.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{moment::Moment, resources::Resources, workspace::Workspaces};

use super::{Shard, ranking::ReadyStep};

/// Time for which a workspace may save up jobs that it did not submit.
const BURST: Duration = Duration::from_secs(2);
/// Jobs that it may save up at least: the jobs of a small one fall to the shards by chance, so that
/// several may come to one at once.
const MIN_BURST_JOBS: f64 = 4.0;

/// Part of a pool that is kept free of jobs beyond their workspace's weight: one in this many
/// cores.
const EXCESS_RESERVE: u64 = 4;

/// Jobs that a workspace may submit before further ones wait behind those of others: a token
/// bucket, filled at the rate of its weight.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Moment,
}

/// Token buckets of the workspaces of a shard.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    buckets: BTreeMap<Arc<str>, Bucket>,
}

impl Rates {
    /// Takes a job of a workspace that was accepted at `accepted`; returns whether the workspace
    /// has submitted more than `jobs_per_s` lately.
    pub(super) fn is_exceeded(
        &mut self,
        name: &Arc<str>,
        jobs_per_s: f64,
        accepted: Moment,
    ) -> bool {
        let capacity = (jobs_per_s * BURST.as_secs_f64()).max(MIN_BURST_JOBS);
        let bucket = self
            .buckets
            .entry(Arc::clone(name))
            .or_insert(Bucket { tokens: capacity, filled: accepted });
        let earned = accepted.since(bucket.filled).as_secs_f64() * jobs_per_s;
        bucket.tokens = (bucket.tokens + earned).min(capacity);
        bucket.filled = bucket.filled.max(accepted);
        match bucket.tokens >= 1.0 {
            true => {
                bucket.tokens -= 1.0;
                false
            }
            false => true,
        }
    }
}

/// Servers that can run a step: those of a pool, with the label that the step requires.
type Group = (Arc<str>, Option<Arc<str>>);

/// What each workspace uses of each group of servers within one decision, and what part each
/// should get while others wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    weights: BTreeMap<Arc<str>, f64>,
    groups: BTreeMap<Group, Usage>,
}

/// The capacity of a group of servers, and what each workspace that has or wants some of it
/// uses.
#[derive(Clone, Debug, Default)]
struct Usage {
    capacity: Resources,
    used: BTreeMap<Arc<str>, Resources>,
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
        let sum: f64 = usage.used.keys().map(weight_of).sum();
        let used = usage.used.get(name).copied().unwrap_or_default();
        sum > 0.0 && dominant_share(used, usage.capacity) >= weight_of(name) / sum
    }

    /// Returns how many of its waiting tasks a step may start. What a workspace submits beyond its
    /// weight leaves [`EXCESS_RESERVE`] of the servers free, so that the jobs of others find room
    /// when they come.
    pub(super) fn admit(&self, ready: &ReadyStep) -> usize {
        let tasks = ready.tasks.len();
        let Some(usage) = self.groups.get(&ready.group()).filter(|_| ready.is_excess) else {
            return tasks;
        };
        let used: u64 = usage.used.values().map(|used| used.millicores).sum();
        let step = &ready.job.steps[ready.step];
        let unit = if step.is_gang { u64::from(step.count) } else { 1 };
        let capacity = usage.capacity.millicores;
        let open = capacity.saturating_sub(capacity / EXCESS_RESERVE);
        if step.resources.millicores.saturating_mul(unit) > open {
            // It would never start.
            return tasks;
        }
        let left = open.saturating_sub(used).checked_div(step.resources.millicores);
        let fitting = left.and_then(|fitting| usize::try_from(fitting).ok()).unwrap_or(tasks);
        match step.is_gang && fitting < tasks {
            true => 0,
            false => fitting.min(tasks),
        }
    }

    /// Records that a workspace wants room for a step, or has got it.
    pub(super) fn add(&mut self, ready: &ReadyStep, resources: Resources) {
        let workspace = ready.workspace.as_ref();
        let Some(name) = workspace.filter(|name| self.weights.contains_key(*name)) else {
            return;
        };
        let (pool, label) = ready.group();
        let groups = [Some((Arc::clone(&pool), None)), label.map(|label| (pool, Some(label)))];
        for group in groups.into_iter().flatten() {
            if let Some(usage) = self.groups.get_mut(&group) {
                let used = usage.used.entry(Arc::clone(name)).or_default();
                *used = *used + resources;
            }
        }
    }
}

impl ReadyStep {
    /// Returns the servers that can run the step.
    fn group(&self) -> Group {
        (Arc::clone(&self.pool), self.job.steps[self.step].required_label.clone())
    }
}

/// Returns the largest share of any resource.
fn dominant_share(used: Resources, capacity: Resources) -> f64 {
    let parts = used.components().into_iter().zip(capacity.components());
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
        let mut shares = Shares { weights, groups: BTreeMap::new() };
        if shares.weights.is_empty() {
            return shares;
        }
        let full_pools = self.full_pools(ready);
        let is_contended = |step: &&ReadyStep| step.is_excess || full_pools.contains(&step.pool);
        for step in ready.iter().filter(is_contended) {
            let (pool, label) = step.group();
            shares.groups.entry((Arc::clone(&pool), None)).or_default();
            shares.groups.entry((pool, label)).or_default();
        }
        for ((pool, label), usage) in &mut shares.groups {
            let servers = self.servers.values().filter(|server| server.info.pool == *pool);
            for server in servers.filter(|server| server.has_label(label.as_ref())) {
                if self.is_usable(now, server) {
                    usage.capacity = usage.capacity + server.info.capacity;
                }
                for (name, charge) in server.charged() {
                    let used = usage.used.entry(Arc::clone(name)).or_default();
                    *used = *used + *charge;
                }
            }
        }
        for step in ready {
            shares.add(step, Resources::default());
        }
        shares
    }

    /// Returns the pools that have less processor time free than the steps need, or in which tasks
    /// found no room at the last decision.
    fn full_pools(&self, ready: &[ReadyStep]) -> BTreeSet<Arc<str>> {
        let mut lacking: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for step in ready {
            let tasks = u64::try_from(step.tasks.len()).unwrap_or(u64::MAX);
            let each = step.job.steps[step.step].reserved_resources().millicores;
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
