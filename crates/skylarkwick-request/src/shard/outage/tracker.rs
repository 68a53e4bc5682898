//! Outages of long-running tasks that are reported one by one, when they have lasted for a while
//! and when they end; bounded, whatever the number of tasks.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::moment::Moment;

use super::{
    super::{Shard, input::ServerId},
    Cause, Origin, Outage, Outages, Status,
};
use crate::job::task;

/// Most outages that are reported in one update, and most ends of outages.
const MAX_REPORTED: usize = 16;
/// Most outages that are followed until they end.
const MAX_FOLLOWED: usize = 64;

/// The outages that were reported and have not ended.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    followed: BTreeMap<task::Id, Followed>,
}

/// An outage that was reported, and for how long each cause was in the way.
#[derive(Clone, Debug)]
struct Followed {
    queue: Arc<str>,
    since: Moment,
    last: Cause,
    /// Until when the time of the last cause is counted.
    counted: Moment,
    causes: BTreeMap<Cause, Duration>,
}

/// What an update has found.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// All tasks and jobs without a run.
    pub outages: Outages,
    /// Outages to report, the longest first.
    pub begun: Vec<Outage>,
    /// Reported outages that have ended.
    pub ended: Vec<Ended>,
    /// Outages that have lasted as long as those that are reported, and have not been.
    pub omitted: usize,
}

/// The end of an outage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The task.
    pub task: task::Id,
    /// Queue of its job.
    pub queue: Arc<str>,
    /// Where it runs now; `None` if it has no run any more, is done, or its job is over.
    pub server: Option<ServerId>,
    /// Time without a run.
    pub time: Duration,
    /// The cause that was in the way for longest.
    pub cause: Cause,
    /// How long it was, as far as this was observed.
    pub cause_time: Duration,
    /// The last cause that was observed.
    pub last: Cause,
}

impl Tracker {
    /// Observes the shard: returns the outages that have lasted long enough to be reported, those
    /// that have ended since, and how many are left out. An outage is reported once.
    pub fn update(&mut self, now: Moment, shard: &Shard) -> Report {
        let mut ended = self.take_ended(now, shard);
        let ends_left_out = ended.len().saturating_sub(MAX_REPORTED);
        ended.truncate(MAX_REPORTED);
        let outages = shard.outages(now);
        let mut begun: Vec<Outage> = Vec::new();
        let long = outages.longest().filter(|outage| outage.is_reported(now));
        for outage in long.filter(|outage| !self.followed.contains_key(&outage.task)) {
            if begun.len() < MAX_REPORTED && self.followed.len() + begun.len() < MAX_FOLLOWED {
                begun.push(outage.clone());
            }
        }
        for outage in &begun {
            self.followed.insert(outage.task.clone(), Followed::new(now, outage));
        }
        let omitted = outages.reported.saturating_sub(self.followed.len()) + ends_left_out;
        Report { outages, begun, ended, omitted }
    }

    /// Updates the outages that are followed; removes those that have ended and returns them.
    fn take_ended(&mut self, now: Moment, shard: &Shard) -> Vec<Ended> {
        let mut ended = Vec::new();
        self.followed.retain(|task, followed| {
            let (server, end) = match shard.task_status(now, task) {
                Status::Waiting(outage) if followed.has_run_since(&outage) => (None, outage.since),
                Status::Waiting(outage) => {
                    followed.count(now, outage.reason.cause);
                    return true;
                }
                Status::Running(server, since) => (Some(server), since.min(now)),
                Status::Over => (None, now),
            };
            followed.count(end, followed.last);
            ended.push(followed.ended(task, server, end));
            false
        });
        ended
    }
}

impl Followed {
    /// Starts to follow an outage; the time before counts for its present cause.
    fn new(now: Moment, outage: &Outage) -> Followed {
        let cause = outage.reason.cause;
        let causes = [(cause, now.since(outage.since))].into();
        let (queue, since) = (Arc::clone(&outage.queue), outage.since);
        Followed { queue, since, last: cause, counted: now, causes }
    }

    /// Returns whether the task has had a run since this outage, so that `outage` is another one.
    fn has_run_since(&self, outage: &Outage) -> bool {
        outage.origin == Origin::LastRun && outage.since > self.since
    }

    /// Counts the time since the last observation for the cause that was observed then.
    fn count(&mut self, now: Moment, cause: Cause) {
        *self.causes.entry(self.last).or_default() += now.since(self.counted);
        self.counted = now;
        self.last = cause;
    }

    /// Returns the end of the outage.
    fn ended(&self, task: &task::Id, server: Option<ServerId>, end: Moment) -> Ended {
        let longest = self.causes.iter().max_by_key(|(_, time)| **time);
        let (cause, cause_time) = longest.map_or((self.last, Duration::ZERO), |(c, t)| (*c, *t));
        Ended {
            task: task.clone(),
            queue: Arc::clone(&self.queue),
            server,
            time: end.since(self.since),
            cause,
            cause_time,
            last: self.last,
        }
    }
}
