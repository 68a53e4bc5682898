//! Wall-clock time, for jobs that are due at a time of day.
//!
//! The clock of a host may jump by seconds and back, so a jump is adopted only
//! after it has persisted.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use skylarkwick_version::moment::{Moment, millis};

/// Largest difference between the system clock and the extrapolated time that does not
/// count as a jump, in milliseconds; it is ignored.
const JUMP_THRESHOLD_MS: u64 = 200;
/// Time for which every reading of the system clock has to differ by a jump before the
/// last reading is adopted.
const JUMP_CONFIRMATION_TIME: Duration = Duration::from_secs(20);

/// Wall-clock time: the system clock when it was last adopted, extrapolated with the
/// boot-time clock. A jump of the system clock is adopted after
/// [`JUMP_CONFIRMATION_TIME`].
#[derive(Clone, Copy, Debug)]
pub(super) struct WallClock {
    /// Unix time at the start of the boot-time clock, in milliseconds.
    offset_ms: u64,
    /// When the system clock began to differ from this one by a jump.
    differs_since: Option<Moment>,
}

impl WallClock {
    /// Creates a clock with the current time of the system clock; `now` is the boot-time
    /// clock.
    pub(super) fn new(now: Moment) -> WallClock {
        WallClock { offset_ms: offset_ms(now), differs_since: None }
    }

    /// Returns the wall-clock time in Unix milliseconds. Also compares it with the system
    /// clock, and adopts a jump that has persisted; `now` is the boot-time clock.
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

/// Returns the Unix time at the start of the boot-time clock, in milliseconds, according to
/// the system clock; never below zero.
fn offset_ms(now: Moment) -> u64 {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(unix).saturating_sub(millis(now.since_start()))
}
