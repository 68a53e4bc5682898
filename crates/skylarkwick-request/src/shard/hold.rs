//! What holds waiting jobs back, for logs and metrics. See `docs/OPERATIONS.md`.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

use super::{Shard, active::ActiveJob};
use crate::job;

/// What kept a task whose turn has come from being placed at a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// Its workspace has as much running as its quota allows.
    Quota,
    /// It is beyond the weight of its workspace, and what is left free is kept for others.
    Reserve,
    /// No server has room, and its workspace uses more than its share.
    Share,
    /// No server has room.
    Room,
}

/// The last cause that held a job back, and since when something has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Hold {
    cause: Cause,
    since: Moment,
}

impl Hold {
    /// Returns the cause.
    pub(super) fn cause(self) -> Cause {
        self.cause
    }
}

/// Jobs that are held back, by cause, and the longest time for which one has been.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holds {
    /// Jobs held back by the quota of their workspace.
    pub quota: usize,
    /// Jobs beyond the weight of their workspace that leave room to others.
    pub reserve: usize,
    /// Jobs without room whose workspace uses more than its share.
    pub share: usize,
    /// Other jobs without room.
    pub room: usize,
    /// Longest time for which one of them has been held back.
    pub longest: Duration,
}

impl Holds {
    /// Counts a job if it is held back. One whose outcome is decided waits for nothing.
    pub(super) fn count(&mut self, now: Moment, active: &ActiveJob) {
        let Some(hold) = active.hold.filter(|_| active.outcome.is_none()) else {
            return;
        };
        let count = match hold.cause {
            Cause::Quota => &mut self.quota,
            Cause::Reserve => &mut self.reserve,
            Cause::Share => &mut self.share,
            Cause::Room => &mut self.room,
        };
        *count += 1;
        self.longest = self.longest.max(now.since(hold.since));
    }

    /// Adds other jobs.
    pub(super) fn add(&mut self, other: &Holds) {
        self.quota += other.quota;
        self.reserve += other.reserve;
        self.share += other.share;
        self.room += other.room;
        self.longest = self.longest.max(other.longest);
    }
}

impl Shard {
    /// Records what held back tasks of a job at this decision; `None` if all that could start did.
    pub(super) fn record_hold(&mut self, now: Moment, id: &job::Id, cause: Option<Cause>) {
        if let Some(active) = self.jobs.get_mut(id) {
            let since = active.hold.map_or(now, |hold| hold.since);
            active.hold = cause.map(|cause| Hold { cause, since });
        }
    }
}
