//! What an entry host does with a submission while the store refuses it.
//!
//! It writes by itself while the store takes its writes. Otherwise it hands the submission over to
//! a neighbour, which may reach the store, and waits for its own turn within the caller's
//! deadline. Nothing here reads a clock or does I/O. See `docs/design/submissions.md`.

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// Shortest pause before a submission is tried again.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before a submission is tried again.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Shortest and longest pause of an entry host that hands over what the store refuses; what it
/// tries again takes the room of those that write for many.
const OWN_PAUSES: Pauses =
    Pauses { min: Duration::from_millis(800), max: Duration::from_millis(3200) };
/// Shortest and longest pause of an entry host that writes for others.
const GROUP_PAUSES: Pauses =
    Pauses { min: Duration::from_millis(100), max: Duration::from_millis(200) };
/// Pause after a write without an answer, before it is repeated.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(100);
/// Neighbours that are asked in a row before the next pause.
const NEIGHBOURS_IN_A_ROW: u32 = 2;
/// Time that a write takes while the store has more of them than it can carry out at once.
const SLOW_WRITE: Duration = Duration::from_millis(300);
/// Writes of a group that are refused in a row before its rows are given back to their hosts.
pub const MAX_GROUP_REFUSALS: u32 = 6;
/// Time before the deadline that is kept for a last attempt.
const LAST_CALL_TIME: Duration = Duration::from_millis(300);
/// Shortest time in which a call can still be of use.
const MIN_CALL_TIME: Duration = Duration::from_millis(40);

/// Bounds of a pause that grows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pauses {
    min: Duration,
    max: Duration,
}

/// Whether an entry host writes to a partition by itself: after a refusal it pauses, longer each
/// time, and then one write at a time finds out whether the store takes them again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gate {
    pause: Duration,
    pauses: Pauses,
    paused_until: Moment,
}

impl Gate {
    /// An open gate for writes of single submissions.
    pub const fn of_own_writes() -> Gate {
        Gate { pause: Duration::ZERO, pauses: OWN_PAUSES, paused_until: Moment::ZERO }
    }

    /// An open gate for writes of many submissions together.
    pub const fn of_group_writes() -> Gate {
        Gate { pauses: GROUP_PAUSES, ..Gate::of_own_writes() }
    }

    /// Returns when a write may be sent next.
    pub const fn next_write(&self) -> Moment {
        self.paused_until
    }

    /// Returns whether a write may be sent now; while writes are refused, one is each pause.
    pub fn admit(&mut self, now: Moment) -> bool {
        if now < self.paused_until {
            return false;
        }
        self.paused_until = now + self.pause;
        true
    }

    /// Records that the store has refused a write, or could not be reached.
    pub fn record_refusal(&mut self, now: Moment) {
        self.pause = (self.pause * 2).clamp(self.pauses.min, self.pauses.max);
        self.paused_until = now + self.pause;
    }

    /// Records that the store has answered a write, which took this long. After a slow answer,
    /// single writes pause as after a refusal, so that the store can carry out those of many
    /// submissions together.
    pub fn record_answer(&mut self, now: Moment, took: Duration) {
        match took > SLOW_WRITE && self.pauses == OWN_PAUSES {
            true => self.record_refusal(now),
            false => (self.pause, self.paused_until) = (Duration::ZERO, Moment::ZERO),
        }
    }

    /// Returns whether writes are refused.
    pub fn is_refusing(&self) -> bool {
        self.pause > Duration::ZERO
    }
}

/// The next step of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Write the job's row.
    Write,
    /// Hand the submission over to a neighbour.
    HandOver,
    /// Wait this long.
    Wait(Duration),
    /// The caller's time is over, or would pass in vain: the submission is in doubt.
    GiveUp,
}

/// How a write or a hand-over ended that has not settled the submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was stored.
    Refused,
    /// The job may be stored, now or later.
    Unanswered,
}

/// A submission that is not settled yet.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    deadline: Moment,
    /// Position of the caller's entry host among those that try again, from 0 to 1; it spreads
    /// their attempts.
    spread: f64,
    pause: Duration,
    /// Neighbours that were asked since the last pause.
    asked: u32,
    waits: Option<Duration>,
    is_own_turn: bool,
}

impl Attempts {
    /// Begins a submission whose caller waits until `deadline`.
    pub fn new(deadline: Moment, spread: f64) -> Attempts {
        let spread = spread.clamp(0.0, 1.0);
        Attempts { deadline, spread, pause: MIN_PAUSE, asked: 0, waits: None, is_own_turn: true }
    }

    /// Returns the time until the caller's deadline.
    pub fn time_left(&self, now: Moment) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the next step. `gate` decides whether this entry host may write; a neighbour is
    /// asked only if there is one.
    pub fn next(&mut self, now: Moment, gate: &mut Gate, has_neighbour: bool) -> Action {
        let left = self.deadline.since(now);
        if left < MIN_CALL_TIME {
            return Action::GiveUp;
        }
        if let Some(wait) = self.waits.take() {
            // The last attempt comes early enough for a call.
            return match left.saturating_sub(LAST_CALL_TIME) {
                Duration::ZERO => Action::GiveUp,
                spare => Action::Wait(wait.min(spare)),
            };
        }
        if std::mem::take(&mut self.is_own_turn) && gate.admit(now) {
            return Action::Write;
        }
        if has_neighbour && self.asked < NEIGHBOURS_IN_A_ROW {
            self.asked += 1;
            return Action::HandOver;
        }
        self.pause_until_next_turn();
        self.next(now, gate, has_neighbour)
    }

    /// Records that the last write or hand-over has not settled the submission.
    pub fn record(&mut self, failure: Failure) {
        if failure == Failure::Unanswered {
            // The same write, by whomever, tells whether it was carried out.
            self.waits = Some(UNANSWERED_PAUSE);
            self.is_own_turn = true;
        }
    }

    fn pause_until_next_turn(&mut self) {
        self.waits = Some(self.pause.mul_f64(0.5 + self.spread));
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        self.asked = 0;
        self.is_own_turn = true;
    }
}
