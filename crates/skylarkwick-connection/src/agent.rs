//! HTTP connections that are dropped together once one falls silent.
//!
//! A connection may stay open and say nothing for good, because something
//! between the two ends lost track of it, while new ones work. When a call on a
//! place's connections times out, every connection of that generation is
//! dropped: later calls open new ones, and nothing is sent on the old ones.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use ureq::{Agent, config::Config, unversioned::resolver::DefaultResolver};

use crate::transport::Opener;

/// Longest time that an idle connection is kept.
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Size of each of a connection's two buffers, in bytes; messages are small, and
/// an entry host keeps hundreds of connections.
const BUFFER_BYTES: usize = 8 << 10;

/// Number of times that the connections to a place were dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Generation(u64);

/// Connections to many places.
#[derive(Clone, Debug)]
pub struct Agents {
    max_idle: usize,
    places: Arc<Mutex<BTreeMap<SocketAddr, (Generation, Agent)>>>,
}

impl Agents {
    /// Creates a set that keeps at most `max_idle` idle connections a place.
    pub fn new(max_idle: usize) -> Agents {
        Agents { max_idle, places: Arc::default() }
    }

    /// Returns the connections to a place.
    pub fn get(&self, place: SocketAddr) -> (Generation, Agent) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        let (generation, agent) =
            places.entry(place).or_insert_with(|| (Generation::default(), self.open()));
        (*generation, agent.clone())
    }

    /// Drops the connections of a generation after one of them fell silent.
    pub fn drop_silent(&self, place: SocketAddr, silent: Generation) {
        let mut places = self.places.lock().unwrap_or_else(PoisonError::into_inner);
        match places.get_mut(&place) {
            Some((generation, agent)) if *generation == silent => {
                *generation = Generation(silent.0 + 1);
                *agent = self.open();
            }
            _ => {}
        }
    }

    /// Opens connections apart from the kept ones, for one inquiry.
    pub fn open(&self) -> Agent {
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
        Agent::with_parts(config, Opener::default(), DefaultResolver::default())
    }
}

/// Tells whether a call failed before any byte of its request left.
pub fn was_not_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    }
}

/// Tells whether a call failed because nothing came back in time.
pub fn is_timeout(error: &ureq::Error) -> bool {
    matches!(error, ureq::Error::Timeout(_))
}
