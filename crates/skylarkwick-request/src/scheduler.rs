//! One pool's requests at one entry host: queue, workers, run times, retries.
//!
//! A lane is the whole decision of what runs next and where. The dispatch duty
//! drives it with real time, the measurements with virtual time.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::Rng;
use skylarkwick_version::{document::Priority, host::Epoch, moment::Moment, name};

use crate::{
    balancer::Balancer,
    estimate::{Class, Estimator},
    id,
    outcome::{BackendRefusal, Outcome, Refusal, UnknownReason},
    queue::{Limits, Queue, QueuedRequest, SlotUsage},
    retry::{self, AttemptedRequest, Budget, Decision},
};

/// Time for which a host that denied work is given none.
const DENIAL_TIME: Duration = Duration::from_secs(30);
/// Time after which the caller of a request that expired is asked to come back.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// What a lane needs to know of a request.
#[derive(Clone, Debug)]
pub struct Submission<T> {
    /// The request.
    pub id: id::Request,
    /// Its service.
    pub service: name::Service,
    /// Its kind.
    pub kind: name::Kind,
    /// Its service's priority.
    pub priority: Priority,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// When its caller stops waiting.
    pub deadline: Moment,
    /// What the owner of the lane needs to run it.
    pub work: T,
}

/// A request on its way through a lane.
#[derive(Clone, Debug)]
pub struct PendingWork<T> {
    /// What the owner of the lane needs to run it.
    pub work: T,
    is_repeatable: bool,
    attempts: u32,
    avoided: Option<name::Host>,
    in_doubt: Option<UnknownReason>,
}

impl<T> PendingWork<T> {
    /// Returns what became of a request that ends with `outcome`, which is not
    /// `NotRun` where an earlier attempt may have run.
    fn end<A>(self, outcome: Outcome<A>) -> CompletedRequest<T, A> {
        let outcome = match (outcome, self.in_doubt) {
            (Outcome::NotRun(_), Some(doubt)) => Outcome::Unknown(doubt),
            (outcome, _) => outcome,
        };
        CompletedRequest { work: self.work, outcome }
    }
}

/// An attempt to start.
#[derive(Debug)]
pub struct NewAttempt<'a, T> {
    /// Identity of the attempt.
    pub attempt: id::Attempt,
    /// The worker.
    pub host: name::Host,
    /// Epoch that the task carries.
    pub epoch: Epoch,
    /// How long the request waited.
    pub waited: Duration,
    /// How long the task should take at most.
    pub answer_timeout: Duration,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// What the owner of the lane needs to run it.
    pub work: &'a T,
}

/// A request that has come to its end.
#[derive(Debug)]
pub struct CompletedRequest<T, A> {
    /// What the owner of the lane gave in.
    pub work: T,
    /// What became of the request.
    pub outcome: Outcome<A>,
}

#[derive(Debug)]
struct Running<T> {
    host: name::Host,
    epoch: Epoch,
    length: Class,
    started: Moment,
    overruns_at: Moment,
    waiting: QueuedRequest<PendingWork<T>>,
}

/// One pool's requests at one entry host.
#[derive(Debug)]
pub struct Scheduler<T> {
    queue: Queue<PendingWork<T>>,
    board: Balancer,
    estimate: Estimator,
    budget: Budget,
    running: BTreeMap<id::Attempt, Running<T>>,
    overruns: BTreeSet<(Moment, id::Attempt)>,
    denied: BTreeMap<name::Host, (Epoch, Moment)>,
}

impl<T> Scheduler<T> {
    /// Creates a lane for a pool whose document declares `run_time`.
    pub fn new(limits: Limits, run_time: Duration) -> Scheduler<T> {
        Scheduler {
            queue: Queue::new(limits),
            board: Balancer::new(),
            estimate: Estimator::from_declared(run_time),
            budget: Budget::default(),
            running: BTreeMap::new(),
            overruns: BTreeSet::new(),
            denied: BTreeMap::new(),
        }
    }

    /// Returns the number of requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in progress.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how the pool's slots are used.
    pub fn slots(&self) -> SlotUsage {
        self.board.slots()
    }

    /// Replaces the list of workers and the slots to use on each.
    pub fn set_workers(&mut self, listed: &BTreeMap<name::Host, (Epoch, u32)>, now: Moment) {
        self.denied.retain(|_, (_, until)| now < *until);
        let denied = &self.denied;
        let is_denied = |host: &name::Host, epoch: Epoch| {
            denied.get(host).is_some_and(|(denied, _)| epoch <= *denied)
        };
        let taking = listed
            .iter()
            .filter(|(host, (epoch, _))| !is_denied(host, *epoch))
            .map(|(host, entry)| (host.clone(), *entry))
            .collect();
        self.board.set_workers(&taking);
    }

    /// Stops giving work to a host that said that it is leaving.
    pub fn exclude_host(&mut self, host: &name::Host, epoch: Epoch, now: Moment) {
        self.denied.insert(host.clone(), (epoch, now + DENIAL_TIME));
        self.board.remove_worker(host);
    }

    /// Returns the hosts that said that they are leaving.
    pub fn excluded_hosts(&self) -> impl Iterator<Item = (&name::Host, Epoch)> {
        self.denied.iter().map(|(host, (epoch, _))| (host, *epoch))
    }

    /// Admits a request, or refuses it early.
    ///
    /// # Errors
    ///
    /// Gives the work back with the refusal.
    pub fn submit(&mut self, submission: Submission<T>, now: Moment) -> Result<(), (T, Refusal)> {
        let Submission { id, service, kind, priority, is_repeatable, deadline, work } = submission;
        let run_time = self.estimate.run_time(&service, &kind);
        let length = self.estimate.classify(run_time);
        let work = PendingWork { work, is_repeatable, attempts: 0, avoided: None, in_doubt: None };
        let waiting = QueuedRequest {
            id,
            service,
            kind,
            priority,
            length,
            run_time,
            deadline,
            queued_at: now,
            work,
        };
        self.queue
            .push(waiting, self.board.slots(), now)
            .map(|()| self.budget.earn())
            .map_err(|(waiting, refusal)| (waiting.work.work, refusal))
    }

    /// Chooses the next attempt to start, if a slot is free.
    pub fn next_attempt<R: Rng>(
        &mut self,
        now: Moment,
        random: &mut R,
    ) -> Option<NewAttempt<'_, T>> {
        let slots = self.board.slots();
        let mut waiting = self.queue.pop_long(slots).or_else(|| self.queue.pop(slots))?;
        let avoided = waiting.work.avoided.as_ref();
        let Some((host, epoch)) = self.board.choose(avoided, now, random) else {
            self.queue.requeue(waiting);
            return None;
        };
        let attempt = id::Attempt { request: waiting.id, number: waiting.work.attempts };
        waiting.work.attempts += 1;
        self.board.record_start(&host, waiting.length, now);
        let patience = self.estimate.overrun_limit(&waiting.service, &waiting.kind);
        let overruns_at = now + patience;
        if waiting.length == Class::Short {
            self.overruns.insert((overruns_at, attempt));
        }
        let running = Running {
            host: host.clone(),
            epoch,
            length: waiting.length,
            started: now,
            overruns_at,
            waiting,
        };
        let running = self.running.entry(attempt).or_insert(running);
        Some(NewAttempt {
            attempt,
            host,
            epoch,
            waited: now.since(running.waiting.queued_at),
            answer_timeout: patience,
            time_left: running.waiting.deadline.since(now),
            work: &running.waiting.work.work,
        })
    }

    /// Notes how an attempt ended. Returns the request if it has come to its end.
    pub fn finish_attempt<A>(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome<A>,
        now: Moment,
    ) -> Option<CompletedRequest<T, A>> {
        let running = self.running.remove(&attempt)?;
        let Running { host, epoch, length, started, overruns_at, mut waiting } = running;
        let ran = now.since(started);
        self.overruns.remove(&(overruns_at, attempt));
        self.board.record_finish(&host, length, health(&outcome), now);
        match &outcome {
            Outcome::Done(_) => self.estimate.observe(&waiting.service, &waiting.kind, ran),
            Outcome::NotRun(Refusal::Backend(
                BackendRefusal::StaleEpoch | BackendRefusal::Leaving,
            )) => {
                self.exclude_host(&host, epoch, now);
            }
            Outcome::Unknown(doubt) => waiting.work.in_doubt = Some(*doubt),
            Outcome::NotRun(_) => {}
        }
        let attempted = AttemptedRequest {
            attempts: waiting.work.attempts,
            is_repeatable: waiting.work.is_repeatable,
            deadline: waiting.deadline,
        };
        match retry::decide(&outcome, attempted, &mut self.budget, now) {
            Decision::Retry => {
                waiting.work.avoided = Some(host);
                self.queue.requeue(waiting);
                None
            }
            Decision::Finish => Some(waiting.work.end(outcome)),
        }
    }

    /// Treats work as long that has outlived its estimate.
    pub fn reclassify_overruns(&mut self, now: Moment) {
        while let Some(&(due, attempt)) = self.overruns.first() {
            if due > now {
                return;
            }
            self.overruns.pop_first();
            if let Some(running) = self.running.get_mut(&attempt) {
                running.length = Class::Long;
                self.board.reclassify_as_long();
                let QueuedRequest { service, kind, .. } = &running.waiting;
                self.estimate.observe_overrun(service, kind, now.since(running.started));
            }
        }
    }

    /// Cancels a request that still waits.
    pub fn cancel<A>(&mut self, id: id::Request) -> Option<CompletedRequest<T, A>> {
        let waiting = self.queue.cancel(id)?;
        Some(waiting.work.end(Outcome::NotRun(Refusal::Cancelled)))
    }

    /// Takes out every request that can no longer finish by its deadline.
    pub fn expire<A>(&mut self, now: Moment) -> Vec<CompletedRequest<T, A>> {
        let refusal = Refusal::TooLate { retry_after: RETRY_AFTER };
        let late = self.queue.expire(now).into_iter();
        late.map(|waiting| waiting.work.end(Outcome::NotRun(refusal.clone()))).collect()
    }

    /// Takes out every request that waits, because the lane ends.
    pub fn drain<A>(&mut self) -> Vec<CompletedRequest<T, A>> {
        let all = self.queue.drain().into_iter();
        all.map(|waiting| waiting.work.end(Outcome::NotRun(Refusal::Stopping))).collect()
    }
}

/// What an outcome says about the health of the worker.
fn health<A>(outcome: &Outcome<A>) -> Option<bool> {
    match outcome {
        Outcome::Done(_) => Some(true),
        Outcome::NotRun(Refusal::Unreachable) => Some(false),
        Outcome::NotRun(_) => None,
        Outcome::Unknown(
            UnknownReason::Failed
            | UnknownReason::Timeout
            | UnknownReason::Broken
            | UnknownReason::Foreign,
        ) => Some(false),
        Outcome::Unknown(UnknownReason::OwnerGone | UnknownReason::Forgotten) => None,
    }
}
