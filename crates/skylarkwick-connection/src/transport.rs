//! TCP transport whose connections are reset when they are dropped.
//!
//! After a normal close, the system still delivers the bytes that were sent,
//! even minutes later when a network partition heals. A call that has timed out
//! would then be executed after newer calls of other processes. A reset makes
//! the system discard undelivered bytes. See
//! `docs/DESIGN.md`, section "Connections".

use std::{
    fmt,
    io::{self, Read, Write},
    mem::MaybeUninit,
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use socket2::SockRef;
use ureq::{
    Error, Timeout,
    unversioned::transport::{
        Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
    },
};

/// Longest time that sent bytes may stay unacknowledged by the other end before the
/// system closes the connection (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Most output that is queued before it is sent, in bytes.
const MAX_UNSENT_BYTES: usize = 16 << 10;

/// Opens TCP connections that are reset when they are dropped.
#[derive(Debug, Default)]
pub(crate) struct ResetConnector(());

impl<In: Transport> Connector<In> for ResetConnector {
    type Out = ResetTransport;

    /// Connects to the first of the resolved addresses.
    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<In>,
    ) -> Result<Option<ResetTransport>, Error> {
        let Some(address) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let stream = connect(*address, details.timeout)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(ResetTransport {
            stream,
            buffers,
            unsent: Vec::new(),
            read_timeout: None,
            write_timeout: None,
        }))
    }
}

/// Opens a connection that sends small writes at once, is reset when it is dropped, and
/// is closed after [`USER_TIMEOUT`] without an acknowledgement.
fn connect(address: SocketAddr, timeout: NextTimeout) -> Result<TcpStream, Error> {
    let stream = match timeout.not_zero() {
        Some(after) => TcpStream::connect_timeout(&address, *after),
        None => TcpStream::connect(address),
    };
    let stream = stream.map_err(|error| match is_timeout(&error) {
        true => Error::Timeout(Timeout::Connect),
        false => Error::Io(error),
    })?;
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}

/// An open TCP connection with its buffers; it is reset when it is dropped.
pub(crate) struct ResetTransport {
    stream: TcpStream,
    buffers: LazyBuffers,
    /// Output that is sent before the next wait for input, so that the head and the body
    /// of a request are sent together.
    unsent: Vec<u8>,
    /// Read timeout that is set on the socket, cached to set it only on a change.
    read_timeout: Option<Duration>,
    /// Write timeout that is set on the socket, cached likewise.
    write_timeout: Option<Duration>,
}

impl fmt::Debug for ResetTransport {
    /// Writes the address of the other end.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ResetTransport").field("peer", &self.stream.peer_addr().ok()).finish()
    }
}

impl ResetTransport {
    /// Sends the queued output; waits only for what the system can't take at once.
    fn send_output(&mut self, timeout: NextTimeout) -> Result<(), Error> {
        if self.unsent.is_empty() {
            return Ok(());
        }
        let flags = libc::MSG_DONTWAIT | libc::MSG_NOSIGNAL;
        let sent = match SockRef::from(&self.stream).send_with_flags(&self.unsent, flags) {
            Err(error) if is_retryable(&error) => 0,
            other => other.map_err(|error| map_error(error, timeout))?,
        };
        let result = match sent < self.unsent.len() {
            true => self.send_slowly(sent, timeout),
            false => Ok(()),
        };
        self.unsent.clear();
        result
    }

    /// Sends the queued output from the byte `start` on, and waits until the system has
    /// taken it.
    fn send_slowly(&mut self, start: usize, timeout: NextTimeout) -> Result<(), Error> {
        let after = timeout.not_zero().map(|after| *after);
        if after != self.write_timeout {
            self.stream.set_write_timeout(after)?;
            self.write_timeout = after;
        }
        (&self.stream).write_all(&self.unsent[start..]).map_err(|error| map_error(error, timeout))
    }
}

impl Transport for ResetTransport {
    // The signature with `dyn` is the library's; there is one implementation.
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    /// Queues the first `amount` bytes of the output buffer, and sends all that is queued
    /// once it has reached [`MAX_UNSENT_BYTES`].
    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        self.unsent.extend_from_slice(&self.buffers.output()[..amount]);
        match self.unsent.len() < MAX_UNSENT_BYTES {
            true => Ok(()),
            false => self.send_output(timeout),
        }
    }

    /// Sends the queued output, waits for bytes and appends them to the input buffer;
    /// returns false at the end of the stream.
    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        self.send_output(timeout)?;
        let after = timeout.not_zero().map(|after| *after);
        if after != self.read_timeout {
            self.stream.set_read_timeout(after)?;
            self.read_timeout = after;
        }
        let input = self.buffers.input_append_buf();
        let amount = loop {
            match (&self.stream).read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other.map_err(|error| map_error(error, timeout))?,
            }
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Returns whether an idle connection can be reused: no data and no end of
    /// stream may have arrived on it.
    fn is_open(&mut self) -> bool {
        let mut input = [MaybeUninit::uninit()];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        match SockRef::from(&self.stream).recv_with_flags(&mut input, flags) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }
}

/// Returns whether a write that failed has sent nothing and can be made again.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Converts an error of a read or write; a timeout names the limit that elapsed.
fn map_error(error: io::Error, timeout: NextTimeout) -> Error {
    match is_timeout(&error) {
        true => Error::Timeout(timeout.reason),
        false => Error::Io(error),
    }
}

/// Returns whether a socket operation timed out; a read or write that reaches its timeout
/// fails as `WouldBlock` on Linux.
fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}
