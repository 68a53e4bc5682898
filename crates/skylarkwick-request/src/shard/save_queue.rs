//! Jobs whose changes are to be stored, in the order in which they changed.

use std::collections::BTreeMap;

use crate::job;

/// Queue of changed jobs, oldest change first, each at most once. A job that changes again
/// while it waits keeps its place, so no job waits for ever while others keep changing.
#[derive(Clone, Debug, Default)]
pub(super) struct SaveQueue {
    /// Jobs by their place in the queue.
    jobs: BTreeMap<u64, job::Id>,
    /// Place of each job.
    places: BTreeMap<job::Id, u64>,
    /// Place of the next job.
    next_place: u64,
}

impl SaveQueue {
    /// Appends a job, unless it is in the queue.
    pub(super) fn insert(&mut self, id: job::Id) {
        if self.places.contains_key(&id) {
            return;
        }
        self.places.insert(id.clone(), self.next_place);
        self.jobs.insert(self.next_place, id);
        self.next_place += 1;
    }

    /// Removes a job; does nothing if it is not in the queue.
    pub(super) fn remove(&mut self, id: &job::Id) {
        if let Some(place) = self.places.remove(id) {
            self.jobs.remove(&place);
        }
    }

    /// Returns whether a job is in the queue.
    pub(super) fn contains(&self, id: &job::Id) -> bool {
        self.places.contains_key(id)
    }

    /// Returns whether no job is in the queue.
    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the jobs, oldest change first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &job::Id> {
        self.jobs.values()
    }
}
