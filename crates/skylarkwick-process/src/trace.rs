//! Traces: a span for each hop of a request, under one W3C trace id.

use fastrace::{
    collector::{Config, Reporter, SpanContext, SpanRecord},
    prelude::Span,
};
use slog::{Logger, debug};

/// Reports finished spans to the log.
struct LogReporter {
    log: Logger,
}

impl Reporter for LogReporter {
    fn report(&mut self, spans: Vec<SpanRecord>) {
        for span in spans {
            debug!(self.log, "span";
                "name" => span.name.as_ref(),
                "trace" => format!("{:032x}", span.trace_id.0),
                "span" => format!("{:016x}", span.span_id.0),
                "parent" => format!("{:016x}", span.parent_id.0),
                "us" => span.duration_ns / 1000);
        }
    }
}

/// Starts to report spans to the log, at the level debug.
pub fn open(log: Logger) {
    fastrace::set_reporter(LogReporter { log }, Config::default());
}

/// Starts the span of a hop under the caller's `traceparent`, or a new trace.
pub fn hop(name: &'static str, traceparent: Option<&str>) -> Span {
    let parent = traceparent.and_then(SpanContext::decode_w3c_traceparent);
    Span::root(name, parent.unwrap_or_else(SpanContext::random))
}

/// Returns the `traceparent` to send with the next hop.
pub fn traceparent(span: &Span) -> Option<String> {
    SpanContext::from_span(span).map(|context| context.encode_w3c_traceparent())
}
