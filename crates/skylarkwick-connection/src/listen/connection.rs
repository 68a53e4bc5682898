//! A connection of a listener, from its acceptance to its end.

use std::{convert::Infallible, pin::pin, sync::Arc, time::Duration};

use http_body_util::Full;
use hyper::{
    body::{Bytes, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, sync::watch, task, time::timeout};

use super::{
    Handler, Head, Request, Response, body, drain,
    gate::Phase,
    handler::Admission,
    limits::MAX_HEAD_BYTES,
    slot::{Slot, Stream},
    tally::Outcome,
};

/// `Retry-After` of a request that the process has no memory for, in seconds.
const BUSY_RETRY_AFTER: &str = "1";

/// Serves a connection until its caller ends it, its slot is taken from it or the listener
/// closes.
///
/// When the listener closes, an idle connection on which nothing has arrived is closed. Another
/// one gets the response to its request, which tells the caller that the connection ends,
/// and is then closed; it is given up if the request is not complete within `transfer_timeout`.
pub(super) async fn serve<H: Handler>(
    stream: TcpStream,
    slot: Slot,
    handler: Arc<H>,
    mut is_closing: watch::Receiver<bool>,
    transfer_timeout: Duration,
) {
    let slot = Arc::new(slot);
    let service = service_fn(|request| answer(request, Arc::clone(&handler), Arc::clone(&slot)));
    let connection = http1::Builder::new()
        .half_close(true)
        .title_case_headers(true)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(Stream::new(stream, Arc::clone(&slot))), service);
    let mut connection = pin!(connection);
    // A connection that fails has lost its caller.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        _ = slot.ended() => return,
        _ = is_closing.changed() => {}
    }
    // Whatever has arrived by now is read before the connection can count as idle.
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = task::yield_now() => {}
    }
    match slot.phase() {
        Some(phase) if drain::is_closed_in(phase) => {
            slot.count_idle();
            connection.as_mut().graceful_shutdown();
        }
        // The library would take it for idle; its response ends the connection.
        Some(Phase::Head) => {}
        _ => connection.as_mut().graceful_shutdown(),
    }
    while timeout(transfer_timeout, connection.as_mut()).await.is_err() {
        if slot.phase() != Some(Phase::Handling) {
            return;
        }
    }
}

/// Answers a request by its head alone, or reads the rest of it and has it handled. The response
/// tells if the connection ends after it, also because the body was not read to its end.
async fn answer<H: Handler>(
    request: hyper::Request<Incoming>,
    handler: Arc<H>,
    slot: Arc<Slot>,
) -> Result<hyper::Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let head = Head::new(head);
    let may_go_on = slot.begin_request();
    let (response, outcome, is_read) = match handler.admit(&head) {
        Admission::Answer(response) => {
            // A body that waits to be asked for is not asked for.
            let is_read = head.header("Expect").is_none() && body::discard_arrived(body).await;
            (response, Outcome::Refused, is_read)
        }
        Admission::Read { ticket, max_body_bytes, busy_status } => {
            match body::read(body, max_body_bytes, &slot).await {
                Ok(body) => {
                    let request = Request::new(head, body);
                    (handle(request, ticket, handler, &slot).await, Outcome::Handled, true)
                }
                Err(error) => (refuse(error, busy_status), Outcome::Refused, false),
            }
        }
    };
    slot.release();
    let is_serving = slot.respond(outcome);
    Ok(match may_go_on && is_serving && is_read {
        true => response.into(),
        false => response.with_unique_header("Connection", "close").into(),
    })
}

/// Answers a request on a thread that may block, with status 500 if the handler panics.
async fn handle<H: Handler>(
    request: Request,
    ticket: H::Ticket,
    handler: Arc<H>,
    slot: &Slot,
) -> Response {
    slot.enter(Phase::Handling);
    let handled = task::spawn_blocking(move || handler.handle(&request, ticket)).await;
    handled.unwrap_or_else(|_panic| Response::empty(500))
}

/// Returns the response to a request whose body was not read.
fn refuse(error: body::Error, busy_status: u16) -> Response {
    match error {
        body::Error::TooLarge => Response::empty(413),
        body::Error::NoMemory => {
            Response::empty(busy_status).with_unique_header("Retry-After", BUSY_RETRY_AFTER)
        }
        body::Error::Invalid => Response::empty(400),
    }
}
