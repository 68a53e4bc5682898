//! Rates at which workspaces submit jobs, against their weights. See `docs/design/shares.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{moment::Moment, workspace::Workspaces};

use super::{Shard, active::ActiveJob};
use crate::job;

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

/// Token buckets of the workspaces of a shard, and the jobs that were not counted yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Rates {
    buckets: BTreeMap<Arc<str>, Bucket>,
    /// New jobs, by when they were accepted.
    unrated: BTreeSet<(Moment, job::Id)>,
    /// Whether a configuration has told the weights.
    are_weights_known: bool,
}

impl Rates {
    /// Takes a job of a workspace that was accepted at `accepted`; returns whether the workspace
    /// has submitted more than `jobs_per_s` lately.
    fn is_exceeded(&mut self, name: &Arc<str>, jobs_per_s: f64, accepted: Moment) -> bool {
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
    /// Puts a new job in line to be rated. A new holder reads the jobs before it knows the weights,
    /// and in the order of their identifiers.
    pub(super) fn await_rating(&mut self, active: &ActiveJob) {
        if active.workspace.is_some() {
            self.rates.unrated.insert((active.accepted_at, active.id.clone()));
        }
    }

    /// Rates the jobs that came since the last call in the order in which they were accepted: those
    /// of a workspace that had submitted more jobs lately than its weight allows are beyond it.
    /// Waits until the weights are known.
    pub(super) fn rate_jobs(&mut self) {
        if !self.rates.are_weights_known {
            return;
        }
        for (accepted, id) in std::mem::take(&mut self.rates.unrated) {
            let Some(active) = self.jobs.get_mut(&id) else {
                continue;
            };
            let workspace = active.workspace.as_ref();
            let weight = workspace.and_then(|name| Some((name, self.quotas.weight(name)?)));
            active.is_beyond_weight = weight.is_some_and(|(name, weight)| {
                // The jobs of a workspace spread over the shards.
                let jobs_per_s = weight / f64::from(self.shard_count);
                self.rates.is_exceeded(name, jobs_per_s, accepted)
            });
        }
    }

    /// Replaces the workspaces of the configuration. Jobs that came before are rated by the weights
    /// of then, if there were any.
    pub fn set_workspaces(&mut self, workspaces: Workspaces) {
        self.rate_jobs();
        self.quotas.workspaces = workspaces;
        self.rates.are_weights_known = true;
    }

    /// Returns whether a job waits for those of other workspaces: it came beyond the weight of its
    /// own, which still has one.
    pub(super) fn is_excess(&self, active: &ActiveJob) -> bool {
        let workspace = active.workspace.as_ref().filter(|_| active.is_beyond_weight);
        workspace.is_some_and(|name| self.quotas.weight(name).is_some())
    }
}
