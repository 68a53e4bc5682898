//! Simulated servers, which crash and start again under their names.

pub(crate) mod plan;
pub(crate) mod world;

use std::{collections::BTreeMap, ops::RangeInclusive, time::Duration};

use skylarkwick_request::{
    job::task::{self, RunId, RunOutcome},
    shard::input::FinishedRun,
};
use skylarkwick_version::moment::millis;

use crate::harness;

const HEARTBEAT_MS: u64 = 1500;
/// Largest clock that a server starts with, in milliseconds.
const MAX_CLOCK_START_MS: u64 = 8_000_000;

/// Returns the seeds to play: as many as `SOAK_SEEDS` says, or this many.
pub(crate) fn seeds(count: u64) -> RangeInclusive<u64> {
    let named = std::env::var("SOAK_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    1..=named.unwrap_or(count)
}

/// Pseudo-random numbers by a seed (xorshift).
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    pub(crate) fn is_one_in(&mut self, count: u64) -> bool {
        self.below(count) == 0
    }
}

/// An incarnation of a server; nothing of it outlasts a crash.
pub(crate) struct Life {
    pub(crate) born_ms: u64,
    pub(crate) since_ms: u64,
    pub(crate) clock_start_ms: u64,
    pub(crate) lease_until_ms: u64,
    /// Highest fencing token that was seen.
    pub(crate) fencing_token: u64,
    /// Runs in progress with the time at which they end.
    pub(crate) runs: BTreeMap<(task::Id, RunId), u64>,
    pub(crate) ended: Vec<FinishedRun>,
    pub(crate) next_end: u64,
    /// Number of the last end before the lease lapsed; such ends may be unknown for good.
    pub(crate) lapsed_end: u64,
    /// Highest run of each task that was stopped or has ended here.
    pub(crate) over: BTreeMap<task::Id, RunId>,
}

impl Life {
    /// Creates an incarnation that starts now, with a clock of its own.
    fn new(now_ms: u64, random: &mut Random) -> Life {
        Life {
            born_ms: now_ms + 1,
            since_ms: now_ms,
            clock_start_ms: random.below(MAX_CLOCK_START_MS),
            lease_until_ms: 0,
            fencing_token: 0,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lapsed_end: 0,
            over: BTreeMap::new(),
        }
    }

    /// Ends the runs whose time is over, or all once the lease has lapsed; returns those
    /// that have succeeded.
    pub(crate) fn advance(&mut self, now_ms: u64) -> Vec<(task::Id, RunId)> {
        let has_lapsed = self.clock_ms(now_ms) > self.lease_until_ms;
        let is_over = |end_ms: &u64| has_lapsed || *end_ms <= now_ms;
        let over = self.runs.iter().filter(|(_, end_ms)| is_over(end_ms));
        let over: Vec<(task::Id, RunId)> = over.map(|(run, _)| run.clone()).collect();
        let outcome = if has_lapsed { RunOutcome::Stopped } else { RunOutcome::Done };
        for (task, run) in &over {
            self.end(task.clone(), *run, outcome);
        }
        if has_lapsed {
            self.lapsed_end = self.next_end - 1;
        }
        over.into_iter().filter(|_| outcome == RunOutcome::Done).collect()
    }

    pub(crate) fn clock_ms(&self, now_ms: u64) -> u64 {
        self.clock_start_ms + now_ms - self.since_ms
    }

    /// Extends the lease until a time on its clock, or for the longest lease.
    pub(crate) fn extend_lease(&mut self, now_ms: u64, until_ms: u64, max_lease: Duration) {
        let longest = self.clock_ms(now_ms) + millis(max_lease);
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest));
    }

    pub(crate) fn end(&mut self, task: task::Id, run: RunId, outcome: RunOutcome) {
        self.runs.remove(&(task.clone(), run));
        let over = self.over.entry(task.clone()).or_insert(run);
        *over = run.max(*over);
        self.ended.push(harness::finished_run(self.next_end, task, run, outcome));
        self.next_end += 1;
    }
}

/// A machine: the incarnation on it, when the next one starts, and its entry in the list.
#[derive(Default)]
pub(crate) struct Machine {
    pub(crate) life: Option<Life>,
    pub(crate) starts_at_ms: u64,
    /// From when until when it is cut off from everything.
    pub(crate) cut_ms: (u64, u64),
    /// Until when it is silent, because it starts again.
    pub(crate) silent_until_ms: u64,
    pub(crate) next_beat_ms: u64,
    /// Incarnation in the entry, and when it was written.
    pub(crate) entry: Option<(u64, u64)>,
}

impl Machine {
    /// Returns whether it is cut off from everything.
    pub(crate) fn is_cut(&self, now_ms: u64) -> bool {
        (self.cut_ms.0..self.cut_ms.1).contains(&now_ms) || now_ms < self.silent_until_ms
    }

    /// Ends the incarnation; the next one starts at this time.
    pub(crate) fn crash(&mut self, starts_at_ms: u64) {
        self.life = None;
        self.starts_at_ms = starts_at_ms;
    }

    /// Starts the next incarnation and writes the entry when they are due; an entry that was
    /// not written for three heartbeats is removed.
    pub(crate) fn advance(&mut self, now_ms: u64, is_store_up: bool, random: &mut Random) {
        if self.life.is_none() && self.starts_at_ms <= now_ms {
            self.next_beat_ms = now_ms + random.below(60);
            self.life = Some(Life::new(now_ms, random));
        }
        if self.entry.is_some_and(|(_, at)| now_ms - at > 3 * HEARTBEAT_MS) {
            self.entry = None;
        }
        let born_ms = self.life.as_ref().map(|life| life.born_ms);
        if let Some(born_ms) = born_ms.filter(|_| self.next_beat_ms <= now_ms) {
            self.next_beat_ms += HEARTBEAT_MS;
            self.entry = if is_store_up { Some((born_ms, now_ms)) } else { self.entry };
        }
    }
}
