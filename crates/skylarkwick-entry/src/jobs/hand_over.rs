//! HTTP handler of submissions that other entry hosts hand over.

use std::time::Duration;

use skylarkwick_connection::{
    listen::{Admission, Drain, Handler, Head, Limits, Request, Response},
    neighbour::{Answer, PATH, Submission, TOKEN_HEADER},
    store::Store,
};

use super::Api;

/// Largest hand-over, in bytes: a row of the store, with its key.
const MAX_BODY_BYTES: u64 = 128 << 10;

/// Limits of the listener for hand-overs; what it has no room for is handed to another host.
pub const LIMITS: Limits = Limits {
    max_handlers: 64,
    max_connections: 128,
    max_body_bytes: 4 << 20,
    max_requests_ahead: 100,
    head_timeout: Duration::from_secs(5),
    stall_timeout: Duration::from_secs(5),
    body_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(20),
    drain: Drain::IMMEDIATE,
};

/// Takes submissions from entry hosts that know the token.
#[derive(Debug)]
pub struct HandOver<S> {
    api: Api<S>,
    token: blake3::Hash,
}

impl<S: Store> HandOver<S> {
    /// Creates the handler for an API, which expects `token`.
    pub fn new(api: Api<S>, token: &str) -> HandOver<S> {
        HandOver { api, token: blake3::hash(token.as_bytes()) }
    }
}

impl<S: Store> Handler for HandOver<S> {
    type Ticket = ();

    /// Answers with 404 for another path or method, and 401 for another token.
    fn admit(&self, head: &Head) -> Admission<()> {
        let token = head.header(TOKEN_HEADER).unwrap_or_default();
        match () {
            () if head.path() != PATH || head.method() != "POST" => {
                Admission::Answer(Response::empty(404))
            }
            // Digests are compared in constant time.
            () if blake3::hash(token.as_bytes()) != self.token => {
                Admission::Answer(Response::empty(401))
            }
            () => Admission::Read {
                ticket: (),
                max_body_bytes: MAX_BODY_BYTES,
                busy_status: Answer::NotStored.status(),
            },
        }
    }

    fn handle(&self, request: &Request, (): ()) -> Response {
        match Submission::decode(request.body()) {
            Ok(submission) => Response::empty(self.api.store_for_neighbour(&submission).status()),
            // Of another release; the sender goes on by itself.
            Err(_) => Response::empty(Answer::NotStored.status()),
        }
    }
}
