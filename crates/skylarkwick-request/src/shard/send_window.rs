//! Limit of the runs that hold room on servers before a server has confirmed their start.
//!
//! A holder that plans more starts than it can send fills its servers with reservations:
//! tasks that could run find no room, orders are sent after they have become void, and the
//! holder achieves less the more work waits. The limit follows Little's law: at the rate at
//! which starts are confirmed, the planned ones are confirmed within [`MAX_START_DELAY`]. See
//! `docs/DESIGN.md`, section "Overload".

use std::time::Duration;

use skylarkwick_version::moment::Moment;

/// Time within which a planned start should be confirmed at the measured rate; below the
/// time after which servers reject a start.
const MAX_START_DELAY: Duration = Duration::from_millis(500);
/// Time over which confirmed starts are counted for one measurement of the rate.
const MEASURING_PERIOD: Duration = Duration::from_millis(500);
/// Smallest limit, so that the rate can be measured and rise again after an outage.
const MIN_LIMIT: usize = 64;
/// Limit before the first measurement.
const INITIAL_LIMIT: usize = 256;
/// Weight of the latest measurement in the moving mean of the rate.
const RATE_WEIGHT: f64 = 0.5;

/// Measures the rate of confirmed starts and limits the unconfirmed ones by it.
#[derive(Clone, Debug)]
pub(super) struct SendWindow {
    /// Most runs that may be planned or sent without a confirmation.
    limit: usize,
    /// Moving mean of the confirmed starts a second while the limit was reached; `None`
    /// before.
    rate: Option<f64>,
    /// Confirmed starts in the current measurement.
    confirmed: u32,
    /// Whether the limit was reached in the current measurement.
    is_limiting: bool,
    /// When the current measurement began.
    period_start: Moment,
}

impl Default for SendWindow {
    fn default() -> SendWindow {
        SendWindow {
            limit: INITIAL_LIMIT,
            rate: None,
            confirmed: 0,
            is_limiting: false,
            period_start: Moment::ZERO,
        }
    }
}

impl SendWindow {
    /// Counts a start that a server has confirmed.
    pub(super) fn record_confirmed(&mut self) {
        self.confirmed += 1;
    }

    /// Returns how many more runs may be planned while this many are unconfirmed; zero
    /// counts as reaching the limit.
    pub(super) fn remaining(&mut self, unconfirmed: usize) -> usize {
        let remaining = self.limit.saturating_sub(unconfirmed);
        self.is_limiting |= remaining == 0;
        remaining
    }

    /// Returns whether no further run may be planned while this many are unconfirmed.
    pub(super) fn is_full(&self, unconfirmed: usize) -> bool {
        unconfirmed >= self.limit
    }

    /// Records that the limit was reached, so that tasks wait that a server had room for.
    pub(super) fn record_limit(&mut self) {
        self.is_limiting = true;
    }

    /// Ends the current measurement once it has lasted for [`MEASURING_PERIOD`]. The limit
    /// rises with the rate at any time, but falls only if it was reached meanwhile: a low
    /// rate for lack of work says nothing about the holder.
    pub(super) fn measure(&mut self, now: Moment) {
        let elapsed = now.since(self.period_start);
        if elapsed < MEASURING_PERIOD {
            return;
        }
        let rate = f64::from(self.confirmed) / elapsed.as_secs_f64();
        let supported = limit_at(rate);
        match self.is_limiting {
            true => {
                let mean = self.rate.map_or(rate, |mean| mean + RATE_WEIGHT * (rate - mean));
                self.rate = Some(mean);
                self.limit = limit_at(mean);
            }
            false => self.limit = self.limit.max(supported),
        }
        self.confirmed = 0;
        self.is_limiting = false;
        self.period_start = now;
    }
}

/// Returns the number of starts that are confirmed within [`MAX_START_DELAY`] at this rate a
/// second, at least [`MIN_LIMIT`].
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn limit_at(rate: f64) -> usize {
    ((rate * MAX_START_DELAY.as_secs_f64()) as usize).max(MIN_LIMIT)
}
