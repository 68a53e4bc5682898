//! HTTP client of backend servers.
//!
//! An attempt is sent once. If its connection breaks, delivers the answer to
//! another attempt or delivers nothing for longer than the task should take, the
//! client queries the state of the attempt on a new connection. The server then
//! returns the stored answer, reports that the task is still running, or
//! guarantees never to start it, which makes `NotRun` certain. See
//! `docs/DESIGN.md`, section "Connections".

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde::Serialize;
use skylarkwick_request::outcome::{Outcome, Refusal, UnknownReason};
use skylarkwick_version::host::Epoch;
use ureq::{Agent, Body, http::Response};

use super::{Answer, Control, Runner, Status, Task, Unreachable, wire};
use crate::agent::{Agents, is_timeout, was_not_sent};

/// Largest number of idle connections kept to each backend server.
const MAX_IDLE: usize = 8;
/// Timeout of a whole control call; a query of an attempt has this time in addition to
/// its wait.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time that the server may hold one query while the task is still running.
const QUERY_WAIT: Duration = Duration::from_secs(2);
/// Delay after a query without a usable response.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Number of consecutive queries without a usable response after which the outcome is
/// reported as unknown.
const MAX_FAILED_QUERIES: u32 = 3;
/// Largest body of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;
/// Maximum size of a host's status, in bytes.
const MAX_STATUS_BYTES: u64 = 1 << 20;

/// HTTP client of the backend servers of a data centre, with a connection pool for each.
#[derive(Clone, Debug)]
pub struct Backend {
    agents: Agents,
}

impl Default for Backend {
    /// Creates a client without connections.
    fn default() -> Backend {
        Backend { agents: Agents::new(MAX_IDLE) }
    }
}

/// State of an attempt according to a query: its outcome, still running, or no usable
/// response.
enum AttemptState {
    Outcome(Outcome<Answer>),
    Running,
    NoResponse,
}

impl Runner for Backend {
    /// Sends the task once. If its answer is lost, cut off or late, queries the state of
    /// the attempt until the deadline.
    fn run(&self, task: &Task) -> Outcome<Answer> {
        let deadline = Instant::now() + task.time_left;
        let (generation, agent) = self.agents.get(task.address);
        let error = match send(&agent, task) {
            Ok(response) => match parse_outcome(task, response) {
                Outcome::Unknown(
                    UnknownReason::ForeignAnswer | UnknownReason::BrokenConnection,
                ) => None,
                outcome => return outcome,
            },
            Err(error) if was_not_sent(&error) => return Outcome::NotRun(Refusal::Unreachable),
            Err(error) => Some(error),
        };
        if error.is_none_or(|error| is_timeout(&error)) {
            self.agents.drop_connections(task.address, generation);
        }
        self.resolve(task, deadline)
    }
}

impl Backend {
    /// Queries the state of an attempt on new connections until it has an outcome; the
    /// outcome is unknown if the task is still running at the deadline or
    /// [`MAX_FAILED_QUERIES`] consecutive queries get no usable response.
    fn resolve(&self, task: &Task, deadline: Instant) -> Outcome<Answer> {
        let agent = self.agents.new_agent();
        let mut failures = 0;
        while failures < MAX_FAILED_QUERIES {
            match query(&agent, task, deadline.saturating_duration_since(Instant::now())) {
                AttemptState::Outcome(outcome) => return outcome,
                AttemptState::Running if Instant::now() >= deadline => break,
                AttemptState::Running => failures = 0,
                AttemptState::NoResponse => {
                    failures += 1;
                    std::thread::sleep(QUERY_RETRY_DELAY);
                }
            }
        }
        Outcome::Unknown(UnknownReason::Timeout)
    }

    /// Sends a control call and returns its response, whatever the status code. Drops the
    /// server's connections if the call timed out.
    fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Result<Response<Body>, Unreachable> {
        let (generation, agent) = self.agents.get(address);
        let text = serde_json::to_string(body).map_err(|_| Unreachable)?;
        let result = agent
            .post(format!("http://{address}{path}"))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .content_type("application/json")
            .send(text);
        result.map_err(|error| {
            if is_timeout(&error) {
                self.agents.drop_connections(address, generation);
            }
            Unreachable
        })
    }
}

impl Control for Backend {
    /// Sends `GET /v1/status`.
    fn status(&self, address: SocketAddr) -> Result<Status, Unreachable> {
        let (generation, agent) = self.agents.get(address);
        let result = agent
            .get(format!("http://{address}/v1/status"))
            .config()
            .timeout_global(Some(CONTROL_TIMEOUT))
            .build()
            .call();
        let response = result.map_err(|error| {
            if is_timeout(&error) {
                self.agents.drop_connections(address, generation);
            }
            Unreachable
        })?;
        parse_status(response)
    }

    /// Sends `POST /v1/fence`.
    fn fence(&self, address: SocketAddr, epoch: Epoch) -> Result<Status, Unreachable> {
        parse_status(self.post(address, "/v1/fence", &wire::Fence { epoch: epoch.0 })?)
    }

    /// Sends `POST /v1/reboot`; any status code other than 200 is an error.
    fn reboot(&self, address: SocketAddr, boot: u64) -> Result<(), Unreachable> {
        match self.post(address, "/v1/reboot", &wire::Reboot { boot })?.status().as_u16() {
            200 => Ok(()),
            _ => Err(Unreachable),
        }
    }
}

/// Parses a host's status from the body of a response.
fn parse_status(mut response: Response<Body>) -> Result<Status, Unreachable> {
    let body = response.body_mut().with_config().limit(MAX_STATUS_BYTES);
    let text = body.read_to_string().map_err(|_| Unreachable)?;
    let status: wire::Status = serde_json::from_str(&text).map_err(|_| Unreachable)?;
    Ok(status.into())
}

/// Sends a task to its server and waits for the response, whose body is read later. The
/// shorter of the answer timeout and the time left bounds the call, its body included.
fn send(agent: &Agent, task: &Task) -> Result<Response<Body>, ureq::Error> {
    let mut request = agent
        .post(format!("http://{}/v1/tasks", task.address))
        .config()
        .timeout_global(Some(task.answer_timeout.min(task.time_left)))
        .build()
        .header(wire::ATTEMPT, task.attempt.to_string())
        .header(wire::EPOCH, task.epoch.0.to_string())
        .header(wire::SERVICE, task.service.as_str())
        .header(wire::KIND, task.kind.as_str());
    if let Some(key) = &task.key {
        request = request.header(wire::KEY, key.as_ref());
    }
    if let Some(traceparent) = &task.traceparent {
        request = request.header(wire::TRACEPARENT, traceparent);
    }
    request.send(&task.body[..])
}

/// Queries the state of an attempt once. The server holds the query while the task is
/// running, at most for the shorter of `time_left` and [`QUERY_WAIT`].
fn query(agent: &Agent, task: &Task, time_left: Duration) -> AttemptState {
    let wait = time_left.min(QUERY_WAIT);
    let url = format!(
        "http://{}/v1/attempts/{}?wait-ms={}",
        task.address,
        task.attempt,
        wait.as_millis()
    );
    let request = agent.get(url).config().timeout_global(Some(wait + CONTROL_TIMEOUT)).build();
    match request.call() {
        Ok(response) if response.status().as_u16() == 202 => AttemptState::Running,
        Ok(response) => match parse_outcome(task, response) {
            Outcome::Unknown(UnknownReason::ForeignAnswer | UnknownReason::BrokenConnection) => {
                AttemptState::NoResponse
            }
            outcome => AttemptState::Outcome(outcome),
        },
        Err(_) => AttemptState::NoResponse,
    }
}

/// Parses the response to a task or a query. The outcome is unknown if the response
/// doesn't echo the attempt, because it then belongs to another, if its body is cut off,
/// or if its status is neither 200 nor a refusal.
fn parse_outcome(task: &Task, mut response: Response<Body>) -> Outcome<Answer> {
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    if header(wire::ATTEMPT).as_deref() != Some(task.attempt.to_string().as_str()) {
        return Outcome::Unknown(UnknownReason::ForeignAnswer);
    }
    let content_type = header("content-type").unwrap_or_default();
    let not_run = header(wire::NOT_RUN).as_deref().and_then(wire::parse_refusal);
    let status = response.status().as_u16();
    let body = response.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_to_vec();
    match (status, not_run, body) {
        (409, Some(refusal), _) => Outcome::NotRun(Refusal::Backend(refusal)),
        (200, _, Ok(body)) => Outcome::Done(Answer { content_type, body }),
        (200, _, Err(_)) => Outcome::Unknown(UnknownReason::BrokenConnection),
        _ => Outcome::Unknown(UnknownReason::Failed),
    }
}
