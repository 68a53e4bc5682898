//! What of a job's progress has to last.
//!
//! A backend server forgets an end once it was acknowledged, so the end is
//! written here first. See `docs/DESIGN.md`, section "Jobs".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use super::task::RunId;

/// Place of a task in its job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskPosition {
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: usize,
    /// Number of the task in its step.
    pub index: usize,
}

/// What is known of one task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TaskProgress {
    /// Whether a run has ended well.
    pub is_done: bool,
    /// Runs that have failed; a set, because two holders may each know of one
    /// that the other does not.
    pub failed_runs: BTreeSet<RunId>,
    /// The last run whose end was counted; a later holder may be told of it again.
    pub last_ended_run: RunId,
    /// Latest checkpoint, empty when there is none.
    pub checkpoint: Arc<str>,
}

/// What is known of a job's tasks; tasks without a note have not ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// The notes.
    pub tasks: BTreeMap<TaskPosition, TaskProgress>,
    /// Backend servers on which tasks may have been started and not known to have
    /// ended. A server is added before the first start there, so that the next
    /// holder knows which servers it has to ask.
    pub servers: BTreeSet<Arc<str>>,
}

impl Progress {
    /// Adds what another holder has stored; nothing that is known is lost.
    pub fn merge(&mut self, other: &Progress) {
        self.servers.extend(other.servers.iter().cloned());
        for (&place, note) in &other.tasks {
            let known = self.tasks.entry(place).or_default();
            if known.last_ended_run < note.last_ended_run && !known.is_done {
                known.checkpoint = Arc::clone(&note.checkpoint);
            }
            known.is_done |= note.is_done;
            known.failed_runs.extend(&note.failed_runs);
            known.last_ended_run = known.last_ended_run.max(note.last_ended_run);
        }
    }
}
