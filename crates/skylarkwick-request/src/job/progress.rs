//! The stored progress of a job.
//!
//! A backend server discards the result of a run once it is acknowledged, so the
//! result is stored here first. See `docs/DESIGN.md`, section "Jobs".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::{ranges::Ranges, task::RunId};

/// Position of a task in its job: its occurrence, step and index in the step, all from zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPosition {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: usize,
    /// Number of the task in its step.
    pub index: usize,
}

/// Progress of one task: whether it has succeeded, its failed runs, the last run recorded and
/// the latest checkpoint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Whether a run has succeeded.
    pub is_done: bool,
    /// Runs that have failed; a set, because two holders may each have recorded a run
    /// that the other has not.
    pub failed_runs: BTreeSet<RunId>,
    /// The run with the highest identifier whose result was recorded; it may be reported again
    /// to a later holder.
    pub last_ended_run: RunId,
    /// Latest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

impl TaskProgress {
    /// Returns whether there is nothing to store: no run has ended, and there is no
    /// checkpoint.
    pub fn is_empty(&self) -> bool {
        let TaskProgress { is_done, failed_runs, last_ended_run, checkpoint } = self;
        !is_done
            && failed_runs.is_empty()
            && *last_ended_run == RunId::default()
            && checkpoint.is_empty()
    }
}

/// Progress of the tasks of a job, and the backend servers that may run them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Progress by task; no run of a task without an entry has ended, but of those that are done.
    pub tasks: BTreeMap<TaskPosition, TaskProgress>,
    /// Tasks that have succeeded, by occurrence and step, whether they have an entry or not.
    pub done_tasks: BTreeMap<(u32, usize), Ranges>,
    /// Occurrences of which every task has succeeded, whether it has an entry or not.
    pub done_occurrences: Ranges,
    /// Backend servers that may run tasks of the job. A server is added before the
    /// first start there, so that the next holder knows which servers to poll.
    pub servers: BTreeSet<Arc<str>>,
}

impl Progress {
    /// Returns whether a task has succeeded.
    pub fn is_done(&self, position: TaskPosition) -> bool {
        let TaskPosition { occurrence, step, index } = position;
        let is_in = |done: &Ranges| u32::try_from(index).is_ok_and(|index| done.contains(index));
        self.done_occurrences.contains(occurrence)
            || self.done_tasks.get(&(occurrence, step)).is_some_and(is_in)
            || self.tasks.get(&position).is_some_and(|task| task.is_done)
    }

    /// Moves tasks that have succeeded from their entries, which take memory each, to the ranges.
    #[must_use]
    pub fn compacted(mut self) -> Progress {
        let done = self.tasks.extract_if(.., |_, task| task.is_done);
        for (TaskPosition { occurrence, step, index }, _) in done {
            if let Ok(index) = u32::try_from(index) {
                self.done_tasks.entry((occurrence, step)).or_default().insert(index);
            }
        }
        self
    }

    /// Merges the progress that another holder of the shard has stored: keeps the servers,
    /// successes, done occurrences and failed runs of both, and the later last run of each
    /// task. A task not done here takes the other's checkpoint if its last run recorded there
    /// is later.
    pub fn merge(&mut self, other: &Progress) {
        self.servers.extend(other.servers.iter().cloned());
        self.done_occurrences.extend(&other.done_occurrences);
        for (&step, done) in &other.done_tasks {
            self.done_tasks.entry(step).or_default().extend(done);
        }
        for (&position, stored) in &other.tasks {
            let task = self.tasks.entry(position).or_default();
            if task.last_ended_run < stored.last_ended_run && !task.is_done {
                task.checkpoint = Arc::clone(&stored.checkpoint);
            }
            task.is_done |= stored.is_done;
            task.failed_runs.extend(&stored.failed_runs);
            task.last_ended_run = task.last_ended_run.max(stored.last_ended_run);
        }
    }
}
