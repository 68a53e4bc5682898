//! A connection of a listener, from its acceptance to its end.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, task, time::timeout};

use super::{Request, Response};

/// Largest body that is read, in bytes; a longer one gets status 413. Handlers have lower
/// limits of their own.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Time that a caller has to complete a request, or to take a response, after the stop
/// signal.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves a connection until its caller ends it or the listener stops.
///
/// When the listener stops, an idle connection is closed without reading from it. Another
/// one gets the response to its request, which tells the caller that the connection ends,
/// and is then closed; it is given up if the request is not complete in time.
pub(super) async fn serve<F>(
    stream: TcpStream,
    handler: Arc<F>,
    mut is_stopping: watch::Receiver<bool>,
) where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let is_handling = AtomicBool::new(false);
    let service = service_fn(|request| answer(request, Arc::clone(&handler), &is_handling));
    let connection = http1::Builder::new()
        .half_close(true)
        .title_case_headers(true)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A connection that fails has lost its caller.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = is_stopping.changed() => connection.as_mut().graceful_shutdown(),
    }
    while timeout(TRANSFER_TIMEOUT, connection.as_mut()).await.is_err() {
        if !is_handling.load(Ordering::Relaxed) {
            return;
        }
    }
}

/// Reads the rest of a request and answers it on a thread that may block, with status 500
/// if the handler panics.
async fn answer<F>(
    request: hyper::Request<Incoming>,
    handler: Arc<F>,
    is_handling: &AtomicBool,
) -> Result<hyper::Response<Full<Bytes>>, Infallible>
where
    F: Fn(&Request) -> Response + Send + Sync + 'static,
{
    let (head, body) = request.into_parts();
    let response = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(body) => {
            let request = Request::new(head, body.to_bytes());
            is_handling.store(true, Ordering::Relaxed);
            let handled = task::spawn_blocking(move || handler(&request)).await;
            is_handling.store(false, Ordering::Relaxed);
            handled.unwrap_or_else(|_panic| Response::empty(500))
        }
        Err(error) if error.is::<LengthLimitError>() => Response::empty(413),
        Err(_invalid_or_cut) => Response::empty(400),
    };
    Ok(response.into())
}
