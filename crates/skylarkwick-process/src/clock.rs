//! Clocks: monotonic, boot-time, and a manual one for tests.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use skylarkwick_version::moment::Moment;

/// A source of the current time; clones read the same clock.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the start of the clock.
    fn now(&self) -> Moment;
}

/// Monotonic clock that starts at its creation and stops while the host is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic {
    start: Instant,
}

impl Default for Monotonic {
    fn default() -> Monotonic {
        Monotonic { start: Instant::now() }
    }
}

impl Clock for Monotonic {
    fn now(&self) -> Moment {
        Moment::from_start(self.start.elapsed())
    }
}

/// Clock since the host's boot. It also counts the time for which the host is
/// suspended, because leases held elsewhere continue to run meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Moment {
        let timespec = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(timespec.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(timespec.tv_nsec).unwrap_or_default();
        Moment::from_start(Duration::new(seconds, nanos))
    }
}

/// Clock for tests, which starts at zero and advances only through [`Manual::advance`];
/// clones share its time.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Arc<Mutex<Moment>>,
}

impl Manual {
    /// Advances the clock by `step`.
    pub fn advance(&self, step: Duration) {
        let mut now = self.now.lock().unwrap_or_else(PoisonError::into_inner);
        *now = *now + step;
    }
}

impl Clock for Manual {
    fn now(&self) -> Moment {
        *self.now.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
