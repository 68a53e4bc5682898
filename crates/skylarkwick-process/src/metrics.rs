//! Counters and timers, sent as StatsD datagrams.
//!
//! The names are listed in `docs/OPERATIONS.md`. Metrics are queued and sent by
//! a thread of the library, so that no duty waits for the network.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient, StatsdClientBuilder,
};

/// Prefix of every metric.
const PREFIX: &str = "skylarkwick";
/// Metrics that wait for the sender before further ones are dropped.
const QUEUED_METRICS: usize = 8192;

/// Creates the metrics of a process; without an address they go nowhere.
///
/// # Errors
///
/// Returns the system's error when no socket can be opened.
pub fn client(statsd: Option<SocketAddr>, entry: &str) -> io::Result<Arc<StatsdClient>> {
    let builder = match statsd {
        None => StatsdClient::builder(PREFIX, NopMetricSink),
        Some(address) => StatsdClient::builder(PREFIX, sink(address)?),
    };
    Ok(Arc::new(tagged(builder, entry)))
}

fn sink(address: SocketAddr) -> io::Result<QueuingMetricSink> {
    let socket = UdpSocket::bind(if address.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" })?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    Ok(QueuingMetricSink::with_capacity(sink, QUEUED_METRICS))
}

fn tagged(builder: StatsdClientBuilder, entry: &str) -> StatsdClient {
    builder.with_tag("entry", entry).build()
}
