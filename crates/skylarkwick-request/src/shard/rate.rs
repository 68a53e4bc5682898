//! Rates at which workspaces submit jobs, against their weights. See `docs/design/shares.md`.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob};

/// Time for which a workspace may save up jobs that it did not submit.
const BURST: Duration = Duration::from_secs(2);
/// Jobs that it may save up at least: the jobs of a small one fall to the shards by chance, so that
/// several may come to one at once.
const MIN_BURST_JOBS: f64 = 4.0;

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

impl Shard {
    /// Returns whether the workspace of a new job has submitted more jobs lately than its weight
    /// allows. Its jobs spread over the shards, each of which counts its part.
    pub(super) fn is_beyond_weight(&mut self, active: &ActiveJob) -> bool {
        let Some(name) = &active.workspace else {
            return false;
        };
        match self.quotas.weight(name) {
            Some(weight) => {
                let jobs_per_s = weight / f64::from(self.shard_count);
                self.rates.is_exceeded(name, jobs_per_s, active.accepted_at)
            }
            None => false,
        }
    }

    /// Returns whether a job waits for those of other workspaces: it came beyond the weight of its
    /// own, which still has one.
    pub(super) fn is_excess(&self, active: &ActiveJob) -> bool {
        let workspace = active.workspace.as_ref().filter(|_| active.is_beyond_weight);
        workspace.is_some_and(|name| self.quotas.weight(name).is_some())
    }
}
