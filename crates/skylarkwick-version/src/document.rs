//! Documents of services: the capacity and scheduling that a team requests.
//!
//! Teams write [`Options`]; [`Options::check`] validates them and returns
//! [`Settings`], which all other code uses. See `docs/SETTINGS.md` for the keys.

mod check;
mod options;

use std::{fmt, time::Duration};

pub use self::options::Options;
use crate::{name, resources::Resources};

/// Validated document of a service: its owner, its pool, the capacity that it needs, and
/// how its requests are run and its tasks stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the service.
    pub service: name::Service,
    /// Team that owns the service.
    pub team: name::Team,
    /// Pool whose hosts run the service.
    pub pool: name::Pool,
    /// Priority of its requests over those of other services in the same pool.
    pub priority: Priority,
    /// Whether the pool takes the hosts that no other pool needs.
    pub is_spare: bool,
    /// Number of hosts that the service needs in all data centres together.
    pub hosts: u32,
    /// Maximum number of hosts unavailable at the same time, for any reason, up to which
    /// the service's budget grants disruptions.
    pub max_unavailable: u32,
    /// Properties of the service's requests.
    pub work: Workload,
    /// How the service's tasks are stopped.
    pub stop: StopPolicy,
}

/// Scheduling priority of a service's requests: urgent, normal or batch, highest first.
/// Printed as in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A person waits for the response; scheduled first.
    Urgent,
    /// The default.
    Normal,
    /// Has to finish by its deadline; scheduled last.
    Batch,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Urgent => "urgent",
            Priority::Normal => "normal",
            Priority::Batch => "batch",
        })
    }
}

/// Properties of a service's requests, and the resources of the tasks that run them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Whether a request may be run more than once, so that it is retried even if an
    /// earlier run may have taken effect.
    pub is_repeatable: bool,
    /// Run time assumed for each kind of request until enough runs were observed.
    pub run_time: Duration,
    /// Time from the arrival of a request to its deadline, if its caller sets none.
    pub deadline: Duration,
    /// Resources that one task reserves.
    pub resources: Resources,
}

/// How a service's tasks are stopped when their host has to leave its pool: the method,
/// and how long a planned stop waits for them. Only validated; no process acts on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPolicy {
    /// What is done with running tasks.
    pub method: StopMethod,
    /// Maximum time that a planned stop waits for running tasks.
    pub grace: Duration,
}

/// How a running task is removed from a host: by waiting for its end, or by saving its
/// state to resume it elsewhere. Printed as in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMethod {
    /// Wait until the task has finished.
    Drain,
    /// Save the task's state and resume it on another host.
    Checkpoint,
}

impl fmt::Display for StopMethod {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StopMethod::Drain => "drain",
            StopMethod::Checkpoint => "checkpoint",
        })
    }
}
