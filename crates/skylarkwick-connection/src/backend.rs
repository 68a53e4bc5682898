//! Backend servers: task execution and host control.

pub mod http;
pub mod wire;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use skylarkwick_request::{id::Attempt, outcome::Outcome};
use skylarkwick_version::{
    host::{Epoch, Report},
    name,
};

/// A task to send to a backend server: the request of a caller, with the server's
/// address, the attempt's identifier, the host's epoch and the time limits.
#[derive(Clone, Debug)]
pub struct Task {
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Identifier of the attempt.
    pub attempt: Attempt,
    /// Epoch of the host's ownership by the service's pool.
    pub epoch: Epoch,
    /// The service.
    pub service: name::Service,
    /// The kind of work.
    pub kind: name::Kind,
    /// The caller's idempotency key or ticket, for the backend server's records.
    pub key: Option<Arc<str>>,
    /// The caller's body.
    pub body: Arc<[u8]>,
    /// How long to wait for the answer before querying the state of the attempt.
    pub answer_timeout: Duration,
    /// Time left until the caller's deadline.
    pub time_left: Duration,
    /// Trace context of the attempt.
    pub traceparent: Option<String>,
}

/// A complete answer to a task: its body and media type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The media type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// Runs tasks on backend servers.
pub trait Runner: Clone + Send + Sync + 'static {
    /// Sends a task once and waits for its outcome, little longer than its time left: the
    /// answer, the certainty that the task did not run, or unknown.
    fn run(&self, task: &Task) -> Outcome<Answer>;
}

/// The backend server could not be reached or did not respond properly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the backend server cannot be reached")]
pub struct Unreachable;

/// The status that a host reports: its epoch, running tasks and boot number, and whether
/// it is about to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Status {
    /// Accepted epoch, tasks in progress and boot number.
    pub report: Report,
    /// Whether the host is about to stop by itself.
    pub is_leaving: bool,
}

/// Controls hosts on behalf of the planner of their data centre.
pub trait Control: Clone + Send + Sync + 'static {
    /// Returns the status of a host.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no valid response arrived in time.
    fn status(&self, address: SocketAddr) -> Result<Status, Unreachable>;

    /// Makes a host refuse tasks of every epoch below `epoch` from now on; returns its
    /// status after that.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if no valid response arrived in time.
    fn fence(&self, address: SocketAddr, epoch: Epoch) -> Result<Status, Unreachable>;

    /// Reboots a host if its boot number is still `boot`.
    ///
    /// # Errors
    ///
    /// Returns [`Unreachable`] if the host did not confirm the order in time; it may still
    /// reboot.
    fn reboot(&self, address: SocketAddr, boot: u64) -> Result<(), Unreachable>;
}
