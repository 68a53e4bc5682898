//! The order in which waiting work gets room.

use std::{cmp::Reverse, sync::Arc, time::Duration};

use skylarkwick_version::{moment::Moment, revision::Revision};

use super::{
    Reread, Shard,
    active::{Active, Occurrence, Phase},
    effect::Effect,
    fact::Queue,
};
use crate::job::{self, progress::Progress};

/// Longest wait for servers that do not answer before progress is read again.
const REREAD_WAIT: Duration = Duration::from_millis(1500);

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
            let is_known = active.known <= self.known_until;
            let may_start = is_known && self.is_free_of_doubt(now, active, queue);
            if active.outcome.is_some() || !may_start {
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

    /// Tells whether no run of an earlier holder can be unknown: a job is in
    /// doubt until every server of its pool has answered, or what an earlier
    /// holder could have started has lapsed.
    fn is_free_of_doubt(&self, now: Moment, active: &Active, queue: &Queue) -> bool {
        !active.is_inherited
            || now.since(self.term.since) > self.rules.doubt
            || (self.reread == Reread::Done && self.is_pool_fenced(&queue.pool))
    }

    fn is_pool_fenced(&self, pool: &str) -> bool {
        self.has_list
            && self.fleet.is_listed()
            && self.is_listed_pool_fenced(pool)
            && self.is_hosted_pool_fenced(pool)
    }

    /// Asks for the progress of inherited jobs once every server that answers is
    /// fenced, so that the last holder can acknowledge nothing more.
    pub(super) fn ask_reread(&mut self, now: Moment) {
        let has_waited = now.since(self.term.since) > REREAD_WAIT;
        let pools: Vec<&Arc<str>> = self.queues.values().map(|queue| &queue.pool).collect();
        let is_fenced = pools.into_iter().all(|pool| self.is_pool_fenced(pool));
        if self.reread == Reread::Due && (is_fenced || has_waited) {
            self.reread = Reread::Asked;
            self.effects.push(Effect::Reread);
        }
    }

    /// Adds the progress that was read once more.
    pub fn reread(&mut self, rows: Vec<(job::Id, Revision, Progress)>) {
        for (id, revision, progress) in rows {
            self.noted(&id, revision, Some(&progress));
        }
        self.reread = Reread::Done;
    }

    /// Notes that the progress could not be read.
    pub fn not_reread(&mut self) {
        self.reread = Reread::Due;
    }

    fn is_listed_pool_fenced(&self, pool: &str) -> bool {
        let mut servers = self.servers.values().filter(|server| &*server.listing.pool == pool);
        servers.all(|server| server.is_fenced)
    }

    /// Tells the same of the servers on the pool's hosts: one that is cut off
    /// from the platform drops out of the list of servers and works on.
    fn is_hosted_pool_fenced(&self, pool: &str) -> bool {
        let mut servers = self.fleet.servers_of(pool);
        servers.all(|id| self.servers.get(id).is_some_and(|server| server.is_fenced))
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
            () if active.job.steps[step].is_lasting => Use::Lasting,
            () if end <= objective => Use::Timely,
            () if end <= useless => Use::Late,
            () => Use::Useless,
        };
        let begun = Reverse(active.has_begun());
        let work = active.work_left(occurrence, &self.learning);
        Rank { use_left, priority: queue.priority, begun, work, due: objective }
    }
}
