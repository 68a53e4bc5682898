//! Duties: named threads, each with a single job, and the signal that stops them.

use std::{
    io, panic, process,
    sync::{Arc, Condvar, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Stop signal shared by the duties of a process; clones share one signal, and duties
/// can also sleep on it. Once requested, it stays so.
#[derive(Clone, Debug, Default)]
pub struct StopSignal {
    shared: Arc<(Mutex<bool>, Condvar)>,
}

impl StopSignal {
    /// Requests every duty that shares this signal to end, and wakes those that sleep on
    /// it; doesn't wait for them.
    pub fn request(&self) {
        let (requested, changed) = &*self.shared;
        *requested.lock().unwrap_or_else(PoisonError::into_inner) = true;
        changed.notify_all();
    }

    /// Returns whether the stop was requested.
    pub fn is_requested(&self) -> bool {
        *self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sleeps for `duration` or until the stop is requested; returns whether it was.
    pub fn sleep(&self, duration: Duration) -> bool {
        let (requested, changed) = &*self.shared;
        let guard = requested.lock().unwrap_or_else(PoisonError::into_inner);
        let (guard, _) = changed
            .wait_timeout_while(guard, duration, |requested| !*requested)
            .unwrap_or_else(PoisonError::into_inner);
        *guard
    }

    /// Blocks until the stop is requested.
    pub fn wait(&self) {
        while !self.sleep(Duration::from_secs(3600)) {}
    }
}

/// Handle of a running duty. Dropping it leaves the duty running.
#[derive(Debug)]
pub struct Duty {
    thread: thread::JoinHandle<()>,
}

/// Stack size of a duty's thread, in bytes; small, because duties do not recurse.
const STACK_BYTES: usize = 512 << 10;

impl Duty {
    /// Starts `job` on a new thread called `name`.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn spawn(name: &str, job: impl FnOnce() + Send + 'static) -> io::Result<Duty> {
        let builder = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
        Ok(Duty { thread: builder.spawn(job)? })
    }

    /// Waits until the duty has ended; returns false if it panicked.
    pub fn join(self) -> bool {
        self.thread.join().is_ok()
    }
}

/// Makes a panic of any thread end the process, after its message was printed to standard
/// error. For processes whose duties depend on each other: without one of them, the others
/// would go on and keep another process from taking over.
pub fn abort_on_panic() {
    let print = panic::take_hook();
    panic::set_hook(Box::new(move |panic| {
        print(panic);
        process::abort();
    }));
}
