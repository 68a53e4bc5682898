//! Wire types of task execution and host control.
//!
//! Field names of the encoded types are on the wire (JSON).

use serde::{Deserialize, Serialize};
use skylarkwick_request::outcome::BackendRefusal;
use skylarkwick_version::host::{Epoch, Report};

/// Header with the identifier of the attempt; the server echoes it in its response.
pub const ATTEMPT: &str = "skylarkwick-attempt";
/// Request header with the epoch of the host's ownership with which the task is sent.
pub const EPOCH: &str = "skylarkwick-epoch";
/// Request header with the service.
pub const SERVICE: &str = "skylarkwick-service";
/// Request header with the kind of work.
pub const KIND: &str = "skylarkwick-kind";
/// Request header with the caller's idempotency key or ticket, if there is one.
pub const KEY: &str = "skylarkwick-key";
/// Response header with the code of the reason why the server did not run the task.
pub const NOT_RUN: &str = "skylarkwick-not-run";
/// Request header with the attempt's W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Parses the code of a refusal from [`NOT_RUN`]; returns `None` for an unknown code.
pub fn parse_refusal(code: &str) -> Option<BackendRefusal> {
    [
        BackendRefusal::StaleEpoch,
        BackendRefusal::Leaving,
        BackendRefusal::Full,
        BackendRefusal::Forbidden,
    ]
    .into_iter()
    .find(|refusal| refusal.code() == code)
}

/// The response to `GET /v1/status` and `POST /v1/fence`; see [`super::Status`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Lowest epoch that the host accepts.
    pub epoch: u64,
    /// Tasks in progress.
    pub running: u32,
    /// Boot number of the host.
    pub boot: u64,
    /// Whether the host is about to stop.
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

/// The body of `POST /v1/fence`: the epoch below which the host is to refuse tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fence {
    /// Lowest epoch to accept from now on.
    pub epoch: u64,
}

/// The body of `POST /v1/reboot`: the boot number that the host must still have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reboot {
    /// Boot number for which the reboot is requested.
    pub boot: u64,
}
