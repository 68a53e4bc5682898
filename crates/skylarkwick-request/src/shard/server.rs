//! Backend servers, as their shard's holder knows them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::{
    moment::{Moment, millis},
    resources::Resources,
};

use super::{
    effect::Target,
    input::{ClockReading, HostId, ServerId, ServerInfo},
};
use crate::job::{Step, task};

/// Silence after which a server gets no new work.
const QUIET: Duration = Duration::from_millis(2500);
/// Slowest that a server's clock may run against ours, in thousandths.
const SLOWEST_CLOCK: u64 = 980;
/// Margin on times worked out from a server's clock.
const CLOCK_MARGIN: Duration = Duration::from_millis(150);
/// Failures in a row after which a server gets no new work for a while.
const FAILURES_TO_REST: u32 = 2;
/// First rest of a failing server; it doubles with each further one.
const FIRST_REST: Duration = Duration::from_secs(2);
/// Longest rest of a failing server.
const LONGEST_REST: Duration = Duration::from_secs(8);

/// Stage of a run on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The start is sent once the server is stored with the job.
    Planned,
    /// The start was sent and is not answered.
    Starting,
    /// The server has begun it.
    Running,
    /// It has to end: a stop is to be sent, or was.
    Stopping {
        /// When the server took note of the stop.
        noted: Option<Moment>,
        /// When to send the next stop.
        next_try: Moment,
    },
}

/// A run on a server.
#[derive(Clone, Debug)]
pub(super) struct Use {
    pub(super) run: task::RunId,
    pub(super) stage: Stage,
    /// What it takes; nothing is known of runs of jobs that are over.
    pub(super) size: Resources,
    pub(super) is_lasting: bool,
    pub(super) is_filler: bool,
    /// Bound of the tail of response times, for a serving task.
    pub(super) target: Option<Duration>,
    pub(super) since: Moment,
    /// End of the time in which an unanswered start may still begin, on the
    /// server's clock.
    pub(super) until_ms: u64,
    pub(super) percent: u32,
    pub(super) percent_since: Moment,
    pub(super) tail_ms: Option<u64>,
    pub(super) pace: u32,
}

impl Use {
    /// Notes a run of a step; none is known for jobs that are over.
    pub(super) fn new(run: task::RunId, stage: Stage, step: Option<&Step>, now: Moment) -> Use {
        Use {
            run,
            stage,
            size: step.map(Step::reserved_resources).unwrap_or_default(),
            is_lasting: step.is_some_and(|step| step.is_long_running),
            is_filler: step.is_some_and(|step| step.is_best_effort),
            target: step.and_then(|step| step.target_latency),
            since: now,
            until_ms: 0,
            percent: 0,
            percent_since: now,
            tail_ms: None,
            pace: 100,
        }
    }
}

/// A backend server.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) listing: ServerInfo,
    pub(super) runs: BTreeMap<task::Id, Use>,
    /// What the runs take together.
    taken: Resources,
    /// The last answer's clock.
    pub(super) reading: Option<ClockReading>,
    /// Latest end of a lease given to it, on its clock.
    pub(super) lease_until_ms: u64,
    /// Number of the last end that was taken in.
    pub(super) seen: u64,
    /// Number of the last end that is stored.
    pub(super) saved: u64,
    /// Whether it has answered a look of this holder.
    pub(super) is_fenced: bool,
    /// When the next look is due, unless one is under way.
    pub(super) next_look: Option<Moment>,
    /// When the last look was answered.
    pub(super) looked: Moment,
    /// Whether the next look waits for ends to be stored.
    pub(super) awaits_save: bool,
    /// Whether the last look had no answer.
    pub(super) is_silent: bool,
    /// Whether the platform no longer lists it.
    pub(super) is_unlisted: bool,
    failures: u32,
    rests: u32,
    resting_until: Moment,
}

impl Server {
    pub(super) fn new(listing: ServerInfo, now: Moment) -> Server {
        Server {
            listing,
            runs: BTreeMap::new(),
            taken: Resources::default(),
            reading: None,
            lease_until_ms: 0,
            seen: 0,
            saved: 0,
            is_fenced: false,
            next_look: Some(now),
            looked: Moment::ZERO,
            awaits_save: false,
            is_silent: false,
            is_unlisted: false,
            failures: 0,
            rests: 0,
            resting_until: Moment::ZERO,
        }
    }

    /// Returns where orders go.
    pub(super) fn target(&self, fencing_token: u64) -> Target {
        Target { server: self.listing.id.clone(), address: self.listing.address, fencing_token }
    }

    /// Returns the host.
    pub(super) fn host(&self) -> Option<&HostId> {
        self.listing.host.as_ref()
    }

    /// Returns the identity.
    pub(super) fn id(&self) -> &ServerId {
        &self.listing.id
    }

    /// Returns the room that no run takes.
    pub(super) fn room(&self) -> Resources {
        self.listing.capacity - self.taken
    }

    /// Adds a run.
    pub(super) fn add(&mut self, task: task::Id, taken: Use) {
        self.remove(&task);
        self.taken = self.taken + taken.size;
        self.runs.insert(task, taken);
    }

    /// Removes what runs of a task.
    pub(super) fn remove(&mut self, task: &task::Id) {
        if let Some(taken) = self.runs.remove(task) {
            self.taken = self.taken - taken.size;
        }
    }

    /// Tells whether the server has a label, where one is asked for.
    pub(super) fn has_label(&self, label: Option<&Arc<str>>) -> bool {
        label.is_none_or(|label| self.listing.labels.contains(label))
    }

    /// Tells whether the server may get new work.
    pub(super) fn takes_work(&self, now: Moment) -> bool {
        let answers = self.reading.is_some_and(|reading| now.since(reading.received) < QUIET);
        answers
            && self.is_fenced
            && !self.is_silent
            && !self.listing.is_leaving
            && !self.is_unlisted
            && now >= self.resting_until
    }

    /// Tells whether a failure of this server is recent.
    pub(super) fn is_suspect(&self) -> bool {
        self.failures > 0 || self.rests > 0
    }

    /// Notes an answer.
    pub(super) fn note(&mut self, reading: ClockReading) {
        let is_newer = self.reading.is_none_or(|known| known.received <= reading.received);
        if is_newer {
            self.reading = Some(reading);
        }
    }

    /// Returns the least that the server's clock can show now.
    pub(super) fn clock_ms(&self, now: Moment) -> Option<u64> {
        let reading = self.reading?;
        let elapsed = millis(now.since(reading.received));
        Some(reading.clock_ms + elapsed * SLOWEST_CLOCK / 1000)
    }

    /// Returns the end of a lease of this length on the server's clock.
    pub(super) fn until_ms(&self, now: Moment, lease: Duration) -> Option<u64> {
        Some(self.clock_ms(now)? + millis(lease))
    }

    /// Tells whether the server's clock has certainly passed a time.
    pub(super) fn has_passed(&self, now: Moment, until_ms: u64) -> bool {
        self.clock_ms(now - CLOCK_MARGIN).is_some_and(|clock_ms| clock_ms > until_ms)
    }

    /// Tells whether every lease given to the server has certainly lapsed.
    pub(super) fn has_lapsed(&self, now: Moment) -> bool {
        self.has_passed(now, self.lease_until_ms)
    }

    /// Notes a run that ended well.
    pub(super) fn succeed(&mut self) {
        self.failures = 0;
        self.rests = 0;
    }

    /// Notes a run that failed; returns true when the server now rests.
    pub(super) fn fail(&mut self, now: Moment) -> bool {
        self.failures += 1;
        let rests = self.failures >= FAILURES_TO_REST;
        if rests {
            self.rest(now);
        }
        rests
    }

    /// Gives the server no new work for a while.
    pub(super) fn rest(&mut self, now: Moment) {
        let rest = FIRST_REST * 2_u32.saturating_pow(self.rests.min(4));
        self.resting_until = now + rest.min(LONGEST_REST);
        self.rests += 1;
        self.failures = FAILURES_TO_REST - 1;
    }

    /// Keeps new work away for a moment, as the host has less room than known.
    pub(super) fn pause(&mut self, until: Moment) {
        self.resting_until = self.resting_until.max(until);
    }
}
