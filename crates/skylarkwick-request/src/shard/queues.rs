//! The queues of the configuration in force, and those that were removed while they had jobs.
//!
//! What was accepted is worked off, also when the route to its queue is gone: a job keeps the
//! settings with which its queue was last in force, or those stored with it at its acceptance if
//! this holder has not seen its queue. See `docs/DESIGN.md`, section "Jobs".

use std::{collections::BTreeMap, sync::Arc};

use super::{Shard, active::ActiveJob, input::Queue};
use crate::job;

/// The queues of the configuration in force; `None` until one was received.
#[derive(Debug, Default)]
pub(super) struct Queues {
    in_force: Option<BTreeMap<Arc<str>, Arc<Queue>>>,
}

impl Queues {
    /// Gives a job the settings of its queue that are in force; if it has none, the job keeps the
    /// settings that it has.
    pub(super) fn apply(&self, active: &mut ActiveJob) {
        if let Some(queue) = self.in_force.as_ref().and_then(|queues| queues.get(&active.queue)) {
            active.queue_settings = Some(Arc::clone(queue));
        }
    }

    /// Returns the queues in force.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Arc<Queue>> {
        self.in_force.iter().flat_map(BTreeMap::values)
    }

    /// Returns the limit of attempts of a job's tasks. There is none before a configuration was
    /// received, which may allow more attempts than the settings stored with the job.
    pub(super) fn max_attempts(&self, active: &ActiveJob) -> u32 {
        match (&self.in_force, &active.queue_settings) {
            (Some(_), Some(queue)) => queue.max_attempts,
            _ => u32::MAX,
        }
    }
}

impl Shard {
    /// Replaces the queues and computes the outcome of every known job that is
    /// still undecided, because the limit of attempts may have changed. Jobs of a queue that is
    /// missing go on with the settings that they have. Without any, they stay, but their waiting
    /// tasks are not started, and their failures are not limited.
    pub fn set_queues(&mut self, queues: Vec<Queue>) {
        let by_name = |queue: Queue| (Arc::clone(&queue.name), Arc::new(queue));
        self.queues = Queues { in_force: Some(queues.into_iter().map(by_name).collect()) };
        for active in self.jobs.values_mut() {
            self.queues.apply(active);
        }
        let ids: Vec<job::Id> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.update_outcome(id);
        }
    }

    /// Returns the jobs of each queue for which no server is known to have
    /// started a task; known queues without such jobs are included.
    ///
    /// A start without an answer may be rejected or never arrive, so its job
    /// still counts as waiting.
    pub fn backlog(&self) -> BTreeMap<Arc<str>, Vec<job::Id>> {
        let mut waiting: BTreeMap<Arc<str>, Vec<job::Id>> =
            self.queues.iter().map(|queue| (Arc::clone(&queue.name), Vec::new())).collect();
        for (id, active) in &self.jobs {
            if !active.has_started {
                waiting.entry(Arc::clone(&active.queue)).or_default().push(id.plain());
            }
        }
        waiting
    }
}
