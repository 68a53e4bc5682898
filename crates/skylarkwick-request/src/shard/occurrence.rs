//! Executions of a job's steps, and the state of their tasks.
//!
//! A job may have far more tasks than can run at once, so that only those that have begun and are
//! not done are kept one by one. See `docs/DESIGN.md`, section "Memory of a holder".

use std::collections::BTreeMap;

use skylarkwick_version::moment::Moment;

use super::input::ServerId;
use crate::job::{Job, progress::TaskProgress, ranges::Ranges};

/// Scheduling state of a task that is not done: waiting or assigned to a server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Has no server; may be started once the steps that its step depends on
    /// are done.
    #[default]
    Waiting,
    /// May run on this server.
    Assigned(ServerId),
}

/// A task that is not done: its scheduling state, the progress to store, the server that its next
/// run avoids, and when it last had a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Task {
    pub(super) state: TaskState,
    pub(super) progress: TaskProgress,
    /// Server on which a run of the task last failed or was given up with the
    /// server; the next run starts there only if no other server fits. A run
    /// that was stopped, rejected or missing from a report doesn't change it.
    /// Members of a gang ignore it.
    pub(super) avoided_server: Option<ServerId>,
    /// When its last run that has ended was known to be in progress, by this holder; kept for
    /// long-running tasks only.
    pub(super) last_run: Option<Moment>,
}

impl Task {
    /// Returns whether the task is assigned or has progress.
    fn has_begun(&self) -> bool {
        self.state != TaskState::Waiting || !self.progress.is_empty()
    }

    /// Returns whether the task is as if nothing had happened to it.
    fn is_untouched(&self) -> bool {
        !self.has_begun() && self.avoided_server.is_none() && self.last_run.is_none()
    }
}

/// The tasks of a step, in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepTasks {
    count: u32,
    /// Tasks to which something has happened and that are not done, by their indices.
    touched: BTreeMap<usize, Task>,
    done: Ranges,
}

impl StepTasks {
    /// Creates the tasks of a step, all waiting.
    fn new(count: u32) -> StepTasks {
        StepTasks { count, touched: BTreeMap::new(), done: Ranges::default() }
    }

    /// Returns whether all tasks are done.
    pub(super) fn are_done(&self) -> bool {
        self.done.first_absent(0) >= self.count
    }

    /// Returns whether the task with this index exists and is not done.
    pub(super) fn is_unfinished(&self, index: usize) -> bool {
        u32::try_from(index).is_ok_and(|number| number < self.count && !self.done.contains(number))
    }

    /// Returns whether the task with this index exists, has no server and is not done.
    pub(super) fn is_waiting(&self, index: usize) -> bool {
        let has_no_server = |task: &Task| task.state == TaskState::Waiting;
        self.is_unfinished(index) && self.touched.get(&index).is_none_or(has_no_server)
    }

    /// Returns a task to which something has happened; `None` also if it is done.
    pub(super) fn touched(&self, index: usize) -> Option<&Task> {
        self.touched.get(&index)
    }

    /// Returns the tasks that are not done and to which something has happened, with their indices.
    pub(super) fn all_touched(&self) -> impl Iterator<Item = (usize, &Task)> {
        self.touched.iter().map(|(&index, task)| (index, task))
    }

    /// Returns the same tasks for changes.
    pub(super) fn all_touched_mut(&mut self) -> impl Iterator<Item = &mut Task> {
        self.touched.values_mut()
    }

    /// Returns a task for changes; `None` if there is no such task or it is done.
    pub(super) fn task_mut(&mut self, index: usize) -> Option<&mut Task> {
        match self.is_unfinished(index) {
            true => Some(self.touched.entry(index).or_default()),
            false => None,
        }
    }

    /// Forgets a task as if nothing had happened to it, if that is so.
    pub(super) fn forget_untouched(&mut self, index: usize) {
        if self.touched.get(&index).is_some_and(Task::is_untouched) {
            self.touched.remove(&index);
        }
    }

    /// Marks a task as done.
    pub(super) fn complete(&mut self, index: usize) {
        self.touched.remove(&index);
        if let Ok(number) = u32::try_from(index)
            && number < self.count
        {
            self.done.insert(number);
        }
    }

    /// Marks tasks as done; those that don't exist are left out.
    pub(super) fn complete_all(&mut self, done: &Ranges) {
        for range in done.iter() {
            self.done.insert_range(range.start..range.end.min(self.count));
        }
        let done = &self.done;
        self.touched.retain(|&index, _| u32::try_from(index).is_ok_and(|n| !done.contains(n)));
    }

    /// Marks all tasks of the step as done.
    pub(super) fn complete_each(&mut self) {
        self.touched.clear();
        self.done.insert_range(0..self.count);
    }

    /// Marks all tasks as done except the one with this index.
    pub(super) fn complete_others(&mut self, index: usize) {
        let index = u32::try_from(index).unwrap_or(u32::MAX);
        let others = [0..index.min(self.count), index.saturating_add(1)..self.count];
        let mut done = Ranges::default();
        others.into_iter().for_each(|range| done.insert_range(range));
        self.complete_all(&done);
    }

    /// Returns the tasks that are done.
    pub(super) fn done(&self) -> &Ranges {
        &self.done
    }

    /// Returns how many tasks are not done.
    pub(super) fn count_unfinished(&self) -> usize {
        usize::try_from(self.count).unwrap_or(usize::MAX).saturating_sub(self.done.len())
    }

    /// Returns how many tasks have no server and are not done.
    pub(super) fn count_waiting(&self) -> usize {
        let assigned = self.touched.values().filter(|task| task.state != TaskState::Waiting);
        self.count_unfinished().saturating_sub(assigned.count())
    }

    /// Returns the indices of the tasks that have no server and are not done, in their order.
    pub(super) fn waiting(&self) -> impl Iterator<Item = usize> {
        let unfinished = self.done.absent(self.count).filter_map(|number| number.try_into().ok());
        unfinished.filter(|&index| {
            self.touched.get(&index).is_none_or(|task| task.state == TaskState::Waiting)
        })
    }

    /// Returns whether a task is assigned, is done or has progress.
    fn has_begun(&self) -> bool {
        !self.done.is_empty() || self.touched.values().any(Task::has_begun)
    }
}

/// One execution of a job's steps. A scheduled job has one for each time at
/// which it is due, any other job has one only.
#[derive(Clone, Debug)]
pub(super) struct Occurrence {
    /// Tasks of each step.
    pub(super) steps: Vec<StepTasks>,
}

impl Occurrence {
    /// Creates an occurrence with all tasks waiting.
    pub(super) fn new(job: &Job) -> Occurrence {
        Occurrence { steps: job.steps.iter().map(|step| StepTasks::new(step.count)).collect() }
    }

    /// Returns whether all tasks of the step with this index are done; the
    /// index must exist.
    pub(super) fn is_step_done(&self, step: usize) -> bool {
        self.steps[step].are_done()
    }

    /// Returns whether all steps that a step depends on are done, so that its
    /// tasks may start.
    pub(super) fn is_ready(&self, job: &Job, step: usize) -> bool {
        job.steps[step].depends_on.iter().all(|&earlier| self.is_step_done(earlier))
    }

    /// Returns whether all steps are done.
    pub(super) fn is_done(&self) -> bool {
        self.steps.iter().all(StepTasks::are_done)
    }

    /// Returns whether a task is assigned, is done or has progress.
    pub(super) fn has_begun(&self) -> bool {
        self.steps.iter().any(StepTasks::has_begun)
    }

    /// Returns the tasks of all steps that are not done and to which something has happened.
    pub(super) fn all_touched(&self) -> impl Iterator<Item = &Task> {
        self.steps.iter().flat_map(|step| step.all_touched().map(|(_, task)| task))
    }
}
