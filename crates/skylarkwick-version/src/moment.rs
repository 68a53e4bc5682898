//! Points in time on a monotonic clock of one process.
//!
//! Decisions take the time as an argument, so that tests and measurements can
//! run them in virtual time. A [`Moment`] never leaves its process: nothing in
//! the system compares the clocks of two hosts.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// A point in time, as the duration since the start of its clock. Adding and subtracting
/// a duration saturates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Moment = Moment(Duration::ZERO);

    /// Creates the moment `elapsed` after the start of the clock.
    pub const fn from_start(elapsed: Duration) -> Moment {
        Moment(elapsed)
    }

    /// Returns the duration since the start of the clock.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_add(duration))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        Moment(self.0.saturating_sub(duration))
    }
}

/// Converts a duration to whole milliseconds, rounded down; rows and messages use them.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
