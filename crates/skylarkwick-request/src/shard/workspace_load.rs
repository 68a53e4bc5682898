//! Load of workspaces, for logs and metrics.

use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{Shard, hold::Holds};

/// Workspaces that are told apart; the others count as one.
const MAX_NAMED: usize = 8;
/// Name for all workspaces that are not told apart.
const OTHERS: &str = "(others)";

/// Load of a workspace in a shard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkspaceLoad {
    /// Unfinished jobs.
    pub jobs: usize,
    /// Of these, jobs that came when the workspace had submitted more than its weight allows.
    pub excess_jobs: usize,
    /// Jobs of which no task has started.
    pub waiting_jobs: usize,
    /// Of the unfinished jobs, those of which tasks could start and did not.
    pub held: Holds,
    /// What may be running; zero without a quota.
    pub used: Resources,
    /// What it could have running now; zero without a quota.
    pub demand: Resources,
    /// What it may have running here, [`u64::MAX`] for what is not limited; zero without a quota.
    pub limit: Resources,
}

impl WorkspaceLoad {
    /// Adds another load.
    fn add(&mut self, other: &WorkspaceLoad) {
        self.jobs += other.jobs;
        self.excess_jobs += other.excess_jobs;
        self.waiting_jobs += other.waiting_jobs;
        self.held.add(&other.held);
        self.used = self.used + other.used;
        self.demand = self.demand + other.demand;
        self.limit = self.limit + other.limit;
    }
}

impl Shard {
    /// Returns the loads of the workspaces with most jobs, and of all others as one.
    pub fn workspace_loads(&self, now: Moment) -> Vec<(Arc<str>, WorkspaceLoad)> {
        let mut loads: BTreeMap<Arc<str>, WorkspaceLoad> = BTreeMap::new();
        for active in self.jobs.values() {
            if let Some(name) = &active.workspace {
                let load = loads.entry(Arc::clone(name)).or_default();
                load.jobs += 1;
                load.excess_jobs += usize::from(active.is_beyond_weight);
                load.waiting_jobs += usize::from(!active.has_started);
                load.held.count(now, active);
            }
        }
        for (name, need) in self.quota_needs() {
            let load = loads.entry(Arc::clone(name)).or_default();
            (load.used, load.demand, load.limit) = (need.used, need.demand, need.limit);
        }
        let mut sorted: Vec<(Arc<str>, WorkspaceLoad)> = loads.into_iter().collect();
        sorted.sort_by_key(|(_, load)| Reverse((load.jobs, load.used.millicores)));
        let others = sorted.split_off(sorted.len().min(MAX_NAMED));
        if !others.is_empty() {
            let mut sum = WorkspaceLoad::default();
            others.iter().for_each(|(_, load)| sum.add(load));
            sorted.push((Arc::from(OTHERS), sum));
        }
        sorted
    }
}
