//! Callers: incoming HTTP requests and their responses.

pub mod wire;

use std::{sync::Arc, time::Duration};

use skylarkwick_request::{
    id::{Digest, Key},
    ticket::Ticket,
};
use skylarkwick_version::name;

/// How a request is protected from running twice: by the caller's key, by a ticket of an
/// entry host, or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// No protection; allowed only for repeatable work.
    None,
    /// The caller's idempotency key.
    Key(Arc<str>),
    /// A ticket issued by an entry host.
    Ticket(Ticket),
}

/// A parsed request of a caller: service, kind of work, key or ticket, deadline and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The service.
    pub service: name::Service,
    /// The kind of work.
    pub kind: name::Kind,
    /// How the request is protected from running twice.
    pub idempotency: Idempotency,
    /// How long the caller waits; `None` leaves it to the service's document.
    pub deadline: Option<Duration>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Call {
    /// Returns the hash of the service and the call's key or ticket; `None` without a key
    /// or ticket.
    pub fn key(&self) -> Option<Key> {
        match &self.idempotency {
            Idempotency::None => None,
            Idempotency::Key(key) => Some(Key::of(self.service.as_str(), key)),
            // No service has an empty name, so the hash of a ticket never equals that of a
            // key.
            Idempotency::Ticket(ticket) => {
                Some(Key::of("", &format!("{} {}", self.service, ticket)))
            }
        }
    }

    /// Returns the text of the key or ticket, which the backend server records; `None`
    /// without a key or ticket.
    pub fn key_text(&self) -> Option<Arc<str>> {
        match &self.idempotency {
            Idempotency::None => None,
            Idempotency::Key(key) => Some(Arc::clone(key)),
            Idempotency::Ticket(ticket) => Some(Arc::from(ticket.to_string())),
        }
    }

    /// Returns the digest of the kind and the body, which distinguishes a retry from the
    /// reuse of a key for another request.
    pub fn digest(&self) -> Digest {
        Digest::of(self.kind.as_str(), &self.body)
    }
}
