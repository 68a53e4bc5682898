//! Outcomes of jobs: when a job has completed or failed.

use std::sync::Arc;

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob, occurrence::Task};
use crate::job::{self, State};

impl Shard {
    /// Computes a job's outcome, unless it was decided before; if its queue is unknown, or no
    /// configuration was received yet, attempts are not limited. A decided outcome is to be stored,
    /// and the stops of a failed job's remaining runs are due at once. Does
    /// nothing if the job is unknown.
    pub(super) fn update_outcome(&mut self, id: &job::Id) {
        let Some(active) = self.jobs.get_mut(id) else {
            return;
        };
        let limit = self.queues.max_attempts(active);
        match active.compute_outcome(limit) {
            Some(State::Failed) => {
                for (server, task) in active.assigned_tasks() {
                    // A stop requested at the zero moment is due at once.
                    self.request_stop(Moment::ZERO, &server, &task);
                }
                self.unsaved_jobs.insert(id.clone());
            }
            Some(_) => {
                self.unsaved_jobs.insert(id.clone());
            }
            None => {}
        }
    }
}

impl ActiveJob {
    /// Computes the job's outcome, unless it was decided before, and keeps it;
    /// `None` while it is undecided. A job fails when a task that is not
    /// long-running and not done has `max_attempts` failed runs (0 counts as
    /// 1). Otherwise it completes when all its occurrences are done, including
    /// those that have yet to open; one with a long-running task never is.
    pub(super) fn compute_outcome(&mut self, max_attempts: u32) -> Option<State> {
        let job = Arc::clone(&self.job);
        let has_failed = self.occurrences.values().any(|occurrence| {
            occurrence.steps.iter().zip(&job.steps).any(|(tasks, step)| {
                !step.is_long_running
                    && tasks
                        .all_touched()
                        .any(|(_, task)| has_exhausted_attempts(task, max_attempts))
            })
        });
        let is_done = self.done_occurrences.first_absent(0) >= job.occurrences();
        self.outcome = match self.outcome {
            Some(outcome) => Some(outcome),
            None if has_failed => Some(State::Failed),
            None if is_done => Some(State::Completed),
            None => None,
        };
        self.outcome
    }
}

/// Returns whether a task has failed as often as its queue allows, at least once.
fn has_exhausted_attempts(task: &Task, max_attempts: u32) -> bool {
    task.progress.failed_runs.len() >= usize::try_from(max_attempts.max(1)).unwrap_or(usize::MAX)
}
