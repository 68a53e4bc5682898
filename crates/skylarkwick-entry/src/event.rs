//! Events that the duties of an entry host send to each other.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_connection::{
    backend::{Answer, Task},
    caller::Call,
    platform::HostRecord,
};
use skylarkwick_process::trace::Span;
use skylarkwick_process::{ring, view::View};
use skylarkwick_request::{
    claim::Claim,
    id::{self, Key},
    outcome::Outcome,
};
use skylarkwick_version::{document, host::Epoch, lease::Incarnation, name};

/// Outcome of a request with the backend server's answer; waiters for the same key share
/// it.
pub(crate) type RequestOutcome = Outcome<Arc<Answer>>;

/// What a thread that waits for a request receives: its outcome, or where it must be sent
/// instead.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// The request has ended with this outcome.
    Completed(RequestOutcome),
    /// Forward the request to the incarnation that owns the key or ticket.
    Forward { entry: name::Entry, incarnation: Incarnation },
}

/// Destination of the outcome of a request: the thread that waits, or the claims duty.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// The thread that waits for it.
    Caller(ring::Sender<Resolution>),
    /// The claims duty, which answers all waiters for the key.
    Claims(Key),
}

/// An admitted request with its service's document, deadline, destination of the outcome
/// and trace span.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) id: id::Request,
    pub(crate) call: Arc<Call>,
    pub(crate) document: Arc<document::Settings>,
    /// Time from submission until the caller stops waiting.
    pub(crate) deadline: Duration,
    pub(crate) reply_to: ReplyTo,
    pub(crate) span: Span,
}

/// Event for the dispatch duty, from the API, the executors, and the claims, view and peers
/// duties.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    /// A request to queue.
    Submit(Box<Submission>),
    /// The executor with this index has finished an attempt.
    AttemptFinished { executor: usize, attempt: id::Attempt, outcome: Outcome<Answer> },
    /// Cancels a queued request; the reply is true if it was still queued, so that no attempt
    /// follows.
    Cancel { key: Key, reply: ring::Sender<bool> },
    /// A new view of documents and host ownership.
    ViewChanged(Arc<View>),
    /// A new list of the hosts of the data centre.
    HostsChanged(Arc<BTreeMap<name::Host, HostRecord>>),
    /// The rank of this entry host among the live ones of its data centre, from 0, and their
    /// number.
    RankChanged { rank: u32, entry_count: u32 },
    /// Hosts that a peer excludes, each with the epoch up to which it is excluded.
    HostsExcluded(Vec<(name::Host, Epoch)>),
}

/// A request with a key or a ticket, and the ring of the thread that waits for its outcome.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    pub(crate) submission: Submission,
    pub(crate) waiter: ring::Sender<Resolution>,
}

/// Event for the claims duty, from the API, the peer server, and the writer and dispatch
/// duties.
#[derive(Debug)]
pub(crate) enum ClaimsEvent {
    /// A request from a caller.
    Submit(Box<KeyedRequest>),
    /// A request that another entry host forwarded.
    SubmitForwarded(Box<KeyedRequest>),
    /// A caller asks for a ticket; the reply is its text form.
    IssueTicket(ring::Sender<String>),
    /// Results of a batch from the writer duty.
    BatchWritten(Vec<(Key, WriteOutcome)>),
    /// A request that the claims duty started has ended.
    RequestFinished(Key, RequestOutcome),
}

/// Result of writing a claim's row: whether it was written, a claim existed before, it was
/// not written, or that is not known.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// The row was written.
    Claimed,
    /// The row existed before, with this claim, which may be of this process.
    AlreadyClaimed(Claim),
    /// The row was not written.
    NotWritten,
    /// The row may have been written.
    InDoubt,
}

/// An attempt for an executor to run: the task to send to a backend server, and the trace span
/// that ends with it.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) task: Task,
    pub(crate) span: Span,
}
