//! JSON-RPC server for peers.
//!
//! The library needs an asynchronous runtime. It runs on the thread of this duty,
//! and nothing asynchronous leaves this module.

use std::{io, net::SocketAddr, sync::Arc, sync::mpsc};

use jsonrpsee::{
    RpcModule,
    server::{Server, ServerConfig},
    types::{ErrorObjectOwned, Params},
};
use serde::de::DeserializeOwned;
use skylarkwick_process::duty::{Duty, StopSignal};
use skylarkwick_version::revision::Revision;

use super::{Handler, Heartbeat, wire};
use crate::platform;

/// Largest number of threads that handle calls from peers, heartbeats excepted; one of
/// them waits for the stop signal.
const MAX_BLOCKING_THREADS: usize = 64;
/// Largest number of open connections from peers.
const MAX_CONNECTIONS: u32 = 128;
/// Largest call of a peer, in bytes.
const MAX_CALL_BYTES: u32 = 512 << 10;
/// JSON-RPC error code for a call with invalid parameters.
const INVALID_PARAMS: i32 = -32602;

/// Starts the server; returns its bound address and its duty, which ends after the stop
/// signal.
///
/// # Errors
///
/// Returns the system error if the runtime can't be started or the address can't
/// be bound.
pub fn listen<H: Handler>(
    address: SocketAddr,
    handler: Arc<H>,
    stop: StopSignal,
) -> io::Result<(SocketAddr, Duty)> {
    let (ready_sender, ready_receiver) = mpsc::sync_channel(1);
    let duty = Duty::spawn("peer-server", move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .build();
        match runtime {
            Ok(runtime) => runtime.block_on(serve(address, handler, stop, &ready_sender)),
            Err(error) => drop(ready_sender.send(Err(error))),
        }
    })?;
    let address = ready_receiver.recv().map_err(io::Error::other)??;
    Ok((address, duty))
}

/// Runs the server until the stop signal; sends its bound address, or the error that kept
/// it from starting, to `ready_sender`.
async fn serve<H: Handler>(
    address: SocketAddr,
    handler: Arc<H>,
    stop: StopSignal,
    ready_sender: &mpsc::SyncSender<io::Result<SocketAddr>>,
) {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_CALL_BYTES)
        .build();
    let server = match Server::builder().set_config(config).build(address).await {
        Ok(server) => server,
        Err(error) => return drop(ready_sender.send(Err(error))),
    };
    let local = server.local_addr();
    let module = match build_module(handler) {
        Ok(module) => module,
        Err(error) => return drop(ready_sender.send(Err(io::Error::other(error)))),
    };
    let handle = server.start(module);
    // `listen` waits for this message, so its receiver still exists.
    let _ = ready_sender.send(local);
    let _ = tokio::task::spawn_blocking(move || stop.wait()).await;
    let _ = handle.stop();
    handle.stopped().await;
}

/// Registers the methods of the handler. Heartbeats are handled on the server's thread,
/// the other calls on threads that may block.
fn build_module<H: Handler>(
    handler: Arc<H>,
) -> Result<RpcModule<Arc<H>>, jsonrpsee::server::RegisterMethodError> {
    let mut module = RpcModule::from_arc(Arc::new(handler));
    module.register_method(wire::HEARTBEAT, |params, handler, _| {
        let heartbeat: wire::Heartbeat = parse(&params)?;
        let heartbeat = Heartbeat::try_from(heartbeat).map_err(|error| invalid_params(&error))?;
        Ok::<_, ErrorObjectOwned>(wire::Heartbeat::from(handler.heartbeat(heartbeat)))
    })?;
    module.register_blocking_method(wire::ROWS_AFTER, |params, handler, _| {
        let after: u64 = parse(&params)?;
        let rows = handler.rows_after(Revision(after)).into_iter();
        let rows: Vec<platform::wire::Row> = rows.map(platform::wire::Row::from).collect();
        Ok::<_, ErrorObjectOwned>(rows)
    })?;
    module.register_blocking_method(wire::REDEEM, |params, handler, _| {
        let redeem: wire::Redeem = parse(&params)?;
        let owner = redeem.owner();
        let call = redeem.try_into().map_err(|error| invalid_params(&error))?;
        Ok::<_, ErrorObjectOwned>(wire::Redeemed::from(&handler.redeem(call, owner)))
    })?;
    Ok(module)
}

/// Parses the only parameter of a call.
fn parse<T: DeserializeOwned>(params: &Params<'_>) -> Result<T, ErrorObjectOwned> {
    params.one()
}

/// Returns the JSON-RPC error for parameters that can't be converted.
fn invalid_params(error: &platform::wire::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INVALID_PARAMS, error.to_string(), None::<()>)
}
