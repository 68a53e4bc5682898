//! Pools of HTTP connections, each dropped as a whole when a call times out.
//!
//! A connection may stay open without ever delivering anything, because a device
//! between the two ends has lost its state, while new connections work. When a
//! call to an address times out, every connection of that generation is dropped:
//! later calls open new ones, and nothing more is sent on the old ones.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ureq::{Agent, config::Config};

use crate::{resolver::AddressResolver, transport::ResetConnector};

/// Time after its last use at which an idle connection is no longer used and is closed.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Size of the input and of the output buffer of a connection, in bytes; small,
/// because messages are short and an entry host keeps hundreds of connections.
const BUFFER_BYTES: usize = 8 << 10;

/// Generation of the connections to an address: the number of times that all of them were
/// dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// Connection pools, one for each address; clones share them.
#[derive(Clone, Debug)]
pub struct Agents {
    max_idle: usize,
    pools: Arc<Mutex<BTreeMap<SocketAddr, (Generation, Agent)>>>,
}

impl Agents {
    /// Creates pools that keep at most `max_idle` idle connections each.
    pub fn new(max_idle: usize) -> Agents {
        Agents { max_idle, pools: Arc::default() }
    }

    /// Returns the connection pool of an address and its generation; creates the pool at
    /// the first call.
    pub fn get(&self, address: SocketAddr) -> (Generation, Agent) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let (generation, agent) =
            pools.entry(address).or_insert_with(|| (Generation::default(), self.new_agent()));
        (*generation, agent.clone())
    }

    /// Replaces the connection pool of an address after a call on a connection of the
    /// generation `dropped` timed out; later calls open new connections.
    ///
    /// Does nothing if that generation has been dropped already.
    pub fn drop_connections(&self, address: SocketAddr, dropped: Generation) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        match pools.get_mut(&address) {
            Some((generation, agent)) if *generation == dropped => {
                *generation = Generation(dropped.0 + 1);
                *agent = self.new_agent();
            }
            _ => {}
        }
    }

    /// Creates a connection pool that is not shared, so that its calls open new
    /// connections.
    pub fn new_agent(&self) -> Agent {
        let config = Config::builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_age(MAX_IDLE_AGE)
            .input_buffer_size(BUFFER_BYTES)
            .output_buffer_size(BUFFER_BYTES)
            .max_idle_connections(self.max_idle)
            .max_idle_connections_per_host(self.max_idle)
            .build();
        Agent::with_parts(config, ResetConnector::default(), AddressResolver::default())
    }
}

/// Returns whether a call certainly failed before any byte of its request was sent.
pub fn was_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Returns whether a call failed because any of its timeouts elapsed, that of connecting
/// included.
pub fn is_timeout(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Timeout(_))
}
