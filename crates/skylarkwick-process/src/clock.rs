//! Clocks: the monotonic one of the process, and a manual one for tests.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use skylarkwick_version::moment::Moment;

/// A source of moments.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current moment.
    fn now(&self) -> Moment;
}

/// The monotonic clock of the process.
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

/// The boot-time clock of the host, which also counts time in which the host was
/// suspended; leases that others grant go on meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Moment {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Moment::from_start(Duration::new(seconds, nanos))
    }
}

/// A clock that moves only when it is told to.
#[derive(Clone, Debug, Default)]
pub struct Manual {
    now: Arc<Mutex<Moment>>,
}

impl Manual {
    /// Moves the clock forward.
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
