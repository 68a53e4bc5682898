//! End of a connection that the listener closes: it says so, and discards what its caller still
//! sends.
//!
//! A socket that is closed with unread bytes resets the connection, and the reset may reach the
//! caller before it has read the last response.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

/// Longest time for which a closed connection waits for its caller to close it too.
const LINGER_TIMEOUT: Duration = Duration::from_millis(250);
/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 4096;

/// The end of a connection, from the shutdown of its sending side.
#[derive(Debug)]
pub(super) struct Linger {
    timeout: Pin<Box<Sleep>>,
}

impl Linger {
    /// Shuts the sending side of a stream down; returns its end once that is done.
    pub(super) fn poll_begin(
        stream: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<Linger>> {
        ready!(Pin::new(stream).poll_shutdown(cx))?;
        Poll::Ready(Ok(Linger { timeout: Box::pin(sleep(LINGER_TIMEOUT)) }))
    }

    /// Discards what the caller sends until it has closed the connection or the time is up.
    pub(super) fn poll_end(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        let mut bytes = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => {}
                // The caller has closed or reset the connection.
                Ok(()) | Err(_) => return Poll::Ready(()),
            }
        }
    }
}
