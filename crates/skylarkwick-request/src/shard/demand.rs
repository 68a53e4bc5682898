//! Resources that the current jobs of each pool need. See `docs/DESIGN.md`,
//! section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{Shard, active::ActiveJob};

/// Demand of a pool: the processor time for its tasks, with long-running ones
/// counted separately, and a minimum number of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Processor time that the current jobs need to finish in time, except for
    /// long-running tasks, in thousandths of a core.
    pub(super) batch_millicores: u64,
    /// Processor time of the hosts that long-running tasks fill, waiting ones
    /// included, in thousandths of a core.
    pub(super) long_running_millicores: u64,
    /// Fewest hosts that the pool must have, because the long-running tasks of
    /// a job must be spread over as many.
    pub(super) min_hosts: usize,
}

impl Shard {
    /// Returns the demand of each pool that has a queue or jobs. Jobs of unknown queues
    /// and servers of other pools are left out.
    pub(super) fn demand(&self, now: Moment) -> BTreeMap<Arc<str>, Demand> {
        let mut demand: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
        for queue in self.queues.iter() {
            demand.entry(Arc::clone(&queue.pool)).or_default();
        }
        let host = self.fleet.mean_capacity();
        for active in self.jobs.values() {
            if let Some(queue) = active.queue_settings.as_deref() {
                let pool_demand = demand.entry(Arc::clone(&queue.pool)).or_default();
                pool_demand.min_hosts = pool_demand.min_hosts.max(active.min_hosts());
                let estimate = self.run_times.estimate(&active.queue);
                let batch = active.required_millicores(self.time(now), queue, estimate);
                pool_demand.batch_millicores = pool_demand.batch_millicores.saturating_add(batch);
                let long_running = self.long_running_millicores(active, host);
                pool_demand.long_running_millicores =
                    pool_demand.long_running_millicores.saturating_add(long_running);
            }
        }
        demand
    }

    /// Returns the processor time of the hosts that a job's long-running tasks fill, waiting
    /// ones included, in thousandths of a core. A host is full once it lacks any resource for
    /// another task. Steps that fit on no host or whose label no host has are left out.
    fn long_running_millicores(&self, active: &ActiveJob, host: Resources) -> u64 {
        if active.outcome.is_some() {
            return 0;
        }
        let unfinished = active.unfinished_long_running();
        unfinished
            .filter(|(step, _)| self.fleet.has_label(step.required_label.as_ref()))
            .map(|(step, tasks)| match step.reservation().resources().count_within(&host) {
                Some(0) | None => 0,
                Some(fit) => host.millicores.div_ceil(fit).saturating_mul(tasks),
            })
            .fold(0, u64::saturating_add)
    }
}
