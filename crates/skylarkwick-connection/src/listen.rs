//! Listening for HTTP requests, for callers and for the stand-ins.

use std::{io, net::SocketAddr, time::Duration};

use rouille::{Request, Response, Server};
use skylarkwick_process::duty::{Duty, Stop};

/// How often a listener that gets no request looks for the stop.
const STOP_PERIOD: Duration = Duration::from_millis(200);

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
    stop: Stop,
) -> io::Result<(SocketAddr, Duty)>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let server = Server::new(address, handler)
        .map_err(|error| io::Error::other(format!("{address}: {error}")))?
        .pool_size(threads);
    let local = server.server_addr();
    let duty = Duty::spawn(name, move || {
        while !stop.is_requested() {
            server.poll_timeout(STOP_PERIOD);
        }
        server.join();
    })?;
    Ok((local, duty))
}
