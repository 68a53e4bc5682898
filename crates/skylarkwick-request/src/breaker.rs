//! A circuit breaker for each worker.
//!
//! A worker that fails everything it starts answers fast and would draw the
//! most work of all. Its breaker opens after a run of failures, lets a few
//! probes through after a cooldown, and doubles the cooldown while they fail.
//! The states and the doubling follow the paper cited in `docs/DESIGN.md`,
//! section "Choice of worker"; the measurement there says what they bring.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// Failures in a row that open the breaker.
const FAILURES_TO_OPEN: u32 = 3;
/// Successes in a row that close a half-open breaker.
const PROBES_TO_CLOSE: u32 = 3;
/// Probes in progress at once while the breaker is half open.
const PROBES_AT_ONCE: u32 = 1;
/// First cooldown.
const MIN_COOLDOWN: Duration = Duration::from_millis(500);
/// Longest cooldown.
const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// State of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Work flows.
    Closed,
    /// No work flows until the moment given.
    Open {
        /// End of the cooldown.
        until: Moment,
    },
    /// A few probes flow.
    HalfOpen,
}

/// The breaker of one worker.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    in_a_row: u32,
    probes: u32,
    cooldown: Duration,
}

impl Default for Breaker {
    fn default() -> Breaker {
        Breaker { state: State::Closed, in_a_row: 0, probes: 0, cooldown: MIN_COOLDOWN }
    }
}

impl Breaker {
    /// Returns the state at a moment.
    pub fn state(&self, now: Moment) -> State {
        match self.state {
            State::Open { until } if now >= until => State::HalfOpen,
            state => state,
        }
    }

    /// Tells whether the breaker is open or half open.
    pub fn is_tripped(&self) -> bool {
        self.state != State::Closed
    }

    /// Tells whether the worker may be given work.
    pub fn admits(&self, now: Moment) -> bool {
        match self.state(now) {
            State::Closed => true,
            State::Open { .. } => false,
            State::HalfOpen => self.probes < PROBES_AT_ONCE,
        }
    }

    /// Notes that the worker was given work.
    pub fn record_start(&mut self, now: Moment) {
        if self.state(now) == State::HalfOpen {
            self.half_open();
            self.probes += 1;
        }
    }

    /// Notes how the work ended; `may_open` is false once the share of the pool
    /// that may be open is used up.
    pub fn record_result(&mut self, succeeded: bool, may_open: bool, now: Moment) {
        self.probes = self.probes.saturating_sub(1);
        match (self.state(now), succeeded) {
            (State::Closed, true) => self.in_a_row = 0,
            (State::Closed, false) => {
                self.in_a_row += 1;
                if self.in_a_row >= FAILURES_TO_OPEN && may_open {
                    self.open(now);
                }
            }
            (State::HalfOpen, true) => {
                self.half_open();
                self.in_a_row += 1;
                if self.in_a_row >= PROBES_TO_CLOSE {
                    *self = Breaker::default();
                }
            }
            (State::HalfOpen, false) => {
                self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
                self.open(now);
            }
            (State::Open { .. }, _) => {}
        }
    }

    fn half_open(&mut self) {
        if let State::Open { .. } = self.state {
            self.state = State::HalfOpen;
            self.in_a_row = 0;
            self.probes = 0;
        }
    }

    fn open(&mut self, now: Moment) {
        self.state = State::Open { until: now + self.cooldown };
        self.in_a_row = 0;
        self.probes = 0;
    }
}
