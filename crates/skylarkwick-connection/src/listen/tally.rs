//! What happened to connections and requests between the stop signal and the end of a listener.
//!
//! Tells a stop that cost callers requests from one that did not, see `docs/OPERATIONS.md`,
//! section "A stop that dropped requests".

use std::time::Duration;

use slog::{Logger, info};

use super::gate::Phase;

/// How a request that was answered came to its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It was read as a whole and handled.
    Handled,
    /// It was refused by its head or for its body.
    Refused,
}

/// Counts since the stop signal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Tally {
    /// Requests that were handled and answered.
    answered: u64,
    /// Requests that were refused.
    refused: u64,
    /// Connections that the listener closed while they were idle.
    closed_idle: u64,
    /// Connections that ended, by either side, in the middle of a request or a response.
    cut: u64,
}

impl Tally {
    /// Counts a response.
    pub(super) fn count_response(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Handled => self.answered += 1,
            Outcome::Refused => self.refused += 1,
        }
    }

    /// Counts an idle connection that the listener closes.
    pub(super) fn count_idle(&mut self) {
        self.closed_idle += 1;
    }

    /// Counts the end of a connection in a phase; `None` if the listener gave it up before.
    pub(super) fn count_end(&mut self, phase: Option<Phase>) {
        match phase {
            Some(Phase::Idle) | None => {}
            Some(Phase::Head | Phase::Body | Phase::Handling | Phase::Response) => self.cut += 1,
        }
    }

    /// Logs the counts of a stop that took this long.
    pub(super) fn report(&self, log: &Logger, duration: Duration) {
        let Tally { answered, refused, closed_idle, cut } = self;
        info!(log, "listener stopped"; "answered" => answered, "refused" => refused,
            "closed_idle" => closed_idle, "cut" => cut, "stop_ms" => duration.as_millis());
    }
}
