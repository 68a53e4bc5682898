//! Wire forms of tasks and of the control of hosts.

use serde::{Deserialize, Serialize};
use skylarkwick_request::outcome::BackendRefusal;
use skylarkwick_version::host::{Epoch, Report};

/// Header with the identity of the attempt; the server echoes it.
pub const ATTEMPT: &str = "skylarkwick-attempt";
/// Header with the epoch of the task.
pub const EPOCH: &str = "skylarkwick-epoch";
/// Header with the service.
pub const SERVICE: &str = "skylarkwick-service";
/// Header with the kind of work.
pub const KIND: &str = "skylarkwick-kind";
/// Header with the caller's idempotency key or ticket.
pub const KEY: &str = "skylarkwick-key";
/// Header by which a server says that it did not run the task, and why.
pub const NOT_RUN: &str = "skylarkwick-not-run";
/// Header of the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Reads the reason why a server did not run a task.
pub fn denial(code: &str) -> Option<BackendRefusal> {
    [
        BackendRefusal::StaleEpoch,
        BackendRefusal::Leaving,
        BackendRefusal::Full,
        BackendRefusal::Forbidden,
    ]
    .into_iter()
    .find(|denial| denial.code() == code)
}

/// What a host says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Lowest epoch that it accepts.
    pub epoch: u64,
    /// Tasks in progress.
    pub running: u32,
    /// Number of boots.
    pub boot: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
}

impl From<Status> for super::Status {
    fn from(status: Status) -> super::Status {
        super::Status {
            report: Report {
                epoch: Epoch(status.epoch),
                running: status.running,
                boot: status.boot,
            },
            is_leaving: status.leaving,
        }
    }
}

/// The body of `POST /v1/fence`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Lowest epoch to accept from now on.
    pub epoch: u64,
}

/// The body of `POST /v1/reboot`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reboot {
    /// The boot number that the reboot ends.
    pub boot: u64,
}
