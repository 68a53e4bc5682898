//! HTTP forms of calls and replies.
//!
//! Whatever is refused comes back as a problem of RFC 9457 that always says
//! whether the work ran.

use std::{io::Read, sync::Arc, time::Duration};

use rouille::{Request, Response};
use serde::Serialize;
use skylarkwick_request::{
    id::{self, MAX_KEY_BYTES},
    outcome::{Outcome, Refusal, UnknownReason},
    ticket::Ticket,
};
use skylarkwick_version::name;

use super::{Call, Idempotency};
use crate::backend::Answer;

/// Largest body of a call.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest deadline that a caller may name.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Header with the caller's idempotency key.
pub const KEY: &str = "Idempotency-Key";
/// Header with a ticket.
pub const TICKET: &str = "Skylarkwick-Ticket";
/// Header with the kind of work.
pub const KIND: &str = "Skylarkwick-Kind";
/// Header with the caller's deadline in milliseconds.
pub const DEADLINE: &str = "Skylarkwick-Deadline-Ms";
/// Header by which a reply says what became of the work.
pub const OUTCOME: &str = "Skylarkwick-Outcome";
/// Header with the identity of the request.
pub const REQUEST: &str = "Skylarkwick-Request";
/// Header of the W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

const PATH_PREFIX: &str = "/v1/services/";
const PATH_SUFFIX: &str = "/requests";
const DEFAULT_KIND: &str = "default";
const MEDIA_TYPES: [&str; 3] = ["application/json", "application/octet-stream", "text/plain"];

/// A problem of RFC 9457.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    detail: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Returns the service named by a path of the form
/// `/v1/services/{service}/requests`.
pub fn submit_path(path: &str) -> Option<&str> {
    path.strip_prefix(PATH_PREFIX)?.strip_suffix(PATH_SUFFIX)
}

/// Returns the service and key named by a path of the form
/// `/v1/services/{service}/requests/{key}`, which cancels a request.
pub fn cancel_path(path: &str) -> Option<(&str, &str)> {
    let (service, key) = path.strip_prefix(PATH_PREFIX)?.split_once("/requests/")?;
    (!key.is_empty()).then_some((service, key))
}

/// Reads a call.
///
/// # Errors
///
/// Returns the refusal when any part of the call is not valid.
pub fn parse(request: &Request, service: &str) -> Result<Call, Refusal> {
    let service =
        name::Service::try_from(service).map_err(|error| Refusal::Invalid(error.to_string()))?;
    media_type(request)?;
    let kind = name::Kind::try_from(request.header(KIND).unwrap_or(DEFAULT_KIND))
        .map_err(|error| Refusal::Invalid(error.to_string()))?;
    Ok(Call {
        service,
        kind,
        idempotency: idempotency(request.header(KEY), request.header(TICKET))?,
        deadline: request.header(DEADLINE).map(deadline).transpose()?,
        body: body(request)?,
    })
}

fn media_type(request: &Request) -> Result<(), Refusal> {
    let sent = request.header("Content-Type").unwrap_or(MEDIA_TYPES[1]);
    let essence = sent.split(';').next().unwrap_or_default().trim();
    match MEDIA_TYPES.iter().any(|known| known.eq_ignore_ascii_case(essence)) {
        true => Ok(()),
        false => Err(Refusal::Invalid(format!(
            "Content-Type {essence:?} is not taken; send one of: {}",
            MEDIA_TYPES.join(", ")
        ))),
    }
}

/// Reads the headers that protect a call from running twice.
///
/// # Errors
///
/// Returns the refusal when one is not valid or both are there.
pub fn idempotency(key: Option<&str>, ticket: Option<&str>) -> Result<Idempotency, Refusal> {
    match (key, ticket) {
        (None, None) => Ok(Idempotency::None),
        (Some(_), Some(_)) => Err(Refusal::Invalid(format!("send {KEY} or {TICKET}, not both"))),
        (Some(key), None) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(Refusal::Invalid(format!("{KEY} has to have 1 to {MAX_KEY_BYTES} bytes")))
        }
        (Some(key), None) if !key.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(Refusal::Invalid(format!("{KEY} has to be of visible ASCII characters")))
        }
        (Some(key), None) => Ok(Idempotency::Key(Arc::from(key))),
        (None, Some(ticket)) => ticket
            .parse::<Ticket>()
            .map(Idempotency::Ticket)
            .map_err(|error| Refusal::Invalid(error.to_string())),
    }
}

fn deadline(text: &str) -> Result<Duration, Refusal> {
    match text.parse().map(Duration::from_millis) {
        Ok(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(deadline),
        _ => Err(Refusal::Invalid(format!(
            "{DEADLINE} has to be a whole number of milliseconds from 1 to {}",
            MAX_DEADLINE.as_millis()
        ))),
    }
}

fn body(request: &Request) -> Result<Arc<[u8]>, Refusal> {
    let too_long = || Refusal::Invalid(format!("the body is longer than {MAX_BODY_BYTES} bytes"));
    let declared = request.header("Content-Length").and_then(|text| text.parse::<usize>().ok());
    if declared.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(too_long());
    }
    let Some(data) = request.data() else { return Ok(Arc::from([])) };
    let mut bytes = Vec::with_capacity(declared.unwrap_or(0));
    let read = data.take(MAX_BODY_BYTES as u64 + 1).read_to_end(&mut bytes);
    match read {
        Ok(length) if length > MAX_BODY_BYTES => Err(too_long()),
        Ok(length) if declared.is_some_and(|declared| declared != length) => {
            Err(Refusal::Invalid("the body is shorter than its Content-Length".to_owned()))
        }
        Ok(_) => Ok(Arc::from(bytes)),
        Err(error) => Err(Refusal::Invalid(format!("the body cannot be read: {error}"))),
    }
}

/// Forms the reply to a call.
pub fn response(id: Option<id::Request>, outcome: &Outcome<Arc<Answer>>) -> Response {
    let response = match outcome {
        Outcome::Done(answer) => {
            Response::from_data(answer.content_type.clone(), answer.body.clone())
        }
        Outcome::NotRun(refusal) => refused(refusal),
        Outcome::Unknown(doubt) => in_doubt(*doubt),
    };
    let response = response.with_unique_header(OUTCOME, outcome.code());
    match id {
        Some(id) => response.with_unique_header(REQUEST, id.to_string()),
        None => response,
    }
}

/// Forms the reply to a path or method that does not exist.
pub fn not_found() -> Response {
    problem(404, "not-found", "no such resource; see docs/API.md".to_owned(), "not-run")
}

fn refused(refusal: &Refusal) -> Response {
    let response = problem(status(refusal), refusal.code(), refusal.to_string(), "not-run");
    match refusal.retry_after() {
        Some(wait) => {
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            response.with_unique_header("Retry-After", format!("{seconds:.0}"))
        }
        None => response,
    }
}

fn in_doubt(doubt: UnknownReason) -> Response {
    let detail = "the work may or may not have run; do not send it again under another key";
    problem(504, doubt.code(), detail.to_owned(), "unknown")
}

fn status(refusal: &Refusal) -> u16 {
    match refusal {
        Refusal::Invalid(_) | Refusal::NoKey => 400,
        Refusal::NoService => 404,
        Refusal::Cancelled => 409,
        Refusal::KeyReused => 422,
        Refusal::QueueFull { .. } => 429,
        Refusal::TooLate { .. }
        | Refusal::NoHost
        | Refusal::Stopping
        | Refusal::PlatformOut
        | Refusal::Backend(_)
        | Refusal::Unreachable => 503,
    }
}

fn problem(status: u16, reason: &'static str, detail: String, outcome: &'static str) -> Response {
    let problem = Problem {
        kind: format!("urn:skylarkwick:problem:{reason}"),
        title: reason.replace('-', " "),
        status,
        detail,
        outcome,
        reason,
    };
    Response::json(&problem)
        .with_unique_header("Content-Type", "application/problem+json")
        .with_unique_header(OUTCOME, outcome)
        .with_status_code(status)
}
