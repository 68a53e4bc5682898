//! Points in time on one process's monotonic clock.
//!
//! Decisions take the time as an argument, so that tests and measurements can
//! run them in virtual time. A [`Moment`] never leaves its process: nothing in
//! the system compares clocks of two hosts.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Time since the start of the clock that produced it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment(Duration);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Moment = Moment(Duration::ZERO);

    /// Returns the moment that lies `elapsed` after the start of the clock.
    pub const fn from_start(elapsed: Duration) -> Moment {
        Moment(elapsed)
    }

    /// Returns the time since the start of the clock.
    pub const fn since_start(self) -> Duration {
        self.0
    }

    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Moment) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, rest: Duration) -> Moment {
        Moment(self.0.saturating_add(rest))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, rest: Duration) -> Moment {
        Moment(self.0.saturating_sub(rest))
    }
}

/// Returns a time in whole milliseconds; rows and messages carry times so.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
