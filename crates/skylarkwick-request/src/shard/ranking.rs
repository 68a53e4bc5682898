//! Order in which waiting tasks are placed.

use std::{cmp::Reverse, sync::Arc};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::ActiveJob,
    input::Queue,
    occurrence::Occurrence,
    unsettled::{self, Allowance},
};
use crate::job;

/// How timely the result of a task is if the task starts now, best first:
/// long-running, before the job's objective (the time by which it should
/// finish), before its expiry (after which its result has lost its value), of a
/// workspace that has submitted too many jobs, expired, or both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// Long-running tasks, which serve callers of their own.
    LongRunning,
    /// The objective can still be met.
    OnTime,
    /// The objective is missed, or is left to others because not all can be met, but the
    /// result still has some value.
    Late,
    /// The job came when its workspace had submitted more than its weight
    /// allows, so that it waits for those of others.
    Excess,
    /// The result has lost its value.
    Expired,
    /// The result of a job that waited for those of others has lost its value.
    Overdue,
}

/// Sort key of a step; the lowest is placed first. The fields are compared in
/// this order: timeliness, priority of the queue (0 first), occurrences of which tasks
/// were scheduled before, fewest turns, least remaining work, earliest objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    timeliness: Timeliness,
    /// Priority of the queue; 0 is placed first.
    priority: u32,
    /// Whether any task of the occurrence is assigned, done or has progress; true
    /// comes first.
    is_started: Reverse<bool>,
    /// Number of occurrences of the job that have begun, if the result has lost its value: then
    /// one with many that were due long ago must not keep others from their turn.
    turns: usize,
    /// Work of the occurrence's unfinished tasks, in millicores times
    /// milliseconds; long-running tasks don't count.
    remaining_work: u64,
    /// When the job should finish.
    objective: Moment,
}

impl Rank {
    /// Returns whether any task of the step's occurrence is assigned, done or has progress.
    pub(super) fn is_started(&self) -> bool {
        self.is_started.0
    }

    /// Returns whether the step waits for those of other workspaces, because its own had submitted
    /// more than its weight allows.
    pub(super) fn is_excess(&self) -> bool {
        matches!(self.timeliness, Timeliness::Excess | Timeliness::Overdue)
    }

    /// Returns whether the result has lost its value while the step waited for those of other
    /// workspaces.
    pub(super) fn is_overdue(&self) -> bool {
        self.timeliness == Timeliness::Overdue
    }

    /// Returns whether a step is as timely as another one of queues of the same priority.
    pub(super) fn is_as_timely_as(&self, other: &Rank) -> bool {
        (self.timeliness, self.priority) == (other.timeliness, other.priority)
    }
}

/// A step of an occurrence (one execution of a job's steps) with tasks that may
/// start, given by their indices in the step, and its rank.
#[derive(Clone, Debug)]
pub(super) struct ReadyStep {
    pub(super) rank: Rank,
    /// Pool of the job's queue.
    pub(super) pool: Arc<str>,
    /// Workspace of the job's caller.
    pub(super) workspace: Option<Arc<str>>,
    pub(super) job_id: job::Id,
    pub(super) job: Arc<job::Job>,
    pub(super) occurrence: u32,
    pub(super) step: usize,
    pub(super) tasks: Vec<usize>,
}

impl Shard {
    /// Returns the steps that have waiting tasks and whose earlier steps (those
    /// they depend on) are done, sorted by rank, the first to be placed first. Of a
    /// large job only as many tasks as its row of progress has room for, see
    /// [`Allowance`]. Jobs whose outcome is decided, whose queue is unknown or whose earlier
    /// runs may be unknown are left out.
    pub(super) fn ready_steps(&self, now: Moment) -> Vec<ReadyStep> {
        let mut ready = Vec::new();
        let postponed = self.postponed_jobs(now);
        for (id, active) in &self.jobs {
            let Some(queue) = active.queue_settings.as_deref() else {
                continue;
            };
            if active.outcome.is_some() || !self.are_earlier_runs_known(now, active) {
                continue;
            }
            let mut allowance = Allowance::of(active, queue.max_attempts);
            for (number, occurrence) in active.startable_occurrences() {
                for (step, tasks) in occurrence.steps.iter().enumerate() {
                    if tasks.count_waiting() == 0 || !occurrence.is_ready(&active.job, step) {
                        continue;
                    }
                    let definition = &active.job.steps[step];
                    let waiting = unsettled::startable(allowance.as_mut(), definition, tasks);
                    if waiting.is_empty() {
                        continue;
                    }
                    let is_postponed = active.is_postponed(&postponed);
                    let rank =
                        self.rank(now, active, (number, occurrence), step, queue, is_postponed);
                    ready.push(ReadyStep {
                        rank,
                        pool: Arc::clone(&queue.pool),
                        workspace: active.workspace.clone(),
                        job_id: id.clone(),
                        job: Arc::clone(&active.job),
                        occurrence: number,
                        step,
                        tasks: waiting,
                    });
                }
            }
        }
        ready.sort_by_key(|ready| ready.rank);
        ready
    }

    /// Returns whether all runs of earlier holders are known or over: every
    /// server on which they may have started tasks of the job has answered this
    /// holder, or was silent until the leases of those runs were over.
    pub(super) fn are_earlier_runs_known(&self, now: Moment, active: &ActiveJob) -> bool {
        active.unverified_servers.iter().all(|id| self.are_earlier_runs_settled(now, id))
    }

    /// Returns whether all that earlier holders have started is over on servers
    /// that have not answered this holder and did not start recently.
    pub(super) fn is_takeover_grace_over(&self, now: Moment) -> bool {
        now > self.takeover_grace_end()
    }

    /// Returns when the takeover grace is over.
    pub(super) fn takeover_grace_end(&self) -> Moment {
        self.term.since + self.timings.takeover_grace
    }

    /// Ranks a step. Its timeliness follows from when the occurrence ends if no
    /// task has to wait from now on, and from whether its job is postponed. A job that can't meet
    /// its objective any more comes after those that can, because its result is worth far less.
    fn rank(
        &self,
        now: Moment,
        active: &ActiveJob,
        (number, occurrence): (u32, &Occurrence),
        step: usize,
        queue: &Queue,
        is_postponed: bool,
    ) -> Rank {
        let estimate = self.run_times.estimate(&active.queue);
        let (objective, expiry) = active.deadlines(self.time(now), number, queue, estimate);
        let end = now + active.remaining_time(occurrence, estimate);
        let timeliness = match () {
            () if active.job.steps[step].is_long_running => Timeliness::LongRunning,
            () if self.is_excess(active) && end > expiry => Timeliness::Overdue,
            () if self.is_excess(active) => Timeliness::Excess,
            () if end <= objective && !is_postponed => Timeliness::OnTime,
            () if end <= expiry => Timeliness::Late,
            () => Timeliness::Expired,
        };
        let is_started = Reverse(occurrence.has_begun());
        let remaining_work = match timeliness {
            // They start one at a time, and smaller ones must not overtake others for ever.
            Timeliness::Overdue => 0,
            _ => active.remaining_work(occurrence, estimate),
        };
        let turns = match timeliness {
            Timeliness::Expired | Timeliness::Overdue => active.count_begun(),
            _ => 0,
        };
        Rank { timeliness, priority: queue.priority, is_started, turns, remaining_work, objective }
    }
}
