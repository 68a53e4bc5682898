//! Duties: named threads with one job each.

use std::{
    io,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Tells the duties of a process to end; they sleep on it instead of spinning.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    shared: Arc<(Mutex<bool>, Condvar)>,
}

impl StopSignal {
    /// Asks every duty that shares this stop to end.
    pub fn request(&self) {
        let (requested, changed) = &*self.shared;
        *requested.lock().unwrap_or_else(PoisonError::into_inner) = true;
        changed.notify_all();
    }

    /// Tells whether the duties were asked to end.
    pub fn is_requested(&self) -> bool {
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for `time` or until the stop; returns true on the stop.
    pub fn sleep(&self, time: Duration) -> bool {
        let (requested, changed) = &*self.shared;
        let guard = requested.lock().unwrap_or_else(PoisonError::into_inner);
        let (guard, _) = changed
            .wait_timeout_while(guard, time, |requested| !*requested)
            .unwrap_or_else(PoisonError::into_inner);
        *guard
    }

    /// Sleeps until the stop.
    pub fn wait(&self) {
        while !self.sleep(Duration::from_secs(3600)) {}
    }
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    thread: thread::JoinHandle<()>,
}

/// Bytes of stack of a duty's thread; duties do not recurse.
const STACK_BYTES: usize = 512 << 10;

impl Duty {
    /// Starts a duty on a thread of its own.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no thread can be started.
    pub fn spawn(name: &str, job: impl FnOnce() + Send + 'static) -> io::Result<Duty> {
        let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
        Ok(Duty { thread: builder.spawn(job)? })
    }

    /// Waits until the duty has ended; returns false when it panicked.
    pub fn join(self) -> bool {
        self.thread.join().is_ok()
    }
}
