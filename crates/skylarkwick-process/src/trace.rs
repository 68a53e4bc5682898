//! Traces: a span for each hop of a request, under one W3C trace id.
//!
//! A span is reported to the log when it is dropped, at the level debug. The
//! tracing libraries that could do this calibrate a clock in a busy loop at the
//! start of each process, which an entry host with a quarter of a core can't
//! spare; a span needs no more than two identities and a start.

use std::{sync::OnceLock, time::Instant};

use slog::{Logger, debug};

/// Version of the `traceparent` header, and its flag for a sampled trace.
const VERSION: &str = "00";
const SAMPLED: &str = "01";

/// The log that spans are reported to.
static LOG: OnceLock<Logger> = OnceLock::new();

/// One hop of a request.
#[derive(Debug)]
pub struct Span {
    hop: Option<Hop>,
}

#[derive(Debug)]
struct Hop {
    name: &'static str,
    context: Context,
    parent: Option<u64>,
    start: Instant,
}

/// What a span hands on to the next hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Context {
    trace: u128,
    span: u64,
}

impl Span {
    /// Starts a span under another one.
    pub fn child_of(name: &'static str, parent: &Span) -> Span {
        match &parent.hop {
            None => Span::noop(),
            Some(parent) => Span::start(name, parent.context.trace, Some(parent.context.span)),
        }
    }

    /// Makes a span that reports nothing.
    pub const fn noop() -> Span {
        Span { hop: None }
    }

    fn start(name: &'static str, trace: u128, parent: Option<u64>) -> Span {
        let context = Context { trace, span: rand::random() };
        Span { hop: Some(Hop { name, context, parent, start: Instant::now() }) }
    }
}

impl Drop for Span {
    fn drop(&mut self) {
        let (Some(hop), Some(log)) = (&self.hop, LOG.get()) else {
            return;
        };
        debug!(log, "span";
            "name" => hop.name,
            "trace" => format!("{:032x}", hop.context.trace),
            "span" => format!("{:016x}", hop.context.span),
            "parent" => hop.parent.map(|parent| format!("{parent:016x}")),
            "us" => u64::try_from(hop.start.elapsed().as_micros()).unwrap_or(u64::MAX));
    }
}

/// Starts to report spans to the log, at the level debug.
pub fn init(log: Logger) {
    // The first log of a process stays.
    let _ = LOG.set(log);
}

/// Starts the span of a hop under the caller's `traceparent`, or a new trace.
pub fn start_span(name: &'static str, traceparent: Option<&str>) -> Span {
    match traceparent.and_then(decode) {
        Some(parent) => Span::start(name, parent.trace, Some(parent.span)),
        None => Span::start(name, rand::random(), None),
    }
}

/// Returns the `traceparent` to send with the next hop.
pub fn traceparent(span: &Span) -> Option<String> {
    let Context { trace, span } = span.hop.as_ref()?.context;
    Some(format!("{VERSION}-{trace:032x}-{span:016x}-{SAMPLED}"))
}

fn decode(traceparent: &str) -> Option<Context> {
    let mut parts = traceparent.split('-');
    let (_version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    let is_valid = trace.len() == 32 && span.len() == 16;
    let trace = u128::from_str_radix(trace, 16).ok()?;
    let span = u64::from_str_radix(span, 16).ok()?;
    (is_valid && trace != 0 && span != 0).then_some(Context { trace, span })
}
