//! How much the work at hand of each pool needs.
//! See `docs/DESIGN.md`, section "Hosts and waves".

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::Shard;

/// Demand of a pool.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Demand {
    /// Processor time that ends the jobs at hand in time, in thousandths of a core.
    pub(super) used_millicores: u64,
    /// Processor time that lasting tasks hold, in thousandths of a core.
    pub(super) lasting_millicores: u64,
    /// Hosts over which lasting tasks have to be spread.
    pub(super) spread: usize,
}

impl Shard {
    /// Returns what the jobs at hand of each pool need.
    pub(super) fn demand(&self, now: Moment) -> BTreeMap<Arc<str>, Demand> {
        let mut demand: BTreeMap<Arc<str>, Demand> = BTreeMap::new();
        for queue in self.queues.values() {
            demand.entry(Arc::clone(&queue.pool)).or_default();
        }
        for active in self.jobs.values() {
            if let Some(queue) = self.queues.get(&active.queue) {
                let of_pool = demand.entry(Arc::clone(&queue.pool)).or_default();
                of_pool.spread = of_pool.spread.max(active.spread());
                of_pool.used_millicores += active.millicores_in_time(now, queue, &self.learning);
            }
        }
        for server in self.servers.values() {
            let lasting = server.runs.values().filter(|taken| taken.is_lasting);
            let millicores: u64 = lasting.map(|taken| taken.size.millicores).sum();
            if let Some(of_pool) = demand.get_mut(&server.listing.pool) {
                of_pool.lasting_millicores += millicores;
            }
        }
        demand
    }
}
