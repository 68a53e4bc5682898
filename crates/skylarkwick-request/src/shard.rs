//! A shard: the jobs of some pools and the hosts that run them.
//!
//! One process holds a shard at a time. The shard is a pure state machine: its
//! holder tells it what callers, backend servers and the platform said, and
//! [`Shard::decide`] returns what to do next. It reads no clock and knows no
//! encoding, so the same code runs under the bench, in the emulator and in
//! tests. See `docs/DESIGN.md`, section "Shards".

mod active;
mod allotment;
mod demand;
mod evacuation;
mod fleet;
mod gang;
mod order_results;
mod pace;
mod persistence;
mod placement;
mod polling;
mod ranking;
mod run_results;
mod run_time_model;
mod server;
mod wave;

pub mod effect;
pub mod input;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{moment::Moment, shard_lease};

use self::{
    active::Active, effect::Effect, fleet::Fleet, input::Queue, run_time_model::Learning,
    server::Server,
};
use crate::job::{self, State, task};

/// How long jobs that are over are remembered; older rows of theirs can't be
/// under way any more.
const OVER_KEPT: Duration = Duration::from_secs(60);

/// Time between two looks over all hosts.
const REVIEW_PERIOD: Duration = Duration::from_millis(50);

/// What bounds a shard; the platform states most of these.
#[derive(Clone, Copy, Debug)]
pub struct Timings {
    /// Lease of everything that runs on a backend server, renewed by each look.
    pub lease_duration: Duration,
    /// Longest time that a start may still begin after it was sent.
    pub start_window: Duration,
    /// Longest time that the last holder may have gone on without its lease,
    /// and what it started after that.
    pub takeover_grace: Duration,
    /// Time after which a lasting task that is not at work counts as away.
    pub outage_threshold: Duration,
    /// Time that the maintenance of a host takes.
    pub maintenance_duration: Duration,
}

/// The holding of a shard by one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// Number that grows with each change of the holder; backend servers
    /// refuse orders with a lower one.
    pub fencing_token: u64,
    /// How many holders there were, this one included.
    pub number: u64,
    /// When the shard was taken.
    pub since: Moment,
}

/// The jobs of some pools and the hosts that run them.
#[derive(Debug)]
pub struct Shard {
    timings: Timings,
    term: Term,
    queues: BTreeMap<Arc<str>, Queue>,
    jobs: BTreeMap<job::Id, Active>,
    servers: BTreeMap<input::ServerId, Server>,
    fleet: Fleet,
    /// When all hosts were last looked over.
    reviewed: Moment,
    learning: Learning,
    next_run: task::RunId,
    /// Jobs that are over, and since when.
    over: BTreeMap<job::Id, Moment>,
    dirty: BTreeSet<job::Id>,
    is_saving: bool,
    effects: Vec<Effect>,
}

impl Shard {
    /// Starts to hold a shard whose jobs and servers are not known yet.
    pub fn new(timings: Timings, term: Term) -> Shard {
        Shard {
            timings,
            term,
            queues: BTreeMap::new(),
            jobs: BTreeMap::new(),
            servers: BTreeMap::new(),
            fleet: Fleet::default(),
            reviewed: Moment::ZERO,
            learning: Learning::default(),
            next_run: task::RunId::first_of_term(term.number),
            over: BTreeMap::new(),
            dirty: BTreeSet::new(),
            is_saving: false,
            effects: Vec::new(),
        }
    }

    /// Puts queues in force; what they allow decides of the jobs known so far.
    pub fn set_queues(&mut self, queues: Vec<Queue>) {
        self.queues = queues.into_iter().map(|queue| (Arc::clone(&queue.name), queue)).collect();
        let ids: Vec<job::Id> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.settle_job(id);
        }
    }

    /// Adds a job, unless it is known or was over before.
    ///
    /// A read of all rows may tell of a job that has ended since it began.
    pub fn add_job(&mut self, now: Moment, accepted: input::AcceptedJob) {
        let id = accepted.id.clone();
        if self.jobs.contains_key(&id) || self.over.contains_key(&id) {
            return;
        }
        let active = Active::new(now, accepted);
        self.jobs.insert(id.clone(), active);
        self.settle_job(&id);
    }

    /// Notes that a job needs no more work: it was cancelled, or it is over.
    pub fn remove_job(&mut self, now: Moment, id: &job::Id) {
        self.over.insert(id.clone(), now);
        let Some(active) = self.jobs.remove(id) else {
            return;
        };
        self.dirty.remove(id);
        for (server, task) in active.runs() {
            self.stop(now, &server, &task);
        }
    }

    /// Decides what to do next; the caller carries every effect out.
    ///
    /// `confirmed` is when the last renewal of the lease was sent that the store
    /// has confirmed. What a silent server runs is given up, and hosts are ordered,
    /// only while that is so lately that no other holder can have taken the shard:
    /// the next holder may reach a server that this one can't. After that, tasks
    /// are started only on the servers that are stored with their job, because the
    /// next holder asks those.
    pub fn decide(&mut self, now: Moment, unix_ms: u64, confirmed: Moment) -> Vec<Effect> {
        let is_certain = now.since(confirmed) < shard_lease::EXCLUSIVE_WINDOW;
        match is_certain {
            true => self.expire(now),
            false => self.unplan(|_| true),
        }
        self.over.retain(|_, since| now.since(*since) < OVER_KEPT);
        self.open_occurrences(unix_ms);
        self.place(now, is_certain);
        if now.since(self.reviewed) >= REVIEW_PERIOD {
            self.reviewed = now;
            self.review(now, is_certain);
        }
        self.retry_stops(now);
        self.save();
        self.ask(now);
        std::mem::take(&mut self.effects)
    }

    /// Looks over all hosts, which need not follow each event.
    fn review(&mut self, now: Moment, is_certain: bool) {
        self.evacuate(now);
        if is_certain {
            self.order_hosts(now);
        }
        self.adjust_pace(now);
        self.break_up_gangs(now);
    }

    /// Returns the jobs of each queue of which no server has begun a task.
    ///
    /// A start that was sent and is not answered may be refused or never arrive,
    /// so its job still waits.
    pub fn backlog(&self) -> BTreeMap<Arc<str>, Vec<job::Id>> {
        let mut waiting: BTreeMap<Arc<str>, Vec<job::Id>> =
            self.queues.keys().map(|queue| (Arc::clone(queue), Vec::new())).collect();
        for (id, active) in &self.jobs {
            if !active.has_run {
                waiting.entry(Arc::clone(&active.queue)).or_default().push(id.clone());
            }
        }
        waiting
    }

    /// Returns the load of each pool, for logs and metrics.
    pub fn pool_loads(&self, now: Moment) -> BTreeMap<Arc<str>, PoolLoad> {
        let mut pools: BTreeMap<Arc<str>, PoolLoad> = BTreeMap::new();
        for server in self.servers.values() {
            let pool = pools.entry(Arc::clone(&server.listing.pool)).or_default();
            pool.servers += 1;
            pool.usable += usize::from(self.is_usable(now, server));
            pool.idle += usize::from(server.runs.is_empty());
            pool.runs += server.runs.len();
        }
        for (name, unmet) in &self.fleet.unmet {
            pools.entry(Arc::clone(name)).or_default().unmet_millicores = *unmet;
        }
        for (name, allotted) in &self.fleet.allotted {
            let pool = pools.entry(Arc::clone(name)).or_default();
            pool.hosts = allotted.hosts;
            pool.hosts_needed = allotted.needed;
            pool.hosts_wanted = allotted.wanted;
        }
        for active in self.jobs.values() {
            if let Some(queue) = self.queues.get(&active.queue) {
                pools.entry(Arc::clone(&queue.pool)).or_default().jobs += 1;
            }
        }
        pools
    }

    /// Notes a job's outcome once its tasks allow one.
    fn settle_job(&mut self, id: &job::Id) {
        let Some(active) = self.jobs.get_mut(id) else {
            return;
        };
        let limit = self.queues.get(&active.queue).map_or(u32::MAX, |queue| queue.max_attempts);
        match active.judge(limit) {
            Some(State::Failed) => {
                for (server, task) in active.runs() {
                    self.stop(Moment::ZERO, &server, &task);
                }
                self.dirty.insert(id.clone());
            }
            Some(_) => {
                self.dirty.insert(id.clone());
            }
            None => {}
        }
    }
}

/// Load of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Jobs that are not over.
    pub jobs: usize,
    /// Backend servers.
    pub servers: usize,
    /// Backend servers that take new work.
    pub usable: usize,
    /// Backend servers that run nothing.
    pub idle: usize,
    /// Runs in progress.
    pub runs: usize,
    /// Processor time that ready tasks lack, in thousandths of a core.
    pub unmet_millicores: u64,
    /// Hosts that it has, or gets by orders that were given.
    pub hosts: usize,
    /// Hosts that the work at hand needs.
    pub hosts_needed: usize,
    /// Hosts that it should have.
    pub hosts_wanted: usize,
}
