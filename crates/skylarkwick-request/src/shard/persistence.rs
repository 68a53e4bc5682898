//! Storing of job changes; run ends are acknowledged only after that.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use skylarkwick_version::{moment::Moment, revision::Revision};

use super::{
    Shard,
    active::ActiveJob,
    effect::{Batch, Change, Cursor, Effect, JobUpdate},
    input::ServerId,
    server::Server,
};
use crate::job::{self, State, progress::Progress};

/// Most jobs of one job queue in a batch. The jobs of a queue are written in
/// one transaction, in which the platform allows 100 conditions, writes and
/// removals, and a job needs three.
const MAX_JOBS_PER_QUEUE: usize = 33;

impl Shard {
    /// Sends the next batch of changed jobs to the store, unless an earlier
    /// batch is still being stored. It also covers the run ends whose jobs wait
    /// for no later batch; these may be acknowledged once it is stored. If no job
    /// has changed, all may be acknowledged at once.
    pub(super) fn save(&mut self) {
        if self.is_saving {
            return;
        }
        if self.unsaved_jobs.is_empty() {
            self.mark_ends_saved();
            return;
        }
        let ids = self.next_unsaved_jobs();
        for id in &ids {
            self.drop_verified_servers(id);
        }
        let updates: Vec<JobUpdate> = ids.iter().filter_map(|id| self.job_update(id)).collect();
        for id in &ids {
            self.unsaved_jobs.remove(id);
        }
        let cursors = self.cursors();
        self.is_saving = true;
        for update in &updates {
            self.record_write_started(update);
        }
        self.effects.push(Effect::Save(Batch { updates, cursors }));
    }

    /// Returns the changed jobs to write next, at most `MAX_JOBS_PER_QUEUE` of
    /// each job queue, because the jobs of a queue are written in one
    /// transaction.
    fn next_unsaved_jobs(&self) -> Vec<job::Id> {
        let mut counts: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        let mut is_next = |id: &&job::Id| {
            self.jobs.get(*id).is_none_or(|active| {
                let count = counts.entry(&active.queue).or_default();
                *count += 1;
                *count <= MAX_JOBS_PER_QUEUE
            })
        };
        self.unsaved_jobs.iter().filter(|id| is_next(id)).cloned().collect()
    }

    /// Lets the next polls acknowledge all run ends that were handled; called
    /// only when no job has a change to store.
    fn mark_ends_saved(&mut self) {
        for server in self.servers.values_mut() {
            server.mark_ends_saved(server.last_seen_end);
        }
    }

    /// Handles a batch that was stored, as `handle_updates_saved` does for its
    /// updates. The run ends that it covers may be acknowledged, unless their
    /// server has another incarnation now.
    pub fn handle_batch_saved(&mut self, now: Moment, batch: &Batch) {
        self.is_saving = false;
        for cursor in &batch.cursors {
            match self.servers.get_mut(&cursor.server) {
                Some(server) if server.info.incarnation_ms == cursor.incarnation_ms => {
                    server.mark_ends_saved(cursor.number);
                }
                _ => {}
            }
        }
        self.handle_updates_saved(now, &batch.updates);
    }

    /// Handles updates of a batch that were stored; others of it may still be
    /// written. The jobs that they stored as finished are dropped, and the
    /// starts that waited for their servers to be recorded are sent or
    /// cancelled, as in `send_planned_starts`.
    pub fn handle_updates_saved(&mut self, now: Moment, updates: &[JobUpdate]) {
        for update in updates {
            match &update.change {
                Change::Finished(_) => {
                    self.take_job(&update.key);
                    self.record_finished(now, &update.key);
                }
                Change::Progress(progress) => self.record_write_saved(now, &update.key, progress),
            }
        }
    }

    /// Drops from a job's unverified servers, on which an earlier holder may
    /// have started its tasks, those that have answered a poll of this holder:
    /// their runs are known. Does nothing if the job is unknown.
    fn drop_verified_servers(&mut self, id: &job::Id) {
        if let Some(active) = self.jobs.get_mut(id) {
            let servers = &self.servers;
            let is_unverified =
                |id: &ServerId| !servers.get(id).is_some_and(|known| known.is_fenced);
            active.unverified_servers.retain(is_unverified);
        }
    }

    /// Has the jobs that are recorded with a server written without it, because
    /// everything that was started there is over; else the next holder would
    /// wait for a server that may never answer. Jobs that an earlier holder
    /// recorded with it follow if it has answered a poll of this holder.
    pub(super) fn unrecord_server(&mut self, server: &ServerId) {
        let has_answered = self.servers.get(server).is_some_and(|known| known.is_fenced);
        for (id, active) in &mut self.jobs {
            let was_unverified = has_answered && active.unverified_servers.remove(server);
            if was_unverified || active.recorded_servers.contains(server) {
                self.unsaved_jobs.insert(id.clone());
            }
        }
    }

    /// Drops the servers that have not answered this holder from all jobs once
    /// nothing that an earlier holder started there still runs, and has these jobs
    /// written without them.
    pub(super) fn drop_unanswered_servers(&mut self, now: Moment) {
        let is_over = |id: &&ServerId| {
            let has_answered = self.servers.get(*id).is_some_and(|known| known.is_fenced);
            !has_answered && self.are_earlier_runs_settled(now, id)
        };
        let unverified = self.jobs.values().flat_map(|active| &active.unverified_servers);
        let over: BTreeSet<ServerId> = unverified.filter(is_over).cloned().collect();
        self.unanswered.servers += over.len();
        for (id, active) in &mut self.jobs {
            let known = active.unverified_servers.len();
            active.unverified_servers.retain(|server| !over.contains(server));
            if active.unverified_servers.len() < known {
                self.unanswered.jobs += 1;
                self.unsaved_jobs.insert(id.clone());
            }
        }
    }

    /// Drops from the recorded servers of a job those that this write removes
    /// from its stored progress; whether they are still recorded is unknown
    /// until the write is confirmed. Does nothing if the job is unknown or the
    /// write stores its final state.
    fn record_write_started(&mut self, update: &JobUpdate) {
        if let (Some(active), Change::Progress(progress)) =
            (self.job_mut(&update.key), &update.change)
        {
            active.recorded_servers.retain(|server| progress.servers.contains(&server.0));
        }
    }

    /// Takes the servers of a stored progress as the recorded ones of the job,
    /// then sends or cancels the starts that waited for that, as in
    /// `send_planned_starts`. Does nothing if the job is unknown.
    fn record_write_saved(&mut self, now: Moment, key: &job::Key, progress: &Progress) {
        if let Some(active) = self.job_mut(key) {
            active.failed_writes = 0;
            active.recorded_servers =
                progress.servers.iter().map(|id| ServerId(Arc::clone(id))).collect();
            let id = active.id.clone();
            self.send_planned_starts(now, &id);
        }
    }

    /// Sets the revision that the next write of a job's progress expects.
    /// Progress that another holder has stored (`other`) is merged into the
    /// job's own: the job's planned starts are cancelled, its outcome is
    /// recomputed, and it is stored again. Does nothing if the job is unknown.
    pub fn merge_stored_progress(
        &mut self,
        key: &job::Key,
        revision: Revision,
        other: Option<&Progress>,
    ) {
        let Some(active) = self.job_mut(key) else {
            return;
        };
        let id = active.id.clone();
        active.progress_revision = revision;
        if let Some(other) = other {
            active.merge_progress(other);
            self.cancel_planned(|task| task.job == id);
            self.unsaved_jobs.insert(id.clone());
            self.update_outcome(&id);
        }
    }

    /// Handles a batch that may not be stored: those of its jobs that are still
    /// known are written again, and the run ends that it covers are not
    /// acknowledged yet. If writes of a job keep failing, its starts that wait for
    /// one are cancelled, so that they hold no room from others.
    pub fn handle_batch_save_failed(&mut self, batch: &Batch) {
        self.is_saving = false;
        for update in &batch.updates {
            if let Some(active) = self.job_mut(&update.key) {
                active.failed_writes = active.failed_writes.saturating_add(1);
                let id = active.id.clone();
                self.unsaved_jobs.insert(id);
            }
        }
        let is_failing = |id: &job::Id| self.jobs.get(id).is_some_and(ActiveJob::is_write_failing);
        let updates = batch.updates.iter().filter_map(|update| self.known_id(&update.key));
        let failing: BTreeSet<job::Id> = updates.filter(is_failing).collect();
        if !failing.is_empty() {
            self.cancel_planned(|task| failing.contains(&task.job));
        }
    }

    /// Opens the occurrences (executions of a job's steps) of scheduled jobs
    /// that are due by `unix_ms`, in Unix milliseconds, and whose turn has come, job by job and in
    /// the order of their numbers. Jobs without a schedule are left alone.
    pub(super) fn open_occurrences(&mut self, unix_ms: u64) {
        for active in self.jobs.values_mut().filter(|active| active.job.schedule.is_some()) {
            active.open_due(unix_ms);
        }
    }

    /// Returns the update to store for a job, `None` if it is unknown: its
    /// final state once its outcome is decided, else its progress. A failed job
    /// is stored as progress while any of its tasks is assigned to a server.
    fn job_update(&self, id: &job::Id) -> Option<JobUpdate> {
        let active = self.jobs.get(id)?;
        let change = match active.outcome {
            // A failed job is reported only after its remaining runs were
            // stopped.
            Some(State::Failed) if !active.assigned_tasks().is_empty() => {
                Change::Progress(active.progress())
            }
            Some(outcome) => Change::Finished(outcome),
            None => Change::Progress(active.progress()),
        };
        Some(JobUpdate {
            key: active.key(),
            workspace: active.workspace.clone(),
            revision: active.revision,
            progress_revision: active.progress_revision,
            change,
        })
    }

    /// Returns a cursor for each server with handled run ends that are stored
    /// once the batch about to be sent is: those before the first one whose job
    /// waits for a later batch.
    fn cursors(&self) -> Vec<Cursor> {
        let is_covered = |(_, job): &&(u64, job::Id)| !self.unsaved_jobs.contains(job);
        let last_covered = |server: &Server| {
            let (number, _) = server.unsaved_ends.iter().take_while(is_covered).last()?;
            Some(Cursor {
                server: server.id().clone(),
                incarnation_ms: server.info.incarnation_ms,
                number: *number,
            })
        };
        self.servers.values().filter_map(last_covered).collect()
    }
}
