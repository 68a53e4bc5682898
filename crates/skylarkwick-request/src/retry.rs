//! When an attempt may be followed by another.
//!
//! An attempt that did not run may always be followed by another. One whose
//! outcome is unknown may be followed only where the work may be repeated. A
//! retry budget keeps a total outage from being multiplied by its retries.

use skylarkwick_version::moment::Moment;

use crate::outcome::{Outcome, Refusal};

/// Most attempts at one request.
const MAX_ATTEMPTS: u32 = 4;
/// Thousandths of a retry that each first attempt earns.
const EARNED_MILLI: u32 = 200;
/// Thousandths of a retry that one costs.
const COST_MILLI: u32 = 1000;
/// Most thousandths of a retry that can be saved up.
const MAX_MILLI: u32 = 50_000;

/// Retries that a pool has left.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milli: u32,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { milli: MAX_MILLI / 5 }
    }
}

impl Budget {
    /// Earns a part of a retry for a first attempt.
    pub fn earn(&mut self) {
        self.milli = (self.milli + EARNED_MILLI).min(MAX_MILLI);
    }

    fn spend(&mut self) -> bool {
        match self.milli >= COST_MILLI {
            true => {
                self.milli -= COST_MILLI;
                true
            }
            false => false,
        }
    }
}

/// What follows an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Put the request back into the queue.
    Retry,
    /// Tell the caller.
    Finish,
}

/// What is known of a request whose attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct AttemptedRequest {
    /// Attempts so far.
    pub attempts: u32,
    /// Whether the work may be run more than once.
    pub is_repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// Decides what follows an attempt.
pub fn decide<A>(
    outcome: &Outcome<A>,
    attempted: AttemptedRequest,
    budget: &mut Budget,
    now: Moment,
) -> Decision {
    let may_repeat = match outcome {
        Outcome::Done(_) => false,
        Outcome::NotRun(Refusal::Backend(_) | Refusal::Unreachable) => true,
        Outcome::NotRun(_) => false,
        Outcome::Unknown(_) => attempted.is_repeatable,
    };
    match may_repeat && attempted.attempts < MAX_ATTEMPTS && now < attempted.deadline {
        true if budget.spend() => Decision::Retry,
        _ => Decision::Finish,
    }
}
