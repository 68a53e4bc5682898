//! Limit of the tasks of a job whose state takes room in the job's row of progress.
//!
//! A task that has succeeded takes a bit there, and one that was never started takes nothing.
//! A task that has failed takes its failed runs, until it succeeds or the job fails, and any
//! task in progress may fail. So a job starts only as many tasks as can fail together, and its
//! row stays storable whatever happens. See `docs/DESIGN.md`, section "Rows".

use super::{
    active::ActiveJob,
    occurrence::{Occurrence, StepTasks, Task, TaskState},
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
/// Largest number of waiting tasks of a step that are listed for one decision, unless they form a
/// gang; more can't be started by one.
const MAX_LISTED: usize = 2_000;
/// Number of waiting tasks for which due occurrences are open, beside those that have begun.
const OPEN_TASKS: usize = 256;
/// Largest number of open occurrences that have not begun.
const MAX_WAITING_OCCURRENCES: usize = 64;
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
        for occurrence in active.occurrences.values() {
            let steps = occurrence.steps.iter().zip(&active.job.steps);
            let limited = steps.filter(|(_, step)| is_limited(step));
            for (_, task) in limited.flat_map(|(tasks, _)| tasks.all_touched()) {
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

    /// Takes the waiting tasks of a step that may start out of the allowance and returns their
    /// indices. The members of a gang are taken together or not at all.
    fn select(&mut self, step: &Step, tasks: &StepTasks) -> Vec<usize> {
        match () {
            () if !is_limited(step) => tasks.waiting().take(MAX_LISTED).collect(),
            () if step.is_gang => {
                let waiting: Vec<usize> = tasks.waiting().collect();
                let weights = waiting.iter().map(|&index| added_weight(tasks.touched(index)));
                let weight = weights.sum();
                match self.is_unused || weight <= self.weight {
                    true => self.take(weight),
                    false => return Vec::new(),
                }
                waiting
            }
            () => self.select_each(tasks),
        }
    }

    /// Takes waiting tasks out of the allowance one by one, as `select`. Once the weight is used
    /// up, only those that something has happened to may be retries.
    fn select_each(&mut self, tasks: &StepTasks) -> Vec<usize> {
        let mut selected = Vec::new();
        for index in tasks.waiting() {
            if self.weight < TASK_WEIGHT + 1 {
                break;
            }
            if self.admits(tasks.touched(index)) {
                selected.push(index);
            }
        }
        let last = selected.last().copied();
        let retries = tasks.all_touched().filter(|(index, task)| {
            task.state == TaskState::Waiting && last.is_none_or(|last| *index > last)
        });
        let retries = retries.filter(|(_, task)| self.admits(Some(task)));
        selected.extend(retries.map(|(index, _)| index));
        selected
    }

    /// Takes a task out of the allowance; returns whether it may start.
    fn admits(&mut self, task: Option<&Task>) -> bool {
        let weight = added_weight(task);
        let is_retry = task.is_some_and(|task| !task.progress.failed_runs.is_empty());
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
    match runs {
        0 => 0,
        _ => TASK_WEIGHT + runs,
    }
}

/// Returns by how much the weight of a waiting task grows when it starts; `None` stands for one to
/// which nothing has happened.
fn added_weight(task: Option<&Task>) -> usize {
    match task {
        Some(task) if !task.progress.failed_runs.is_empty() => 1,
        _ => TASK_WEIGHT + 1,
    }
}

/// Returns the indices of a step's waiting tasks that may start, as far as the allowance of its job
/// has room for them, if it has one.
pub(super) fn startable(
    allowance: Option<&mut Allowance>,
    step: &Step,
    tasks: &StepTasks,
) -> Vec<usize> {
    match allowance {
        Some(allowance) => allowance.select(step, tasks),
        None if step.is_gang => tasks.waiting().collect(),
        None => tasks.waiting().take(MAX_LISTED).collect(),
    }
}

/// Returns the number of tasks of one occurrence.
fn task_count(active: &ActiveJob) -> usize {
    usize::try_from(active.job.tasks()).unwrap_or(usize::MAX)
}

impl ActiveJob {
    /// Notes which occurrences are due by a time of day, in Unix milliseconds, and opens those
    /// whose turn has come, in the order of their numbers: as many as a few decisions can begin,
    /// and as the row of progress has room for. The others take no memory.
    pub(super) fn open_due(&mut self, unix_ms: u64) {
        self.due_occurrences = self.due_occurrences.max(self.job.due_occurrences(unix_ms));
        self.skip_opened();
        if self.first_unopened >= self.due_occurrences {
            return;
        }
        let due = || self.occurrences.range(..self.due_occurrences);
        let mut open = due().count();
        let mut waiting = due().filter(|(_, occurrence)| !occurrence.has_begun()).count();
        let most = (OPEN_TASKS / task_count(self).max(1)).clamp(1, MAX_WAITING_OCCURRENCES);
        let most_open = self.max_unfinished_occurrences();
        while waiting < most && open < most_open && self.first_unopened < self.due_occurrences {
            self.open_occurrence(self.first_unopened);
            self.skip_opened();
            waiting += 1;
            open += 1;
        }
    }

    /// Advances `first_unopened` behind the occurrences that are open or done.
    fn skip_opened(&mut self) {
        loop {
            self.first_unopened = self.done_occurrences.first_absent(self.first_unopened);
            if !self.occurrences.contains_key(&self.first_unopened) {
                return;
            }
            self.first_unopened += 1;
        }
    }

    /// Returns how many occurrences are due, not open and not done.
    pub(super) fn count_unopened(&self) -> u64 {
        if self.first_unopened >= self.due_occurrences {
            return 0;
        }
        let open = self.occurrences.range(..self.due_occurrences).count();
        let known = open + self.done_occurrences.count_below(self.due_occurrences);
        u64::from(self.due_occurrences).saturating_sub(u64::try_from(known).unwrap_or(u64::MAX))
    }

    /// Returns how many occurrences may have succeeded tasks and others at once.
    fn max_unfinished_occurrences(&self) -> usize {
        let bytes = self.job.steps.len() * STEP_BYTES + task_count(self) / BYTE_BITS;
        (MAX_DONE_BYTES / bytes.max(1)).max(1)
    }

    /// Returns the occurrences in which tasks may start, in the order of their
    /// numbers: those that are due, as many as may have succeeded tasks at once.
    pub(super) fn startable_occurrences(&self) -> Vec<(u32, &Occurrence)> {
        let mut left = self.max_unfinished_occurrences();
        let mut startable = Vec::new();
        for (&number, occurrence) in self.occurrences.range(..self.due_occurrences) {
            match () {
                () if left > 0 => left -= 1,
                () if occurrence.has_begun() => {}
                () => continue,
            }
            startable.push((number, occurrence));
        }
        startable
    }
}
