//! HTTP listener, used for callers and by the stand-ins.
//!
//! The library serves each connection on a thread of its own: it hands a new
//! connection to an idle thread or spawns one. If several connections arrive
//! within the wake-up time of a thread, the library hands over more connections
//! than it has idle threads, and the rest stay unread until another connection
//! closes. `keep_spare_threads` therefore opens and closes a few connections
//! at regular intervals: their threads pick up the unread connections and then
//! stay idle as spares. Their number is small, because the system keeps each
//! closed connection in its tables for a minute.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use rouille::{Request, Response, Server};
use skylarkwick_process::duty::{Duty, StopSignal};

/// Longest time that a listener waits for a connection before it checks the stop signal.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between batches of spare threads; shorter than the 5 s for which the library
/// keeps an idle thread.
const SPARE_INTERVAL: Duration = Duration::from_secs(2);
/// Number of request threads per spare thread of a batch.
const THREADS_PER_SPARE: usize = 12;
/// Largest number of spare threads in a batch.
const MAX_SPARES: usize = 32;
/// Smallest number of spare threads in a batch.
const MIN_SPARES: usize = 2;

/// Starts an HTTP listener whose requests `handler` answers; returns its bound address and
/// its duty, which is called `name`.
///
/// Handles at most `threads` requests at once. After the stop signal, the duty
/// ends once the requests in progress have been answered.
///
/// # Errors
///
/// Returns the system error if the address can't be bound or a thread can't be
/// spawned.
pub fn listen<F>(
    name: &str,
    address: SocketAddr,
    threads: usize,
    handler: F,
    stop: StopSignal,
) -> io::Result<(SocketAddr, Duty)>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let server = Server::new(address, handler)
        .map_err(|error| io::Error::other(format!("{address}: {error}")))?
        .pool_size(threads);
    let local = server.server_addr();
    let spares = (threads / THREADS_PER_SPARE).clamp(MIN_SPARES, MAX_SPARES);
    let spare_stop = stop.clone();
    Duty::spawn("spares", move || keep_spare_threads(local, spares, &spare_stop))?;
    let duty = Duty::spawn(name, move || {
        while !stop.is_requested() {
            server.poll_timeout(STOP_CHECK_INTERVAL);
        }
        server.join();
    })?;
    Ok((local, duty))
}

/// Opens and closes `spares` connections to the listener at each interval until the stop
/// signal, so that it keeps idle threads for new connections.
fn keep_spare_threads(address: SocketAddr, spares: usize, stop: &StopSignal) {
    while !stop.sleep(SPARE_INTERVAL) {
        // A failed connection only means one spare thread less in this interval.
        let connections: Vec<_> =
            (0..spares).filter_map(|_| TcpStream::connect(address).ok()).collect();
        drop(connections);
    }
}
