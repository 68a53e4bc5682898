//! Long-running tasks: they run until their job is cancelled and are restarted however they end, so
//! that none of them is ever done. See `docs/QUESTIONS.md`.

use super::{Shard, active::ActiveJob};
use crate::job::{Step, ranges::Ranges, task};

impl Shard {
    /// Returns whether a task is long-running; false if its job is unknown.
    pub(super) fn is_long_running(&self, task: &task::Id) -> bool {
        self.jobs.get(&task.job).is_some_and(|active| active.is_long_running(task.step))
    }
}

impl ActiveJob {
    /// Returns whether the tasks of a step are long-running; false if there is no such step.
    pub(super) fn is_long_running(&self, step: usize) -> bool {
        self.job.steps.get(step).is_some_and(|step| step.is_long_running)
    }

    /// Returns whether the job has long-running tasks, so that it runs until it is cancelled.
    pub(super) fn has_long_running(&self) -> bool {
        self.job.steps.iter().any(|step| step.is_long_running)
    }

    /// Takes over the occurrences that are stored as done. Those of a job with long-running tasks
    /// have only their other tasks done: if they are open, at once, else when they open.
    pub(super) fn restore_done_occurrences(&mut self, done: &Ranges) {
        if !self.has_long_running() {
            self.done_occurrences.extend(done);
            self.occurrences.retain(|&number, _| !done.contains(number));
            return;
        }
        self.reopening.extend(done);
        let open: Vec<u32> = self.occurrences.keys().copied().collect();
        for occurrence in open {
            self.complete_reopened(occurrence);
        }
    }

    /// Marks the tasks of an open occurrence that are not long-running as done, if it is stored as
    /// done.
    pub(super) fn complete_reopened(&mut self, occurrence: u32) {
        if !self.reopening.remove(occurrence) {
            return;
        }
        let steps =
            self.occurrences.get_mut(&occurrence).into_iter().flat_map(|open| &mut open.steps);
        for (tasks, _) in steps.zip(&self.job.steps).filter(|(_, step)| !step.is_long_running) {
            tasks.complete_each();
        }
    }

    /// Returns the number of hosts over which the long-running tasks must be
    /// spread, because their steps limit the tasks on one host: the largest
    /// number that any of the steps requires, 1 if none has a limit. 0 if the
    /// job has no long-running tasks.
    pub(super) fn min_hosts(&self) -> usize {
        let long_running = self.job.steps.iter().filter(|step| step.is_long_running);
        let hosts = long_running.map(|step| match step.max_per_host {
            0 => 1,
            most => step.count.div_ceil(most),
        });
        hosts.max().and_then(|hosts| usize::try_from(hosts).ok()).unwrap_or_default()
    }

    /// Returns the long-running steps with their numbers of tasks, none of which is ever done, for
    /// each open occurrence, and for all together that are due and not open.
    pub(super) fn unfinished_long_running(&self) -> impl Iterator<Item = (&Step, u64)> {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| occurrence.steps.iter().zip(&self.job.steps));
        let open = steps.filter(|(_, step)| step.is_long_running).map(|(tasks, step)| {
            (step, u64::try_from(tasks.count_unfinished()).unwrap_or_default())
        });
        let unopened = self.count_unopened();
        let steps = self.job.steps.iter().filter(move |step| step.is_long_running && unopened > 0);
        open.chain(steps.map(move |step| (step, u64::from(step.count).saturating_mul(unopened))))
    }
}
