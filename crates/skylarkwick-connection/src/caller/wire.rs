//! HTTP requests of callers and the responses to them.
//!
//! A refusal or an unknown outcome is returned as a problem of RFC 9457, whose
//! `outcome` states that the work did not run or that this is unknown. The problem's
//! field names are on the wire (JSON).

use std::{sync::Arc, time::Duration};

use serde::Serialize;
use skylarkwick_request::{
    id::{self, MAX_KEY_BYTES},
    outcome::{Outcome, Refusal, UnknownReason},
    ticket::Ticket,
};
use skylarkwick_version::name;

use super::{Call, Idempotency};
use crate::{
    backend::Answer,
    listen::{Request, Response},
};

/// Largest body of a call, in bytes; a longer one is refused.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest deadline that a caller may request, counted from when the call is accepted.
pub const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Header with the caller's idempotency key.
pub const KEY: &str = "Idempotency-Key";
/// Header with a ticket of an entry host, sent instead of an idempotency key.
pub const TICKET: &str = "Skylarkwick-Ticket";
/// Header with the kind of work, `default` if it is left out.
pub const KIND: &str = "Skylarkwick-Kind";
/// Header with the caller's deadline in milliseconds, from 1 to [`MAX_DEADLINE`].
pub const DEADLINE: &str = "Skylarkwick-Deadline-Ms";
/// Response header with the code of the outcome: done, not run or unknown.
pub const OUTCOME: &str = "Skylarkwick-Outcome";
/// Response header with the identifier of the request.
pub const REQUEST: &str = "Skylarkwick-Request";
/// Request header with the caller's W3C trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Path before the name of the service.
const PATH_PREFIX: &str = "/v1/services/";
/// Path after the name of the service, in the path that submits a request.
const PATH_SUFFIX: &str = "/requests";
/// Kind of work of a call without the header [`KIND`].
const DEFAULT_KIND: &str = "default";
/// Accepted media types; the second is assumed for a call without `Content-Type`.
const MEDIA_TYPES: [&str; 3] = ["application/json", "application/octet-stream", "text/plain"];

/// The JSON body of a refusal or an unknown outcome (a problem of RFC 9457), with the
/// outcome and the code of the reason.
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

/// Returns the service in a path of the form `/v1/services/{service}/requests`, which
/// submits a request; `None` for any other path. The service's name is not checked.
pub fn submit_path(path: &str) -> Option<&str> {
    path.strip_prefix(PATH_PREFIX)?.strip_suffix(PATH_SUFFIX)
}

/// Returns the service and the key in a path of the form
/// `/v1/services/{service}/requests/{key}`, which cancels a request; `None` for any other
/// path or an empty key. Neither is checked.
pub fn cancel_path(path: &str) -> Option<(&str, &str)> {
    let (service, key) = path.strip_prefix(PATH_PREFIX)?.split_once("/requests/")?;
    (!key.is_empty()).then_some((service, key))
}

/// Parses a call to `service` from its headers and its body.
///
/// # Errors
///
/// Returns a refusal if any part of the call is invalid or the body is too long.
pub fn parse(request: &Request, service: &str) -> Result<Call, Refusal> {
    let service =
        name::Service::try_from(service).map_err(|error| Refusal::Invalid(error.to_string()))?;
    check_media_type(request)?;
    let kind = name::Kind::try_from(request.header(KIND).unwrap_or(DEFAULT_KIND))
        .map_err(|error| Refusal::Invalid(error.to_string()))?;
    Ok(Call {
        service,
        kind,
        idempotency: parse_idempotency(request.header(KEY), request.header(TICKET))?,
        deadline: request.header(DEADLINE).map(parse_deadline).transpose()?,
        body: check_body(request)?,
    })
}

/// Refuses a call whose `Content-Type` is not one of [`MEDIA_TYPES`].
fn check_media_type(request: &Request) -> Result<(), Refusal> {
    let content_type = request.header("Content-Type").unwrap_or(MEDIA_TYPES[1]);
    let essence = content_type.split(';').next().unwrap_or_default().trim();
    match MEDIA_TYPES.iter().any(|known| known.eq_ignore_ascii_case(essence)) {
        true => Ok(()),
        false => Err(Refusal::Invalid(format!(
            "Content-Type {essence:?} is not supported; send one of: {}",
            MEDIA_TYPES.join(", ")
        ))),
    }
}

/// Parses the headers that protect a call from running twice.
///
/// # Errors
///
/// Returns a refusal if either is invalid or both are present.
pub fn parse_idempotency(key: Option<&str>, ticket: Option<&str>) -> Result<Idempotency, Refusal> {
    match (key, ticket) {
        (None, None) => Ok(Idempotency::None),
        (Some(_), Some(_)) => Err(Refusal::Invalid(format!("send {KEY} or {TICKET}, not both"))),
        (Some(key), None) if key.is_empty() || key.len() > MAX_KEY_BYTES => {
            Err(Refusal::Invalid(format!("{KEY} must have 1 to {MAX_KEY_BYTES} bytes")))
        }
        (Some(key), None) if !key.bytes().all(|byte| byte.is_ascii_graphic()) => {
            Err(Refusal::Invalid(format!("{KEY} must consist of visible ASCII characters")))
        }
        (Some(key), None) => Ok(Idempotency::Key(Arc::from(key))),
        (None, Some(ticket)) => ticket
            .parse::<Ticket>()
            .map(Idempotency::Ticket)
            .map_err(|error| Refusal::Invalid(error.to_string())),
    }
}

/// Parses a deadline of 1 ms to [`MAX_DEADLINE`] in whole milliseconds.
fn parse_deadline(text: &str) -> Result<Duration, Refusal> {
    match text.parse().map(Duration::from_millis) {
        Ok(deadline) if !deadline.is_zero() && deadline <= MAX_DEADLINE => Ok(deadline),
        _ => Err(Refusal::Invalid(format!(
            "{DEADLINE} must be a whole number of milliseconds from 1 to {}",
            MAX_DEADLINE.as_millis()
        ))),
    }
}

/// Returns the body; refuses one that is longer than [`MAX_BODY_BYTES`].
fn check_body(request: &Request) -> Result<Arc<[u8]>, Refusal> {
    match request.body() {
        body if body.len() > MAX_BODY_BYTES => {
            Err(Refusal::Invalid(format!("the body is longer than {MAX_BODY_BYTES} bytes")))
        }
        body => Ok(Arc::from(body)),
    }
}

/// Returns the response to a call: the answer, or a problem that says whether the work
/// did not run or this is unknown. `id` is sent in the header [`REQUEST`].
pub fn response(id: Option<id::Request>, outcome: &Outcome<Arc<Answer>>) -> Response {
    let response = match outcome {
        Outcome::Done(answer) => {
            Response::from_data(answer.content_type.clone(), answer.body.clone())
        }
        Outcome::NotRun(refusal) => refusal_response(refusal),
        Outcome::Unknown(reason) => unknown_response(*reason),
    };
    let response = response.with_unique_header(OUTCOME, outcome.code());
    match id {
        Some(id) => response.with_unique_header(REQUEST, id.to_string()),
        None => response,
    }
}

/// Returns the response for an unknown path or method, with status 404.
pub fn not_found() -> Response {
    problem(404, "not-found", "no such resource; see docs/API.md".to_owned(), "not-run")
}

/// Returns the problem for a refusal, with `Retry-After` in whole seconds, at least 1, if
/// the refusal has a time.
fn refusal_response(refusal: &Refusal) -> Response {
    let response = problem(status_code(refusal), refusal.code(), refusal.to_string(), "not-run");
    match refusal.retry_after() {
        Some(wait) => {
            let seconds = wait.as_secs_f64().ceil().max(1.0);
            response.with_unique_header("Retry-After", format!("{seconds:.0}"))
        }
        None => response,
    }
}

/// Returns the problem for an unknown outcome, with status 504.
fn unknown_response(reason: UnknownReason) -> Response {
    let detail = "the work may or may not have run; do not send it again under another key";
    problem(504, reason.code(), detail.to_owned(), "unknown")
}

/// Returns the HTTP status code of a refusal.
fn status_code(refusal: &Refusal) -> u16 {
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

/// Returns a response with a problem as its body; `reason` is the code that names the
/// problem's type, `outcome` the code of the outcome.
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
