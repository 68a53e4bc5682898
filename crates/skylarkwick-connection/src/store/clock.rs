//! Times that rows tell by the store's clock.

use std::time::Duration;

use skylarkwick_version::moment::{Moment, millis};

/// A time on the local clock, and on the store's clock at the same time.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// Time on the local clock.
    pub now: Moment,
    /// Time on the store's clock, in milliseconds.
    pub store_ms: u64,
}

impl Reading {
    /// Returns the time on the store's clock, in milliseconds, at a local time; zero for one
    /// before the store's clock began.
    pub fn store_ms(self, moment: Moment) -> u64 {
        let later_ms = millis(moment.since(self.now));
        let earlier_ms = millis(self.now.since(moment));
        self.store_ms.saturating_add(later_ms).saturating_sub(earlier_ms)
    }

    /// Returns the local time at a time on the store's clock, in milliseconds; the start of the
    /// local clock for one before it.
    pub fn moment(self, store_ms: u64) -> Moment {
        let duration = |ms| Duration::from_millis(ms);
        let later = duration(store_ms.saturating_sub(self.store_ms));
        let earlier = duration(self.store_ms.saturating_sub(store_ms));
        self.now + later - earlier
    }
}
