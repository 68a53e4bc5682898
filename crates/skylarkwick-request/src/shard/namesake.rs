//! Jobs whose identifier a job of another queue has. The names of tasks have no queue in them, so
//! that servers could not tell their tasks apart: they run one after the other.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::{Shard, input::AcceptedJob};
use crate::job;

/// Accepted jobs that wait for one with the same identifier to be over, each with the time at which
/// it was passed in.
#[derive(Clone, Debug, Default)]
pub(super) struct Namesakes {
    waiting: BTreeMap<job::Key, (Moment, AcceptedJob)>,
}

impl Namesakes {
    /// Adds a job.
    pub(super) fn insert(&mut self, now: Moment, key: job::Key, accepted: AcceptedJob) {
        self.waiting.insert(key, (now, accepted));
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, key: &job::Key) {
        self.waiting.remove(key);
    }

    /// Returns the jobs.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &AcceptedJob> {
        self.waiting.values().map(|(_, accepted)| accepted)
    }

    /// Returns the queue and the identifier of each job.
    pub(super) fn keys(&self) -> impl Iterator<Item = (&Arc<str>, &job::Id)> {
        self.waiting.keys().map(|key| (key.queue(), key.id()))
    }
}

impl Shard {
    /// Adds the jobs that waited for one with the same identifier, of which nothing runs any more.
    pub(super) fn admit_namesakes(&mut self, now: Moment) {
        let is_over = |key: &&job::Key| {
            let is_running = self.servers.values().any(|server| server.has_run_of(key.id()));
            !self.jobs.contains_key(key.id()) && !is_running
        };
        let over: Vec<job::Key> = self.namesakes.waiting.keys().filter(is_over).cloned().collect();
        for key in over {
            if let Some((since, accepted)) = self.namesakes.waiting.remove(&key) {
                let age = accepted.age + now.since(since);
                self.add_job(now, AcceptedJob { age, ..accepted });
            }
        }
    }
}
