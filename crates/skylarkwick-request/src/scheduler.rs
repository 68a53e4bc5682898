//! Schedules the requests of one pool at one entry host.
//!
//! The scheduler combines the queue, load balancer, run-time estimator and retry
//! policy to decide which request runs next and on which worker. The dispatch duty
//! runs it in real time, the measurements in virtual time.

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

/// Minimum time for which a pool sends no work to a host that refused a task because it is
/// leaving or accepts only a newer epoch, unless the host is listed with a higher epoch
/// before. It is counted from the refusal.
const EXCLUSION_TIME: Duration = Duration::from_secs(30);
/// Delay after which the caller of a request that expired in the queue is asked to
/// retry.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request to schedule: its identity, what its class and position in the queue depend on,
/// its deadline and the data of the scheduler's owner, which are of type `T`.
#[derive(Clone, Debug)]
pub struct Submission<T> {
    /// The request.
    pub id: id::Request,
    /// Its service.
    pub service: name::Service,
    /// Its kind.
    pub kind: name::Kind,
    /// Its service's priority; the queue serves a higher one first within a class.
    pub priority: Priority,
    /// Whether it may run more than once, so that an attempt whose outcome is unknown
    /// may be retried.
    pub is_repeatable: bool,
    /// Time at which its caller stops waiting.
    pub deadline: Moment,
    /// Data of the scheduler's owner.
    pub work: T,
}

/// State of a request that is kept from one attempt to the next: the number of attempts
/// started, the host to avoid on a retry, and whether an earlier attempt may have run.
#[derive(Clone, Debug)]
pub struct PendingWork<T> {
    /// Data of the scheduler's owner.
    pub work: T,
    is_repeatable: bool,
    /// Number of attempts started; also the number of the next attempt.
    attempts: u32,
    /// Host of the last attempt, if the request is retried.
    avoided_host: Option<name::Host>,
    /// Set if an earlier attempt may have run.
    unknown_reason: Option<UnknownReason>,
}

impl<T> PendingWork<T> {
    /// Completes the request with the outcome of its last attempt.
    ///
    /// The outcome is `Unknown` instead of `NotRun` if an earlier attempt may have run, with
    /// the reason of the last such attempt.
    fn complete<A>(self, outcome: Outcome<A>) -> CompletedRequest<T, A> {
        let outcome = match (outcome, self.unknown_reason) {
            (Outcome::NotRun(_), Some(reason)) => Outcome::Unknown(reason),
            (outcome, _) => outcome,
        };
        CompletedRequest { work: self.work, outcome }
    }
}

/// An attempt that the scheduler has recorded as started: its worker, epoch and time limits.
/// The scheduler's owner must send it to the worker, and report its outcome with
/// [`Scheduler::finish_attempt`].
#[derive(Debug)]
pub struct NewAttempt<'a, T> {
    /// Identifier of the attempt.
    pub attempt: id::Attempt,
    /// The worker.
    pub host: name::Host,
    /// Epoch of the worker, sent with the task; the worker refuses an old one.
    pub epoch: Epoch,
    /// Time since the request was admitted, including earlier attempts.
    pub waited: Duration,
    /// Time after the start of the attempt at which the worker is asked about it if it
    /// has not answered.
    pub answer_timeout: Duration,
    /// Time until the caller stops waiting.
    pub time_left: Duration,
    /// Data of the scheduler's owner.
    pub work: &'a T,
}

/// A request that needs no further attempt, with its final outcome. `A` is the type of the
/// answer.
#[derive(Debug)]
pub struct CompletedRequest<T, A> {
    /// Data of the scheduler's owner.
    pub work: T,
    /// Outcome of the request.
    pub outcome: Outcome<A>,
}

/// An attempt in progress: its worker, its class, when it started, when it counts as
/// overrun, and its request.
#[derive(Debug)]
struct RunningAttempt<T> {
    host: name::Host,
    epoch: Epoch,
    class: Class,
    started: Moment,
    overrun_at: Moment,
    request: QueuedRequest<PendingWork<T>>,
}

/// Schedules the requests of one pool at one entry host.
///
/// Holds the queued requests, the attempts in progress, the load and breakers of the
/// workers, the run-time estimates, the retry budget and the excluded hosts.
#[derive(Debug)]
pub struct Scheduler<T> {
    queue: Queue<PendingWork<T>>,
    balancer: Balancer,
    estimator: Estimator,
    budget: Budget,
    running: BTreeMap<id::Attempt, RunningAttempt<T>>,
    /// Short attempts in progress, by the time at which they are reclassified as long.
    overrun_deadlines: BTreeSet<(Moment, id::Attempt)>,
    /// The epoch up to which and the time until which a host is excluded. Expired
    /// entries are dropped by [`Scheduler::set_workers`].
    excluded: BTreeMap<name::Host, (Epoch, Moment)>,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler without workers. `run_time`, which a document of the pool
    /// declares, is the estimate until attempts have been observed.
    pub fn new(limits: Limits, run_time: Duration) -> Scheduler<T> {
        Scheduler {
            queue: Queue::new(limits),
            balancer: Balancer::new(),
            estimator: Estimator::from_declared(run_time),
            budget: Budget::default(),
            running: BTreeMap::new(),
            overrun_deadlines: BTreeSet::new(),
            excluded: BTreeMap::new(),
        }
    }

    /// Returns the number of queued requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of attempts in progress.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Returns how many slots of the pool this entry host may use, and how many of them
    /// short and long work use now.
    pub fn slots(&self) -> SlotUsage {
        self.balancer.slots()
    }

    /// Replaces the list of workers; the values are the epoch of each and the number of its
    /// slots that this entry host may use. Drops expired exclusions and leaves out hosts
    /// that are still excluded at the listed epoch. Attempts in progress continue.
    pub fn set_workers(&mut self, listed: &BTreeMap<name::Host, (Epoch, u32)>, now: Moment) {
        self.excluded.retain(|_, (_, until)| now < *until);
        let excluded = &self.excluded;
        let is_excluded = |host: &name::Host, epoch: Epoch| {
            excluded.get(host).is_some_and(|(excluded, _)| epoch <= *excluded)
        };
        let usable = listed
            .iter()
            .filter(|(host, (epoch, _))| !is_excluded(host, *epoch))
            .map(|(host, entry)| (host.clone(), *entry))
            .collect();
        self.balancer.set_workers(&usable);
    }

    /// Stops sending work to a host that is leaving or accepts only epochs above `epoch`. The
    /// host is used again after the first [`Scheduler::set_workers`] that lists it with a
    /// higher epoch, or that lists it at least 30 seconds later.
    pub fn exclude_host(&mut self, host: &name::Host, epoch: Epoch, now: Moment) {
        self.excluded.insert(host.clone(), (epoch, now + EXCLUSION_TIME));
        self.balancer.remove_worker(host);
    }

    /// Returns the excluded hosts with the epochs up to which they are excluded. An epoch is a
    /// number that increases when a host joins a pool or starts to leave it. Exclusions also
    /// expire 30 seconds after the refusal, but are returned until the next
    /// [`Scheduler::set_workers`].
    pub fn excluded_hosts(&self) -> impl Iterator<Item = (&name::Host, Epoch)> {
        self.excluded.iter().map(|(host, (epoch, _))| (host, *epoch))
    }

    /// Classifies a request by its estimated run time and queues it, or refuses it at once. An
    /// admitted request adds to the retry budget.
    ///
    /// # Errors
    ///
    /// Returns the work and the refusal if the pool has no slot (`NoHost`), the queue is full
    /// (`QueueFull`), or the request could not finish by its deadline (`TooLate`).
    pub fn submit(&mut self, submission: Submission<T>, now: Moment) -> Result<(), (T, Refusal)> {
        let Submission { id, service, kind, priority, is_repeatable, deadline, work } = submission;
        let run_time = self.estimator.run_time(&service, &kind);
        let class = self.estimator.classify(run_time);
        let work = PendingWork {
            work,
            is_repeatable,
            attempts: 0,
            avoided_host: None,
            unknown_reason: None,
        };
        let request = QueuedRequest {
            id,
            service,
            kind,
            priority,
            class,
            run_time,
            deadline,
            queued_at: now,
            work,
        };
        self.queue
            .push(request, self.balancer.slots(), now)
            .map(|()| self.budget.earn())
            .map_err(|(request, refusal)| (request.work.work, refusal))
    }

    /// Takes the next request from the queue, selects its worker and records the attempt as
    /// started. Long requests go first while long work uses less than its reserved share of
    /// slots. Returns `None` if no request may use a free slot or no worker is available; in
    /// the latter case, the request is queued again behind the others of its class and
    /// priority.
    pub fn next_attempt<R: Rng>(
        &mut self,
        now: Moment,
        random: &mut R,
    ) -> Option<NewAttempt<'_, T>> {
        let slots = self.balancer.slots();
        let mut request = self.queue.pop_long(slots).or_else(|| self.queue.pop(slots))?;
        let avoided_host = request.work.avoided_host.as_ref();
        let Some((host, epoch)) = self.balancer.choose(avoided_host, now, random) else {
            self.queue.requeue(request);
            return None;
        };
        let attempt = id::Attempt { request: request.id, number: request.work.attempts };
        request.work.attempts += 1;
        self.balancer.record_start(&host, request.class, now);
        let overrun_limit = self.estimator.overrun_limit(&request.service, &request.kind);
        let overrun_at = now + overrun_limit;
        if request.class == Class::Short {
            self.overrun_deadlines.insert((overrun_at, attempt));
        }
        let running = RunningAttempt {
            host: host.clone(),
            epoch,
            class: request.class,
            started: now,
            overrun_at,
            request,
        };
        let running = self.running.entry(attempt).or_insert(running);
        Some(NewAttempt {
            attempt,
            host,
            epoch,
            waited: now.since(running.request.queued_at),
            answer_timeout: overrun_limit,
            time_left: running.request.deadline.since(now),
            work: &running.request.work.work,
        })
    }

    /// Records the outcome of an attempt: frees the slot, updates the breaker if the outcome
    /// indicates the worker's health, and the estimates if it is `Done`, and excludes a worker
    /// that is leaving or has a newer epoch.
    ///
    /// Returns the request if it is complete, or `None` if it was queued again for a retry or
    /// the attempt is not in progress.
    pub fn finish_attempt<A>(
        &mut self,
        attempt: id::Attempt,
        outcome: Outcome<A>,
        now: Moment,
    ) -> Option<CompletedRequest<T, A>> {
        let running = self.running.remove(&attempt)?;
        let RunningAttempt { host, epoch, class, started, overrun_at, mut request } = running;
        let run_time = now.since(started);
        self.overrun_deadlines.remove(&(overrun_at, attempt));
        self.balancer.record_finish(&host, class, worker_result(&outcome), now);
        match &outcome {
            Outcome::Done(_) => self.estimator.observe(&request.service, &request.kind, run_time),
            Outcome::NotRun(Refusal::Backend(
                BackendRefusal::StaleEpoch | BackendRefusal::Leaving,
            )) => {
                self.exclude_host(&host, epoch, now);
            }
            Outcome::Unknown(reason) => request.work.unknown_reason = Some(*reason),
            Outcome::NotRun(_) => {}
        }
        let attempted = AttemptedRequest {
            attempts: request.work.attempts,
            is_repeatable: request.work.is_repeatable,
            deadline: request.deadline,
        };
        match retry::decide(&outcome, attempted, &mut self.budget, now) {
            Decision::Retry => {
                request.work.avoided_host = Some(host);
                self.queue.requeue(request);
                None
            }
            Decision::Finish => Some(request.work.complete(outcome)),
        }
    }

    /// Reclassifies each short attempt in progress as long once it has run for its overrun
    /// limit, and adds the time run so far to the estimate of its kind.
    pub fn reclassify_overruns(&mut self, now: Moment) {
        while let Some(&(due, attempt)) = self.overrun_deadlines.first() {
            if due > now {
                return;
            }
            self.overrun_deadlines.pop_first();
            if let Some(running) = self.running.get_mut(&attempt) {
                running.class = Class::Long;
                self.balancer.reclassify_as_long();
                let QueuedRequest { service, kind, .. } = &running.request;
                self.estimator.observe_overrun(service, kind, now.since(running.started));
            }
        }
    }

    /// Removes a queued request and returns it as complete: cancelled, or unknown if an
    /// earlier attempt may have run. Returns `None` if it is not queued, for example because
    /// an attempt is in progress, which is not stopped.
    pub fn cancel<A>(&mut self, id: id::Request) -> Option<CompletedRequest<T, A>> {
        let request = self.queue.cancel(id)?;
        Some(request.work.complete(Outcome::NotRun(Refusal::Cancelled)))
    }

    /// Removes every queued request that can no longer finish by its deadline, and returns
    /// them as complete: refused as too late, or unknown if an earlier attempt may have run.
    pub fn expire<A>(&mut self, now: Moment) -> Vec<CompletedRequest<T, A>> {
        let refusal = Refusal::TooLate { retry_after: RETRY_AFTER };
        let expired = self.queue.expire(now).into_iter();
        expired.map(|request| request.work.complete(Outcome::NotRun(refusal.clone()))).collect()
    }

    /// Removes every queued request, for a scheduler that is shut down, and returns them as
    /// complete: refused as stopping, or unknown if an earlier attempt may have run. Attempts
    /// in progress stay.
    pub fn drain<A>(&mut self) -> Vec<CompletedRequest<T, A>> {
        let all = self.queue.drain().into_iter();
        all.map(|request| request.work.complete(Outcome::NotRun(Refusal::Stopping))).collect()
    }
}

/// Returns `Some(true)` if an outcome is a success of the worker for its breaker, which is
/// `Done`. Returns `Some(false)` if the worker could not be reached, failed or gave no usable
/// answer, and `None` if the outcome says nothing about its health, such as a refusal by the
/// backend server.
fn worker_result<A>(outcome: &Outcome<A>) -> Option<bool> {
    match outcome {
        Outcome::Done(_) => Some(true),
        Outcome::NotRun(Refusal::Unreachable) => Some(false),
        Outcome::NotRun(_) => None,
        Outcome::Unknown(
            UnknownReason::Failed
            | UnknownReason::Timeout
            | UnknownReason::BrokenConnection
            | UnknownReason::ForeignAnswer,
        ) => Some(false),
        Outcome::Unknown(UnknownReason::OwnerGone | UnknownReason::Forgotten) => None,
    }
}
