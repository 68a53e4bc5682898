//! HTTP listener, used for callers and by the stand-ins.
//!
//! The listener owns its connections, so that it can stop without losing a request that it
//! has read: see docs/DESIGN.md, section "Stopping a listener". The library needs an
//! asynchronous runtime. It runs on the thread of this duty, handlers run on threads that
//! may block, and nothing asynchronous leaves this module.

mod connection;
mod request;
mod response;

use std::{
    io,
    net::{self, SocketAddr},
    sync::Arc,
    time::Duration,
};

use skylarkwick_process::duty::{Duty, StopSignal};
use slog::{Logger, warn};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::watch,
    task,
    time::sleep,
};

pub use self::{request::Request, response::Response};

/// Pause after a connection could not be accepted, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Threads beside those of the handlers; it waits for the stop signal.
const STOP_THREADS: usize = 1;

/// Starts an HTTP listener whose requests `handler` answers; returns its bound address and
/// its duty, which is called `name`.
///
/// Handles at most `threads` requests at once. After the stop signal, the duty takes no new
/// connections, closes idle ones without reading from them, and ends once every request
/// that was read has been answered.
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
    log: &Logger,
    stop: StopSignal,
) -> io::Result<(SocketAddr, Duty)>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(threads + STOP_THREADS)
        .thread_name(name)
        .build()?;
    let listener = bind(&runtime, address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    let local = listener.local_addr()?;
    let handler = Arc::new(handler);
    let log = log.clone();
    let duty = Duty::spawn(name, move || {
        runtime.block_on(serve(listener, handler, &log, stop));
        // Handlers that still run have lost their caller.
        runtime.shutdown_background();
    })?;
    Ok((local, duty))
}

/// Binds a socket that is registered with `runtime`.
fn bind(runtime: &Runtime, address: SocketAddr) -> io::Result<TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let _context = runtime.enter();
    TcpListener::from_std(listener)
}

/// Accepts and serves connections until the stop signal, and then waits until each of them
/// has ended.
async fn serve<F>(listener: TcpListener, handler: Arc<F>, log: &Logger, stop: StopSignal)
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    // Every connection holds a receiver, so the channel is closed once all have ended.
    let (stopping, is_stopping) = watch::channel(false);
    let mut stopped = task::spawn_blocking(move || stop.wait());
    loop {
        let accepted = tokio::select! {
            _ = &mut stopped => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = connection::serve(stream, Arc::clone(&handler), is_stopping.clone());
                task::spawn(serving);
            }
            Err(error) => {
                warn!(log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drop(is_stopping);
    stopping.send_replace(true);
    stopping.closed().await;
}
