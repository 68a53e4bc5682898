//! Hosts with the labels that the jobs of a pool require.
//!
//! A task that requires a label runs on no other host, whatever room the pool has. So a pool
//! keeps a host with each label that an unfinished step of its jobs requires, and gets one if
//! it has none. See `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc};

use super::{
    Shard,
    active::ActiveJob,
    allocation::{Allocation, Allocations},
    input::{Host, HostId, HostState},
};

/// Which hosts a pool has with a label that its jobs require.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Supply {
    /// None.
    #[default]
    Missing,
    /// Only idle ones that may move, of which this is the first.
    Idle(HostId),
    /// At least one that stays.
    Staying,
}

/// The labels that the jobs of each pool require.
type Requirements = BTreeMap<Arc<str>, BTreeMap<Arc<str>, Supply>>;

impl Shard {
    /// Keeps a host in each pool for every label that its jobs require: if only idle
    /// hosts have the label, one of them may not move. A pool without any gets an idle one:
    /// from a pool that has hosts to spare, or else from a spare pool.
    pub(super) fn supply_labelled_hosts(&mut self, allocations: &mut Allocations) {
        let mut missing = Vec::new();
        for (pool, labels) in self.label_requirements(allocations) {
            for (label, supply) in labels {
                match (supply, allocations.get_mut(&pool)) {
                    (Supply::Idle(host), Some(allocation)) => allocation.keep(&host),
                    (Supply::Missing, Some(_)) => missing.push((Arc::clone(&pool), label)),
                    _ => {}
                }
            }
        }
        for (pool, label) in missing {
            self.fetch_labelled_host(allocations, &pool, &label);
        }
    }

    /// Orders an idle host with a label to move to a pool, if another one can give one.
    fn fetch_labelled_host(
        &mut self,
        allocations: &mut Allocations,
        pool: &Arc<str>,
        label: &Arc<str>,
    ) {
        let Some((donor, host)) = self.find_labelled_host(allocations, pool, label) else {
            return;
        };
        if let Some(allocation) = allocations.get_mut(&donor) {
            allocation.remove(&host);
        }
        if let Some(allocation) = allocations.get_mut(pool) {
            allocation.hosts += 1;
        }
        self.move_host(host, pool);
    }

    /// Returns the labels that unfinished steps require, by pool, with the hosts that the
    /// pool has for each.
    fn label_requirements(&self, allocations: &Allocations) -> Requirements {
        let mut requirements = Requirements::new();
        for active in self.jobs.values().filter(|active| active.outcome.is_none()) {
            let Some(queue) = active.queue_settings.as_deref() else {
                continue;
            };
            for label in required_labels(active) {
                let labels = requirements.entry(Arc::clone(&queue.pool)).or_default();
                labels.entry(Arc::clone(label)).or_default();
            }
        }
        if requirements.is_empty() {
            return requirements;
        }
        for host in self.fleet.hosts.values().filter(|host| self.counts_for_labels(host)) {
            let pool = self.fleet.target_pool(host);
            let Some(labels) = requirements.get_mut(pool) else {
                continue;
            };
            let may_move = allocations.get(pool).is_some_and(|pool| pool.is_idle(&host.id));
            for (_, supply) in labels.iter_mut().filter(|(label, _)| host.labels.contains(*label)) {
                *supply = match (&supply, may_move) {
                    (Supply::Missing, true) => Supply::Idle(host.id.clone()),
                    (Supply::Idle(first), true) => Supply::Idle(first.clone()),
                    _ => Supply::Staying,
                };
            }
        }
        requirements
    }

    /// Returns whether a host can serve steps that require its labels: it is not down and
    /// does not drain.
    fn counts_for_labels(&self, host: &Host) -> bool {
        host.state != HostState::Down && !self.fleet.draining.contains(&host.id)
    }

    /// Returns an idle host with a label that another pool can give, and that pool; spare
    /// pools come last.
    fn find_labelled_host(
        &self,
        allocations: &Allocations,
        receiver: &Arc<str>,
        label: &Arc<str>,
    ) -> Option<(Arc<str>, HostId)> {
        let is_spare = |pool: &Arc<str>| self.fleet.spare_pools.contains(pool);
        let can_give = |pool: &Arc<str>, allocation: &Allocation| {
            let has_unmet_demand = self.fleet.unmet_millicores.contains_key(pool);
            is_spare(pool) || (!has_unmet_demand && allocation.surplus(allocation.needed) > 0)
        };
        let candidates = self.fleet.hosts.values().filter(|host| host.labels.contains(label));
        let candidates =
            candidates.filter(|host| self.counts_for_labels(host)).filter_map(|host| {
                let pool = self.fleet.target_pool(host);
                let allocation = allocations.get(pool).filter(|_| pool != receiver)?;
                let may_move = allocation.is_idle(&host.id) && can_give(pool, allocation);
                may_move.then(|| (is_spare(pool), Arc::clone(pool), host.id.clone()))
            });
        let (_, pool, host) = candidates.min()?;
        Some((pool, host))
    }
}

/// Returns the labels that unfinished steps of a job require.
fn required_labels(active: &ActiveJob) -> impl Iterator<Item = &Arc<str>> {
    let steps = active.job.steps.iter().enumerate();
    steps.filter_map(|(number, step)| {
        let label = step.required_label.as_ref()?;
        let mut occurrences = active.occurrences.values();
        let is_unfinished = occurrences.any(|occurrence| !occurrence.is_step_done(number));
        is_unfinished.then_some(label)
    })
}
