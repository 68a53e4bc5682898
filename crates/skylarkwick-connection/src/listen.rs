//! HTTP listener, used for callers and by the stand-ins.
//!
//! The listener owns its connections, so that it can stop without losing a request that it
//! has read: see docs/DESIGN.md, section "Stopping a listener". The library needs an
//! asynchronous runtime. It runs on the thread of this duty, handlers run on threads that
//! may block, and nothing asynchronous leaves this module.

mod body;
mod connection;
pub mod drain;
pub mod gate;
mod handler;
mod limits;
mod linger;
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
    net::{TcpListener, TcpStream},
    runtime::{Builder, Runtime},
    sync::{Semaphore, watch},
    task,
    time::{MissedTickBehavior, interval, sleep},
};

pub use self::{
    drain::Drain,
    handler::{Admission, Handler},
    limits::Limits,
    request::{Head, Request},
    response::Response,
};
use self::{drain::Step, slot::Slots};

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
/// connections, closes idle ones, and ends once every request that was read has been answered.
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
/// After the stop signal, it first drains as [`Limits::drain`] says: it serves on, and each
/// response tells its caller that the connection ends, so that callers move to other hosts.
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

/// Serves connections until the stop signal, drains, and then waits until each connection has
/// ended; logs what became of them.
async fn serve<H: Handler>(
    listener: TcpListener,
    limits: Limits,
    handler: Arc<H>,
    log: &Logger,
    stop: StopSignal,
) {
    let slots = Slots::new(limits);
    // Every connection holds a receiver, so the channel is closed once all have ended.
    let (closing, is_closing) = watch::channel(false);
    let acceptor = Acceptor {
        listener,
        slots: Arc::clone(&slots),
        sockets: Arc::new(Semaphore::new(limits.max_connections)),
        handler,
        is_closing,
        transfer_timeout: limits.drain.transfer_timeout,
        log,
    };
    let mut stopped = task::spawn_blocking(move || stop.wait());
    let mut sweep = interval(SWEEP_PERIOD);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = &mut stopped => break,
            _ = sweep.tick() => slots.sweep(log),
            accepted = acceptor.listener.accept() => acceptor.admit(accepted).await,
        }
    }
    let started = Boot.now();
    slots.begin_stop();
    while let Step::Serve(time_left) = limits.drain.step(Boot.now().since(started), slots.len()) {
        tokio::select! {
            () = sleep(time_left) => {}
            () = slots.emptied() => {}
            _ = sweep.tick() => slots.sweep(log),
            accepted = acceptor.listener.accept() => acceptor.admit(accepted).await,
        }
    }
    drop(acceptor);
    closing.send_replace(true);
    closing.closed().await;
    slots.report_stop(log, Boot.now().since(started));
}

/// What a listener needs to serve a new connection.
struct Acceptor<'a, H> {
    listener: TcpListener,
    slots: Arc<Slots>,
    /// A connection that makes room for another one is open until its task has ended.
    sockets: Arc<Semaphore>,
    handler: Arc<H>,
    is_closing: watch::Receiver<bool>,
    transfer_timeout: Duration,
    log: &'a Logger,
}

impl<H: Handler> Acceptor<'_, H> {
    /// Serves a connection that was accepted; without a slot for it, it is closed.
    async fn admit(&self, accepted: io::Result<(TcpStream, SocketAddr)>) {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                warn!(self.log, "connection not accepted"; "error" => %error);
                sleep(ACCEPT_RETRY_DELAY).await;
                return;
            }
        };
        if let Some(slot) = self.slots.open()
            && let Ok(socket) = Arc::clone(&self.sockets).acquire_owned().await
        {
            let (handler, is_closing) = (Arc::clone(&self.handler), self.is_closing.clone());
            let serving =
                connection::serve(stream, slot, handler, is_closing, self.transfer_timeout);
            task::spawn(async move {
                serving.await;
                drop(socket);
            });
        }
    }
}
