//! A TCP relay that can close, freeze or black-hole the connections through it.

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

/// Interval at which an idle connection checks for the stop signal and for a change of
/// mode.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of bytes that are copied at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What the relay does with incoming connections and data: forwards it, closes the
/// connections, or holds the data back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Mode {
    /// Forwards data.
    #[default]
    Forward,
    /// Closes open and new connections.
    Disconnected,
    /// Holds data back until forwarding resumes.
    Frozen,
}

/// Mode of a relay, and the address that new connections are forwarded to; without one
/// they are closed.
#[derive(Debug, Default)]
struct State {
    mode: Mode,
    target: Option<SocketAddr>,
}

/// Handle to a running TCP relay between clients and one server; clones share the
/// relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// The address that the relay listens on.
    pub address: SocketAddr,
    delay: Duration,
    state: Arc<(Mutex<State>, Condvar)>,
    /// Number of the last connection whose data is dropped.
    last_blackholed: Arc<AtomicU64>,
    opened: Arc<AtomicU64>,
    stop: StopSignal,
}

impl Relay {
    /// Starts a relay on a free port of the loopback address, without a target; it
    /// delays data by `delay` in each direction.
    ///
    /// After `stop` is requested, it closes its connections and accepts no new ones.
    ///
    /// # Errors
    ///
    /// Returns an I/O error when no address can be bound or no thread can be started.
    pub fn start(delay: Duration, stop: StopSignal) -> io::Result<Relay> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let relay = Relay {
            address: listener.local_addr()?,
            delay,
            state: Arc::default(),
            last_blackholed: Arc::default(),
            opened: Arc::default(),
            stop,
        };
        let shared = relay.clone();
        Duty::spawn("relay", move || {
            for client in listener.incoming().flatten() {
                if shared.stop.is_requested() {
                    return;
                }
                shared.connect(&client);
            }
        })?;
        Ok(relay)
    }

    /// Sets the address that new connections are forwarded to; open ones keep theirs.
    pub fn set_target(&self, target: SocketAddr) {
        self.change(|state| state.target = Some(target));
    }

    /// Closes every connection, and new ones as they come in.
    pub fn disconnect(&self) {
        self.change(|state| state.mode = Mode::Disconnected);
    }

    /// Holds back all data without closing connections, until [`Relay::resume`].
    pub fn freeze(&self) {
        self.change(|state| state.mode = Mode::Frozen);
    }

    /// Undoes [`Relay::disconnect`] and [`Relay::freeze`].
    pub fn resume(&self) {
        self.change(|state| state.mode = Mode::Forward);
    }

    /// Drops all further data on the connections open now, without closing them;
    /// connections opened later work.
    pub fn blackhole(&self) {
        self.last_blackholed.store(self.opened.load(Ordering::Acquire), Ordering::Release);
    }

    /// Changes the relay's state and wakes the connections that wait for a change.
    fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state.0.lock().unwrap_or_else(PoisonError::into_inner));
        self.state.1.notify_all();
    }

    /// Connects a client to the target and starts a thread for each direction. The
    /// client is closed if the relay is disconnected, has no target or can't reach it.
    fn connect(&self, client: &TcpStream) {
        let target = {
            let state = self.state.0.lock().unwrap_or_else(PoisonError::into_inner);
            match state.mode {
                Mode::Disconnected => None,
                Mode::Forward | Mode::Frozen => state.target,
            }
        };
        let Some(server) = target.and_then(|target| TcpStream::connect(target).ok()) else {
            return;
        };
        let number = 1 + self.opened.fetch_add(1, Ordering::AcqRel);
        for (from, to) in [(client, &server), (&server, client)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { return };
            let relay = self.clone();
            let spawned = Duty::spawn("relay-copy", move || {
                // On an error the relay can only close the connection, as it does below.
                let _ = relay.copy(&from, &to, number);
                let _ = from.shutdown(Shutdown::Both);
                let _ = to.shutdown(Shutdown::Both);
            });
            if spawned.is_err() {
                return;
            }
        }
    }

    /// Copies data in one direction until either end closes, or the relay is
    /// disconnected or stopped. `number` is that of the connection, by which a
    /// blackholed one is recognized; its data is read and dropped.
    fn copy(&self, mut from: &TcpStream, mut to: &TcpStream, number: u64) -> io::Result<()> {
        from.set_read_timeout(Some(READ_TIMEOUT))?;
        to.set_nodelay(true)?;
        let mut buffer = [0; BUFFER_BYTES];
        while self.wait_until_open() {
            match from.read(&mut buffer) {
                Ok(0) => return Ok(()),
                Ok(_) if number <= self.last_blackholed.load(Ordering::Acquire) => {}
                Ok(length) => {
                    if !self.delay.is_zero() {
                        std::thread::sleep(self.delay);
                    }
                    if !self.wait_until_open() {
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

    /// Waits while the relay is frozen; returns false once it is disconnected or stopped.
    fn wait_until_open(&self) -> bool {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        while state.mode == Mode::Frozen && !self.stop.is_requested() {
            (state, _) =
                changed.wait_timeout(state, READ_TIMEOUT).unwrap_or_else(PoisonError::into_inner);
        }
        state.mode != Mode::Disconnected && !self.stop.is_requested()
    }
}
