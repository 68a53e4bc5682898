//! Decides whether a failed attempt is retried.
//!
//! An attempt that a backend server did not run may be retried. One whose outcome
//! is unknown may be retried only if the work is repeatable. A retry budget
//! limits the load that retries add during an outage.

use skylarkwick_version::moment::Moment;

use crate::outcome::{Outcome, Refusal};

/// Maximum number of attempts at one request, including the first.
const MAX_ATTEMPTS: u32 = 4;
/// Budget added for each admitted request, in thousandths of a retry.
const EARNED_MILLIRETRIES: u32 = 200;
/// Cost of a retry, in thousandths of a retry.
const COST_MILLIRETRIES: u32 = 1000;
/// Maximum budget, in thousandths of a retry.
const MAX_MILLIRETRIES: u32 = 50_000;

/// Retry budget of a pool at one entry host: each admitted request adds a fifth of a retry,
/// up to 50 retries, and it starts with ten.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    milliretries: u32,
}

impl Default for Budget {
    /// Returns a [`Budget`] of ten retries, a fifth of the maximum.
    fn default() -> Budget {
        Budget { milliretries: MAX_MILLIRETRIES / 5 }
    }
}

impl Budget {
    /// Adds the budget for an admitted request, a fifth of a retry, up to the maximum.
    pub fn earn(&mut self) {
        self.milliretries = (self.milliretries + EARNED_MILLIRETRIES).min(MAX_MILLIRETRIES);
    }

    /// Takes one retry from the budget. Returns false, and takes nothing, if less than one is
    /// left.
    fn spend(&mut self) -> bool {
        match self.milliretries >= COST_MILLIRETRIES {
            true => {
                self.milliretries -= COST_MILLIRETRIES;
                true
            }
            false => false,
        }
    }
}

/// What follows an attempt that has ended: a retry, or the end of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Requeue the request for another attempt.
    Retry,
    /// Complete the request without another attempt.
    Finish,
}

/// What the decision on a retry depends on, of a request whose attempt has ended: its number
/// of attempts, whether it is repeatable, and its deadline.
#[derive(Clone, Copy, Debug)]
pub struct AttemptedRequest {
    /// Number of attempts so far, including the one that has ended.
    pub attempts: u32,
    /// Whether the work may be run more than once.
    pub is_repeatable: bool,
    /// When the caller stops waiting.
    pub deadline: Moment,
}

/// Decides what follows an attempt that ended with `outcome`. The request is retried if the
/// backend server refused it or could not be reached, or if the outcome is unknown and the
/// work is repeatable; but only before the deadline, after fewer than four attempts, and if
/// `budget` has a retry left, which is then taken from it.
pub fn decide<A>(
    outcome: &Outcome<A>,
    attempted: AttemptedRequest,
    budget: &mut Budget,
    now: Moment,
) -> Decision {
    let may_retry = match outcome {
        Outcome::Done(_) => false,
        Outcome::NotRun(Refusal::Backend(_) | Refusal::Unreachable) => true,
        Outcome::NotRun(_) => false,
        Outcome::Unknown(_) => attempted.is_repeatable,
    };
    match may_retry && attempted.attempts < MAX_ATTEMPTS && now < attempted.deadline {
        true if budget.spend() => Decision::Retry,
        _ => Decision::Finish,
    }
}
