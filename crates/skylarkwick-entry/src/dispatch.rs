//! The dispatch duty: decides which request runs next and on which host.
//!
//! It owns the scheduler of each pool. It blocks only while it receives events or
//! while the ring of the claims duty is full.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use cadence::{Counted, StatsdClient, Timed};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use skylarkwick_connection::{
    backend::{Answer, Task},
    platform::{HostRecord, Liveness},
};
use skylarkwick_process::trace::Span;
use skylarkwick_process::{
    clock::Clock,
    duty::StopSignal,
    ring::{self, ReceiveError},
    trace,
    view::View,
};
use skylarkwick_request::{
    id::{self, Key},
    outcome::{Outcome, Refusal},
    queue::Limits,
    scheduler::{self, CompletedRequest, Scheduler},
};
use skylarkwick_version::{
    host::{Epoch, Phase},
    name,
};

use crate::{
    event::{
        ClaimsEvent, DispatchEvent, PendingAttempt, ReplyTo, RequestOutcome, Resolution, Submission,
    },
    membership,
};

/// Interval at which queued requests are checked for their deadlines and attempts for
/// overruns.
const TICK: Duration = Duration::from_millis(20);

/// Hosts that the schedulers exclude because they are leaving or have a newer epoch, each
/// with the epoch up to which it is excluded. The dispatch duty writes the list; the peers
/// duty sends it in heartbeats.
pub(crate) type ExcludedHosts = Arc<Mutex<Vec<(name::Host, Epoch)>>>;

/// The data of the dispatch duty for a request in a scheduler: the submission, and the trace
/// span of its time there.
struct ScheduledRequest {
    submission: Submission,
    /// Covers the time from the submission to the end of the request.
    queue_span: Option<Span>,
}

/// State of the dispatch duty: a scheduler for each pool, what their workers are derived
/// from, the idle executors, and indexes of the requests by attempt and key.
pub(crate) struct Duty<C> {
    clock: C,
    rng: Pcg64Mcg,
    data_centre: name::DataCentre,
    schedulers: BTreeMap<name::Pool, Scheduler<ScheduledRequest>>,
    view: Arc<View>,
    hosts: Arc<BTreeMap<name::Host, HostRecord>>,
    /// Rank of this entry host among the live ones of its data centre, from 0, and their
    /// number. It determines which slots of a worker this entry host may use.
    rank_and_count: (u32, u32),
    executors: Vec<ring::Sender<PendingAttempt>>,
    /// Indexes in `executors` of those without an attempt.
    idle_executors: Vec<usize>,
    pools_by_attempt: BTreeMap<id::Attempt, name::Pool>,
    /// Incomplete requests that have a key or a ticket.
    requests_by_key: BTreeMap<Key, (name::Pool, id::Request)>,
    claims: ring::Sender<ClaimsEvent>,
    excluded_hosts: ExcludedHosts,
    metrics: Arc<StatsdClient>,
}

impl<C: Clock> Duty<C> {
    /// Creates the duty with all `executors` idle. Requests are refused with `NoHost` until a
    /// view arrives.
    pub(crate) fn new(
        clock: C,
        data_centre: name::DataCentre,
        executors: Vec<ring::Sender<PendingAttempt>>,
        claims: ring::Sender<ClaimsEvent>,
        excluded_hosts: ExcludedHosts,
        metrics: Arc<StatsdClient>,
    ) -> Duty<C> {
        Duty {
            clock,
            rng: Pcg64Mcg::seed_from_u64(rand::random()),
            data_centre,
            schedulers: BTreeMap::new(),
            view: Arc::default(),
            hosts: Arc::default(),
            rank_and_count: (0, 1),
            idle_executors: (0..executors.len()).collect(),
            executors,
            pools_by_attempt: BTreeMap::new(),
            requests_by_key: BTreeMap::new(),
            claims,
            excluded_hosts,
            metrics,
        }
    }

    /// Handles events and starts attempts until `stop` is requested or the ring is closed.
    /// Queued requests then get no outcome.
    pub(crate) fn run(mut self, input: &ring::Receiver<DispatchEvent>, stop: &StopSignal) {
        let mut next_tick = self.clock.now() + TICK;
        while !stop.is_requested() {
            match input.receive_timeout(next_tick.since(self.clock.now())) {
                Ok(event) => self.handle(event),
                Err(ReceiveError::TimedOut) => {}
                Err(ReceiveError::Closed) => return,
            }
            while let Some(event) = input.try_receive() {
                self.handle(event);
            }
            if self.clock.now() >= next_tick {
                self.tick();
                next_tick = self.clock.now() + TICK;
            }
            self.start_attempts();
        }
    }

    /// Handles one event, without starting attempts.
    fn handle(&mut self, event: DispatchEvent) {
        match event {
            DispatchEvent::Submit(submission) => self.submit(*submission),
            DispatchEvent::AttemptFinished { executor, attempt, outcome } => {
                self.idle_executors.push(executor);
                self.finish_attempt(attempt, outcome);
            }
            DispatchEvent::Cancel { key, reply } => {
                let cancelled = self.cancel(key);
                // A failed send means that the caller has stopped waiting.
                let _ = reply.try_send(cancelled);
            }
            DispatchEvent::ViewChanged(view) => {
                self.view = view;
                self.update_workers();
            }
            DispatchEvent::HostsChanged(hosts) => {
                self.hosts = hosts;
                self.update_workers();
            }
            DispatchEvent::RankChanged { rank, entry_count } => {
                self.rank_and_count = (rank, entry_count);
                self.update_workers();
            }
            DispatchEvent::HostsExcluded(hosts) => self.exclude_hosts(&hosts),
        }
    }

    /// Queues a request at the scheduler of its pool, or completes it at once if it is refused.
    fn submit(&mut self, submission: Submission) {
        let now = self.clock.now();
        let pool = submission.document.pool.clone();
        let id = submission.id;
        let key = submission.call.key();
        let queue_span = Some(Span::child_of("queue", &submission.span));
        let request = scheduler::Submission {
            id,
            service: submission.call.service.clone(),
            kind: submission.call.kind.clone(),
            priority: submission.document.priority,
            is_repeatable: submission.document.work.is_repeatable,
            deadline: now + submission.deadline,
            work: ScheduledRequest { submission, queue_span },
        };
        let Some(scheduler) = self.schedulers.get_mut(&pool) else {
            return self.complete(request.work, Outcome::NotRun(Refusal::NoHost));
        };
        match scheduler.submit(request, now) {
            Ok(()) => {
                if let Some(key) = key {
                    self.requests_by_key.insert(key, (pool, id));
                }
            }
            Err((work, refusal)) => self.complete(work, Outcome::NotRun(refusal)),
        }
    }

    /// Starts attempts of each pool in turn, by name, while there are idle executors.
    fn start_attempts(&mut self) {
        let waiting = self.schedulers.iter().filter(|(_, scheduler)| scheduler.waiting_count() > 0);
        let pools: Vec<name::Pool> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            while !self.idle_executors.is_empty() && self.start_next(&pool) {}
        }
    }

    /// Sends the next attempt of a pool to an idle executor, and reports its waiting time as
    /// a metric. Returns false if no request of the pool may start now.
    fn start_next(&mut self, pool: &name::Pool) -> bool {
        let now = self.clock.now();
        let Some(scheduler) = self.schedulers.get_mut(pool) else { return false };
        let Some(start) = scheduler.next_attempt(now, &mut self.rng) else { return false };
        let Some(executor) = self.idle_executors.pop() else { return false };
        let submission = &start.work.submission;
        let span = Span::child_of("dispatch", &submission.span);
        let task = Task {
            address: match self.hosts.get(&start.host) {
                Some(listed) => listed.address,
                None => unreachable!("a scheduler uses only hosts whose address is listed"),
            },
            attempt: start.attempt,
            epoch: start.epoch,
            service: submission.call.service.clone(),
            kind: submission.call.kind.clone(),
            key: submission.call.key_text(),
            body: Arc::clone(&submission.call.body),
            answer_timeout: start.answer_timeout.max(membership::MIN_ANSWER_TIMEOUT),
            time_left: start.time_left,
            traceparent: trace::traceparent(&span),
        };
        let attempt = start.attempt;
        let waited = start.waited;
        self.pools_by_attempt.insert(attempt, pool.clone());
        // A metric that cannot be sent must not fail the request.
        let _ = self
            .metrics
            .time_with_tags("queue.wait", waited)
            .with_tag("pool", pool.as_str())
            .try_send();
        if self.executors[executor].try_send(PendingAttempt { task, span }).is_err() {
            unreachable!("the ring of an idle executor is empty");
        }
        true
    }

    /// Passes the outcome of an attempt to the pool's scheduler, and completes the request
    /// unless it is retried. Publishes the excluded hosts if the pool has any.
    fn finish_attempt(&mut self, attempt: id::Attempt, outcome: Outcome<Answer>) {
        let now = self.clock.now();
        let Some(pool) = self.pools_by_attempt.remove(&attempt) else { return };
        let Some(scheduler) = self.schedulers.get_mut(&pool) else { return };
        let ended = scheduler.finish_attempt(attempt, outcome, now);
        let has_excluded_hosts = scheduler.excluded_hosts().next().is_some();
        if let Some(CompletedRequest { work, outcome }) = ended {
            let outcome = match outcome {
                Outcome::Done(answer) => Outcome::Done(Arc::new(answer)),
                Outcome::NotRun(refusal) => Outcome::NotRun(refusal),
                Outcome::Unknown(reason) => Outcome::Unknown(reason),
            };
            self.complete(work, outcome);
        }
        if has_excluded_hosts {
            self.publish_excluded_hosts();
        }
    }

    /// Removes the request with a key from the queue and completes it. Returns false if no
    /// such request is queued; an attempt in progress is not stopped.
    fn cancel(&mut self, key: Key) -> bool {
        let Some((pool, id)) = self.requests_by_key.get(&key).cloned() else { return false };
        let cancelled = self.schedulers.get_mut(&pool).and_then(|scheduler| scheduler.cancel(id));
        match cancelled {
            Some(CompletedRequest { work, outcome }) => {
                self.complete(work, outcome);
                true
            }
            None => false,
        }
    }

    /// Reclassifies attempts that exceed their overrun limit, and completes queued requests
    /// that can no longer finish by their deadline.
    fn tick(&mut self) {
        let now = self.clock.now();
        let mut ended = Vec::new();
        for scheduler in self.schedulers.values_mut() {
            scheduler.reclassify_overruns(now);
            ended.extend(scheduler.expire(now));
        }
        for CompletedRequest { work, outcome } in ended {
            self.complete(work, outcome);
        }
    }

    /// Ends a request: removes its key, counts it and sends the outcome to the caller's
    /// thread or to the claims duty.
    fn complete(&mut self, work: ScheduledRequest, outcome: RequestOutcome) {
        let ScheduledRequest { submission, queue_span } = work;
        drop(queue_span);
        if let Some(key) = submission.call.key() {
            self.requests_by_key.remove(&key);
        }
        let _ = self
            .metrics
            .count_with_tags("requests", 1)
            .with_tag("service", submission.call.service.as_str())
            .with_tag("outcome", outcome.code())
            .try_send();
        match submission.reply_to {
            // A failed send means that the caller has stopped waiting.
            ReplyTo::Caller(reply) => drop(reply.try_send(Resolution::Completed(outcome))),
            ReplyTo::Claims(key) => {
                drop(self.claims.send(ClaimsEvent::RequestFinished(key, outcome)))
            }
        }
    }

    /// Creates a scheduler for each new pool of the view, and passes the current workers and
    /// slots to all of them. Schedulers are never removed.
    fn update_workers(&mut self) {
        let now = self.clock.now();
        for document in self.view.documents_in_force() {
            let run_time = document.work.run_time;
            self.schedulers
                .entry(document.pool.clone())
                .or_insert_with(|| Scheduler::new(Limits::DEFAULT, run_time));
        }
        for (pool, scheduler) in &mut self.schedulers {
            let workers =
                worker_slots(pool, &self.view, &self.hosts, &self.data_centre, self.rank_and_count);
            scheduler.set_workers(&workers, now);
        }
    }

    /// Excludes hosts that a peer reported, each up to its epoch, from the pool that owns it
    /// in the current view; hosts of no pool are ignored.
    fn exclude_hosts(&mut self, hosts: &[(name::Host, Epoch)]) {
        let now = self.clock.now();
        for (host, epoch) in hosts {
            let owner = self.view.hosts.get(host).and_then(|host| host.ownership.pool());
            if let Some(scheduler) = owner.and_then(|pool| self.schedulers.get_mut(pool)) {
                scheduler.exclude_host(host, *epoch, now);
            }
        }
    }

    /// Replaces the shared list of excluded hosts that heartbeats carry. It is called only when
    /// an attempt ends while hosts are excluded, so the list may hold expired exclusions.
    fn publish_excluded_hosts(&self) {
        let excluded = self.schedulers.values().flat_map(Scheduler::excluded_hosts);
        let hosts = excluded.map(|(host, epoch)| (host.clone(), epoch)).collect();
        *self.excluded_hosts.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }
}

/// Returns the workers of a pool: the live hosts of this data centre that are active for
/// it, each with its epoch and the number of its slots that this entry host may use.
fn worker_slots(
    pool: &name::Pool,
    view: &View,
    hosts: &BTreeMap<name::Host, HostRecord>,
    data_centre: &name::DataCentre,
    (rank, entry_count): (u32, u32),
) -> BTreeMap<name::Host, (Epoch, u32)> {
    hosts
        .values()
        .filter(|listed| listed.data_centre == *data_centre && listed.liveness == Liveness::Live)
        .enumerate()
        .filter_map(|(index, listed)| {
            let ownership = &view.hosts.get(&listed.host)?.ownership;
            let slots = membership::slot_share(listed.slots, index as u32, rank, entry_count);
            match &ownership.phase {
                Phase::Active { pool: owner } if owner == pool => {
                    Some((listed.host.clone(), (ownership.epoch, slots)))
                }
                _ => None,
            }
        })
        .collect()
}
