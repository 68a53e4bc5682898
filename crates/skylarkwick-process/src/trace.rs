//! Distributed tracing: one span per hop of a request, with W3C trace context.
//!
//! A span is logged at level debug when it is dropped. Tracing libraries are not
//! used, because they calibrate a clock in a busy loop at process start, which an
//! entry host with a quarter of a core cannot afford; a span needs only two ids
//! and a start time.

use std::{sync::OnceLock, time::Instant};

use slog::{Logger, debug};

/// Version and sampled flag of the `traceparent` header.
const TRACEPARENT_VERSION: &str = "00";
const SAMPLED_FLAG: &str = "01";

/// Logger that spans are written to.
static LOG: OnceLock<Logger> = OnceLock::new();

/// Span of one hop of a request; it ends when it is dropped.
#[derive(Debug)]
pub struct Span {
    data: Option<SpanData>,
}

#[derive(Debug)]
struct SpanData {
    name: &'static str,
    context: SpanContext,
    parent: Option<u64>,
    start: Instant,
}

/// Trace and span id, propagated to the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SpanContext {
    trace: u128,
    span: u64,
}

impl Span {
    /// Starts a child span of `parent`; it is a no-op if `parent` is.
    pub fn child_of(name: &'static str, parent: &Span) -> Span {
        match &parent.data {
            None => Span::noop(),
            Some(parent) => Span::start(name, parent.context.trace, Some(parent.context.span)),
        }
    }

    /// Creates a span that logs nothing.
    pub const fn noop() -> Span {
        Span { data: None }
    }

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

/// Sets the logger that spans are written to, at level debug.
pub fn init(log: Logger) {
    // Only the first call has an effect.
    let _ = LOG.set(log);
}

/// Starts a span as a child of the caller's `traceparent`, or in a new trace if it
/// is missing or invalid.
pub fn start_span(name: &'static str, traceparent: Option<&str>) -> Span {
    match traceparent.and_then(parse_traceparent) {
        Some(parent) => Span::start(name, parent.trace, Some(parent.span)),
        None => Span::start(name, rand::random(), None),
    }
}

/// Returns the `traceparent` header for the next hop, or none for a no-op span.
pub fn traceparent(span: &Span) -> Option<String> {
    let SpanContext { trace, span } = span.data.as_ref()?.context;
    Some(format!("{TRACEPARENT_VERSION}-{trace:032x}-{span:016x}-{SAMPLED_FLAG}"))
}

fn parse_traceparent(traceparent: &str) -> Option<SpanContext> {
    let mut parts = traceparent.split('-');
    let (_version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    let is_valid = trace.len() == 32 && span.len() == 16;
    let trace = u128::from_str_radix(trace, 16).ok()?;
    let span = u64::from_str_radix(span, 16).ok()?;
    (is_valid && trace != 0 && span != 0).then_some(SpanContext { trace, span })
}
