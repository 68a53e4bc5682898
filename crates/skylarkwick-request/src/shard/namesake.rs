//! Jobs whose identifier a job of another queue has, or had shortly before.
//!
//! Inside the shard their identifiers carry the queue. Servers name tasks without it, so no server
//! gets tasks of two such jobs: a report of a task belongs to the job that is recorded with the
//! server, also after a change of the holder. See `docs/incidents/namesake-waits-for-good.md`.

use std::collections::BTreeSet;

use super::{Shard, active::ActiveJob, input::ServerId, server::Server};
use crate::job::{self, task};

/// The identifiers, without queues, that jobs of two queues have or had.
#[derive(Clone, Debug, Default)]
pub(super) struct Namesakes {
    ids: BTreeSet<job::Id>,
}

impl Namesakes {
    /// Returns whether jobs of two queues have or had this identifier.
    pub(super) fn contains(&self, id: &job::Id) -> bool {
        !self.ids.is_empty() && self.ids.contains(&id.plain())
    }
}

impl Shard {
    /// Has a job that is added later told from one of another queue with its identifier, which is
    /// over; servers may still list ends of it.
    pub fn expect_namesake(&mut self, id: &job::Id) {
        self.namesakes.ids.insert(id.plain());
    }

    /// Returns the identifier by which a job is known here; `None` if it is unknown.
    pub(super) fn known_id(&self, key: &job::Key) -> Option<job::Id> {
        let own = || key.id().in_queue(key.queue());
        match self.jobs.get(key.id()) {
            Some(active) if active.queue == *key.queue() => Some(key.id().clone()),
            _ => Some(own()).filter(|id| self.jobs.contains_key(id)),
        }
    }

    /// Returns the identifier by which a new job is to be known here: with its queue if another
    /// one has or had a job with this identifier.
    pub(super) fn new_id(&mut self, key: &job::Key) -> job::Id {
        let ended = self.finished_jobs.get(key.id());
        let has_ended = ended.is_some_and(|queues| queues.keys().any(|queue| queue != key.queue()));
        if has_ended || self.jobs.contains_key(key.id()) || self.namesakes.contains(key.id()) {
            self.expect_namesake(key.id());
            return key.id().in_queue(key.queue());
        }
        key.id().clone()
    }

    /// Forgets the identifiers that no job has and none had shortly before.
    pub(super) fn forget_namesakes(&mut self) {
        let (jobs, finished) = (&self.jobs, &self.finished_jobs);
        self.namesakes.ids.retain(|id| {
            let next = jobs.range(id..).next();
            next.is_some_and(|(next, _)| next.plain() == *id) || finished.contains_key(id)
        });
    }

    /// Returns a task that a server names as the task of the job that it belongs to: the one of
    /// which it has a run, or else the one that is recorded with the server. Without any, it is
    /// that of a job that is over or was never known.
    pub(super) fn owned_task(&self, server: &ServerId, task: task::Id) -> task::Id {
        if !self.namesakes.contains(&task.job) {
            return task;
        }
        let with_job = |job: &job::Id| task::Id { job: job.clone(), ..task.clone() };
        let runs = self.servers.get(server).into_iter().flat_map(|server| server.runs.keys());
        let mut known = runs.filter(|known| with_job(&known.job) == **known);
        if let Some(known) = known.find(|known| known.job.as_str() == task.job.as_str()) {
            return known.clone();
        }
        let mut recorded = self.jobs_named(&task.job).filter(|active| active.may_use(server));
        recorded.next().map_or(task.clone(), |active| with_job(&active.id))
    }

    /// Returns whether a server has or may have tasks of a job with this identifier and another
    /// queue, so that those of this job could not be told from them.
    pub(super) fn has_namesake_tasks(&self, server: &Server, id: &job::Id) -> bool {
        let mut others = self.jobs_named(id).filter(|active| active.id.is_namesake_of(id));
        server.runs.keys().any(|task| task.job.is_namesake_of(id))
            || others.any(|active| active.may_use(server.id()))
    }

    /// Returns the jobs with the text of this identifier.
    fn jobs_named(&self, id: &job::Id) -> impl Iterator<Item = &ActiveJob> {
        let plain = id.plain();
        let later = self.jobs.range(plain.clone()..);
        later.map_while(move |(known, active)| (known.plain() == plain).then_some(active))
    }
}

impl ActiveJob {
    /// Returns whether tasks of the job may run on a server.
    fn may_use(&self, server: &ServerId) -> bool {
        self.recorded_servers.contains(server) || self.unverified_servers.contains(server)
    }
}
