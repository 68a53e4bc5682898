//! What answers the requests of a listener.

use super::{Head, Request, Response};

/// Largest body for a handler that sets no limit of its own, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 4 << 20;

/// What the head of a request decides.
#[derive(Debug)]
pub enum Admission<T> {
    /// The body is read, and the request handled.
    Read {
        /// What the handler has learned from the head.
        ticket: T,
        /// Largest body, in bytes; a longer one gets status 413.
        max_body_bytes: u64,
        /// Status of the response if the process can't keep the body.
        busy_status: u16,
    },
    /// The request gets this response; its body is not worth reading.
    Answer(Response),
}

/// Answers requests in two steps: the head decides whether the body is read at all.
pub trait Handler: Send + Sync + 'static {
    /// What [`Handler::admit`] passes on to [`Handler::handle`].
    type Ticket: Send + 'static;

    /// Decides by its head whether a request is handled. Runs on the thread that serves all
    /// connections, and must not block.
    fn admit(&self, head: &Head) -> Admission<Self::Ticket>;

    /// Answers a complete request; may block.
    fn handle(&self, request: &Request, ticket: Self::Ticket) -> Response;
}

impl<F> Handler for F
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    type Ticket = ();

    fn admit(&self, _head: &Head) -> Admission<()> {
        Admission::Read { ticket: (), max_body_bytes: DEFAULT_MAX_BODY_BYTES, busy_status: 503 }
    }

    fn handle(&self, request: &Request, (): ()) -> Response {
        self(request)
    }
}
