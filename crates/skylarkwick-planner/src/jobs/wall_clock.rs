//! Wall-clock time, for jobs that are due at a time of day.
//!
//! The clock of a host may jump by seconds and back, so a jump is adopted only
//! after it has persisted.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use skylarkwick_version::moment::{Moment, millis};

/// Largest change of the offset that is not a jump.
const JUMP_THRESHOLD_MS: u64 = 200;
/// Time that a jump has to persist before it is adopted.
const JUMP_CONFIRMATION_TIME: Duration = Duration::from_secs(20);

/// Wall-clock time, extrapolated with the boot-time clock between adopted jumps.
#[derive(Clone, Copy, Debug)]
pub(super) struct WallClock {
    /// Unix time at the start of the boot-time clock.
    offset_ms: u64,
    /// When the system clock began to differ from this one by a jump.
    differs_since: Option<Moment>,
}

impl WallClock {
    pub(super) fn new(now: Moment) -> WallClock {
        WallClock { offset_ms: offset_ms(now), differs_since: None }
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub(super) fn unix_ms(&mut self, now: Moment) -> u64 {
        let offset_ms = offset_ms(now);
        match self.differs_since {
            _ if offset_ms.abs_diff(self.offset_ms) <= JUMP_THRESHOLD_MS => {
                self.differs_since = None
            }
            None => self.differs_since = Some(now),
            Some(since) if now.since(since) > JUMP_CONFIRMATION_TIME => {
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
