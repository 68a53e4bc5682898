//! Backend servers: running tasks and controlling hosts.

pub mod http;
pub mod wire;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use skylarkwick_request::{id::Attempt, outcome::Outcome};
use skylarkwick_version::{
    host::{Epoch, Report},
    name,
};

/// A task, as it is sent to a backend server.
#[derive(Clone, Debug)]
pub struct Task {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Identity of the attempt.
    pub attempt: Attempt,
    /// Epoch in which the host belongs to the service's pool.
    pub epoch: Epoch,
    /// The service.
    pub service: name::Service,
    /// The kind of work.
    pub kind: name::Kind,
    /// The caller's idempotency key or ticket, for the backend server's records.
    pub key: Option<Arc<str>>,
    /// The caller's body.
    pub body: Arc<[u8]>,
    /// How long to wait before the server is asked about the attempt.
    pub answer_timeout: Duration,
    /// How long the caller waits.
    pub time_left: Duration,
    /// Trace context of the attempt.
    pub traceparent: Option<String>,
}

/// A whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A backend server that runs tasks.
pub trait Runner: Clone + Send + Sync + 'static {
    /// Runs a task and waits for its answer.
    fn run(&self, task: &Task) -> Outcome<Answer>;
}

/// A backend server could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the backend server cannot be reached")]
pub struct Unreachable;

/// What a host said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// What it acknowledges.
    pub report: Report,
    /// Whether it is about to stop on its own account.
    pub is_leaving: bool,
}

/// Control of a host by the planner of its data centre.
pub trait Control: Clone + Send + Sync + 'static {
    /// Asks a host for its status.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] when no answer came in time.
    fn status(&self, address: SocketAddr) -> Result<Status, Unreachable>;

    /// Tells a host to refuse every epoch below `epoch` from now on.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] when no answer came in time.
    fn fence(&self, address: SocketAddr, epoch: Epoch) -> Result<Status, Unreachable>;

    /// Asks a host to reboot, if its boot number is still `boot`.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] when no answer came in time.
    fn reboot(&self, address: SocketAddr, boot: u64) -> Result<(), Unreachable>;
}
