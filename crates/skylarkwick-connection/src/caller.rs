//! Callers: requests that come in over HTTP and the replies to them.

pub mod wire;

use std::{sync::Arc, time::Duration};

use skylarkwick_request::{
    id::{Digest, Key},
    ticket::Ticket,
};
use skylarkwick_version::name;

/// How a request is protected from running twice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// By nothing; only repeatable work may come so.
    None,
    /// By the caller's idempotency key.
    Key(Arc<str>),
    /// By a ticket of an entry host.
    Ticket(Ticket),
}

/// A request as its caller sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: name::Service,
    /// The kind of work.
    pub kind: name::Kind,
    /// How it is protected from running twice.
    pub idempotency: Idempotency,
    /// How long the caller waits, unless the document says.
    pub deadline: Option<Duration>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Call {
    /// Returns the hash that names the call's key or ticket.
    pub fn key(&self) -> Option<Key> {
        match &self.idempotency {
            Idempotency::None => None,
            Idempotency::Key(key) => Some(Key::of(self.service.as_str(), key)),
            Idempotency::Ticket(ticket) => {
                Some(Key::of("", &format!("{} {}", self.service, ticket)))
            }
        }
    }

    /// Returns the text that the backend server records for the key or ticket.
    pub fn key_text(&self) -> Option<Arc<str>> {
        match &self.idempotency {
            Idempotency::None => None,
            Idempotency::Key(key) => Some(Arc::clone(key)),
            Idempotency::Ticket(ticket) => Some(Arc::from(ticket.to_string())),
        }
    }

    /// Returns the digest that tells a reused key from a repeat.
    pub fn digest(&self) -> Digest {
        Digest::of(self.kind.as_str(), &self.body)
    }
}
