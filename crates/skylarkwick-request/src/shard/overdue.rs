//! Jobs beyond the weight of their workspace that have waited until their results lost their value.
//! See `docs/design/shares.md`.

use std::{collections::BTreeSet, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob, input::Queue, ranking::ReadyStep};

/// Workspaces of which an overdue job runs, each with the pool. One task or gang of each runs at a
/// time even where the reserve has no room for it, so that every job starts in the end.
#[derive(Clone, Debug, Default)]
pub(super) struct Overdue {
    running: BTreeSet<(Arc<str>, Arc<str>)>,
}

impl Overdue {
    /// Returns how many of its waiting tasks a step may start whatever the reserve.
    pub(super) fn admit(&self, ready: &ReadyStep) -> usize {
        let is_gang = ready.job.steps[ready.step].is_gang;
        match self.key(ready) {
            Some(key) if self.running.contains(&key) => 0,
            Some(_) if is_gang => ready.tasks.len(),
            Some(_) => 1,
            None => 0,
        }
    }

    /// Records that tasks of a step were placed.
    pub(super) fn add(&mut self, ready: &ReadyStep) {
        if let Some(key) = self.key(ready) {
            self.running.insert(key);
        }
    }

    /// Returns the workspace and the pool of a step that is overdue.
    fn key(&self, ready: &ReadyStep) -> Option<(Arc<str>, Arc<str>)> {
        let workspace = ready.workspace.as_ref().filter(|_| ready.rank.is_overdue())?;
        Some((Arc::clone(workspace), Arc::clone(&ready.pool)))
    }
}

impl Shard {
    /// Returns the workspaces of which an overdue job has tasks that run or are to start.
    pub(super) fn overdue_runs(&self, now: Moment) -> Overdue {
        let mut overdue = Overdue::default();
        for active in self.jobs.values() {
            let Some(queue) = active.queue_settings.as_deref() else {
                continue;
            };
            if let Some(workspace) = &active.workspace
                && self.is_excess(active)
                && active.has_assigned_tasks()
                && self.is_overdue(now, active, queue)
            {
                overdue.running.insert((Arc::clone(workspace), Arc::clone(&queue.pool)));
            }
        }
        overdue
    }

    /// Returns whether an occurrence of a job can't end before its result has lost its value.
    fn is_overdue(&self, now: Moment, active: &ActiveJob, queue: &Queue) -> bool {
        let estimate = self.run_times.estimate(&active.queue);
        let time = self.time(now);
        active.occurrences.iter().any(|(&number, occurrence)| {
            let (_, expiry) = active.deadlines(time, number, queue, estimate);
            now + active.remaining_time(occurrence, estimate) > expiry
        })
    }
}
