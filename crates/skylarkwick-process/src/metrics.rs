//! Counters and timers, sent as StatsD datagrams.
//!
//! `docs/OPERATIONS.md` lists the metrics. They are queued and sent by a thread
//! of the client library, so that no duty waits for the network.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient, StatsdClientBuilder,
};

/// Prefix of every metric name.
const PREFIX: &str = "skylarkwick";
/// Maximum number of metrics that wait for the sender; further ones are dropped.
const MAX_QUEUED_METRICS: usize = 8192;

/// Creates a client that sends metrics to `statsd`, tagged with the name of the entry
/// host.
///
/// Without an address, metrics are discarded.
///
/// # Errors
///
/// Returns the operating system's error if no socket can be opened.
pub fn client(statsd: Option<SocketAddr>, entry: &str) -> io::Result<Arc<StatsdClient>> {
    let builder = match statsd {
        None => StatsdClient::builder(PREFIX, NopMetricSink),
        Some(address) => StatsdClient::builder(PREFIX, sink(address)?),
    };
    Ok(Arc::new(build_tagged(builder, entry)))
}

/// Creates a queue of metrics and a thread that sends them to `address` in batches, without
/// blocking.
fn sink(address: SocketAddr) -> io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind(if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(sink, MAX_QUEUED_METRICS))
}

/// Builds the client with the tag `entry` on each metric.
fn build_tagged(builder: StatsdClientBuilder, entry: &str) -> StatsdClient {
    builder.with_tag("entry", entry).build()
}
