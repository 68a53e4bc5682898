//! Distributed tracing: one span per hop of a request, with W3C trace context.
//!
//! A span is logged at level debug when it is dropped. Tracing libraries are not
//! used, because they calibrate a clock in a busy loop at process start, which an
//! entry host with a quarter of a core cannot afford; a span needs only two ids
//! and a start time.

use std::{sync::OnceLock, time::Instant};

use slog::{Logger, debug};

/// Version of the `traceparent` headers that are sent.
const TRACEPARENT_VERSION: &str = "00";
/// Flags of the `traceparent` headers that are sent: the trace is sampled.
const SAMPLED_FLAG: &str = "01";

/// Logger that spans are written to; until [`init`] sets it, they are dropped.
static LOG: OnceLock<Logger> = OnceLock::new();

/// Span of one hop of a request. It ends when it is dropped, which logs its ids and
/// duration.
#[derive(Debug)]
pub struct Span {
    /// None for a no-op span.
    data: Option<SpanData>,
}

/// What is logged of a span: its name, ids, the id of its parent span, none at the root
/// of a trace, and its start.
#[derive(Debug)]
struct SpanData {
    name: &'static str,
    context: SpanContext,
    parent: Option<u64>,
    start: Instant,
}

/// Id of the trace, the same in all its spans, and of the span; sent to the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanContext {
    trace: u128,
    span: u64,
}

impl Span {
    /// Starts a span in the trace of `parent`; it is a no-op if `parent` is.
    pub fn child_of(name: &'static str, parent: &Span) -> Span {
        match &parent.data {
            None => Span::noop(),
            Some(parent) => Span::start(name, parent.context.trace, Some(parent.context.span)),
        }
    }

    /// Creates a span that logs nothing and that no `traceparent` header is sent for.
    pub const fn noop() -> Span {
        Span { data: None }
    }

    /// Starts a span now, with a random id.
    fn start(name: &'static str, trace: u128, parent: Option<u64>) -> Span {
        let context = SpanContext { trace, span: rand::random() };
        Span { data: Some(SpanData { name, context, parent, start: Instant::now() }) }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let (Some(data), Some(log)) = (&self.data, LOG.get()) else {
            return;
        };
        debug!(log, "span";
            "name" => data.name,
            "trace" => format!("{:032x}", data.context.trace),
            "span" => format!("{:016x}", data.context.span),
            "parent" => data.parent.map(|parent| format!("{parent:016x}")),
            "us" => u64::try_from(data.start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
}

/// Sets the logger that spans are written to, at level debug; only the first call of a
/// process has an effect.
pub fn init(log: Logger) {
    let _ = LOG.set(log);
}

/// Starts a span as a child of the one in the `traceparent` header of a request, or in a
/// new trace if the header is missing or invalid.
pub fn start_span(name: &'static str, traceparent: Option<&str>) -> Span {
    match traceparent.and_then(parse_traceparent) {
        Some(parent) => Span::start(name, parent.trace, Some(parent.span)),
        None => Span::start(name, rand::random(), None),
    }
}

/// Returns the value of the `traceparent` header to send to the next hop, with `span` as
/// the parent; none for a no-op span.
pub fn traceparent(span: &Span) -> Option<String> {
    let SpanContext { trace, span } = span.data.as_ref()?.context;
    Some(format!("{TRACEPARENT_VERSION}-{trace:032x}-{span:016x}-{SAMPLED_FLAG}"))
}

/// Parses the trace and span id of a `traceparent` header of any version and flags; none
/// unless they are 32 and 16 hexadecimal digits and not zero.
fn parse_traceparent(traceparent: &str) -> Option<SpanContext> {
    let mut parts = traceparent.split('-');
    let (_version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    let is_valid = trace.len() == 32 && span.len() == 16;
    let trace = u128::from_str_radix(trace, 16).ok()?;
    let span = u64::from_str_radix(span, 16).ok()?;
    (is_valid && trace != 0 && span != 0).then_some(SpanContext { trace, span })
}
