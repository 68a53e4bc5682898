//! Messages between the duties of an entry host.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_connection::{
    backend::{Answer, Task},
    caller::Call,
    platform::Listed,
};
use skylarkwick_process::trace::Span;
use skylarkwick_process::{ring, view::View};
use skylarkwick_request::{
    claim::Claim,
    id::{self, Key},
    outcome::Outcome,
};
use skylarkwick_version::{document, host::Epoch, lease::Incarnation, name};

/// What became of a request.
pub(crate) type RequestOutcome = Outcome<Arc<Answer>>;

/// What a waiting door thread is told.
#[derive(Debug)]
pub(crate) enum Resolution {
    /// The request has come to its end.
    Completed(RequestOutcome),
    /// Another run of an entry host owns the key.
    Forward { entry: name::Entry, incarnation: Incarnation },
}

/// Where the end of a request is reported.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// To the thread that waits for it.
    Caller(ring::Sender<Resolution>),
    /// To the claims duty, which tells all who wait for the key.
    Claims(Key),
}

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) id: id::Request,
    pub(crate) call: Arc<Call>,
    pub(crate) document: Arc<document::Settings>,
    pub(crate) deadline: Duration,
    pub(crate) reply_to: ReplyTo,
    pub(crate) span: Span,
}

/// What the dispatch duty is told.
#[derive(Debug)]
pub(crate) enum DispatchEvent {
    Submit(Box<Submission>),
    AttemptFinished { executor: usize, attempt: id::Attempt, outcome: Outcome<Answer> },
    Cancel { key: Key, reply: ring::Sender<bool> },
    ViewChanged(Arc<View>),
    HostsChanged(Arc<BTreeMap<name::Host, Listed>>),
    ShareChanged { rank: u32, entries: u32 },
    HostsLeaving(Vec<(name::Host, Epoch)>),
}

/// A request with a key or a ticket, and who waits for it.
#[derive(Debug)]
pub(crate) struct KeyedRequest {
    pub(crate) submission: Submission,
    pub(crate) waiter: ring::Sender<Resolution>,
}

/// What the claims duty is told.
#[derive(Debug)]
pub(crate) enum ClaimsEvent {
    /// A caller's request.
    Submit(Box<KeyedRequest>),
    /// A request that another entry host forwarded here.
    SubmitForwarded(Box<KeyedRequest>),
    /// A caller wants a ticket.
    IssueTicket(ring::Sender<String>),
    /// The writer has written a batch.
    BatchWritten(Vec<(Key, WriteOutcome)>),
    /// A request has come to its end.
    RequestFinished(Key, RequestOutcome),
}

/// What became of the row of a claim.
#[derive(Clone, Debug)]
pub(crate) enum WriteOutcome {
    /// The row is ours.
    Claimed,
    /// The row was there before.
    AlreadyClaimed(Claim),
    /// The row was not written.
    NotWritten,
    /// The row may have been written.
    InDoubt,
}

/// An attempt for a sender to make.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    pub(crate) task: Task,
    pub(crate) span: Span,
}
