//! Identity of this process, and the identifiers that it assigns.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use skylarkwick_request::id;
use skylarkwick_version::{lease::Incarnation, name, revision::Token};

/// Identity of this incarnation of an entry host, which is one run of its process: its name,
/// data centre and random incarnation number. Clones share the counter of requests.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) entry: name::Entry,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) incarnation: Incarnation,
    next_request: Arc<AtomicU64>,
}

impl Identity {
    /// Creates an identity with a new incarnation.
    pub(crate) fn new(entry: name::Entry, data_centre: name::DataCentre) -> Identity {
        let incarnation = Incarnation(rand::random());
        Identity { entry, data_centre, incarnation, next_request: Arc::default() }
    }

    /// Assigns an identifier to a new request.
    pub(crate) fn new_request_id(&self) -> id::Request {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        id::Request { incarnation: self.incarnation, number }
    }
}

/// Returns a random token that identifies a new transaction to the platform.
pub(crate) fn new_token() -> Token {
    Token(rand::random())
}
