//! Writes of the holder to the store.

use skylarkwick_request::shard::effect::{Batch, Change, JobUpdate};
use skylarkwick_version::revision::Revision;

use super::World;

impl World {
    /// Carries out the write of a holder, job by job and on condition of the revisions that it
    /// knew, and tells it the result if it is still at work.
    pub(super) fn save(&mut self, number: u64, batch: Batch, is_saved: bool, is_answered: bool) {
        let Batch { updates, cursors } = batch;
        let (saved, unsaved): (Vec<JobUpdate>, Vec<JobUpdate>) = updates
            .into_iter()
            .partition(|update| is_saved && self.store(number, update, is_answered) && is_answered);
        if !self.is_at_work(number) {
            return;
        }
        let (now, shard) = (self.harness.now, &mut self.harness.shard);
        shard.handle_updates_saved(now, &saved);
        match is_saved && is_answered && unsaved.is_empty() {
            true => shard.handle_batch_saved(now, &Batch { updates: unsaved, cursors }),
            false => {
                shard.handle_batch_save_failed(&Batch { updates: unsaved, cursors: Vec::new() })
            }
        }
    }

    /// Stores an update if the job has the revision that it names; returns whether it was
    /// stored or is obsolete. The holder learns of a conflict.
    pub(super) fn store(&mut self, number: u64, update: &JobUpdate, is_answered: bool) -> bool {
        let is_told = is_answered && self.is_at_work(number);
        let shard = &mut self.harness.shard;
        let Some(stored) = self.stored.get_mut(update.key.id()) else {
            if is_told {
                shard.remove_job(self.harness.now, &update.key);
            }
            return true;
        };
        if stored.revision != update.progress_revision {
            if is_told {
                shard.merge_stored_progress(&update.key, stored.revision, Some(&stored.progress));
            }
            return false;
        }
        self.revision += 1;
        match &update.change {
            Change::Progress(progress) => {
                stored.progress = progress.clone();
                stored.revision = Revision(self.revision);
                if is_told {
                    shard.merge_stored_progress(&update.key, stored.revision, None);
                }
            }
            Change::Finished(_) => {
                self.stored.remove(update.key.id());
                self.finished.insert(update.key.id().clone());
            }
        }
        true
    }
}
