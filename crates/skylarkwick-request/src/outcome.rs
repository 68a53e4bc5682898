//! Outcomes of requests and attempts.
//!
//! An outcome is one of three. `NotRun` is a guarantee: it is returned only if no
//! byte of the task was sent by this process, or if the backend server itself
//! reported that it did not run the task. Every uncertain case is `Unknown`.

use std::{fmt, time::Duration};

/// Outcome of a request or of one attempt at it: done with an answer of type `A`, certainly
/// not run, or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<A> {
    /// The work ran; this is its complete answer.
    Done(A),
    /// The work did not run and will not run.
    NotRun(Refusal),
    /// The work may or may not have run.
    Unknown(UnknownReason),
}

/// Why work was not run. It is displayed as a message for the caller that gives the reason
/// and, where it helps, what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The request is not valid, for the reason given.
    Invalid(String),
    /// No document describes the service.
    NoService,
    /// The service is not repeatable and the request has neither a key nor a ticket.
    NoKey,
    /// The key was used before with a different request.
    KeyReused,
    /// The service's pool has no slot that this entry host may use.
    NoHost,
    /// The queue of the pool is full.
    QueueFull {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// The work could not finish by its deadline, by its estimated wait and run time.
    TooLate {
        /// Delay after which a retry may succeed.
        retry_after: Duration,
    },
    /// The caller cancelled the request while it was queued.
    Cancelled,
    /// The entry host is stopping.
    Stopping,
    /// The claim on the request's key was not written to the platform, or may not have been.
    PlatformOut,
    /// The backend server refused the task.
    Backend(BackendRefusal),
    /// The backend server could not be reached, and nothing of the task was sent.
    Unreachable,
}

/// Why a backend server refused a task: its epoch is stale, the host is leaving or full, or
/// the attempt was forbidden after a query of its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BackendRefusal {
    /// The epoch of the task, a number that increases whenever the host joins or leaves a
    /// pool, is older than the one the host accepts.
    StaleEpoch,
    /// The host is leaving or stopping.
    Leaving,
    /// All slots of the host are in use.
    Full,
    /// The host had not received the attempt when its state was queried, and refuses it
    /// from then on.
    Forbidden,
}

/// Why the outcome of work is unknown: no usable answer came from the backend server, or the
/// entry host that knew the outcome has ended or no longer stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnknownReason {
    /// No answer arrived in time.
    Timeout,
    /// The connection broke after the task was sent.
    BrokenConnection,
    /// The answer belonged to another request.
    ForeignAnswer,
    /// The backend server failed while it ran the task.
    Failed,
    /// The entry host that owns the key or the ticket has ended.
    OwnerGone,
    /// The work may have been started before, but no outcome of it is stored any more.
    Forgotten,
}

impl Refusal {
    /// Returns the stable code of the refusal, for callers and metrics; for a refusal by the
    /// backend server it is the code of that.
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
            Refusal::Backend(refusal) => refusal.code(),
            Refusal::Unreachable => "unreachable",
        }
    }

    /// Returns the delay after which a retry may succeed, or `None` if it is not known.
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
    /// Writes the message of a [`Refusal`] for the caller. For `Invalid`, it is the stored
    /// reason; the delay before a retry is not written.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Invalid(reason) => f.write_str(reason),
            Refusal::NoService => f.write_str("no document describes this service"),
            Refusal::NoKey => f.write_str(
                "the service is not repeatable; send an Idempotency-Key or a Skylarkwick-Ticket header",
            ),
            Refusal::KeyReused => {
                f.write_str("the Idempotency-Key was used before with a different request")
            }
            Refusal::NoHost => f.write_str("the service's pool has no host that accepts work"),
            Refusal::QueueFull { .. } => f.write_str("the queue of the service's pool is full"),
            Refusal::TooLate { .. } => f.write_str("the work could not finish by its deadline"),
            Refusal::Cancelled => f.write_str("the request was cancelled before it started"),
            Refusal::Stopping => {
                f.write_str("this entry host is stopping; send the request to another one")
            }
            Refusal::PlatformOut => f.write_str(
                "the claim on the key could not be written to the platform; use a ticket from POST /v1/tickets",
            ),
            Refusal::Backend(refusal) => {
                write!(f, "the backend server refused the task: {}", refusal.code())
            }
            Refusal::Unreachable => f.write_str("no backend server of the pool could be reached"),
        }
    }
}

impl BackendRefusal {
    /// Returns the stable code of the refusal, for callers, metrics and the wire.
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
    /// Returns the stable code of the reason, for callers and peers.
    pub fn code(self) -> &'static str {
        match self {
            UnknownReason::Timeout => "timeout",
            UnknownReason::BrokenConnection => "broken-connection",
            UnknownReason::ForeignAnswer => "foreign-answer",
            UnknownReason::Failed => "failed",
            UnknownReason::OwnerGone => "owner-gone",
            UnknownReason::Forgotten => "answer-forgotten",
        }
    }
}

impl<A> Outcome<A> {
    /// Returns the stable code of the outcome, for callers and metrics: `done`, `not-run` or
    /// `unknown`, without the reason.
    pub fn code(&self) -> &'static str {
        match self {
            Outcome::Done(_) => "done",
            Outcome::NotRun(_) => "not-run",
            Outcome::Unknown(_) => "unknown",
        }
    }
}
