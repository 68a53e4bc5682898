//! Hosts with the labels that the jobs of a pool require.
//!
//! A task that requires a label runs on no other host, whatever room the pool has. So a pool
//! keeps a host with each label that an unfinished step of its jobs requires, and gets one if
//! it has none. See `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::BTreeSet, sync::Arc};

use super::{
    Shard,
    allocation::Allocations,
    input::{HostId, HostState},
    occurrence::TaskState,
};

/// A label that jobs of a pool require.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Requirement {
    pool: Arc<str>,
    label: Arc<str>,
}

impl Shard {
    /// Keeps a host in each pool for every label that its jobs require: if only idle
    /// hosts have the label, one of them may not move.
    pub(super) fn keep_labelled_hosts(&self, allocations: &mut Allocations) {
        for Requirement { pool, label } in self.label_requirements() {
            let Some(allocation) = allocations.get_mut(&pool) else {
                continue;
            };
            let hosts = self.labelled_hosts(&pool, &label);
            if hosts.iter().all(|host| allocation.is_idle(host))
                && let Some(host) = hosts.first()
            {
                allocation.keep(host);
            }
        }
    }

    /// Orders an idle host to move to each pool whose jobs require a label that no host of
    /// the pool has: from a pool that has hosts to spare, or else from a spare pool.
    pub(super) fn fetch_labelled_hosts(&mut self, allocations: &mut Allocations) {
        for Requirement { pool, label } in self.label_requirements() {
            if !self.labelled_hosts(&pool, &label).is_empty() {
                continue;
            }
            let Some((donor, host)) = self.find_labelled_host(allocations, &pool, &label) else {
                continue;
            };
            if let Some(allocation) = allocations.get_mut(&donor) {
                allocation.remove(&host);
            }
            if let Some(allocation) = allocations.get_mut(&pool) {
                allocation.hosts += 1;
            }
            self.move_host(host, &pool);
        }
    }

    /// Returns the labels that unfinished steps require, by pool.
    fn label_requirements(&self) -> BTreeSet<Requirement> {
        let mut requirements = BTreeSet::new();
        for active in self.jobs.values().filter(|active| active.outcome.is_none()) {
            let Some(queue) = self.queues.get(&active.queue) else {
                continue;
            };
            for (number, step) in active.job.steps.iter().enumerate() {
                let Some(label) = &step.required_label else {
                    continue;
                };
                let is_unfinished = active.occurrences.values().any(|occurrence| {
                    occurrence.steps[number].iter().any(|task| task.state != TaskState::Done)
                });
                if is_unfinished {
                    let (pool, label) = (Arc::clone(&queue.pool), Arc::clone(label));
                    requirements.insert(Requirement { pool, label });
                }
            }
        }
        requirements
    }

    /// Returns the hosts with a label that are in a pool or ordered to move to it, without
    /// those that are down or drain.
    fn labelled_hosts(&self, pool: &Arc<str>, label: &Arc<str>) -> Vec<HostId> {
        let hosts = self.fleet.hosts.values().filter(|host| self.fleet.target_pool(host) == pool);
        hosts
            .filter(|host| host.labels.contains(label) && host.state != HostState::Down)
            .filter(|host| !self.fleet.draining.contains(&host.id))
            .map(|host| host.id.clone())
            .collect()
    }

    /// Returns an idle host with a label that another pool can give, and that pool; spare
    /// pools come last.
    fn find_labelled_host(
        &self,
        allocations: &Allocations,
        receiver: &Arc<str>,
        label: &Arc<str>,
    ) -> Option<(Arc<str>, HostId)> {
        let mut found = Vec::new();
        for (pool, allocation) in allocations.iter().filter(|(pool, _)| *pool != receiver) {
            let is_spare = self.fleet.spare_pools.contains(pool);
            let has_unmet_demand = self.fleet.unmet_millicores.contains_key(pool);
            if !is_spare && (has_unmet_demand || allocation.surplus(allocation.needed) == 0) {
                continue;
            }
            let hosts = self.labelled_hosts(pool, label);
            let idle = hosts.into_iter().find(|host| allocation.is_idle(host));
            found.extend(idle.map(|host| (is_spare, Arc::clone(pool), host)));
        }
        let (_, pool, host) = found.into_iter().min()?;
        Some((pool, host))
    }
}
