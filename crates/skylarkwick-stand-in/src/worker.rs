//! A worker's backend server.
//!
//! A task's body says how long it runs and what to answer. The server refuses
//! epochs below its fence, keeps answers so that an attempt can be asked about,
//! and promises never to start an attempt that it was asked about first.

use std::{
    collections::{BTreeMap, VecDeque},
    io::{self, Read},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::Duration,
};

use rouille::{Request, Response};
use serde::{Deserialize, Serialize};
use skylarkwick_connection::{backend::wire, listen::listen};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    trace,
};
use skylarkwick_request::outcome::BackendRefusal;
use skylarkwick_version::name;

use crate::ledger::Ledger;

/// Requests handled beyond the slots: control calls and inquiries.
const EXTRA_THREADS: usize = 24;
/// Attempts whose answers are kept.
const KEPT_ATTEMPTS: usize = 4096;

/// The body of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TaskBody {
    /// How long the task runs, in microseconds.
    pub run_us: u64,
    /// What identifies the work; it comes back in the answer.
    pub payload: String,
}

/// The answer to a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The payload of the order.
    pub payload: String,
    /// The host that ran the task.
    pub host: String,
}

/// Faults of one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every task fails at once.
    pub fails_all: bool,
    /// Answers carry the identity of another attempt.
    pub answers_foreign: bool,
    /// Answers come this much later than the task ends.
    pub answer_delay: Duration,
    /// The host does not come back from a reboot.
    pub never_returns: bool,
    /// The host answers nothing but errors.
    pub is_down: bool,
}

#[derive(Clone, Debug)]
enum Attempt {
    Running,
    Done(String),
    Failed,
    Forbidden,
}

#[derive(Debug, Default)]
struct State {
    epoch: u64,
    boot: u64,
    running: u32,
    is_leaving: bool,
    is_rebooting: bool,
    faults: Faults,
    attempts: BTreeMap<String, Attempt>,
    order: VecDeque<String>,
}

/// A worker.
#[derive(Clone, Debug)]
pub struct Worker {
    host: name::Host,
    slots: u32,
    reboot_time: Duration,
    ledger: Ledger,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Worker {
    /// Creates a worker that takes `reboot_time` to reboot.
    pub fn new(host: name::Host, slots: u32, reboot_time: Duration, ledger: Ledger) -> Worker {
        Worker { host, slots, reboot_time, ledger, state: Arc::default() }
    }

    /// Starts to listen; returns the address in use and the duty.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the address can't be listened on.
    pub fn listen(&self, address: SocketAddr, stop: StopSignal) -> io::Result<(SocketAddr, Duty)> {
        let worker = self.clone();
        let threads = self.slots as usize + EXTRA_THREADS;
        listen(self.host.as_str(), address, threads, move |request| worker.handle(request), stop)
    }

    /// Changes the worker's faults.
    pub fn update_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.lock().faults);
    }

    /// Has the worker say that it is leaving, or that it is not.
    pub fn set_leaving(&self, is_leaving: bool) {
        self.lock().is_leaving = is_leaving;
        self.ledger.leaving(&self.host, is_leaving);
    }

    /// Returns whether the worker is up and how often it has booted.
    pub fn boot_state(&self) -> (bool, u64) {
        let state = self.lock();
        (!state.is_rebooting && !state.faults.is_down, state.boot)
    }

    /// Returns the number of tasks in progress.
    pub fn running_count(&self) -> u32 {
        self.lock().running
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn handle(&self, request: &Request) -> Response {
        if !self.boot_state().0 {
            return Response::text("down").with_status_code(503);
        }
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("POST", "/v1/tasks") => self.task(request),
            ("GET", "/v1/status") => self.status(),
            ("POST", "/v1/fence") => self.fence(request),
            ("POST", "/v1/reboot") => self.reboot(request),
            ("GET", path) => match path.strip_prefix("/v1/attempts/") {
                Some(attempt) => self.inquire(attempt, request),
                None => Response::empty_404(),
            },
            _ => Response::empty_404(),
        }
    }

    fn task(&self, request: &Request) -> Response {
        let header = |name: &str| request.header(name).unwrap_or_default().to_owned();
        let attempt = header(wire::ATTEMPT);
        let _span = trace::start_span("backend-server", request.header(wire::TRACEPARENT));
        let order: Option<TaskBody> = body(request);
        let epoch = header(wire::EPOCH).parse().unwrap_or(0);
        let (Some(order), false) = (order, attempt.is_empty()) else {
            return Response::text("the task is not valid").with_status_code(400);
        };
        if let Err(denial) = self.admit(&attempt, epoch) {
            return echo(Response::text("not run"), &attempt)
                .with_status_code(409)
                .with_unique_header(wire::NOT_RUN, denial.code());
        }
        let entry = self.ledger.start(&self.host, &header(wire::SERVICE), &order.payload);
        let (boot, faults) = {
            let state = self.lock();
            (state.boot, state.faults)
        };
        if !faults.fails_all {
            std::thread::sleep(Duration::from_micros(order.run_us));
        }
        let is_cut = {
            let state = self.lock();
            state.boot != boot || state.is_rebooting
        };
        self.ledger.finish(entry, is_cut);
        let result = match faults.fails_all || is_cut {
            true => Attempt::Failed,
            false => Attempt::Done(self.receipt(&order)),
        };
        self.finish(&attempt, result.clone());
        if !faults.answer_delay.is_zero() {
            std::thread::sleep(faults.answer_delay);
        }
        match faults.answers_foreign {
            true => respond(&result, "0000000000000000-0-0"),
            false => respond(&result, &attempt),
        }
    }

    fn receipt(&self, order: &TaskBody) -> String {
        let receipt = Receipt { payload: order.payload.clone(), host: self.host.to_string() };
        serde_json::to_string(&receipt).unwrap_or_default()
    }

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
        keep(&mut state, attempt, Attempt::Running);
        Ok(())
    }

    fn finish(&self, attempt: &str, result: Attempt) {
        let mut state = self.lock();
        state.running -= 1;
        if let Some(kept) = state.attempts.get_mut(attempt) {
            *kept = result;
        }
        drop(state);
        self.state.1.notify_all();
    }

    fn inquire(&self, attempt: &str, request: &Request) -> Response {
        let wait = request.get_param("wait-ms").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut state = self.lock();
        if !state.attempts.contains_key(attempt) {
            keep(&mut state, attempt, Attempt::Forbidden);
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
            Some(result) => respond(result, attempt),
            None => Response::empty_404(),
        }
    }

    fn status(&self) -> Response {
        let state = self.lock();
        Response::json(&wire::Status {
            epoch: state.epoch,
            running: state.running,
            boot: state.boot,
            leaving: state.is_leaving,
        })
    }

    fn fence(&self, request: &Request) -> Response {
        let Some(fence) = body::<wire::Fence>(request) else { return Response::empty_400() };
        {
            let mut state = self.lock();
            state.epoch = state.epoch.max(fence.epoch);
        }
        self.status()
    }

    fn reboot(&self, request: &Request) -> Response {
        let Some(reboot) = body::<wire::Reboot>(request) else { return Response::empty_400() };
        let never_returns = {
            let mut state = self.lock();
            if state.boot != reboot.boot || state.is_rebooting {
                return Response::text("booted already");
            }
            state.is_rebooting = true;
            state.faults.never_returns
        };
        let worker = self.clone();
        let booting = Duty::spawn("reboot", move || {
            std::thread::sleep(worker.reboot_time);
            let mut state = worker.lock();
            if !never_returns {
                state.is_rebooting = false;
                state.boot += 1;
            }
        });
        match booting {
            Ok(_) => Response::text("rebooting"),
            Err(_) => Response::text("no thread").with_status_code(500),
        }
    }
}

fn keep(state: &mut State, attempt: &str, kept: Attempt) {
    state.attempts.insert(attempt.to_owned(), kept);
    state.order.push_back(attempt.to_owned());
    while state.order.len() > KEPT_ATTEMPTS {
        if let Some(oldest) = state.order.pop_front() {
            state.attempts.remove(&oldest);
        }
    }
}

fn respond(result: &Attempt, attempt: &str) -> Response {
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
    echo(response, attempt)
}

fn echo(response: Response, attempt: &str) -> Response {
    response.with_unique_header(wire::ATTEMPT, attempt.to_owned())
}

fn body<T: serde::de::DeserializeOwned>(request: &Request) -> Option<T> {
    let mut bytes = Vec::new();
    request.data()?.read_to_end(&mut bytes).ok()?;
    serde_json::from_slice(&bytes).ok()
}
