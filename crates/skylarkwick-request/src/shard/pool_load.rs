//! Load of pools, for logs and metrics.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::{Shard, hold::Holds, server::Stage};

/// Load of a pool: its jobs, servers, runs, unmet demand and hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Unfinished jobs of the pool's queues.
    pub jobs: usize,
    /// Of these, those of which tasks could start and did not.
    pub held: Holds,
    /// Backend servers.
    pub servers: usize,
    /// Backend servers that accept new work.
    pub usable: usize,
    /// Backend servers without any run, planned ones included.
    pub idle: usize,
    /// Runs that are planned, in progress or being stopped.
    pub runs: usize,
    /// Of the runs, those whose starts wait for a write of their job.
    pub planned: usize,
    /// Of the runs, those whose starts are not answered.
    pub starting: usize,
    /// Of the runs, those that are being stopped.
    pub stopping: usize,
    /// Processor time that ready tasks lack, in thousandths of a core.
    pub unmet_millicores: u64,
    /// Hosts in the pool or ordered to move to it, without those that drain or
    /// are ordered to leave.
    pub hosts: usize,
    /// Hosts that the current jobs need.
    pub hosts_needed: usize,
    /// Hosts that the pool should have.
    pub hosts_wanted: usize,
}

impl Shard {
    /// Returns the load of each pool that has servers or jobs or is part of the
    /// last allocation of hosts (it had hosts or a queue), for logs and
    /// metrics. The numbers of hosts are those of that allocation; jobs of
    /// unknown queues don't count.
    pub fn pool_loads(&self, now: Moment) -> BTreeMap<Arc<str>, PoolLoad> {
        let mut pools: BTreeMap<Arc<str>, PoolLoad> = BTreeMap::new();
        for server in self.servers.values() {
            let pool = pools.entry(Arc::clone(&server.info.pool)).or_default();
            pool.servers += 1;
            pool.usable += usize::from(self.is_usable(now, server));
            pool.idle += usize::from(server.runs.is_empty());
            pool.runs += server.runs.len();
            pool.planned += server.count_stage(|stage| stage == Stage::Planned);
            let is_starting = |stage| matches!(stage, Stage::Starting | Stage::Unconfirmed);
            pool.starting += server.count_stage(is_starting);
            pool.stopping += server.count_stage(|stage| matches!(stage, Stage::Stopping { .. }));
        }
        for (name, unmet_millicores) in &self.fleet.unmet_millicores {
            pools.entry(Arc::clone(name)).or_default().unmet_millicores = *unmet_millicores;
        }
        for (name, allocation) in &self.fleet.allocations {
            let pool = pools.entry(Arc::clone(name)).or_default();
            pool.hosts = allocation.hosts;
            pool.hosts_needed = allocation.needed;
            pool.hosts_wanted = allocation.target;
        }
        for active in self.jobs.values() {
            if let Some(queue) = active.queue_settings.as_deref() {
                let pool = pools.entry(Arc::clone(&queue.pool)).or_default();
                pool.jobs += 1;
                pool.held.count(now, active);
            }
        }
        pools
    }
}
