//! The job API: submits, reads, cancels and counts jobs.
//!
//! A job is accepted once its row is in the store. Entry hosts keep no job state
//! of their own, so any of them can serve a request for any job. See
//! `docs/DESIGN.md`, section "Jobs".

pub mod access;
mod backlog;
mod configuration;
mod group;
pub mod hand_over;
mod intake;
mod neighbours;
mod submission;
mod withdrawal;

use std::{
    sync::{Arc, Mutex, OnceLock, PoisonError},
    time::Duration,
};

use skylarkwick_connection::{
    control::{Configuration, Registry},
    neighbour,
    store::{
        self, Key, Row, Store, Transaction,
        keyspace::Keyspace,
        row::{self, FinalState, JobRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
};
use skylarkwick_request::{
    job::{self, Id, State},
    shard::input::Queue,
};
use skylarkwick_version::{moment::Moment, sharding::Sharding};
use slog::{Logger, info, warn};

pub use self::neighbours::Registration;
use self::{
    access::{Access, Denial, View},
    backlog::Backlog,
    intake::Intake,
    neighbours::Neighbours,
    submission::Gates,
};

/// `Retry-After` of requests that the job API could not carry out.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time since the last response of the store after which the entry host is not ready and
/// stores no jobs.
const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(2200);
/// `Retry-After` of jobs for which there is no room; holders publish their room more often.
const ROOM_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Maximum number of attempts at a cancellation that conflicts with other writers or whose
/// result is unknown.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

/// Result of submitting a job: accepted, in doubt, not valid, taken, refused for want of room or
/// withdrawn.
///
/// There is no refusal for a store that gives no access: the caller may have submitted the
/// job through another entry host before, which stored it without its answer arriving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job may be stored, by this submission or by an earlier one.
    InDoubt,
    /// The job is not valid.
    Invalid(job::Error),
    /// Another workspace has a job with this identifier.
    Taken,
    /// The job's shard has no room for it. It is not stored, and no earlier attempt will be.
    Full,
    /// Its caller has cancelled the job shortly before, so that this may be an attempt from before
    /// that. It is not stored, and no earlier attempt will be. After this time, an attempt counts
    /// as a new job.
    Withdrawn(Duration),
}

/// Result of cancelling a job: done, unknown job or in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, or had already ended.
    Done,
    /// The job does not exist.
    Unknown,
    /// The job may still run: the store did not respond, or other writers kept changing the
    /// row.
    InDoubt,
}

/// A job as a request names it: its queue, its identifier, and the workspace of the caller if
/// the queue needs a key.
#[derive(Clone, Copy, Debug)]
pub struct Reference<'a> {
    /// Queue of the job.
    pub queue: &'a str,
    /// Identifier of the job.
    pub id: &'a Id,
    /// Workspace of the caller.
    pub workspace: Option<&'a Arc<str>>,
    /// Settings of the queue, to be stored with the job.
    pub settings: Option<&'a Queue>,
}

impl<'a> Reference<'a> {
    /// Names a job of a queue that needs no key and whose settings are unknown.
    pub const fn new(queue: &'a str, id: &'a Id) -> Reference<'a> {
        Reference { queue, id, workspace: None, settings: None }
    }

    /// Returns whether the caller may know of a job with this row. A job of another workspace
    /// doesn't exist for it; one without a workspace was submitted while the queue was open.
    fn may_see(&self, row: &JobRow) -> bool {
        match (self.workspace, row.workspace()) {
            (Some(caller), Some(owner)) => caller == owner,
            _ => true,
        }
    }
}

/// State shared by the API and the thread that follows the configuration: the last
/// configuration received, when the last answered poll for a later one was sent, the division
/// of the site into shards once it is known, when the store last responded, and by when a process
/// that stops has to have answered.
#[derive(Debug, Default)]
struct SharedState {
    configuration: Mutex<Option<Arc<Configuration>>>,
    last_poll_sent: Mutex<Option<Moment>>,
    sharding: OnceLock<Sharding>,
    last_store_response: Mutex<Option<Moment>>,
    answer_by: OnceLock<Moment>,
}

/// The job API of an entry host: the store, the shared state and the index of waiting
/// jobs. Clones share the same state.
#[derive(Clone, Debug)]
pub struct Api<S> {
    store: S,
    shared: Arc<SharedState>,
    backlog: Arc<Backlog>,
    /// How much it may accept for each shard.
    intake: Arc<Intake>,
    /// Age of the configuration above which API keys are not trusted.
    max_configuration_age: Option<Duration>,
    /// Whether the store takes writes from this entry host.
    gates: Arc<Gates>,
    /// Other entry hosts, and the client that hands submissions over to them.
    neighbours: Arc<Neighbours>,
    neighbour_client: neighbour::Client,
    /// Writes what neighbours hand over.
    writer: group::Writer,
    log: Logger,
}

impl<S: Store> Api<S> {
    /// Starts the thread that follows the configuration until `stop` is requested, and
    /// returns the API, which is not ready until a configuration arrives.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start<R: Registry>(
        store: S,
        registry: R,
        log: &Logger,
        stop: &StopSignal,
    ) -> std::io::Result<Api<S>> {
        let shared = Arc::new(SharedState::default());
        let (follower_state, follower_log, stop) = (Arc::clone(&shared), log.clone(), stop.clone());
        let follower_store = store.clone();
        let writer_stop = stop.clone();
        Duty::spawn("notices", move || {
            configuration::follow(
                &follower_store,
                &registry,
                &follower_state,
                &follower_log,
                &stop,
            );
        })?;
        let writer = group::Writer::start(store.clone(), writer_stop)?;
        Ok(Api {
            store,
            shared,
            backlog: Arc::default(),
            intake: Arc::default(),
            max_configuration_age: None,
            gates: Arc::default(),
            neighbours: Arc::default(),
            neighbour_client: neighbour::Client::default(),
            writer,
            log: log.clone(),
        })
    }

    /// Registers this entry host in the store and starts to follow the list of the others, to
    /// which submissions are handed over that the store refuses here. Withdraws the registration
    /// at the stop signal.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn join_neighbours(&self, own: Registration, stop: &StopSignal) -> std::io::Result<Duty> {
        let neighbours = Arc::clone(&self.neighbours);
        neighbours::start(self.store.clone(), own, neighbours, self.log.clone(), stop.clone())
    }

    /// Returns the API with an age of the configuration above which API keys are not trusted,
    /// because one may have been withdrawn since.
    #[must_use]
    pub fn with_max_configuration_age(self, max_age: Option<Duration>) -> Api<S> {
        Api { max_configuration_age: max_age, ..self }
    }

    /// Returns the route, and so the queue, for the host and path of a request, and the
    /// workspace to which its `Authorization` header belongs.
    ///
    /// # Errors
    ///
    /// Returns why the request may not use a queue.
    pub fn access(
        &self,
        host: &str,
        path: &str,
        authorization: Option<&str>,
    ) -> Result<Access, Denial> {
        let configuration = self.configuration();
        let sent = *self.shared.last_poll_sent.lock().unwrap_or_else(PoisonError::into_inner);
        let view = View {
            configuration: configuration.as_deref(),
            age: sent.map_or(Duration::MAX, |sent| Boot.now().since(sent)),
            max_age: self.max_configuration_age,
        };
        view.access(host, path, authorization)
    }

    /// Returns the largest accepted request body, in bytes; 0 without a configuration.
    pub fn max_body_bytes(&self) -> u64 {
        self.configuration().map_or(0, |configuration| configuration.max_body_bytes)
    }

    /// Returns the time after which callers should retry, for `Retry-After`.
    pub fn retry_after(&self) -> Duration {
        RETRY_AFTER
    }

    /// Returns the time after which callers should retry what there was no room for.
    pub fn room_retry_after(&self) -> Duration {
        ROOM_RETRY_AFTER
    }

    /// Returns whether callers can be served: the configuration and the division into shards
    /// are known, the store has responded recently and the process is not stopping.
    pub fn is_ready(&self) -> bool {
        let is_stopping = self.shared.answer_by.get().is_some();
        let is_configured = self.configuration().is_some() && self.sharding().is_some();
        self.is_store_responding() && !is_stopping && is_configured
    }

    /// Returns whether the store has responded within [`STORE_RESPONSE_TIMEOUT`]. Only the
    /// long poll for the configuration counts; it returns at least every second.
    fn is_store_responding(&self) -> bool {
        let last = *self.shared.last_store_response.lock().unwrap_or_else(PoisonError::into_inner);
        last.is_some_and(|last| Boot.now().since(last) < STORE_RESPONSE_TIMEOUT)
    }

    /// Makes [`Api::is_ready`] return false, so that the platform routes new callers to other
    /// entry hosts, and lets no submission take longer than until `answer_period` from now. Only
    /// the first call counts.
    pub fn mark_stopping(&self, answer_period: Duration) {
        self.shared.answer_by.get_or_init(|| Boot.now() + answer_period);
    }

    /// Returns the time that is left for an answer to a caller who waits for `deadline`.
    fn time_left(&self, deadline: Duration) -> Duration {
        let answer_by = self.shared.answer_by.get();
        answer_by.map_or(deadline, |answer_by| deadline.min(answer_by.since(Boot.now())))
    }

    /// Returns the state of a job, or `None` if the job does not exist or belongs to another
    /// workspace. An active job is queued until its first task starts, then running.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or the row cannot be decoded.
    pub fn job_state(&self, reference: Reference<'_>) -> Result<Option<State>, store::Error> {
        let Reference { queue, id, .. } = reference;
        let (row, _) = self
            .job_key(queue, id)
            .and_then(|key| store::read_one(&self.store, &key))
            .inspect_err(|error| {
            warn!(self.log, "job state unknown"; "job" => id.as_str(),
                "error" => %error)
        })?;
        let Some(value) = row.value else {
            return Ok(None);
        };
        match row::decode(&value) {
            Ok(row) if !reference.may_see(&row) => Ok(None),
            Ok(JobRow::Finished { state: FinalState::Withdrawn | FinalState::Refused, .. }) => {
                Ok(None)
            }
            Ok(JobRow::Finished { state, .. }) => Ok(Some(state.into())),
            Ok(JobRow::Active { accepted_ms, .. }) => {
                let is_waiting = self.sharding().is_some_and(|sharding| {
                    let keyspace = Keyspace::of_job(sharding, id.as_str());
                    self.backlog.is_waiting(&self.store, keyspace, queue, id, accepted_ms)
                });
                Ok(Some(if is_waiting { State::Queued } else { State::Running }))
            }
            Err(error) => {
                warn!(self.log, "decoding job row failed"; "job" => id.as_str(), "error" => %error);
                Err(store::Error::NotDone(error.to_string()))
            }
        }
    }

    /// Cancels a job that has not ended by writing its row as finished, with up to
    /// four attempts while the result is in doubt. A job that has ended is left as it is.
    ///
    /// A job that is not stored is written as withdrawn: its submission may have had no
    /// answer, and would otherwise still be stored later and run. Such a row is written anew by
    /// each cancellation, because a write that replaces it may be under way.
    pub fn cancel(&self, reference: Reference<'_>) -> CancelOutcome {
        let Reference { queue, id, .. } = reference;
        let mut outcome = CancelOutcome::InDoubt;
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            outcome = self.try_cancel(reference);
            if outcome != CancelOutcome::InDoubt {
                break;
            }
        }
        info!(self.log, "cancelled"; "job" => id.as_str(), "queue" => queue,
            "outcome" => ?outcome);
        outcome
    }

    /// Makes one attempt to cancel a job. Returns `InDoubt` if the row could not be read, has
    /// changed since it was read, or may not have been written. An active row is overwritten
    /// even if it cannot be decoded.
    fn try_cancel(&self, reference: Reference<'_>) -> CancelOutcome {
        let Reference { queue, id, workspace, .. } = reference;
        let Ok(key) = self.job_key(queue, id) else {
            return CancelOutcome::InDoubt;
        };
        let Ok((row, now_ms)) = store::read_one(&self.store, &key) else {
            return CancelOutcome::InDoubt;
        };
        let (state, outcome) = match row.value.as_deref().map(row::decode::<JobRow>) {
            None => (FinalState::Withdrawn, CancelOutcome::Unknown),
            // A later attempt of the submission may be about to replace the row, which no
            // workspace's job has.
            Some(Ok(JobRow::Finished {
                state: FinalState::Withdrawn | FinalState::Refused,
                ..
            })) => (FinalState::Withdrawn, CancelOutcome::Unknown),
            Some(Ok(row)) if !reference.may_see(&row) => return CancelOutcome::Unknown,
            Some(Ok(JobRow::Finished { .. })) => return CancelOutcome::Done,
            Some(_) => (FinalState::Cancelled, CancelOutcome::Done),
        };
        let workspace = workspace.cloned();
        let finished = JobRow::Finished { state, ended_ms: now_ms, workspace };
        let change = Transaction::default().replace(key, row.revision, row::encode(&finished));
        match store::commit_with_retry(&self.store, &change) {
            store::Outcome::Applied(_) => outcome,
            _ => CancelOutcome::InDoubt,
        }
    }

    /// Returns the number of jobs in a queue of which no task has started.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not respond or a row cannot be decoded.
    pub fn count_waiting(&self, queue: &str) -> Result<usize, store::Error> {
        self.backlog.count(&self.store, self.sharding().ok_or_else(unknown_sharding)?, queue)
    }

    /// Returns the key of a job's row.
    ///
    /// # Errors
    ///
    /// Returns an error while the division of the site into shards is unknown.
    fn job_key(&self, queue: &str, id: &Id) -> Result<Key, store::Error> {
        let sharding = self.sharding().ok_or_else(unknown_sharding)?;
        Ok(Keyspace::of_job(sharding, id.as_str()).job(queue, id.as_str()))
    }

    /// Returns the division of the site into shards, which never changes once it is known.
    fn sharding(&self) -> Option<Sharding> {
        self.shared.sharding.get().copied()
    }

    /// Returns the last configuration received, if any.
    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.shared.configuration.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Returns whether the row that a submission met is a job of another workspace.
fn is_taken(reference: Reference<'_>, row: &Row) -> bool {
    let decoded = row.value.as_deref().and_then(|value| row::decode::<JobRow>(value).ok());
    decoded.is_some_and(|row| !reference.may_see(&row))
}

/// Returns the error of a request that needs the division of the site into shards before it
/// is known.
fn unknown_sharding() -> store::Error {
    store::Error::NotDone("the site is not divided into shards yet".to_owned())
}
