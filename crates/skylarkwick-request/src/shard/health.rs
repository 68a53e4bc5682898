//! Health of a backend server, judged by its failed runs and rejected starts.
//!
//! A failed run tells little by itself: the server may be at fault, or the task.
//! A task that fails on a second server too is at fault, so the first server is
//! excused. Otherwise a few jobs that can never be done would close a pool.

use std::{collections::BTreeSet, time::Duration};

use skylarkwick_version::moment::Moment;

use crate::job::task;

/// Tasks that have failed on a server, without a success in between, after
/// which the server backs off: it gets no new work for a while. One more
/// suffices after that.
const FAILED_TASKS_TO_BACK_OFF: usize = 2;
/// First time in which a failing server gets no new work; it doubles with each
/// further backoff, up to `MAX_BACKOFF`, until a run succeeds.
const INITIAL_BACKOFF: Duration = Duration::from_secs(2);
/// Longest time in which a failing server gets no new work.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// A time without new work, which doubles each time.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// Backoffs since the last run that succeeded.
    count: u32,
    until: Moment,
}

impl Backoff {
    /// Starts a backoff and returns true, unless one is in force: what fails
    /// meanwhile began before it.
    fn start(&mut self, now: Moment) -> bool {
        if now < self.until {
            return false;
        }
        let time = INITIAL_BACKOFF * 2_u32.saturating_pow(self.count.min(4));
        self.until = now + time.min(MAX_BACKOFF);
        self.count += 1;
        true
    }
}

/// Health of a server: what counts against it, and until when it gets no new
/// work.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    /// Tasks of which a run has failed here since the last run that succeeded,
    /// and none elsewhere.
    failed_tasks: BTreeSet<task::Id>,
    /// Backoff because of these tasks.
    failures: Backoff,
    /// Backoff because starts were rejected.
    rejections: Backoff,
    paused_until: Moment,
}

impl Health {
    /// Returns whether the server neither backs off nor is paused.
    pub(super) fn allows_work(&self, now: Moment) -> bool {
        let until = self.failures.until.max(self.rejections.until).max(self.paused_until);
        now >= until
    }

    /// Returns whether a run has failed on the server, or it has backed off,
    /// since its last run that succeeded; excused failures don't count.
    pub(super) fn has_recent_failures(&self) -> bool {
        !self.failed_tasks.is_empty() || self.failures.count > 0 || self.rejections.count > 0
    }

    /// Resets what counts against the server after a run that succeeded; a
    /// backoff in progress continues.
    pub(super) fn record_success(&mut self) {
        self.failed_tasks.clear();
        self.failures.count = 0;
        self.rejections.count = 0;
    }

    /// Counts a task of which a run has failed; returns whether the server now
    /// begins to back off.
    pub(super) fn record_failure(&mut self, now: Moment, task: &task::Id) -> bool {
        let is_new = self.failed_tasks.insert(task.clone());
        let limit = if self.failures.count == 0 { FAILED_TASKS_TO_BACK_OFF } else { 1 };
        is_new && self.failed_tasks.len() >= limit && self.failures.start(now)
    }

    /// Excuses the failure of a task that has now failed elsewhere too, and ends
    /// the backoff if too few other tasks are left to justify it.
    pub(super) fn excuse(&mut self, now: Moment, task: &task::Id) {
        let was_counted = self.failed_tasks.remove(task);
        if was_counted && self.failed_tasks.len() < FAILED_TASKS_TO_BACK_OFF {
            self.failures = Backoff { count: 0, until: self.failures.until.min(now) };
        }
    }

    /// Backs off because the server rejected a start as unhealthy or
    /// overloaded, or could not be reached.
    pub(super) fn record_rejection(&mut self, now: Moment) {
        self.rejections.start(now);
    }

    /// Gives the server no new work until the given time, because its host has
    /// fewer resources than known; a pause that lasts longer stays.
    pub(super) fn pause(&mut self, until: Moment) {
        self.paused_until = self.paused_until.max(until);
    }
}
