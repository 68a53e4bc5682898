//! The time of day, for jobs that are due at a time.
//!
//! The time of day of a host may jump by seconds and back. A jump is taken over
//! only once it has lasted.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use skylarkwick_version::moment::{Moment, millis};

/// Difference below which the time of day has not jumped.
const JUMP_MS: u64 = 200;
/// How long a jump has to last until it is taken over.
const ACCEPTED_AFTER: Duration = Duration::from_secs(20);

/// The time of day, steadied by the boot-time clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wall {
    offset_ms: u64,
    differs_since: Option<Moment>,
}

impl Wall {
    pub(super) fn new(now: Moment) -> Wall {
        Wall { offset_ms: offset_ms(now), differs_since: None }
    }

    /// Returns the time of day in Unix milliseconds.
    pub(super) fn unix_ms(&mut self, now: Moment) -> u64 {
        let offset_ms = offset_ms(now);
        match self.differs_since {
            _ if offset_ms.abs_diff(self.offset_ms) <= JUMP_MS => self.differs_since = None,
            None => self.differs_since = Some(now),
            Some(since) if now.since(since) > ACCEPTED_AFTER => {
                self.offset_ms = offset_ms;
                self.differs_since = None;
            }
            Some(_) => {}
        }
        self.offset_ms + millis(now.since_start())
    }
}

fn offset_ms(now: Moment) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(unix).saturating_sub(millis(now.since_start()))
}
