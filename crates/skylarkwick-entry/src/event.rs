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

/// Outcome of a request; waiters for the same key share the answer.
pub(crate) type RequestOutcome = Outcome<Arc<Answer>>;

/// What a thread that waits for a request receives.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// The request has ended with this outcome.
    Completed(RequestOutcome),
    /// Forward the request to the incarnation that owns the key or ticket.
    Forward { entry: name::Entry, incarnation: Incarnation },
}

/// Destination of the outcome of a request.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// The thread that waits for it.
    Caller(ring::Sender<Resolution>),
    /// The claims duty, which answers all waiters for the key.
    Claims(Key),
}

/// An admitted request.
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

/// Event for the dispatch duty.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    /// A request to queue.
    Submit(Box<Submission>),
    /// The executor with this index has finished an attempt.
    AttemptFinished { executor: usize, attempt: id::Attempt, outcome: Outcome<Answer> },
    /// Cancels a queued request; the reply tells whether it was still queued.
    Cancel { key: Key, reply: ring::Sender<bool> },
    /// A new view of documents and host ownership.
    ViewChanged(Arc<View>),
    /// A new list of the hosts of the data centre.
    HostsChanged(Arc<BTreeMap<name::Host, HostRecord>>),
    /// The rank of this entry host among the live ones of its data centre, and their
    /// number.
    RankChanged { rank: u32, entry_count: u32 },
    /// Hosts that a peer excludes, each with the epoch up to which it is excluded.
    HostsExcluded(Vec<(name::Host, Epoch)>),
}

/// A request with a key or a ticket, and the ring of the thread that waits.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    pub(crate) submission: Submission,
    pub(crate) waiter: ring::Sender<Resolution>,
}

/// Event for the claims duty.
#[derive(Debug)]
pub(crate) enum ClaimsEvent {
    /// A request from a caller.
    Submit(Box<KeyedRequest>),
    /// A request that another entry host forwarded.
    SubmitForwarded(Box<KeyedRequest>),
    /// A caller asks for a ticket.
    IssueTicket(ring::Sender<String>),
    /// Results of a batch from the writer duty.
    BatchWritten(Vec<(Key, WriteOutcome)>),
    /// A request that the claims duty started has ended.
    RequestFinished(Key, RequestOutcome),
}

/// Result of writing a claim's row.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// The row was written.
    Claimed,
    /// The row existed before, with this claim.
    AlreadyClaimed(Claim),
    /// The row was not written.
    NotWritten,
    /// The row may have been written.
    InDoubt,
}

/// An attempt for an executor to run.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) task: Task,
    pub(crate) span: Span,
}
