//! Resources that the current jobs of each pool need. See `docs/DESIGN.md`,
//! section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::Shard;

/// Demand of a pool: the processor time for its tasks, with long-running ones
/// counted separately, and a minimum number of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Processor time that the current jobs need to finish in time, except for
    /// long-running tasks, in thousandths of a core.
    pub(super) batch_millicores: u64,
    /// Processor time that runs of long-running tasks reserve on servers, in
    /// thousandths of a core; tasks without a server don't count.
    pub(super) long_running_millicores: u64,
    /// Fewest hosts that the pool must have, because the long-running tasks of
    /// a job must be spread over as many.
    pub(super) min_hosts: usize,
}

impl Shard {
    /// Returns the demand of each pool that has a queue. Jobs of unknown queues
    /// and servers of other pools are left out.
    pub(super) fn demand(&self, now: Moment) -> BTreeMap<Arc<str>, Demand> {
        let mut demand: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
        for queue in self.queues.values() {
            demand.entry(Arc::clone(&queue.pool)).or_default();
        }
        for active in self.jobs.values() {
            if let Some(queue) = self.queues.get(&active.queue) {
                let pool_demand = demand.entry(Arc::clone(&queue.pool)).or_default();
                pool_demand.min_hosts = pool_demand.min_hosts.max(active.min_hosts());
                let estimate = self.run_times.estimate(&active.queue);
                pool_demand.batch_millicores += active.required_millicores(now, queue, estimate);
            }
        }
        for server in self.servers.values() {
            let long_running = server.runs.values().filter(|active_run| active_run.is_long_running);
            let millicores: u64 =
                long_running.map(|active_run| active_run.resources.millicores).sum();
            if let Some(pool_demand) = demand.get_mut(&server.info.pool) {
                pool_demand.long_running_millicores += millicores;
            }
        }
        demand
    }
}
