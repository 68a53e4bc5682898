//! Messages between the duties of an entry host.

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

/// What became of a request.
pub(crate) type Ended = Outcome<Arc<Answer>>;

/// What a waiting door thread is told.
#[derive(Debug)]
pub(crate) enum Verdict {
    /// The request has come to its end.
    Ended(Ended),
    /// Another run of an entry host owns the key.
    Forward { entry: name::Entry, incarnation: Incarnation },
}

/// Where the end of a request is reported.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// To the thread that waits for it.
    Caller(ring::Sender<Verdict>),
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
    pub(crate) reply: Reply,
    pub(crate) span: Span,
}

/// What the dispatch duty is told.
#[derive(Debug)]
pub(crate) enum Dispatch {
    Submit(Box<Submission>),
    Finished { sender: usize, attempt: id::Attempt, outcome: Outcome<Answer> },
    Cancel { key: Key, reply: ring::Sender<bool> },
    View(Arc<View>),
    Hosts(Arc<BTreeMap<name::Host, HostRecord>>),
    Share { rank: u32, entries: u32 },
    Leaving(Vec<(name::Host, Epoch)>),
}

/// A request with a key or a ticket, and who waits for it.
#[derive(Debug)]
pub(crate) struct Keyed {
    pub(crate) submission: Submission,
    pub(crate) verdict: ring::Sender<Verdict>,
}

/// What the claims duty is told.
#[derive(Debug)]
pub(crate) enum Claims {
    /// A caller's request.
    Submit(Box<Keyed>),
    /// A request that another entry host forwarded here.
    Redeem(Box<Keyed>),
    /// A caller wants a ticket.
    Issue(ring::Sender<String>),
    /// The writer has written a batch.
    Written(Vec<(Key, Written)>),
    /// A request has come to its end.
    Finished(Key, Ended),
}

/// What became of the row of a claim.
#[derive(Clone, Debug)]
pub(crate) enum Written {
    /// The row is ours.
    Ours,
    /// The row was there before.
    Held(Claim),
    /// The row was not written.
    Absent,
    /// The row may have been written.
    InDoubt,
}

/// An attempt for a sender to make.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) task: Task,
    pub(crate) span: Span,
}
