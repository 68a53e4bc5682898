//! What became of a request.
//!
//! There are three outcomes and no fourth. `NotRun` is a promise: it is given
//! only when no byte of the task's start left this process, or when the backend
//! server itself said that it did not run the task. Whatever is in doubt is
//! `Unknown`.

use std::{fmt, time::Duration};

/// What became of a request or of one attempt at it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The work ran and this is its whole answer.
    Done(A),
    /// The work did not run and will not run.
    NotRun(Refusal),
    /// The work may or may not have run.
    Unknown(UnknownReason),
}

/// Why work was not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request itself is not valid.
    Invalid(String),
    /// No document describes the service.
    NoService,
    /// The service may not be repeated and the request carries no key.
    NoKey,
    /// The key was used before with another request.
    KeyReused,
    /// The service's pool has no host that takes work.
    NoHost,
    /// The queue of the pool is full.
    QueueFull {
        /// When a new attempt may succeed.
        retry_after: Duration,
    },
    /// The work could not finish before its deadline.
    TooLate {
        /// When a new attempt may succeed.
        retry_after: Duration,
    },
    /// The caller cancelled the request before it was started.
    Cancelled,
    /// The entry host is stopping.
    Stopping,
    /// The platform did not take the claim on the request's key.
    PlatformOut,
    /// The backend server refused the task.
    Backend(BackendRefusal),
    /// The backend server could not be reached.
    Unreachable,
}

/// Why a backend server refused a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackendRefusal {
    /// The task named an epoch older than the one the host accepts.
    StaleEpoch,
    /// The host is leaving or stopping.
    Leaving,
    /// All slots of the host are taken.
    Full,
    /// The host never saw the attempt and was told to refuse it from now on.
    Forbidden,
}

/// Why the outcome of work is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnknownReason {
    /// No answer came in time.
    Timeout,
    /// The connection broke after the task was sent.
    Broken,
    /// The answer belonged to another request.
    Foreign,
    /// The backend server failed while it ran the task.
    Failed,
    /// The entry host that owns the key or the ticket is gone.
    OwnerGone,
    /// The work was started before, and its answer is no longer kept.
    Forgotten,
}

impl Refusal {
    /// Returns the stable code of the refusal, for callers and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Invalid(_) => "invalid-request",
            Refusal::NoService => "no-service",
            Refusal::NoKey => "no-key",
            Refusal::KeyReused => "key-reused",
            Refusal::NoHost => "no-host",
            Refusal::QueueFull { .. } => "queue-full",
            Refusal::TooLate { .. } => "too-late",
            Refusal::Cancelled => "cancelled",
            Refusal::Stopping => "stopping",
            Refusal::PlatformOut => "platform-out",
            Refusal::Backend(denial) => denial.code(),
            Refusal::Unreachable => "unreachable",
        }
    }

    /// Returns when a new attempt may succeed, where that can be told.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Refusal::QueueFull { retry_after } | Refusal::TooLate { retry_after } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Invalid(why) => f.write_str(why),
            Refusal::NoService => f.write_str("no document describes this service"),
            Refusal::NoKey => f.write_str(
                "the service may not be repeated; send an Idempotency-Key or a Skylarkwick-Ticket header",
            ),
            Refusal::KeyReused => {
                f.write_str("the Idempotency-Key was used before with another request")
            }
            Refusal::NoHost => f.write_str("the service's pool has no host that takes work"),
            Refusal::QueueFull { .. } => f.write_str("the queue of the service's pool is full"),
            Refusal::TooLate { .. } => f.write_str("the work could not finish by its deadline"),
            Refusal::Cancelled => f.write_str("the request was cancelled before it started"),
            Refusal::Stopping => f.write_str("this entry host is stopping; send to another"),
            Refusal::PlatformOut => f.write_str(
                "the platform did not take the claim on the key; use a ticket from POST /v1/tickets",
            ),
            Refusal::Backend(denial) => write!(f, "the backend server refused: {}", denial.code()),
            Refusal::Unreachable => f.write_str("no backend server of the pool could be reached"),
        }
    }
}

impl BackendRefusal {
    /// Returns the stable code of the denial.
    pub fn code(self) -> &'static str {
        match self {
            BackendRefusal::StaleEpoch => "stale-epoch",
            BackendRefusal::Leaving => "leaving",
            BackendRefusal::Full => "full",
            BackendRefusal::Forbidden => "forbidden",
        }
    }
}

impl UnknownReason {
    /// Returns the stable code of the doubt.
    pub fn code(self) -> &'static str {
        match self {
            UnknownReason::Timeout => "timeout",
            UnknownReason::Broken => "broken-connection",
            UnknownReason::Foreign => "foreign-answer",
            UnknownReason::Failed => "failed",
            UnknownReason::OwnerGone => "owner-gone",
            UnknownReason::Forgotten => "answer-forgotten",
        }
    }
}

impl<A> Outcome<A> {
    /// Returns the stable code of the outcome, for callers and metrics.
    pub fn code(&self) -> &'static str {
        match self {
            Outcome::Done(_) => "done",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
