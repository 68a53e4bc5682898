//! Listening for HTTP requests, for callers and for the stand-ins.
//!
//! The library gives each connection a thread, and hands a new connection to a
//! waiting thread or starts one. When several connections come within the time
//! that a thread takes to wake, more are handed over than threads wait, and the
//! rest stay unread until another connection closes. [`keep_spares`] opens and
//! closes a few connections of its own now and then: their threads take up what
//! was left, and then wait for a while as spares. There are few of them, because
//! each leaves a closed connection behind in the system's tables for a minute.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use rouille::{Request, Response, Server};
use skylarkwick_process::duty::{Duty, StopSignal};

/// How often a listener that gets no request looks for the stop.
const STOP_PERIOD: Duration = Duration::from_millis(200);
/// How often spare threads are made; the library keeps an idle one for 5 s.
const SPARE_PERIOD: Duration = Duration::from_secs(2);
/// Threads that handle requests for each spare thread made at once.
const THREADS_PER_SPARE: usize = 12;
/// Most spare threads made at once.
const MAX_SPARES: usize = 32;
/// Fewest spare threads made at once.
const MIN_SPARES: usize = 2;

/// Starts to listen; returns the address in use and the duty.
///
/// At most `threads` requests are handled at once. The duty ends on the stop,
/// after the requests in progress have been answered.
///
/// # Errors
///
/// Returns the system's error when the address can't be listened on.
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
    Duty::spawn("spares", move || keep_spares(local, spares, &spare_stop))?;
    let duty = Duty::spawn(name, move || {
        while !stop.is_requested() {
            server.poll_timeout(STOP_PERIOD);
        }
        server.join();
    })?;
    Ok((local, duty))
}

/// Keeps threads of the library free for new connections until the stop.
fn keep_spares(address: SocketAddr, spares: usize, stop: &StopSignal) {
    while !stop.sleep(SPARE_PERIOD) {
        // A connection that can't be opened makes no spare, and the next may.
        let connections: Vec<_> =
            (0..spares).filter_map(|_| TcpStream::connect(address).ok()).collect();
        drop(connections);
    }
}
