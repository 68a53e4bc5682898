//! Scheduling state of a shard: the jobs of some pools and the hosts that run
//! them.
//!
//! One process holds a shard at a time. [`Shard`] is a state machine without
//! I/O: its holder passes in what callers, backend servers and the platform
//! report, and [`Shard::decide`] returns the effects to carry out. It reads no
//! clock and knows no encoding, so the same code runs in production, under
//! emulation and in tests. See `docs/DESIGN.md`, section "Shards".

mod active;
mod allocation;
mod demand;
mod drain;
mod fleet;
mod gang;
mod health;
mod hold;
mod host_list;
mod incarnation;
mod kept;
mod label_hosts;
mod liveness;
mod long_running;
mod membership;
mod namesake;
mod occurrence;
mod order_results;
mod outcome;
mod overdue;
mod overload;
mod pace;
mod persistence;
mod placement;
mod polling;
mod pool_load;
mod queues;
mod quota;
mod ranking;
mod rate;
mod reserve;
mod round;
mod run_results;
mod run_time_model;
mod save_queue;
mod send_window;
mod server;
mod settled;
mod share;
mod shortage;
mod starts;
mod tally;
mod trend;
mod unsettled;
mod usage;
mod wave;
mod workspace_load;

pub mod effect;
pub mod input;
pub mod outage;
pub mod takeover;

pub use self::{
    hold::Holds, incarnation::Incarnation, kept::Kept, pool_load::PoolLoad,
    workspace_load::WorkspaceLoad,
};

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_version::{moment::Moment, shard_lease};

use self::{
    active::{ActiveJob, Time},
    effect::Effect,
    fleet::Fleet,
    incarnation::Incarnations,
    namesake::Namesakes,
    queues::Queues,
    quota::Quotas,
    rate::Rates,
    run_time_model::RunTimeModel,
    save_queue::SaveQueue,
    send_window::SendWindow,
    server::Server,
    takeover::Unanswered,
};
use crate::job::{self, task};

/// How long a finished or removed job is remembered, so that a read of all rows
/// that started before then does not add it again.
const FINISHED_RETENTION: Duration = Duration::from_secs(60);

/// Shortest time between the starts of two rounds of housekeeping (drops of
/// unanswered servers, drains, orders for hosts, pace changes and stops of
/// incomplete gangs); a round is part of a call of `decide`.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_millis(50);

/// Durations that a shard uses for a whole term: the lease and start window of
/// runs, the grace after a takeover and the time of a maintenance. The planner
/// sets them when it acquires the shard, from its own constants and the
/// platform's limits.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Lease of every run on a backend server; each poll that renews it lets
    /// the server keep its runs for this long.
    pub lease_duration: Duration,
    /// Longest lease that a backend server grants, whatever a poll or start asks for.
    pub max_lease: Duration,
    /// Longest time between sending a start and the server carrying it out; the
    /// server rejects the start after that.
    pub start_window: Duration,
    /// Time after a takeover in which runs of the previous holder may still be
    /// unknown: how long the leases last that it may have granted, which end by
    /// [`shard_lease::GRANT_LIMIT`], plus a margin. After it, the runs of
    /// previous holders count as over on servers that have not answered.
    pub takeover_grace: Duration,
    /// The same for servers that started recently and may have a lease that no
    /// holder knows of: how long the previous holder may act without its lease, plus
    /// the longest lease, plus a margin. [`shard_lease::GRANT_LIMIT`] does not hold
    /// there, because a call by the clock of an earlier incarnation asks for another
    /// end on the later one.
    pub longest_grace: Duration,
    /// Time after which a long-running task that is not running counts as
    /// unavailable, which older reports can't rule out.
    pub outage_threshold: Duration,
    /// Time that the maintenance of one host takes.
    pub maintenance_duration: Duration,
}

/// Period in which one process holds a shard: its fencing token, how many
/// holders the shard has had with this one, and when it began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Increases with each change of the holder; backend servers reject orders
    /// with a lower token.
    pub fencing_token: u64,
    /// Number of holders so far, including this one.
    pub number: u64,
    /// When this holder acquired the shard.
    pub since: Moment,
}

/// Scheduling state of a shard: its queues, unfinished jobs, backend servers
/// and hosts, the learned run times, and what is still to be stored or carried
/// out.
#[derive(Debug)]
pub struct Shard {
    timings: Timings,
    term: Term,
    queues: Queues,
    quotas: Quotas,
    rates: Rates,
    /// Number of shards of the site, over which the jobs of each workspace spread.
    shard_count: u32,
    jobs: BTreeMap<job::Id, ActiveJob>,
    servers: BTreeMap<input::ServerId, Server>,
    /// Whether the platform's list of servers is known.
    are_servers_listed: bool,
    /// When nothing runs any more that an earlier holder has started on a server, if the
    /// platform lists it no more; known after a planned change of the holder.
    settled_servers: BTreeMap<input::ServerId, Moment>,
    /// What was waited for in vain after the takeover.
    unanswered: Unanswered,
    incarnations: Incarnations,
    fleet: Fleet,
    /// Time of day at the last call of `decide`, in Unix milliseconds.
    unix_ms: u64,
    /// When all leases of runs end that may be granted now, by the last renewal of the shard's
    /// lease.
    grants_end: Moment,
    /// Whether no other holder could have taken the shard at the last call of `decide`.
    is_exclusive: bool,
    /// When the last round of housekeeping began.
    last_housekeeping: Moment,
    run_times: RunTimeModel,
    send_window: SendWindow,
    /// Number of the next run.
    next_run: task::RunId,
    /// Finished and removed jobs by identifier and queue, and when this shard learned of it.
    finished_jobs: BTreeMap<job::Id, BTreeMap<Arc<str>, Moment>>,
    /// Identifiers that jobs of two queues have or had.
    namesakes: Namesakes,
    /// Jobs to write in the next batches.
    unsaved_jobs: SaveQueue,
    /// Whether a batch is being stored.
    is_saving: bool,
    /// Effects that the next return of `decide` hands over.
    effects: Vec<Effect>,
}

impl Shard {
    /// Creates a shard that knows no queues, jobs, servers or hosts yet.
    pub fn new(timings: Timings, term: Term) -> Shard {
        Shard {
            timings,
            term,
            queues: Queues::default(),
            quotas: Quotas::default(),
            rates: Rates::default(),
            shard_count: 1,
            jobs: BTreeMap::new(),
            servers: BTreeMap::new(),
            are_servers_listed: false,
            settled_servers: BTreeMap::new(),
            unanswered: Unanswered::default(),
            incarnations: Incarnations::default(),
            fleet: Fleet::default(),
            unix_ms: 0,
            grants_end: term.since + shard_lease::GRANT_LIMIT,
            is_exclusive: true,
            last_housekeeping: Moment::ZERO,
            run_times: RunTimeModel::default(),
            send_window: SendWindow::default(),
            next_run: task::RunId::first_of_term(term.number),
            finished_jobs: BTreeMap::new(),
            namesakes: Namesakes::default(),
            unsaved_jobs: SaveQueue::default(),
            is_saving: false,
            effects: Vec::new(),
        }
    }

    /// Adds an unfinished job with its stored progress, which may decide its
    /// outcome. Does nothing if the job is known, or has finished or was
    /// removed within the last `FINISHED_RETENTION` (60 s).
    ///
    /// A read of all rows may return a job that has finished since the read
    /// began.
    pub fn add_job(&mut self, now: Moment, accepted: input::AcceptedJob) {
        let key = job::Key::new(Arc::clone(&accepted.queue), accepted.id.clone());
        if self.has_finished(&key) || self.known_id(&key).is_some() {
            return;
        }
        let id = self.new_id(&key);
        let mut active = ActiveJob::new(now, input::AcceptedJob { id: id.clone(), ..accepted });
        self.queues.apply(&mut active);
        self.await_rating(&active);
        self.jobs.insert(id.clone(), active);
        self.update_outcome(&id);
    }

    /// Returns a moment with the time of day, which is that of the last decision.
    fn time(&self, now: Moment) -> Time {
        Time { now, unix_ms: self.unix_ms }
    }

    /// Sets the number of shards of the site; it is 1 unless set.
    pub fn set_shard_count(&mut self, count: u32) {
        self.shard_count = count.max(1);
    }

    /// Removes a job that was cancelled or has finished: its planned runs are
    /// dropped, stops of its other runs are due from `now`, and no further
    /// write is made for it. `add_job` ignores it for `FINISHED_RETENTION` (60
    /// s), also if it was not known here.
    pub fn remove_job(&mut self, now: Moment, key: &job::Key) {
        self.record_finished(now, key);
        let Some(active) = self.take_job(key) else {
            return;
        };
        self.unsaved_jobs.remove(&active.id);
        for (server, task) in active.assigned_tasks() {
            self.request_stop(now, &server, &task);
        }
    }

    /// Removes a job whose row is gone, long after its end. A job that is submitted under its
    /// identity from now on is a new one, which `add_job` takes.
    pub fn forget_job(&mut self, now: Moment, key: &job::Key) {
        self.remove_job(now, key);
        if let Some(queues) = self.finished_jobs.get_mut(key.id()) {
            queues.remove(key.queue());
        }
    }

    /// Returns a job; `None` if it is unknown, also if another queue has one with its identifier.
    fn job_mut(&mut self, key: &job::Key) -> Option<&mut ActiveJob> {
        let id = self.known_id(key)?;
        self.jobs.get_mut(&id)
    }

    /// Removes a job and returns it; `None` if it is unknown, also if another queue has one with
    /// its identifier.
    fn take_job(&mut self, key: &job::Key) -> Option<ActiveJob> {
        let id = self.known_id(key)?;
        self.jobs.remove(&id)
    }

    /// Returns whether a job has finished or was removed within `FINISHED_RETENTION` (60 s).
    fn has_finished(&self, key: &job::Key) -> bool {
        let queues = self.finished_jobs.get(key.id());
        queues.is_some_and(|queues| queues.contains_key(key.queue()))
    }

    /// Remembers that a job has finished or was removed.
    fn record_finished(&mut self, now: Moment, key: &job::Key) {
        let queues = self.finished_jobs.entry(key.id().clone()).or_default();
        queues.insert(Arc::clone(key.queue()), now);
    }

    /// Forgets the jobs that have finished or were removed longer ago than `FINISHED_RETENTION`.
    fn forget_finished(&mut self, now: Moment) {
        self.finished_jobs.retain(|_, queues| {
            queues.retain(|_, since| now.since(*since) < FINISHED_RETENTION);
            !queues.is_empty()
        });
        self.forget_namesakes();
    }

    /// Decides what to do next and returns the effects, together with those
    /// that other calls have left since the last `decide`; the caller must
    /// carry out every effect. `unix_ms` is the time of day in Unix
    /// milliseconds, which opens the due occurrences of scheduled jobs.
    ///
    /// `last_confirmed_renewal` is when the holder sent the last renewal that
    /// the store has confirmed. Runs on servers whose leases have expired are
    /// given up and hosts are ordered only within
    /// [`shard_lease::EXCLUSIVE_WINDOW`] (1.9 s) of that time, while no other
    /// holder can have taken the shard: the next holder may reach a server that
    /// this one can't. After that, starts that were not sent are cancelled, and
    /// tasks start only on servers that are recorded with their job, because
    /// the next holder asks those. No lease of a run lasts longer than
    /// [`shard_lease::GRANT_LIMIT`] from that time, because the next holder
    /// waits for no later one.
    pub fn decide(
        &mut self,
        now: Moment,
        unix_ms: u64,
        last_confirmed_renewal: Moment,
    ) -> Vec<Effect> {
        self.unix_ms = unix_ms;
        self.grants_end = last_confirmed_renewal + shard_lease::GRANT_LIMIT;
        let is_exclusive = now.since(last_confirmed_renewal) < shard_lease::EXCLUSIVE_WINDOW;
        self.is_exclusive = is_exclusive;
        match is_exclusive {
            true => self.expire_leases(now),
            false => self.cancel_planned(|_| true),
        }
        self.forget_finished(now);
        self.incarnations.forget_removed(now);
        self.open_occurrences(unix_ms);
        self.rate_jobs();
        self.place_tasks(now, is_exclusive);
        if now.since(self.last_housekeeping) >= HOUSEKEEPING_PERIOD {
            self.last_housekeeping = now;
            self.do_housekeeping(now, is_exclusive);
        }
        self.send_due_stops(now);
        self.save();
        self.send_due_polls(now);
        std::mem::take(&mut self.effects)
    }

    /// Runs a round of housekeeping: drops servers that have not answered from
    /// their jobs once the takeover grace is over, stops tasks that have to
    /// leave draining hosts, sends orders for hosts if `is_exclusive` (no other
    /// holder can have taken the shard), adjusts the pace of best-effort tasks
    /// and stops incomplete gangs. None of this need follow each event, so
    /// `decide` calls it at most once in `HOUSEKEEPING_PERIOD` (50 ms).
    fn do_housekeeping(&mut self, now: Moment, is_exclusive: bool) {
        self.drop_unanswered_servers(now);
        self.drain_hosts(now);
        if is_exclusive {
            self.order_hosts(now);
        }
        self.adjust_pace(now);
        self.stop_incomplete_gangs(now);
    }
}
