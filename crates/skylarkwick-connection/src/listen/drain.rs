//! Decisions about the end of a listener: how long it goes on serving after the stop signal.
//!
//! Needs no socket and reads no clock. See docs/DESIGN.md, section "Stopping a listener".

use std::time::Duration;

use super::gate::Phase;

/// How a listener ends after the stop signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// Time for which new connections are taken although none may be open, because callers are
    /// still routed here.
    pub accept_period: Duration,
    /// Time after which connections without a request are closed, and no new ones taken.
    pub idle_timeout: Duration,
    /// Time that callers then have to complete a request, or to take a response.
    pub transfer_timeout: Duration,
}

/// What a draining listener does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Serves for this long, or until its last connection ends.
    Serve(Duration),
    /// Closes idle connections and waits for the requests in progress.
    Close,
}

impl Drain {
    /// Takes no new connections and closes idle ones at once.
    pub const IMMEDIATE: Drain = Drain {
        accept_period: Duration::ZERO,
        idle_timeout: Duration::ZERO,
        transfer_timeout: Duration::from_secs(2),
    };

    /// Decides what to do this long after the stop signal, with this many open connections.
    pub fn step(&self, elapsed: Duration, connections: usize) -> Step {
        match connections {
            _ if elapsed < self.accept_period => Step::Serve(self.accept_period - elapsed),
            1.. if elapsed < self.idle_timeout => Step::Serve(self.idle_timeout - elapsed),
            _ => Step::Close,
        }
    }
}

/// Returns whether a connection in a phase is closed at the end of the drain without another
/// response. One whose caller has begun a request is read on.
pub const fn is_closed_in(phase: Phase) -> bool {
    matches!(phase, Phase::Idle)
}
