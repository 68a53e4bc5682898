//! Who this process is, and the numbers it hands out.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use skylarkwick_request::id;
use skylarkwick_version::{lease::Incarnation, name, revision::Token};

/// Identity of this run of an entry host.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) entry: name::Entry,
    pub(crate) data_centre: name::DataCentre,
    pub(crate) incarnation: Incarnation,
    next: Arc<AtomicU64>,
}

impl Identity {
    pub(crate) fn new(entry: name::Entry, data_centre: name::DataCentre) -> Identity {
        let incarnation = Incarnation(rand::random());
        Identity { entry, data_centre, incarnation, next: Arc::default() }
    }

    /// Returns the identity of a new request.
    pub(crate) fn request(&self) -> id::Request {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        id::Request { incarnation: self.incarnation, number }
    }
}

/// Returns the token of a new transaction.
pub(crate) fn token() -> Token {
    Token(rand::random())
}
