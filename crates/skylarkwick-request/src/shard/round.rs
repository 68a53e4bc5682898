//! A round of placement: which of the waiting tasks get room, in which order.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use skylarkwick_version::moment::Moment;

use super::{
    Shard, hold::Cause, placement::PlacementRequest, quota::Ledger, ranking::ReadyStep,
    server::Stage, share::Shares, shortage::Shortage,
};
use crate::job::Step;

/// Upper limit of the unmet demand that is counted for a pool, in thousandths
/// of a core; no pool receives that many hosts at once.
const MAX_UNMET_MILLICORES: u64 = 4_000_000;

/// State of one round of placement.
#[derive(Debug)]
struct Round {
    now: Moment,
    is_exclusive: bool,
    /// Number of starts that the holder can still send.
    remaining: usize,
    ledger: Ledger,
    shares: Shares,
    shortages: BTreeMap<Arc<str>, Shortage>,
    /// Pools in which a task that needs most of a host found no room.
    lacking_room: BTreeSet<Arc<str>>,
}

impl Round {
    /// Leaves of the waiting tasks of a step those that its workspace and the send window let start
    /// now; returns what holds back the others, `None` also for the window.
    fn admit(&mut self, ready: &mut ReadyStep, step: &Step) -> Option<Cause> {
        let waiting = ready.tasks.len();
        let by_quota = self.ledger.admit(ready.workspace.as_ref(), step, waiting);
        ready.tasks.truncate(by_quota);
        ready.tasks.truncate(self.shares.admit(ready));
        let cause = match ready.tasks.len() {
            admitted if admitted == waiting => None,
            admitted if admitted < by_quota => Some(Cause::Reserve),
            _ => Some(Cause::Quota),
        };
        // The members of a gang start together, so the last one may exceed the window.
        if !step.is_gang {
            ready.tasks.truncate(self.remaining);
        }
        cause
    }

    /// Counts tasks of a step that were placed.
    fn charge(&mut self, ready: &ReadyStep, step: &Step, placed: usize) {
        self.remaining = self.remaining.saturating_sub(placed);
        self.ledger.charge(ready.workspace.as_ref(), step, placed);
        self.shares.add(ready, u64::try_from(placed).unwrap_or(u64::MAX));
    }
}

/// Returns the step to place next. One whose workspace is above its share is deferred behind
/// those that are as timely.
fn next_in_order(
    waiting: &mut VecDeque<ReadyStep>,
    deferred: &mut VecDeque<ReadyStep>,
    shares: &Shares,
) -> Option<ReadyStep> {
    loop {
        let is_class_over = match (waiting.front(), deferred.front()) {
            (Some(next), Some(first)) => !next.rank.is_as_timely_as(&first.rank),
            (None, _) => true,
            (Some(_), None) => false,
        };
        if is_class_over && let Some(ready) = deferred.pop_front() {
            return Some(ready);
        }
        let ready = waiting.pop_front()?;
        if !shares.is_above(&ready) {
            return Some(ready);
        }
        deferred.push_back(ready);
    }
}

impl Shard {
    /// Assigns waiting tasks, in the order of their rank, to servers with
    /// enough resources, and records the demand of the others as unmet demand
    /// of their pool, in place of that of the last call. Starts are sent at
    /// once on servers that are recorded with the job (its stored progress
    /// names them); others, and those of gangs, are sent after the next write
    /// of the job.
    ///
    /// Stops once as many starts are unconfirmed as the holder can send in a
    /// bounded time, see `SendWindow`: more would only hold room. Tasks that are
    /// left for that reason are no unmet demand, because hosts don't help them.
    ///
    /// Unless `is_exclusive` (no other holder can have taken the shard), only
    /// servers that are recorded with the job are used, and so while writes of the
    /// job keep failing.
    ///
    /// What a workspace wants beyond its quota is left out, and is no unmet demand either. Of tasks
    /// that are as timely as others, those of workspaces that use more than their share of the
    /// pool come last.
    pub(super) fn place_tasks(&mut self, now: Moment, is_exclusive: bool) {
        self.send_window.measure(now);
        let mut round = Round {
            now,
            is_exclusive,
            remaining: self.send_window.remaining(self.count_unconfirmed()),
            ledger: self.quota_ledger(now),
            shares: Shares::default(),
            shortages: BTreeMap::new(),
            lacking_room: BTreeSet::new(),
        };
        if round.remaining > 0 {
            self.place_in_order(&mut round);
        }
        self.record_needs(round.ledger);
    }

    /// Places the ready steps in the order of their rank, and those of workspaces above their
    /// share after the others that are as timely.
    fn place_in_order(&mut self, round: &mut Round) {
        let ready = self.ready_steps(round.now);
        round.shares = self.shares(round.now, &ready);
        self.fleet.unmet_millicores.clear();
        let mut waiting = VecDeque::from(ready);
        let mut deferred: VecDeque<ReadyStep> = VecDeque::new();
        while let Some(ready) = next_in_order(&mut waiting, &mut deferred, &round.shares) {
            if round.remaining == 0 {
                self.send_window.record_limit();
                return;
            }
            self.place_step(ready, round);
        }
        let lacking_room = std::mem::take(&mut round.lacking_room);
        self.fleet.record_lacking_room(round.now, lacking_room);
    }

    /// Places the tasks of a step, as far as the quota of its workspace, the send window and the
    /// servers have room, and records what held back the others.
    fn place_step(&mut self, mut ready: ReadyStep, round: &mut Round) {
        let job = Arc::clone(&ready.job);
        let step = &job.steps[ready.step];
        let mut cause = round.admit(&mut ready, step);
        if !ready.tasks.is_empty() {
            let placed = self.place_admitted(&ready, step, round);
            let unplaced = ready.tasks.len() - placed;
            if unplaced > 0 {
                self.add_unmet(&ready.pool, step, unplaced);
                let is_above = round.shares.is_above(&ready);
                cause = Some(if is_above { Cause::Share } else { Cause::Room });
            }
        }
        self.record_hold(round.now, &ready.job_id, cause);
    }

    /// Places the tasks of a step that may start, as far as the servers have room; returns how many
    /// it placed.
    fn place_admitted(&mut self, ready: &ReadyStep, step: &Step, round: &mut Round) -> usize {
        let pool = &ready.pool;
        let shortage = round.shortages.entry(Arc::clone(pool)).or_default();
        let active = self.jobs.get(&ready.job_id);
        let recorded_servers = active
            .filter(|active| !round.is_exclusive || active.is_write_failing())
            .map(|active| active.recorded_servers.clone());
        let allowed_servers = recorded_servers.as_ref();
        let request = PlacementRequest { now: round.now, pool, step, allowed_servers, rack: None };
        let placed = match () {
            () if shortage.covers(step) => 0,
            () if step.is_gang => self.place_gang(request, ready),
            () => self.place_independent_tasks(request, ready),
        };
        if placed < ready.tasks.len() {
            // That this job found no server may have reasons of its own, such as the
            // servers that it is recorded with.
            if !shortage.covers(step) && !self.has_room(request) {
                shortage.add(step);
            }
            if shortage.covers(step) && self.needs_most_of_host(step) {
                round.lacking_room.insert(Arc::clone(pool));
            }
        }
        round.charge(ready, step, placed);
        placed
    }

    /// Returns whether a host of mean size has room for one task of a step and
    /// for no second one.
    fn needs_most_of_host(&self, step: &Step) -> bool {
        step.reservation().resources().count_within(&self.fleet.mean_capacity()) == Some(1)
    }

    /// Returns the number of runs whose starts were not sent or not answered yet.
    pub(super) fn count_unconfirmed(&self) -> usize {
        let is_unconfirmed = |stage| matches!(stage, Stage::Planned | Stage::Starting);
        self.servers.values().map(|server| server.count_stage(is_unconfirmed)).sum()
    }

    /// Adds the processor time that this many tasks of a step reserve, at least
    /// a thousandth of a core each, to the unmet demand of a pool, which is
    /// limited to `MAX_UNMET_MILLICORES`.
    fn add_unmet(&mut self, pool: &Arc<str>, step: &Step, tasks: usize) {
        let tasks = u64::try_from(tasks).unwrap_or(u64::MAX);
        let missing_millicores = step.reservation().millicores().max(1).saturating_mul(tasks);
        let unmet_millicores = self.fleet.unmet_millicores.entry(Arc::clone(pool)).or_default();
        *unmet_millicores =
            unmet_millicores.saturating_add(missing_millicores).min(MAX_UNMET_MILLICORES);
    }
}
