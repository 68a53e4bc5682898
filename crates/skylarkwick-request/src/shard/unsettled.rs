//! Limit of the tasks of a job whose state takes room in the job's row of progress.
//!
//! A task that has succeeded takes a bit there, and one that was never started takes nothing.
//! A task that has failed takes its failed runs, until it succeeds or the job fails, and any
//! task in progress may fail. So a job starts only as many tasks as can fail together, and its
//! row stays storable whatever happens. See `docs/DESIGN.md`, section "Rows".

use super::{
    active::ActiveJob,
    occurrence::{Occurrence, Task, TaskState},
};
use crate::job::Step;

/// Largest sum of the weights of a job's unsettled tasks; a unit takes about six bytes.
const MAX_WEIGHT: usize = 6_000;
/// Weight of an unsettled task without failed runs; each run in progress and each failed one
/// adds 1.
const TASK_WEIGHT: usize = 2;
/// Number of retries that may be in progress whatever the weight, so that a job whose tasks
/// have failed ends.
const MIN_RETRIES: usize = 64;
/// Largest number of bytes that the succeeded tasks of unfinished occurrences take.
const MAX_DONE_BYTES: usize = 16_000;
/// Bytes that a step takes with succeeded tasks, beside a bit for each task.
const STEP_BYTES: usize = 8;
/// Bits of a byte.
const BYTE_BITS: usize = 8;

/// What a job may still start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Allowance {
    /// Weight that is left.
    weight: usize,
    /// Retries that may start whatever the weight.
    retries: usize,
    /// Whether no task is unsettled.
    is_unused: bool,
}

impl Allowance {
    /// Returns what a job may still start; `None` if it is so small that it needs no limit.
    /// `max_attempts` is the limit of failed runs of its queue.
    pub(super) fn of(active: &ActiveJob, max_attempts: u32) -> Option<Allowance> {
        let attempts = usize::try_from(max_attempts).unwrap_or(usize::MAX);
        let tasks = active.occurrences.len().saturating_mul(task_count(active));
        if tasks.saturating_mul(attempts.saturating_add(TASK_WEIGHT)) <= MAX_WEIGHT {
            return None;
        }
        let (mut weight, mut assigned) = (0_usize, 0_usize);
        for occurrence in active.occurrences.values().filter(|occurrence| !occurrence.is_done()) {
            let finite = occurrence.steps.iter().zip(&active.job.steps);
            for task in finite.filter(|(_, step)| is_limited(step)).flat_map(|(tasks, _)| tasks) {
                weight += weight_of(task);
                assigned += usize::from(matches!(task.state, TaskState::Assigned(_)));
            }
        }
        Some(Allowance {
            weight: MAX_WEIGHT.saturating_sub(weight),
            retries: MIN_RETRIES.saturating_sub(assigned),
            is_unused: weight == 0,
        })
    }

    /// Takes the tasks of a step that may start out of the allowance, and drops the others;
    /// `tasks` are the tasks of the step, `waiting` the indices of those that are ready. The
    /// members of a gang are taken together or not at all.
    pub(super) fn limit(&mut self, step: &Step, tasks: &[Task], waiting: &mut Vec<usize>) {
        match () {
            () if !is_limited(step) => {}
            () if step.is_gang => {
                let weight = waiting.iter().map(|&index| added_weight(&tasks[index])).sum();
                match self.is_unused || weight <= self.weight {
                    true => self.take(weight),
                    false => waiting.clear(),
                }
            }
            () => waiting.retain(|&index| self.admits(&tasks[index])),
        }
    }

    /// Takes a task out of the allowance; returns whether it may start.
    fn admits(&mut self, task: &Task) -> bool {
        let weight = added_weight(task);
        let is_retry = !task.progress.failed_runs.is_empty();
        match () {
            () if weight <= self.weight => self.take(weight),
            () if is_retry && self.retries > 0 => self.retries -= 1,
            () => return false,
        }
        true
    }

    /// Takes a weight out of the allowance.
    fn take(&mut self, weight: usize) {
        self.weight = self.weight.saturating_sub(weight);
        self.is_unused = false;
    }
}

/// Returns whether failed runs of a step's tasks are stored: those of long-running tasks are
/// not.
fn is_limited(step: &Step) -> bool {
    !step.is_long_running
}

/// Returns the weight of a task as it is.
fn weight_of(task: &Task) -> usize {
    let runs =
        usize::from(matches!(task.state, TaskState::Assigned(_))) + task.progress.failed_runs.len();
    match (&task.state, runs) {
        (TaskState::Done, _) | (_, 0) => 0,
        _ => TASK_WEIGHT + runs,
    }
}

/// Returns by how much the weight of a waiting task grows when it starts.
fn added_weight(task: &Task) -> usize {
    if task.progress.failed_runs.is_empty() { TASK_WEIGHT + 1 } else { 1 }
}

/// Returns the number of tasks of one occurrence.
fn task_count(active: &ActiveJob) -> usize {
    usize::try_from(active.job.tasks()).unwrap_or(usize::MAX)
}

impl ActiveJob {
    /// Returns the unfinished occurrences in which tasks may start, in the order of their
    /// numbers: those that are due, as many as may have succeeded tasks at once.
    pub(super) fn startable_occurrences(&self) -> Vec<(u32, &Occurrence)> {
        let bytes = self.job.steps.len() * STEP_BYTES + task_count(self) / BYTE_BITS;
        let mut left = (MAX_DONE_BYTES / bytes.max(1)).max(1);
        let mut startable = Vec::new();
        for (&number, occurrence) in self.occurrences.range(..self.due_occurrences) {
            match () {
                () if occurrence.is_done() => continue,
                () if left > 0 => left -= 1,
                () if occurrence.has_begun() => {}
                () => continue,
            }
            startable.push((number, occurrence));
        }
        startable
    }
}
