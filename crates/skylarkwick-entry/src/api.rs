//! The caller API: HTTP endpoints for requests, cancellations and tickets.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cadence::{Counted, StatsdClient};
use skylarkwick_connection::{
    caller::{Call, Idempotency, wire},
    listen::{Request, Response},
    peer::client::Client,
};
use skylarkwick_process::trace::Span;
use skylarkwick_process::{
    ring::{self, SendError},
    trace,
    view::{Handle, View},
};
use skylarkwick_request::{
    id::{self, Key},
    outcome::{Outcome, Refusal, UnknownReason},
};
use skylarkwick_version::{document, lease::Incarnation, name};

use crate::{
    event::{
        ClaimsEvent, DispatchEvent, KeyedRequest, ReplyTo, RequestOutcome, Resolution, Submission,
    },
    identity::Identity,
    peers::DEADLINE_MARGIN,
};

/// Number of threads that serve callers; each handles one request at a time and blocks until
/// it is answered.
pub(crate) const API_THREADS: usize = 384;
/// Number of requests in progress at which new ones are refused. The threads left over
/// send the refusals.
const MAX_IN_PROGRESS: usize = API_THREADS - 32;
/// `Retry-After` of requests that are refused because too many are in progress or a ring
/// is full.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Maximum wait for the dispatch or claims duty to reply to a cancellation or a request for a
/// ticket.
const DUTY_TIMEOUT: Duration = Duration::from_secs(1);

/// The caller API of an entry host: what its handlers need of the process, such as the
/// view of documents, the rings of the dispatch and claims duties and the addresses of
/// peers. Clones share all state.
#[derive(Clone)]
pub(crate) struct Api {
    pub(crate) identity: Identity,
    pub(crate) view_handle: Handle,
    pub(crate) dispatch: ring::Sender<DispatchEvent>,
    pub(crate) claims: ring::Sender<ClaimsEvent>,
    pub(crate) peer_addresses: Arc<BTreeMap<name::Entry, SocketAddr>>,
    pub(crate) is_stopping: Arc<AtomicBool>,
    /// Number of requests in progress.
    pub(crate) in_progress: Arc<AtomicUsize>,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl Api {
    /// Handles one HTTP request: submits a request, cancels one, issues a ticket, or reports
    /// the readiness or the revisions of the documents. Other paths get a 404.
    pub(crate) fn handle(&self, request: &Request) -> Response {
        let path = request.path();
        match (request.method(), path.as_ref()) {
            ("POST", path) if wire::submit_path(path).is_some() => {
                self.handle_submit(request, wire::submit_path(path).unwrap_or_default())
            }
            ("DELETE", path) if wire::cancel_path(path).is_some() => {
                let (service, key) = wire::cancel_path(path).unwrap_or_default();
                self.cancel(Key::of(service, key))
            }
            ("POST", "/v1/tickets") => self.issue_ticket(),
            ("GET", "/ready") => self.readiness(),
            ("GET", "/v1/view") => self.document_revisions(),
            _ => wire::not_found(),
        }
    }

    /// Admits and runs the request of a caller, and blocks until its outcome is known. A
    /// request refused on admission is counted by a metric and gets no identifier.
    fn handle_submit(&self, request: &Request, service: &str) -> Response {
        let caller_span = trace::start_span("caller", request.header(wire::TRACEPARENT));
        let admission_span = Span::child_of("admission", &caller_span);
        let view = self.view_handle.get();
        let admitted = match self.admit_request() {
            Some(permit) => wire::parse(request, service)
                .and_then(|call| check_call(call, &view).map(|admitted| (permit, admitted))),
            None => Err(self.admission_refusal()),
        };
        drop(admission_span);
        let (id, outcome) = match admitted {
            Err(refusal) => (None, Outcome::NotRun(refusal)),
            Ok((_permit, (call, document))) => {
                let id = self.identity.new_request_id();
                (Some(id), self.run_request(id, call, document, &caller_span))
            }
        };
        if id.is_none() {
            let _ = self.metrics.count_with_tags("refused", 1).with_tag("at", "door").try_send();
        }
        let response = wire::response(id, &outcome);
        match trace::traceparent(&caller_span) {
            Some(traceparent) => response.with_unique_header(wire::TRACEPARENT, traceparent),
            None => response,
        }
    }

    /// Returns a permit for a request, unless too many are in progress or the
    /// entry host is stopping.
    fn admit_request(&self) -> Option<Permit> {
        let permit = Permit { in_progress: Arc::clone(&self.in_progress) };
        let before = self.in_progress.fetch_add(1, Ordering::AcqRel);
        let is_stopping = self.is_stopping.load(Ordering::Acquire);
        (before < MAX_IN_PROGRESS && !is_stopping).then_some(permit)
    }

    /// Returns why requests are not admitted now: the entry host is stopping, or it has too
    /// many in progress.
    fn admission_refusal(&self) -> Refusal {
        match self.is_stopping.load(Ordering::Acquire) {
            true => Refusal::Stopping,
            false => Refusal::QueueFull { retry_after: RETRY_AFTER },
        }
    }

    /// Runs an admitted request and waits for its outcome, until [`DEADLINE_MARGIN`] after the
    /// deadline at most. A repeatable request goes to the dispatch duty; another one goes to
    /// the claims duty first, and to the peer that owns its key or ticket if that is not this
    /// entry host.
    fn run_request(
        &self,
        id: id::Request,
        call: Call,
        document: Arc<document::Settings>,
        caller_span: &Span,
    ) -> RequestOutcome {
        let call = Arc::new(call);
        let deadline = call.deadline.unwrap_or(document.work.deadline);
        let (waiter, receiver) = ring::bounded(1);
        let needs_claim = !document.work.is_repeatable;
        let submission = Submission {
            id,
            call: Arc::clone(&call),
            document,
            deadline,
            reply_to: ReplyTo::Caller(waiter.clone()),
            span: Span::child_of("request", caller_span),
        };
        let sent = match needs_claim {
            true => {
                let keyed_request = Box::new(KeyedRequest { submission, waiter });
                self.claims
                    .try_send(ClaimsEvent::Submit(keyed_request))
                    .map_err(|error| refusal_for_send_error(&error))
            }
            false => {
                let event = DispatchEvent::Submit(Box::new(submission));
                self.dispatch.try_send(event).map_err(|error| refusal_for_send_error(&error))
            }
        };
        if let Err(refusal) = sent {
            return Outcome::NotRun(refusal);
        }
        match receiver.receive_timeout(deadline + DEADLINE_MARGIN) {
            Ok(Resolution::Completed(outcome)) => outcome,
            Ok(Resolution::Forward { entry, incarnation }) => {
                self.forward(&call, &entry, incarnation, deadline)
            }
            Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }

    /// Sends a request to the peer that owns its key or ticket, and waits for the outcome. If
    /// the peer is not in the settings, the outcome is unknown.
    fn forward(
        &self,
        call: &Call,
        entry: &name::Entry,
        incarnation: Incarnation,
        deadline: Duration,
    ) -> RequestOutcome {
        let client = self
            .peer_addresses
            .get(entry)
            .and_then(|address| Client::new(*address, deadline + DEADLINE_MARGIN).ok());
        match client {
            Some(mut client) => client.redeem(call, incarnation),
            None => Outcome::Unknown(UnknownReason::OwnerGone),
        }
    }

    /// Cancels the queued request with a key. The response is 404 if none is queued here or
    /// the dispatch duty does not reply in time.
    fn cancel(&self, key: Key) -> Response {
        let (reply, receiver) = ring::bounded(1);
        let cancelled = match self.dispatch.try_send(DispatchEvent::Cancel { key, reply }) {
            Ok(()) => receiver.receive_timeout(DUTY_TIMEOUT).unwrap_or(false),
            Err(_) => false,
        };
        match cancelled {
            true => Response::json(&BTreeMap::from([("cancelled", true)])),
            false => wire::not_found(),
        }
    }

    /// Returns a new ticket, or a refusal if the claims duty does not reply in time.
    fn issue_ticket(&self) -> Response {
        let (reply, receiver) = ring::bounded(1);
        let sent = self.claims.try_send(ClaimsEvent::IssueTicket(reply)).is_ok();
        match sent.then(|| receiver.receive_timeout(DUTY_TIMEOUT).ok()).flatten() {
            Some(ticket) => Response::json(&BTreeMap::from([("ticket", ticket)])),
            None => wire::response(None, &Outcome::NotRun(self.admission_refusal())),
        }
    }

    /// Returns 200 if callers can be served, that is, a document is known and the entry host
    /// is not stopping; 503 otherwise.
    fn readiness(&self) -> Response {
        let is_ready = !self.is_stopping.load(Ordering::Acquire)
            && !self.view_handle.get().documents.is_empty();
        match is_ready {
            true => Response::text("ready\n"),
            false => Response::text("not ready\n").with_status_code(503),
        }
    }

    /// Returns the revision of each service's document in the current view, as JSON.
    fn document_revisions(&self) -> Response {
        let view = self.view_handle.get();
        let documents: BTreeMap<&str, u64> = view
            .documents
            .iter()
            .map(|(service, document)| (service.as_str(), document.revision.0))
            .collect();
        Response::json(&documents)
    }
}

/// Counts a request as in progress until it is dropped.
struct Permit {
    in_progress: Arc<AtomicUsize>,
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Returns the call with its service's document. Refuses it if the service has no document,
/// or if the service is not repeatable and the call has neither a key nor a ticket.
fn check_call(call: Call, view: &View) -> Result<(Call, Arc<document::Settings>), Refusal> {
    match view.document(call.service.as_str()) {
        None => Err(Refusal::NoService),
        Some(document) if !document.work.is_repeatable && call.idempotency == Idempotency::None => {
            Err(Refusal::NoKey)
        }
        Some(document) => {
            let document = Arc::clone(document);
            Ok((call, document))
        }
    }
}

/// Returns the refusal of a request that could not be sent to a duty: its ring is full, or it
/// has stopped.
fn refusal_for_send_error<T>(error: &SendError<T>) -> Refusal {
    match error {
        SendError::Full(_) => Refusal::QueueFull { retry_after: RETRY_AFTER },
        SendError::Closed(_) => Refusal::Stopping,
    }
}
