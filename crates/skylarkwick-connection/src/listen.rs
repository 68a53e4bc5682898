//! HTTP listener, used for callers and by the stand-ins.
//!
//! The listener owns its connections, so that it can stop without losing a request that it
//! has read: see docs/DESIGN.md, section "Stopping a listener". The library needs an
//! asynchronous runtime. It runs on the thread of this duty, handlers run on threads that
//! may block, and nothing asynchronous leaves this module.

mod body;
mod connection;
pub mod gate;
mod handler;
mod limits;
mod request;
mod response;
mod slot;
mod tally;

use std::{
    io,
    net::{self, SocketAddr},
    sync::Arc,
    time::Duration,
};

use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
};
use slog::{Logger, warn};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::{Semaphore, watch},
    task,
    time::{MissedTickBehavior, interval, sleep},
};

use self::slot::Slots;
pub use self::{
    handler::{Admission, Handler},
    limits::Limits,
    request::{Head, Request},
    response::Response,
};

/// Pause after a connection could not be accepted, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Threads beside those of the handlers; it waits for the stop signal.
const STOP_THREADS: usize = 1;
/// Time between two looks for connections without progress.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// Starts an HTTP listener whose requests `handler` answers; returns its bound address and
/// its duty, which is called `name`.
///
/// Handles at most `threads` requests at once, and keeps connections and bodies within the
/// default [`Limits`]. After the stop signal, the duty takes no new
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
    let limits = Limits { max_handlers: threads, ..Limits::default() };
    listen_within(limits, name, address, handler, log, stop)
}

/// Starts an HTTP listener like [`listen`], with limits of its own and a handler that decides
/// by the head of a request whether its body is read.
///
/// # Errors
///
/// Returns the system error if the address can't be bound or a thread can't be
/// spawned.
pub fn listen_within<H: Handler>(
    limits: Limits,
    name: &str,
    address: SocketAddr,
    handler: H,
    log: &Logger,
    stop: StopSignal,
) -> io::Result<(SocketAddr, Duty)> {
    let runtime = Builder::new_current_thread()
        .enable_all()
        .max_blocking_threads(limits.max_handlers + STOP_THREADS)
        .thread_name(name)
        .build()?;
    let listener = bind(&runtime, address)
        .map_err(|error| io::Error::new(error.kind(), format!("{address}: {error}")))?;
    let local = listener.local_addr()?;
    let handler = Arc::new(handler);
    let log = log.new(slog::o!("listener" => name.to_owned()));
    let duty = Duty::spawn(name, move || {
        runtime.block_on(serve(listener, limits, handler, &log, stop));
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
/// has ended; logs what became of them.
async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
    log: &Logger,
    stop: StopSignal,
) {
    let slots = Slots::new(limits);
    // A connection that makes room for another one is open until its task has ended.
    let sockets = Arc::new(Semaphore::new(limits.max_connections));
    // Every connection holds a receiver, so the channel is closed once all have ended.
    let (stopping, is_stopping) = watch::channel(false);
    let mut stopped = task::spawn_blocking(move || stop.wait());
    let mut sweep = interval(SWEEP_PERIOD);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            _ = &mut stopped => break,
            _ = sweep.tick() => {
                slots.sweep(log);
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without a slot, the stream is closed.
                if let Some(slot) = slots.open()
                    && let Ok(socket) = Arc::clone(&sockets).acquire_owned().await
                {
                    let (handler, is_stopping) = (Arc::clone(&handler), is_stopping.clone());
                    let serving = connection::serve(stream, slot, handler, is_stopping);
                    task::spawn(async move {
                        serving.await;
                        drop(socket);
                    });
                }
            }
            Err(error) => {
                warn!(log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    drop(is_stopping);
    let started = Boot.now();
    slots.begin_stop();
    stopping.send_replace(true);
    stopping.closed().await;
    slots.report_stop(log, Boot.now().since(started));
}
