//! The door: takes callers' requests and replies to them.

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
use rouille::{Request, Response};
use skylarkwick_connection::{
    caller::{Call, Guard, wire},
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
    event::{Claims, Dispatch, Ended, Keyed, Reply, Submission, Verdict},
    identity::Identity,
    peers::DEADLINE_MARGIN,
};

/// Requests that wait at the door at once.
pub(crate) const DOOR_THREADS: usize = 384;
/// Requests beyond which the door refuses, so that threads are left to do so.
const MAX_IN_PROGRESS: usize = DOOR_THREADS - 32;
/// Time after which a refused caller is asked to come back.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// Longest wait for a duty of this process.
const DUTY_TIMEOUT: Duration = Duration::from_secs(1);

/// The door of an entry host.
#[derive(Clone)]
pub(crate) struct Door {
    pub(crate) identity: Identity,
    pub(crate) shared: Handle,
    pub(crate) dispatch: ring::Sender<Dispatch>,
    pub(crate) claims: ring::Sender<Claims>,
    pub(crate) peers: Arc<BTreeMap<name::Entry, SocketAddr>>,
    pub(crate) is_stopping: Arc<AtomicBool>,
    pub(crate) in_progress: Arc<AtomicUsize>,
    pub(crate) metrics: Arc<StatsdClient>,
}

impl Door {
    /// Handles one request.
    pub(crate) fn handle(&self, request: &Request) -> Response {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("POST", path) if wire::service_of(path).is_some() => {
                self.serve(request, wire::service_of(path).unwrap_or_default())
            }
            ("DELETE", path) if wire::cancelled_of(path).is_some() => {
                let (service, key) = wire::cancelled_of(path).unwrap_or_default();
                self.cancel(Key::of(service, key))
            }
            ("POST", "/v1/tickets") => self.issue(),
            ("GET", "/ready") => self.ready(),
            ("GET", "/v1/view") => self.view(),
            _ => wire::not_found(),
        }
    }

    fn serve(&self, request: &Request, service: &str) -> Response {
        let caller = trace::start_span("caller", request.header(wire::TRACEPARENT));
        let admission = Span::child_of("admission", &caller);
        let view = self.shared.get();
        let admitted = match self.enter() {
            Some(place) => wire::call(request, service)
                .and_then(|call| admit(call, &view).map(|admitted| (place, admitted))),
            None => Err(self.refusal()),
        };
        drop(admission);
        let (id, outcome) = match admitted {
            Err(refusal) => (None, Outcome::NotRun(refusal)),
            Ok((_place, (call, document))) => {
                let id = self.identity.request();
                (Some(id), self.run(id, call, document, &caller))
            }
        };
        if id.is_none() {
            let _ = self.metrics.count_with_tags("refused", 1).with_tag("at", "door").try_send();
        }
        let response = wire::reply(id, &outcome);
        match trace::traceparent(&caller) {
            Some(traceparent) => response.with_unique_header(wire::TRACEPARENT, traceparent),
            None => response,
        }
    }

    /// Takes a place at the door, unless it is full or closing.
    fn enter(&self) -> Option<Place> {
        let place = Place { in_progress: Arc::clone(&self.in_progress) };
        let before = self.in_progress.fetch_add(1, Ordering::AcqRel);
        let is_stopping = self.is_stopping.load(Ordering::Acquire);
        (before < MAX_IN_PROGRESS && !is_stopping).then_some(place)
    }

    fn refusal(&self) -> Refusal {
        match self.is_stopping.load(Ordering::Acquire) {
            true => Refusal::Stopping,
            false => Refusal::QueueFull { retry_after: RETRY_AFTER },
        }
    }

    fn run(
        &self,
        id: id::Request,
        call: Call,
        document: Arc<document::Settings>,
        caller: &Span,
    ) -> Ended {
        let call = Arc::new(call);
        let deadline = call.deadline.unwrap_or(document.work.deadline);
        let (verdict, answer) = ring::bounded(1);
        let is_keyed = !document.work.is_repeatable;
        let submission = Submission {
            id,
            call: Arc::clone(&call),
            document,
            deadline,
            reply: Reply::Caller(verdict.clone()),
            span: Span::child_of("request", caller),
        };
        let sent = match is_keyed {
            true => {
                let keyed = Box::new(Keyed { submission, verdict });
                self.claims.try_send(Claims::Submit(keyed)).map_err(|refused| closed(&refused))
            }
            false => {
                let event = Dispatch::Submit(Box::new(submission));
                self.dispatch.try_send(event).map_err(|refused| closed(&refused))
            }
        };
        if let Err(refusal) = sent {
            return Outcome::NotRun(refusal);
        }
        match answer.receive_timeout(deadline + DEADLINE_MARGIN) {
            Ok(Verdict::Ended(outcome)) => outcome,
            Ok(Verdict::Forward { entry, incarnation }) => {
                self.forward(&call, &entry, incarnation, deadline)
            }
            Err(_) => Outcome::Unknown(UnknownReason::Timeout),
        }
    }

    fn forward(
        &self,
        call: &Call,
        entry: &name::Entry,
        incarnation: Incarnation,
        deadline: Duration,
    ) -> Ended {
        let client = self
            .peers
            .get(entry)
            .and_then(|address| Client::new(*address, deadline + DEADLINE_MARGIN).ok());
        match client {
            Some(mut client) => client.redeem(call, incarnation),
            None => Outcome::Unknown(UnknownReason::OwnerGone),
        }
    }

    fn cancel(&self, key: Key) -> Response {
        let (reply, answer) = ring::bounded(1);
        let cancelled = match self.dispatch.try_send(Dispatch::Cancel { key, reply }) {
            Ok(()) => answer.receive_timeout(DUTY_TIMEOUT).unwrap_or(false),
            Err(_) => false,
        };
        match cancelled {
            true => Response::json(&BTreeMap::from([("cancelled", true)])),
            false => wire::not_found(),
        }
    }

    fn issue(&self) -> Response {
        let (reply, answer) = ring::bounded(1);
        let sent = self.claims.try_send(Claims::Issue(reply)).is_ok();
        match sent.then(|| answer.receive_timeout(DUTY_TIMEOUT).ok()).flatten() {
            Some(ticket) => Response::json(&BTreeMap::from([("ticket", ticket)])),
            None => wire::reply(None, &Outcome::NotRun(self.refusal())),
        }
    }

    fn ready(&self) -> Response {
        let is_ready =
            !self.is_stopping.load(Ordering::Acquire) && !self.shared.get().documents.is_empty();
        match is_ready {
            true => Response::text("ready\n"),
            false => Response::text("not ready\n").with_status_code(503),
        }
    }

    fn view(&self) -> Response {
        let view = self.shared.get();
        let documents: BTreeMap<&str, u64> = view
            .documents
            .iter()
            .map(|(service, document)| (service.as_str(), document.revision.0))
            .collect();
        Response::json(&documents)
    }
}

/// A place at the door, given back when the request has been replied to.
struct Place {
    in_progress: Arc<AtomicUsize>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.in_progress.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Checks a call against its service's document.
fn admit(call: Call, view: &View) -> Result<(Call, Arc<document::Settings>), Refusal> {
    match view.document(call.service.as_str()) {
        None => Err(Refusal::NoService),
        Some(document) if !document.work.is_repeatable && call.guard == Guard::None => {
            Err(Refusal::NoKey)
        }
        Some(document) => {
            let document = Arc::clone(document);
            Ok((call, document))
        }
    }
}

fn closed<T>(refused: &SendError<T>) -> Refusal {
    match refused {
        SendError::Full(_) => Refusal::QueueFull { retry_after: RETRY_AFTER },
        SendError::Closed(_) => Refusal::Stopping,
    }
}
