//! A service's document: what its team asks of the fleet.
//!
//! Teams write [`Options`]; [`Options::check`] turns them into [`Settings`], the
//! only form that decisions accept. See `docs/SETTINGS.md` for the keys.

mod check;
mod options;

use std::{fmt, time::Duration};

pub use self::options::Options;
use crate::{name, resources::Resources};

/// A checked document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The service described.
    pub service: name::Service,
    /// The team that owns the service.
    pub team: name::Team,
    /// The pool whose hosts carry the service.
    pub pool: name::Pool,
    /// Order in which work is served and capacity is restored.
    pub priority: Priority,
    /// Whether the pool holds the hosts that no other service needs.
    pub is_spare: bool,
    /// Hosts that the service needs over all data centres.
    pub hosts: u32,
    /// Hosts that may be unavailable at once, for whatever reason.
    pub max_unavailable: u32,
    /// How the service's work behaves.
    pub work: Workload,
    /// How the service's work is stopped.
    pub stop: StopPolicy,
}

/// Urgency of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Somebody waits for the answer; served first.
    Urgent,
    /// The usual case.
    Normal,
    /// Has to be done by its deadline, and not before others.
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

/// How a service's requests behave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workload {
    /// Whether a request may be run more than once.
    pub is_repeatable: bool,
    /// Run time assumed for a kind until enough of it was observed.
    pub run_time: Duration,
    /// Time that a caller waits for an answer when it names no deadline.
    pub deadline: Duration,
    /// Size of one task.
    pub resources: Resources,
}

/// How a service's tasks are stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPolicy {
    /// What is done to tasks in progress.
    pub method: StopMethod,
    /// Longest time that a planned stop waits for tasks in progress.
    pub grace: Duration,
}

/// Ways to take a task off a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMethod {
    /// Wait until the task has finished.
    Drain,
    /// Save the task's progress and resume it elsewhere.
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
