//! The door for jobs: accepts, shows, cancels and counts them.
//!
//! Every entry host answers for every job, because the rows are the truth: a
//! job is accepted once its row is written. No entry host keeps anything of its
//! own. See `docs/DESIGN.md`, section "Jobs".

mod backlog;
mod notices;

use std::{
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use skylarkwick_connection::{
    order::{Configuration, Directory, Route},
    store::{
        self, Commit, Fault, Settled, Store, Transaction,
        row::{self, JobBody, JobRow, Over},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
};
use skylarkwick_request::job::{self, Id, Job, State};
use skylarkwick_version::{moment::Moment, revision::Revision};
use slog::{Logger, info, warn};

use self::backlog::Backlog;

/// Time after which a refused caller is asked to come back.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Silence of the store after which the entry host is not ready.
const STORE_SILENCE: Duration = Duration::from_millis(2200);
/// Time that is left of a caller's deadline for the answer to travel.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Pause before a write that was refused is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts at a cancellation that meets other writers.
const CANCEL_ATTEMPTS: u32 = 4;

/// What a caller who handed a job in is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job is not stored and never will be.
    Refused,
    /// The job may be stored.
    InDoubt,
    /// The job makes no sense.
    Invalid(job::Error),
}

/// What a caller who cancels a job is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job does not go on; or it was over already.
    Done,
    /// There is no such job.
    Unknown,
    /// The job may go on.
    InDoubt,
}

/// Why a request belongs to no queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// This entry host knows no configuration yet.
    NoConfiguration,
    /// The configuration has no such queue.
    NoQueue,
}

/// What the duties of an entry host share.
#[derive(Debug, Default)]
struct Shared {
    configuration: Mutex<Option<Arc<Configuration>>>,
    heard: Mutex<Option<Moment>>,
    is_stopping: AtomicBool,
}

/// The door for jobs.
#[derive(Clone, Debug)]
pub struct Api<S> {
    store: S,
    shared: Arc<Shared>,
    backlog: Arc<Backlog>,
    log: Logger,
}

impl<S: Store> Api<S> {
    /// Opens the door, and follows the configuration until the stop.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub fn start<D: Directory>(
        store: S,
        directory: D,
        log: &Logger,
        stop: &StopSignal,
    ) -> std::io::Result<Api<S>> {
        let shared = Arc::new(Shared::default());
        let (follower, follower_log, stop) = (Arc::clone(&shared), log.clone(), stop.clone());
        Duty::spawn("notices", move || {
            notices::follow(&directory, &follower, &follower_log, &stop);
        })?;
        Ok(Api { store, shared, backlog: Arc::default(), log: log.clone() })
    }

    /// Finds the queue of a request.
    ///
    /// # Errors
    ///
    /// Tells whether there is no such queue, or no configuration yet.
    pub fn route(&self, host: &str, path: &str) -> Result<Route, RouteError> {
        let configuration = self.configuration().ok_or(RouteError::NoConfiguration)?;
        configuration.route(host, path).cloned().ok_or(RouteError::NoQueue)
    }

    /// Returns the largest body that is read, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.max_body_bytes)
    }

    /// Returns the time after which a refused caller is asked to come back.
    pub fn retry_after(&self) -> Duration {
        RETRY_AFTER
    }

    /// Tells whether callers can be served: the configuration is known, the
    /// store has answered lately and nobody asked the process to stop.
    pub fn is_ready(&self) -> bool {
        let is_stopping = self.shared.is_stopping.load(Ordering::Acquire);
        self.hears_store() && !is_stopping && self.configuration().is_some()
    }

    /// Tells whether the store has answered lately; its feed answers each second.
    fn hears_store(&self) -> bool {
        let heard = *self.shared.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.is_some_and(|heard| Boot.now().since(heard) < STORE_SILENCE)
    }

    /// Lets the platform send new callers elsewhere.
    pub fn mark_stopping(&self) {
        self.shared.is_stopping.store(true, Ordering::Release);
    }

    /// Accepts a job once it is stored.
    ///
    /// While the store does not answer this entry host, the job is refused before
    /// anything is sent, so that its caller can try another one at once.
    pub fn submit(&self, queue: &str, id: &Id, job: &Job, deadline: Duration) -> SubmitOutcome {
        if let Err(fault) = job.validate() {
            return SubmitOutcome::Invalid(fault);
        }
        if !self.hears_store() {
            info!(self.log, "refused"; "job" => id.as_str(), "queue" => queue,
                "because" => "the store does not answer");
            return SubmitOutcome::Refused;
        }
        let body = JobBody::from(job);
        let row = JobRow::Live { accepted_ms: self.store.clock_ms(), body };
        let key = row::job_key(queue, id.as_str());
        let change = Transaction::default().replace(key, Revision::ABSENT, row::encode(&row));
        let outcome = self.store_job(&change, deadline.saturating_sub(ANSWER_MARGIN));
        info!(self.log, "submitted"; "job" => id.as_str(), "queue" => queue,
            "outcome" => ?outcome, "steps" => job.steps.len());
        outcome
    }

    /// Writes a job's row, until it is known to be there or time runs out.
    ///
    /// A conflict means that the row is there, from an earlier attempt or from
    /// another entry host: it is one job. Once an attempt is in doubt, the job
    /// is not refused any more.
    fn store_job(&self, change: &Transaction, patience: Duration) -> SubmitOutcome {
        let start = Boot.now();
        let mut is_in_doubt = false;
        loop {
            match self.store.commit(change) {
                Ok(Commit::Applied(_) | Commit::Conflict(_)) => return SubmitOutcome::Accepted,
                Err(Fault::Unknown(error)) => {
                    is_in_doubt = true;
                    warn!(self.log, "store gave no answer"; "error" => error);
                }
                Err(Fault::NotDone(error)) => {
                    warn!(self.log, "store refused"; "error" => error);
                    if !is_in_doubt {
                        return SubmitOutcome::Refused;
                    }
                }
            }
            if Boot.now().since(start) + RETRY_PAUSE >= patience {
                return if is_in_doubt { SubmitOutcome::InDoubt } else { SubmitOutcome::Refused };
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    /// Tells how far a job is; nothing when there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a fault when the store does not answer.
    pub fn job_state(&self, queue: &str, id: &Id) -> Result<Option<State>, Fault> {
        let (row, _) = store::read_one(&self.store, &row::job_key(queue, id.as_str()))
            .inspect_err(|error| {
                warn!(self.log, "state unknown"; "job" => id.as_str(),
                "error" => %error)
            })?;
        let Some(value) = row.value else {
            return Ok(None);
        };
        match row::decode(&value) {
            Ok(JobRow::Over { state, .. }) => Ok(Some(state.into())),
            Ok(JobRow::Live { accepted_ms, .. }) => {
                let is_waiting = self.backlog.is_waiting(&self.store, queue, id, accepted_ms);
                Ok(Some(if is_waiting { State::Queued } else { State::Running }))
            }
            Err(error) => {
                warn!(self.log, "row unreadable"; "job" => id.as_str(), "error" => %error);
                Err(Fault::NotDone(error.to_string()))
            }
        }
    }

    /// Cancels a job that is not over.
    pub fn cancel(&self, queue: &str, id: &Id) -> CancelOutcome {
        let mut outcome = CancelOutcome::InDoubt;
        for _ in 0..CANCEL_ATTEMPTS {
            outcome = self.try_cancel(queue, id);
            if outcome != CancelOutcome::InDoubt {
                break;
            }
        }
        info!(self.log, "cancelled"; "job" => id.as_str(), "queue" => queue,
            "outcome" => ?outcome);
        outcome
    }

    fn try_cancel(&self, queue: &str, id: &Id) -> CancelOutcome {
        let key = row::job_key(queue, id.as_str());
        let Ok((row, now_ms)) = store::read_one(&self.store, &key) else {
            return CancelOutcome::InDoubt;
        };
        match row.value.as_deref().map(row::decode::<JobRow>) {
            None => CancelOutcome::Unknown,
            Some(Ok(JobRow::Over { .. })) => CancelOutcome::Done,
            Some(_) => {
                let over = JobRow::Over { state: Over::Cancelled, ended_ms: now_ms };
                let change = Transaction::default().replace(key, row.revision, row::encode(&over));
                match store::settle(&self.store, &change) {
                    Settled::Applied(_) => CancelOutcome::Done,
                    _ => CancelOutcome::InDoubt,
                }
            }
        }
    }

    /// Counts the jobs of a queue of which no task has started.
    ///
    /// # Errors
    ///
    /// Returns a fault when the store does not answer.
    pub fn count_waiting(&self, queue: &str) -> Result<usize, Fault> {
        self.backlog.count(&self.store, queue)
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
