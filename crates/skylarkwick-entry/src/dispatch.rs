//! The dispatch duty: what runs next, and where.
//!
//! It owns the lanes of every pool and never waits for anything but its ring.

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
    platform::{Listed, Standing},
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
    event::{Attempt, Claims, Dispatch, Ended, Reply, Submission, Verdict},
    membership,
};

/// How often deadlines and overruns are looked at.
const TICK: Duration = Duration::from_millis(20);

/// Hosts that said that they are leaving, for the peers.
pub(crate) type Leaving = Arc<Mutex<Vec<(name::Host, Epoch)>>>;

struct Work {
    submission: Submission,
    queued: Option<Span>,
}

/// State of the dispatch duty.
pub(crate) struct Duty<C> {
    clock: C,
    random: Pcg64Mcg,
    data_centre: name::DataCentre,
    lanes: BTreeMap<name::Pool, Scheduler<Work>>,
    view: Arc<View>,
    hosts: Arc<BTreeMap<name::Host, Listed>>,
    share: (u32, u32),
    senders: Vec<ring::Sender<Attempt>>,
    idle: Vec<usize>,
    attempts: BTreeMap<id::Attempt, name::Pool>,
    keys: BTreeMap<Key, (name::Pool, id::Request)>,
    claims: ring::Sender<Claims>,
    leaving: Leaving,
    metrics: Arc<StatsdClient>,
}

impl<C: Clock> Duty<C> {
    pub(crate) fn new(
        clock: C,
        data_centre: name::DataCentre,
        senders: Vec<ring::Sender<Attempt>>,
        claims: ring::Sender<Claims>,
        leaving: Leaving,
        metrics: Arc<StatsdClient>,
    ) -> Duty<C> {
        Duty {
            clock,
            random: Pcg64Mcg::seed_from_u64(rand::random()),
            data_centre,
            lanes: BTreeMap::new(),
            view: Arc::default(),
            hosts: Arc::default(),
            share: (0, 1),
            idle: (0..senders.len()).collect(),
            senders,
            attempts: BTreeMap::new(),
            keys: BTreeMap::new(),
            claims,
            leaving,
            metrics,
        }
    }

    /// Runs until the stop.
    pub(crate) fn run(mut self, input: &ring::Receiver<Dispatch>, stop: &StopSignal) {
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
            self.start_all();
        }
    }

    fn handle(&mut self, event: Dispatch) {
        match event {
            Dispatch::Submit(submission) => self.submit(*submission),
            Dispatch::Finished { sender, attempt, outcome } => {
                self.idle.push(sender);
                self.finish(attempt, outcome);
            }
            Dispatch::Cancel { key, reply } => {
                let cancelled = self.cancel(key);
                // The caller may have gone away.
                let _ = reply.try_send(cancelled);
            }
            Dispatch::View(view) => {
                self.view = view;
                self.list();
            }
            Dispatch::Hosts(hosts) => {
                self.hosts = hosts;
                self.list();
            }
            Dispatch::Share { rank, entries } => {
                self.share = (rank, entries);
                self.list();
            }
            Dispatch::Leaving(hosts) => self.deny(&hosts),
        }
    }

    fn submit(&mut self, submission: Submission) {
        let now = self.clock.now();
        let pool = submission.document.pool.clone();
        let id = submission.id;
        let key = submission.call.key();
        let queued = Some(Span::child_of("queue", &submission.span));
        let request = scheduler::Submission {
            id,
            service: submission.call.service.clone(),
            kind: submission.call.kind.clone(),
            priority: submission.document.priority,
            is_repeatable: submission.document.work.is_repeatable,
            deadline: now + submission.deadline,
            work: Work { submission, queued },
        };
        let Some(lane) = self.lanes.get_mut(&pool) else {
            return self.end(request.work, Outcome::NotRun(Refusal::NoHost));
        };
        match lane.submit(request, now) {
            Ok(()) => {
                if let Some(key) = key {
                    self.keys.insert(key, (pool, id));
                }
            }
            Err((work, refusal)) => self.end(work, Outcome::NotRun(refusal)),
        }
    }

    fn start_all(&mut self) {
        let waiting = self.lanes.iter().filter(|(_, lane)| lane.waiting_count() > 0);
        let pools: Vec<name::Pool> = waiting.map(|(pool, _)| pool.clone()).collect();
        for pool in pools {
            while !self.idle.is_empty() && self.start(&pool) {}
        }
    }

    fn start(&mut self, pool: &name::Pool) -> bool {
        let now = self.clock.now();
        let Some(lane) = self.lanes.get_mut(pool) else { return false };
        let Some(start) = lane.next_attempt(now, &mut self.random) else { return false };
        let Some(sender) = self.idle.pop() else { return false };
        let submission = &start.work.submission;
        let span = Span::child_of("dispatch", &submission.span);
        let task = Task {
            address: match self.hosts.get(&start.host) {
                Some(listed) => listed.address,
                None => unreachable!("a lane lists only hosts with an address"),
            },
            attempt: start.attempt,
            epoch: start.epoch,
            service: submission.call.service.clone(),
            kind: submission.call.kind.clone(),
            key: submission.call.key_text(),
            body: Arc::clone(&submission.call.body),
            answer_timeout: start.answer_timeout.max(membership::MIN_PATIENCE),
            time_left: start.time_left,
            traceparent: trace::traceparent(&span),
        };
        let attempt = start.attempt;
        let waited = start.waited;
        self.attempts.insert(attempt, pool.clone());
        // A metric that is not sent is not worth a request.
        let _ = self
            .metrics
            .time_with_tags("queue.wait", waited)
            .with_tag("pool", pool.as_str())
            .try_send();
        if self.senders[sender].try_send(Attempt { task, span }).is_err() {
            unreachable!("an idle sender has room for one attempt");
        }
        true
    }

    fn finish(&mut self, attempt: id::Attempt, outcome: Outcome<Answer>) {
        let now = self.clock.now();
        let Some(pool) = self.attempts.remove(&attempt) else { return };
        let Some(lane) = self.lanes.get_mut(&pool) else { return };
        let ended = lane.finish_attempt(attempt, outcome, now);
        let has_denials = lane.excluded_hosts().next().is_some();
        if let Some(CompletedRequest { work, outcome }) = ended {
            let outcome = match outcome {
                Outcome::Done(answer) => Outcome::Done(Arc::new(answer)),
                Outcome::NotRun(refusal) => Outcome::NotRun(refusal),
                Outcome::Unknown(doubt) => Outcome::Unknown(doubt),
            };
            self.end(work, outcome);
        }
        if has_denials {
            self.publish_leaving();
        }
    }

    fn cancel(&mut self, key: Key) -> bool {
        let Some((pool, id)) = self.keys.get(&key).cloned() else { return false };
        let cancelled = self.lanes.get_mut(&pool).and_then(|lane| lane.cancel(id));
        match cancelled {
            Some(CompletedRequest { work, outcome }) => {
                self.end(work, outcome);
                true
            }
            None => false,
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let mut ended = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.reclassify_overruns(now);
            ended.extend(lane.expire(now));
        }
        for CompletedRequest { work, outcome } in ended {
            self.end(work, outcome);
        }
    }

    fn end(&mut self, work: Work, outcome: Ended) {
        let Work { submission, queued } = work;
        drop(queued);
        if let Some(key) = submission.call.key() {
            self.keys.remove(&key);
        }
        let _ = self
            .metrics
            .count_with_tags("requests", 1)
            .with_tag("service", submission.call.service.as_str())
            .with_tag("outcome", outcome.code())
            .try_send();
        match submission.reply {
            // The caller may have gone away.
            Reply::Caller(reply) => drop(reply.try_send(Verdict::Ended(outcome))),
            Reply::Claims(key) => drop(self.claims.send(Claims::Finished(key, outcome))),
        }
    }

    /// Tells every lane which workers it may use.
    fn list(&mut self) {
        let now = self.clock.now();
        for document in self.view.documents_in_force() {
            let run_time = document.work.run_time;
            self.lanes
                .entry(document.pool.clone())
                .or_insert_with(|| Scheduler::new(Limits::DEFAULT, run_time));
        }
        for (pool, lane) in &mut self.lanes {
            let listed = listed(pool, &self.view, &self.hosts, &self.data_centre, self.share);
            lane.set_workers(&listed, now);
        }
    }

    fn deny(&mut self, hosts: &[(name::Host, Epoch)]) {
        let now = self.clock.now();
        for (host, epoch) in hosts {
            let owner = self.view.hosts.get(host).and_then(|host| host.ownership.pool());
            if let Some(lane) = owner.and_then(|pool| self.lanes.get_mut(pool)) {
                lane.exclude_host(host, *epoch, now);
            }
        }
    }

    fn publish_leaving(&self) {
        let denied = self.lanes.values().flat_map(Scheduler::excluded_hosts);
        let hosts = denied.map(|(host, epoch)| (host.clone(), epoch)).collect();
        *self.leaving.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }
}

/// Returns the workers of a pool that this entry host may use, with its share
/// of the slots of each.
fn listed(
    pool: &name::Pool,
    view: &View,
    hosts: &BTreeMap<name::Host, Listed>,
    data_centre: &name::DataCentre,
    (rank, entries): (u32, u32),
) -> BTreeMap<name::Host, (Epoch, u32)> {
    hosts
        .values()
        .filter(|listed| listed.data_centre == *data_centre && listed.standing == Standing::Live)
        .enumerate()
        .filter_map(|(index, listed)| {
            let ownership = &view.hosts.get(&listed.host)?.ownership;
            let slots = membership::share(listed.slots, index as u32, rank, entries);
            match &ownership.phase {
                Phase::Active { pool: owner } if owner == pool => {
                    Some((listed.host.clone(), (ownership.epoch, slots)))
                }
                _ => None,
            }
        })
        .collect()
}
