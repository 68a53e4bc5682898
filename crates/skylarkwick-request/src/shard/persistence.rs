//! What has to last, written before ends are acknowledged.

use std::{collections::BTreeMap, sync::Arc};

use skylarkwick_version::{moment::Moment, revision::Revision};

use super::{
    Shard,
    effect::{Batch, Change, Cursor, Effect, JobUpdate},
    input::ServerId,
};
use crate::job::{self, State, progress::Progress};

/// Jobs of one queue written at once; the platform takes a hundred conditions,
/// writes and removals together, and a job needs three.
const MAX_JOBS_PER_QUEUE: usize = 33;

impl Shard {
    /// Writes what changed, one batch at a time.
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
        let entries: Vec<JobUpdate> = ids.iter().filter_map(|id| self.job_update(id)).collect();
        for id in &ids {
            self.unsaved_jobs.remove(id);
        }
        let cursors = match self.unsaved_jobs.is_empty() {
            true => self.cursors(),
            false => Vec::new(),
        };
        self.is_saving = true;
        for entry in &entries {
            self.record_write_started(entry);
        }
        self.effects.push(Effect::Save(Batch { updates: entries, cursors }));
    }

    /// Returns the jobs to write next: as many of each queue as go together.
    fn next_unsaved_jobs(&self) -> Vec<job::Id> {
        let mut entries: BTreeMap<&Arc<str>, usize> = BTreeMap::new();
        let mut is_next = |id: &&job::Id| {
            self.jobs.get(*id).is_none_or(|active| {
                let of_queue = entries.entry(&active.queue).or_default();
                *of_queue += 1;
                *of_queue <= MAX_JOBS_PER_QUEUE
            })
        };
        self.unsaved_jobs.iter().filter(|id| is_next(id)).cloned().collect()
    }

    /// Lets ends be acknowledged that changed nothing that has to last.
    fn mark_ends_saved(&mut self) {
        for server in self.servers.values_mut() {
            server.last_saved_end = server.last_seen_end;
        }
    }

    /// Notes that a batch is stored.
    pub fn handle_batch_saved(&mut self, now: Moment, batch: &Batch) {
        self.is_saving = false;
        for cursor in &batch.cursors {
            match self.servers.get_mut(&cursor.server) {
                Some(server) if server.info.incarnation_ms == cursor.incarnation_ms => {
                    server.last_saved_end = server.last_saved_end.max(cursor.number);
                }
                _ => {}
            }
        }
        for entry in &batch.updates {
            match &entry.change {
                Change::Finished(_) => {
                    self.jobs.remove(&entry.id);
                    self.finished_jobs.insert(entry.id.clone(), now);
                }
                Change::Progress(progress) => self.record_write_saved(now, &entry.id, progress),
            }
        }
    }

    /// Forgets the doubt about servers that have answered: what they run is known.
    fn drop_verified_servers(&mut self, id: &job::Id) {
        if let Some(active) = self.jobs.get_mut(id) {
            let servers = &self.servers;
            let is_unverified =
                |id: &ServerId| !servers.get(id).is_some_and(|known| known.is_fenced);
            active.unverified_servers.retain(is_unverified);
        }
    }

    /// Notes what is about to be stored of a job. Until its outcome is known, only
    /// the servers that are stored in any case count.
    fn record_write_started(&mut self, entry: &JobUpdate) {
        if let (Some(active), Change::Progress(progress)) =
            (self.jobs.get_mut(&entry.id), &entry.change)
        {
            active.recorded_servers.retain(|server| progress.servers.contains(&server.0));
        }
    }

    /// Notes what is stored of a job, and starts what waited for it.
    fn record_write_saved(&mut self, now: Moment, id: &job::Id, progress: &Progress) {
        if let Some(active) = self.jobs.get_mut(id) {
            active.recorded_servers =
                progress.servers.iter().map(|id| ServerId(Arc::clone(id))).collect();
            self.send_planned_starts(now, id);
        }
    }

    /// Notes the revision of a job's stored progress, and what else was there.
    pub fn merge_stored_progress(
        &mut self,
        id: &job::Id,
        revision: Revision,
        other: Option<&Progress>,
    ) {
        let Some(active) = self.jobs.get_mut(id) else {
            return;
        };
        active.progress_revision = revision;
        if let Some(other) = other {
            active.merge_progress(other);
            self.cancel_planned(|task| task.job == *id);
            self.unsaved_jobs.insert(id.clone());
            self.update_outcome(id);
        }
    }

    /// Notes that a batch was not stored, or that nobody knows; it is written
    /// again.
    pub fn handle_batch_save_failed(&mut self, batch: &Batch) {
        self.is_saving = false;
        for entry in &batch.updates {
            if self.jobs.contains_key(&entry.id) {
                self.unsaved_jobs.insert(entry.id.clone());
            }
        }
    }

    /// Opens the occurrences that are due.
    pub(super) fn open_occurrences(&mut self, unix_ms: u64) {
        for active in self.jobs.values_mut() {
            if active.job.schedule.is_none() {
                continue;
            }
            let first = active.next_occurrence();
            for occurrence in first..active.job.occurrences() {
                match active.job.due_ms(occurrence) {
                    Some(due_ms) if due_ms <= unix_ms => active.open_occurrence(occurrence),
                    _ => break,
                }
            }
        }
    }

    fn job_update(&self, id: &job::Id) -> Option<JobUpdate> {
        let active = self.jobs.get(id)?;
        let change = match active.outcome {
            // What still runs of a failed job is stopped first, so that its
            // caller is not told too early.
            Some(State::Failed) if !active.assigned_tasks().is_empty() => {
                Change::Progress(active.progress())
            }
            Some(outcome) => Change::Finished(outcome),
            None => Change::Progress(active.progress()),
        };
        Some(JobUpdate {
            id: id.clone(),
            queue: active.queue.clone(),
            revision: active.revision,
            progress_revision: active.progress_revision,
            change,
        })
    }

    fn cursors(&self) -> Vec<Cursor> {
        let unsaved =
            self.servers.values().filter(|server| server.last_seen_end > server.last_saved_end);
        unsaved
            .map(|server| Cursor {
                server: server.id().clone(),
                incarnation_ms: server.info.incarnation_ms,
                number: server.last_seen_end,
            })
            .collect()
    }
}
