//! A TCP relay that can cut, silence or freeze the connections through it.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use skylarkwick_process::duty::{Duty, StopSignal};

/// How often a connection without traffic looks for the stop.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes copied at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What a relay does with what comes in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    /// Hands it on.
    #[default]
    Pass,
    /// Closes every connection and opens none.
    Cut,
    /// Holds everything back until it passes again.
    Frozen,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    target: Option<SocketAddr>,
}

/// A running relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Where the relay listens.
    pub address: SocketAddr,
    delay: Duration,
    state: Arc<(Mutex<State>, Condvar)>,
    silenced: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    stop: StopSignal,
}

impl Relay {
    /// Starts a relay that delays what it hands on by `delay`.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no address can be listened on.
    pub fn start(delay: Duration, stop: StopSignal) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            delay,
            state: Arc::default(),
            silenced: Arc::default(),
            opened: Arc::default(),
            stop,
        };
        let shared = relay.clone();
        Duty::spawn("relay", move || {
            for near in listener.incoming().flatten() {
                if shared.stop.is_requested() {
                    return;
                }
                shared.connect(&near);
            }
        })?;
        Ok(relay)
    }

    /// Says where connections lead from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.change(|state| state.target = Some(target));
    }

    /// Closes every connection and refuses new ones.
    pub fn disconnect(&self) {
        self.change(|state| state.mode = Mode::Cut);
    }

    /// Holds back everything that comes in.
    pub fn freeze(&self) {
        self.change(|state| state.mode = Mode::Frozen);
    }

    /// Ends a cut or a freeze.
    pub fn resume(&self) {
        self.change(|state| state.mode = Mode::Pass);
    }

    /// Lets the connections open now stay open but carry nothing any more; new
    /// ones work.
    pub fn blackhole(&self) {
        self.silenced.store(self.opened.load(Ordering::Acquire), Ordering::Release);
    }

    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap_or_else(PoisonError::into_inner));
        self.state.1.notify_all();
    }

    fn connect(&self, near: &TcpStream) {
        let target = {
            let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
            match state.mode {
                Mode::Cut => None,
                Mode::Pass | Mode::Frozen => state.target,
            }
        };
        let Some(far) = target.and_then(|target| TcpStream::connect(target).ok()) else { return };
        let number = 1 + self.opened.fetch_add(1, Ordering::AcqRel);
        for (from, to) in [(near, &far), (&far, near)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let relay = self.clone();
            let copying = Duty::spawn("relay-copy", move || {
                // An error ends the connection, which is all that a relay can do about it.
                let _ = relay.copy(&from, &to, number);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
            if copying.is_err() {
                return;
            }
        }
    }

    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, number: u64) -> io::Result<()> {
        from.set_read_timeout(Some(READ_TIMEOUT))?;
        to.set_nodelay(true)?;
        let mut buffer = [0; BUFFER_BYTES];
        while self.may_pass() {
            match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(_) if number <= self.silenced.load(Ordering::Acquire) => {}
                Ok(length) => {
                    if !self.delay.is_zero() {
                        std::thread::sleep(self.delay);
                    }
                    if !self.may_pass() {
                        return Ok(());
                    }
                    to.write_all(&buffer[..length])?;
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Waits while the relay is frozen; returns false once it is cut.
    fn may_pass(&self) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.mode == Mode::Frozen && !self.stop.is_requested() {
            (state, _) =
                changed.wait_timeout(state, READ_TIMEOUT).unwrap_or_else(PoisonError::into_inner);
        }
        state.mode != Mode::Cut && !self.stop.is_requested()
    }
}
