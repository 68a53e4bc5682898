//! Executions of a job's steps, and the state of their tasks.

use super::input::ServerId;
use crate::job::{Job, progress::TaskProgress};

/// Scheduling state of a task: waiting, assigned to a server, or done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Has no server; may be started once the steps that its step depends on
    /// are done.
    #[default]
    Waiting,
    /// May run on this server.
    Assigned(ServerId),
    /// A run has succeeded, of this task or of another member of its gang.
    Done,
}

/// A task of a job: its scheduling state, the progress to store, and the server
/// that its next run avoids.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) state: TaskState,
    pub(super) progress: TaskProgress,
    /// Server on which a run of the task last failed or was given up with the
    /// server; the next run starts there only if no other server fits. A run
    /// that was stopped, rejected or missing from a report doesn't change it.
    /// Members of a gang ignore it.
    pub(super) avoided_server: Option<ServerId>,
}

/// One execution of a job's steps. A scheduled job has one for each time at
/// which it is due, any other job has one only.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// Tasks of each step.
    pub(super) steps: Vec<Vec<Task>>,
}

impl Occurrence {
    /// Creates an occurrence with all tasks waiting.
    pub(super) fn new(job: &Job) -> Occurrence {
        let tasks = |count| vec![Task::default(); usize::try_from(count).unwrap_or_default()];
        Occurrence { steps: job.steps.iter().map(|step| tasks(step.count)).collect() }
    }

    /// Returns whether all tasks of the step with this index are done; the
    /// index must exist.
    pub(super) fn is_step_done(&self, step: usize) -> bool {
        self.steps[step].iter().all(|task| task.state == TaskState::Done)
    }

    /// Returns whether all steps that a step depends on are done, so that its
    /// tasks may start.
    pub(super) fn is_ready(&self, job: &Job, step: usize) -> bool {
        job.steps[step].depends_on.iter().all(|&earlier| self.is_step_done(earlier))
    }

    /// Returns whether all steps are done.
    pub(super) fn is_done(&self) -> bool {
        (0..self.steps.len()).all(|step| self.is_step_done(step))
    }

    /// Marks all tasks as done.
    pub(super) fn complete(&mut self) {
        for task in self.steps.iter_mut().flatten() {
            task.state = TaskState::Done;
            task.progress.is_done = true;
        }
    }

    /// Returns whether a task is assigned, is done or has progress.
    pub(super) fn has_begun(&self) -> bool {
        self.tasks().any(|task| task.state != TaskState::Waiting || !task.progress.is_empty())
    }

    /// Returns the tasks of all steps.
    pub(super) fn tasks(&self) -> impl Iterator<Item = &Task> {
        self.steps.iter().flatten()
    }
}
