//! The order in which waiting work gets room.

use std::cmp::Reverse;

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    active::{Active, Occurrence, Phase},
    input::Queue,
};
use crate::job;

/// Use that a start now would still be of, most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Use {
    /// The tasks last, and serve callers of their own.
    Lasting,
    /// The objective can still be met.
    Timely,
    /// The objective is missed, and the result is still of some use.
    Late,
    /// The result is of no more use.
    Useless,
}

/// Place in the order; the lowest is first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Rank {
    use_left: Use,
    priority: u32,
    begun: Reverse<bool>,
    work: u64,
    due: Moment,
}

/// A step whose tasks may start.
#[derive(Clone, Debug)]
pub(super) struct Ready {
    pub(super) rank: Rank,
    pub(super) job: job::Id,
    pub(super) occurrence: u32,
    pub(super) step: usize,
    pub(super) tasks: Vec<usize>,
}

impl Shard {
    /// Returns the steps whose tasks may start, in the order of their rank.
    pub(super) fn ready(&self, now: Moment) -> Vec<Ready> {
        let mut ready = Vec::new();
        for (id, active) in &self.jobs {
            let Some(queue) = self.queues.get(&active.queue) else {
                continue;
            };
            if active.outcome.is_some() || !self.is_free_of_doubt(now, active) {
                continue;
            }
            for (&occurrence, steps) in &active.occurrences {
                for (step, tasks) in steps.steps.iter().enumerate() {
                    let waiting: Vec<usize> = (0..tasks.len())
                        .filter(|&index| tasks[index].phase == Phase::Waiting)
                        .collect();
                    if waiting.is_empty() || !steps.is_open(&active.job, step) {
                        continue;
                    }
                    let rank = self.rank(now, active, steps, step, queue);
                    let job = id.clone();
                    ready.push(Ready { rank, job, occurrence, step, tasks: waiting });
                }
            }
        }
        ready.sort_by_key(|ready| ready.rank);
        ready
    }

    /// Tells whether no run of an earlier holder can be unknown: every server on
    /// which it may have started tasks has answered, or what it could have started
    /// has lapsed.
    pub(super) fn is_free_of_doubt(&self, now: Moment, active: &Active) -> bool {
        let has_answered = |id| self.servers.get(id).is_some_and(|server| server.is_fenced);
        active.doubtful.iter().all(has_answered)
            || now.since(self.term.since) > self.timings.takeover_grace
    }

    /// Ranks a step. A job that can't meet its objective any more waits behind
    /// those that still can, because its result is then worth far less.
    fn rank(
        &self,
        now: Moment,
        active: &Active,
        occurrence: &Occurrence,
        step: usize,
        queue: &Queue,
    ) -> Rank {
        let (objective, useless) = active.objective(queue, &self.learning);
        let end = now + active.remaining(occurrence, &self.learning);
        let use_left = match () {
            () if active.job.steps[step].is_long_running => Use::Lasting,
            () if end <= objective => Use::Timely,
            () if end <= useless => Use::Late,
            () => Use::Useless,
        };
        let begun = Reverse(active.has_begun());
        let work = active.work_left(occurrence, &self.learning);
        Rank { use_left, priority: queue.priority, begun, work, due: objective }
    }
}
