//! Circuit breaker of a worker.
//!
//! A worker that fails every task frees its slots quickly and would attract most
//! of the work. Its breaker opens after consecutive failures, admits probes after
//! a cooldown, and doubles the cooldown each time a probe fails. The states and
//! the doubling follow the paper cited in `docs/DESIGN.md`, section "Choice of
//! worker", which also has measurements of the effect.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// Consecutive failures that open a closed breaker, if the caller allows it.
const FAILURES_TO_OPEN: u32 = 3;
/// Consecutive successful probes that close a half-open breaker.
const SUCCESSES_TO_CLOSE: u32 = 3;
/// Maximum number of concurrent probes while the breaker is half open.
const MAX_CONCURRENT_PROBES: u32 = 1;
/// Time from opening a closed breaker until it admits a probe. Each failed probe doubles it, up
/// to [`MAX_COOLDOWN`].
const MIN_COOLDOWN: Duration = Duration::from_millis(500);
/// Maximum time from opening a breaker until it admits a probe.
const MAX_COOLDOWN: Duration = Duration::from_secs(30);

/// State of a breaker: closed, which admits all work, open, which admits none, or half open,
/// which admits probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Work is admitted.
    Closed,
    /// No work is admitted until the cooldown ends.
    Open {
        /// End of the cooldown.
        until: Moment,
    },
    /// One probe at a time is admitted: work that shows whether the worker has recovered.
    HalfOpen,
}

/// Circuit breaker of one worker: its state, the consecutive results that count towards the
/// next state, the probes in progress, and the length of the next cooldown.
#[derive(Clone, Copy, Debug)]
pub struct Breaker {
    state: State,
    /// Consecutive failures while closed, successful probes while half open.
    consecutive_results: u32,
    probes_in_progress: u32,
    cooldown: Duration,
}

impl Default for Breaker {
    /// Returns a closed [`Breaker`] with the shortest cooldown.
    fn default() -> Breaker {
        Breaker {
            state: State::Closed,
            consecutive_results: 0,
            probes_in_progress: 0,
            cooldown: MIN_COOLDOWN,
        }
    }
}

impl Breaker {
    /// Returns the state at `now`; an open breaker counts as half open once its cooldown has
    /// ended.
    pub fn state(&self, now: Moment) -> State {
        match self.state {
            State::Open { until } if now >= until => State::HalfOpen,
            state => state,
        }
    }

    /// Tells whether the breaker is open, even if its cooldown has ended, or half open.
    pub fn is_tripped(&self) -> bool {
        self.state != State::Closed
    }

    /// Tells whether the worker may be sent work at `now`: always if the breaker is closed,
    /// never during the cooldown, and only while no probe is in progress if it is half open.
    pub fn admits(&self, now: Moment) -> bool {
        match self.state(now) {
            State::Closed => true,
            State::Open { .. } => false,
            State::HalfOpen => self.probes_in_progress < MAX_CONCURRENT_PROBES,
        }
    }

    /// Records that work was sent to the worker. It counts as a probe if the breaker is half
    /// open; otherwise nothing changes.
    pub fn record_start(&mut self, now: Moment) {
        if self.state(now) == State::HalfOpen {
            self.enter_half_open();
            self.probes_in_progress += 1;
        }
    }

    /// Records the result of work on the worker.
    ///
    /// Three failures in a row open a closed breaker. A failure while half open opens it again
    /// for twice as long as before, up to 30 seconds, and three successes in a row close it;
    /// every result that arrives then counts as that of a probe, also of work sent earlier.
    /// Results that arrive during the cooldown do not change the state.
    ///
    /// A closed breaker opens only if `may_open` is set; until then its failures are still
    /// counted. It is unset if one more open breaker would exceed the maximum share in the
    /// pool.
    pub fn record_result(&mut self, succeeded: bool, may_open: bool, now: Moment) {
        self.probes_in_progress = self.probes_in_progress.saturating_sub(1);
        match (self.state(now), succeeded) {
            (State::Closed, true) => self.consecutive_results = 0,
            (State::Closed, false) => {
                self.consecutive_results += 1;
                if self.consecutive_results >= FAILURES_TO_OPEN && may_open {
                    self.trip(now);
                }
            }
            (State::HalfOpen, true) => {
                self.enter_half_open();
                self.consecutive_results += 1;
                if self.consecutive_results >= SUCCESSES_TO_CLOSE {
                    *self = Breaker::default();
                }
            }
            (State::HalfOpen, false) => {
                self.cooldown = (self.cooldown * 2).min(MAX_COOLDOWN);
                self.trip(now);
            }
            (State::Open { .. }, _) => {}
        }
    }

    /// Makes an open breaker half open, without probes; does nothing in another state. The
    /// caller has checked that the cooldown has ended.
    fn enter_half_open(&mut self) {
        if let State::Open { .. } = self.state {
            self.state = State::HalfOpen;
            self.consecutive_results = 0;
            self.probes_in_progress = 0;
        }
    }

    /// Opens the breaker for the present cooldown and resets its counts.
    fn trip(&mut self, now: Moment) {
        self.state = State::Open { until: now + self.cooldown };
        self.consecutive_results = 0;
        self.probes_in_progress = 0;
    }
}
