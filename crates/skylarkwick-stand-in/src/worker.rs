//! A fake of a worker's backend server.
//!
//! The body of a task sets how long it runs and what it answers. The server
//! rejects epochs below its fence and keeps results so that attempts can be
//! queried. Once it was queried about an attempt that it does not know, it
//! never starts that attempt.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use skylarkwick_connection::{
    backend::wire,
    listen::{Request, Response, listen},
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    log, trace,
};
use skylarkwick_request::outcome::BackendRefusal;
use skylarkwick_version::name;

use crate::ledger::Ledger;

/// Number of request threads in addition to one for each slot, for control calls and
/// attempt queries.
const EXTRA_THREADS: usize = 24;
/// Number of attempts whose results are kept; the oldest is dropped first.
const MAX_KEPT_ATTEMPTS: usize = 4096;

/// The body of a task: how long it runs, and a payload that identifies it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskBody {
    /// How long the task runs, in microseconds.
    pub run_us: u64,
    /// Identifies the task; returned in the answer.
    pub payload: String,
}

/// The answer to a task that ran: its payload, and the host that ran it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The payload of the task body.
    pub payload: String,
    /// The host that ran the task.
    pub host: String,
}

/// Faults injected into one worker and its host: failing tasks, answers that are wrong
/// or late, and a host that is down or stays down after a reboot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every task fails as soon as it has started.
    pub fails_all: bool,
    /// Answers carry the id of another attempt.
    pub answers_foreign: bool,
    /// Delay between the end of a task and its answer.
    pub answer_delay: Duration,
    /// The host does not come back after a reboot.
    pub never_returns: bool,
    /// Every request is answered with status 503.
    pub is_down: bool,
}

/// State of an attempt at a task. An attempt is forbidden if it was queried before it
/// arrived.
#[derive(Clone, Debug)]
enum Attempt {
    Running,
    Done(String),
    Failed,
    Forbidden,
}

/// State of a worker: its fence (the lowest epoch it accepts), its boot number, running
/// tasks, faults, and the attempts it knows by id.
#[derive(Debug, Default)]
struct State {
    /// Lowest epoch of a task that the server accepts.
    epoch: u64,
    /// Number of reboots that are completed.
    boot: u64,
    running: u32,
    is_leaving: bool,
    is_rebooting: bool,
    faults: Faults,
    attempts: BTreeMap<String, Attempt>,
    /// Keys of `attempts`, oldest first.
    insertion_order: VecDeque<String>,
}

/// A worker with a backend server; clones share its state.
#[derive(Clone, Debug)]
pub struct Worker {
    host: name::Host,
    slots: u32,
    reboot_time: Duration,
    ledger: Ledger,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Creates a worker with `slots` task slots that takes `reboot_time` to reboot and
    /// records its runs in `ledger`.
    pub fn new(host: name::Host, slots: u32, reboot_time: Duration, ledger: Ledger) -> Worker {
        Worker { host, slots, reboot_time, ledger, state: Arc::default() }
    }

    /// Starts the server; returns its bound address and its duty.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when the address can't be bound.
    pub fn listen(&self, address: SocketAddr, stop: StopSignal) -> io::Result<(SocketAddr, Duty)> {
        let worker = self.clone();
        let threads = self.slots as usize + EXTRA_THREADS;
        let handler = move |request: &Request| worker.handle(request);
        listen(self.host.as_str(), address, threads, handler, &log::discard(), stop)
    }

    /// Applies a change to the injected faults; tasks that run already keep the faults
    /// of their start.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Sets whether the worker reports that it is leaving, and records that in the
    /// ledger; a leaving worker rejects new tasks.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
        self.ledger.record_leaving(&self.host, is_leaving);
    }

    /// Returns whether the worker is up (neither rebooting nor down by a fault), and
    /// how many reboots it has completed.
    pub fn boot_state(&self) -> (bool, u64) {
        let state = self.lock();
        (!state.is_rebooting && !state.faults.is_down, state.boot)
    }

    /// Returns the number of running tasks.
    pub fn running_count(&self) -> u32 {
        self.lock().running
    }

    /// Locks the worker's state; it stays usable after a panic of another thread.
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an HTTP request; responds with status 503 while the host is not up.
    fn handle(&self, request: &Request) -> Response {
        if !self.boot_state().0 {
            return Response::text("the host is down").with_status_code(503);
        }
        let path = request.path();
        match (request.method(), path.as_ref()) {
            ("POST", "/v1/tasks") => self.run_task(request),
            ("GET", "/v1/status") => self.status(),
            ("POST", "/v1/fence") => self.fence(request),
            ("POST", "/v1/reboot") => self.reboot(request),
            ("GET", path) => match path.strip_prefix("/v1/attempts/") {
                Some(attempt) => self.query_attempt(attempt, request),
                None => Response::empty(404),
            },
            _ => Response::empty(404),
        }
    }

    /// Runs the task in the body and responds with its result, or rejects it with
    /// status 409 and a reason. A task whose host reboots while it runs fails.
    fn run_task(&self, request: &Request) -> Response {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let attempt = header(wire::ATTEMPT);
        let _span = trace::start_span("backend-server", request.header(wire::TRACEPARENT));
        let task: Option<TaskBody> = parse_body(request);
        let epoch = header(wire::EPOCH).parse().unwrap_or(0);
        let (Some(task), false) = (task, attempt.is_empty()) else {
            return Response::text("the task is not valid").with_status_code(400);
        };
        if let Err(refusal) = self.admit(&attempt, epoch) {
            return with_attempt(Response::text("not run"), &attempt)
                .with_status_code(409)
                .with_unique_header(wire::NOT_RUN, refusal.code());
        }
        let run = self.ledger.record_start(&self.host, &header(wire::SERVICE), &task.payload);
        let (boot, faults) = {
            let state = self.lock();
            (state.boot, state.faults)
        };
        if !faults.fails_all {
            std::thread::sleep(Duration::from_micros(task.run_us));
        }
        let is_interrupted = {
            let state = self.lock();
            state.boot != boot || state.is_rebooting
        };
        self.ledger.record_finish(run, is_interrupted);
        let result = match faults.fails_all || is_interrupted {
            true => Attempt::Failed,
            false => Attempt::Done(self.receipt(&task)),
        };
        self.finish_attempt(&attempt, result.clone());
        if !faults.answer_delay.is_zero() {
            std::thread::sleep(faults.answer_delay);
        }
        match faults.answers_foreign {
            true => attempt_response(&result, "0000000000000000-0-0"),
            false => attempt_response(&result, &attempt),
        }
    }

    /// Returns the JSON text of the answer to a task.
    fn receipt(&self, task: &TaskBody) -> String {
        let receipt = Receipt { payload: task.payload.clone(), host: self.host.to_string() };
        serde_json::to_string(&receipt).unwrap_or_default()
    }

    /// Takes a slot and records the attempt as running, or returns why the task is not
    /// run. An attempt that is known already is refused as forbidden; an admitted epoch
    /// becomes the lowest one accepted.
    fn admit(&self, attempt: &str, epoch: u64) -> Result<(), BackendRefusal> {
        let mut state = self.lock();
        match state.attempts.get(attempt) {
            Some(_) => return Err(BackendRefusal::Forbidden),
            None if epoch < state.epoch => return Err(BackendRefusal::StaleEpoch),
            None if state.is_leaving => return Err(BackendRefusal::Leaving),
            None if state.running >= self.slots => return Err(BackendRefusal::Full),
            None => {}
        }
        state.epoch = epoch;
        state.running += 1;
        record_attempt(&mut state, attempt, Attempt::Running);
        Ok(())
    }

    /// Frees the attempt's slot, records its result and wakes the queries that wait for
    /// it.
    fn finish_attempt(&self, attempt: &str, result: Attempt) {
        let mut state = self.lock();
        state.running -= 1;
        if let Some(current) = state.attempts.get_mut(attempt) {
            *current = result;
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Responds with the state of an attempt, after waiting up to the parameter
    /// `wait-ms` for a running one to end. An unknown attempt becomes forbidden.
    fn query_attempt(&self, attempt: &str, request: &Request) -> Response {
        let wait = request.parameter("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        if !state.attempts.contains_key(attempt) {
            record_attempt(&mut state, attempt, Attempt::Forbidden);
        }
        let is_running =
            |state: &mut State| matches!(state.attempts.get(attempt), Some(Attempt::Running));
        let wait = Duration::from_millis(wait);
        let (state, _) = self
            .state
            .1
            .wait_timeout_while(state, wait, is_running)
            .unwrap_or_else(PoisonError::into_inner);
        match state.attempts.get(attempt) {
            Some(result) => attempt_response(result, attempt),
            None => Response::empty(404),
        }
    }

    /// Responds with the worker's epoch, number of running tasks, boot number, and
    /// whether it is leaving.
    fn status(&self) -> Response {
        let state = self.lock();
        Response::json(&wire::Status {
            epoch: state.epoch,
            running: state.running,
            boot: state.boot,
            leaving: state.is_leaving,
        })
    }

    /// Raises the lowest accepted epoch to the one in the body, if that is higher;
    /// responds with the status.
    fn fence(&self, request: &Request) -> Response {
        let Some(fence) = parse_body::<wire::Fence>(request) else { return Response::empty(400) };
        {
            let mut state = self.lock();
            state.epoch = state.epoch.max(fence.epoch);
        }
        self.status()
    }

    /// Starts a reboot if the boot number in the body is the current one and no reboot
    /// is in progress; else does nothing. The worker is up again after `reboot_time`,
    /// unless a fault prevents it.
    fn reboot(&self, request: &Request) -> Response {
        let Some(reboot) = parse_body::<wire::Reboot>(request) else {
            return Response::empty(400);
        };
        let never_returns = {
            let mut state = self.lock();
            if state.boot != reboot.boot || state.is_rebooting {
                return Response::text("the boot has changed or a reboot is in progress");
            }
            state.is_rebooting = true;
            state.faults.never_returns
        };
        let worker = self.clone();
        let spawned = Duty::spawn("reboot", move || {
            std::thread::sleep(worker.reboot_time);
            let mut state = worker.lock();
            if !never_returns {
                state.is_rebooting = false;
                state.boot += 1;
            }
        });
        match spawned {
            Ok(_) => Response::text("rebooting"),
            Err(_) => Response::text("cannot start the reboot thread").with_status_code(500),
        }
    }
}

/// Adds an attempt with its state, and drops the oldest ones beyond
/// [`MAX_KEPT_ATTEMPTS`].
fn record_attempt(state: &mut State, attempt: &str, result: Attempt) {
    state.attempts.insert(attempt.to_owned(), result);
    state.insertion_order.push_back(attempt.to_owned());
    while state.insertion_order.len() > MAX_KEPT_ATTEMPTS {
        if let Some(oldest) = state.insertion_order.pop_front() {
            state.attempts.remove(&oldest);
        }
    }
}

/// Returns the response for the state of an attempt, with `attempt` as the id in its
/// header.
fn attempt_response(result: &Attempt, attempt: &str) -> Response {
    let response = match result {
        Attempt::Running => Response::text("running").with_status_code(202),
        Attempt::Done(receipt) => {
            Response::from_data("application/json", receipt.clone().into_bytes())
        }
        Attempt::Failed => Response::text("failed").with_status_code(500),
        Attempt::Forbidden => Response::text("not run")
            .with_status_code(409)
            .with_unique_header(wire::NOT_RUN, BackendRefusal::Forbidden.code()),
    };
    with_attempt(response, attempt)
}

/// Adds the header with the id of an attempt to a response.
fn with_attempt(response: Response, attempt: &str) -> Response {
    response.with_unique_header(wire::ATTEMPT, attempt)
}

/// Parses the body of a request as JSON; returns `None` if it can't be read or parsed.
fn parse_body<T: serde::de::DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(request.body()).ok()
}
