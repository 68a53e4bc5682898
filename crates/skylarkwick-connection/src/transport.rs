//! TCP connections that are reset when they are given up.
//!
//! A connection that is closed in the usual way still delivers what was sent
//! on it, even minutes later when a partition between the two ends heals. A
//! call that has timed out would then be carried out after newer calls of other
//! processes. A reset makes the system discard what has not been delivered. See
//! `docs/DESIGN.md`, section "Connections".

use std::{
    fmt,
    io::{self, Read, Write},
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

/// Time that sent bytes may stay unconfirmed by the other end before the system
/// gives the connection up.
const UNCONFIRMED: Duration = Duration::from_secs(4);

/// Opens connections that are reset when they are dropped.
#[derive(Debug, Default)]
pub(crate) struct Opener(());

impl<In: Transport> Connector<In> for Opener {
    type Out = Link;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        _chained: Option<In>,
    ) -> Result<Option<Link>, Error> {
        let Some(address) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let stream = open(*address, details.timeout)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(Link { stream, buffers, read_timeout: None, write_timeout: None }))
    }
}

fn open(address: SocketAddr, timeout: NextTimeout) -> Result<TcpStream, Error> {
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
    socket.set_tcp_user_timeout(Some(UNCONFIRMED))?;
    Ok(stream)
}

/// An open connection.
pub(crate) struct Link {
    stream: TcpStream,
    buffers: LazyBuffers,
    /// The time-outs that the system knows, to set them only when they change.
    read_timeout: Option<Duration>,
    write_timeout: Option<Duration>,
}

impl fmt::Debug for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Link").field("peer", &self.stream.peer_addr().ok()).finish()
    }
}

impl Transport for Link {
    // The library asks for a trait object; there is one kind of buffers.
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let after = timeout.not_zero().map(|after| *after);
        if after != self.write_timeout {
            self.stream.set_write_timeout(after)?;
            self.write_timeout = after;
        }
        let output = &self.buffers.output()[..amount];
        (&self.stream).write_all(output).map_err(|error| failure(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let after = timeout.not_zero().map(|after| *after);
        if after != self.read_timeout {
            self.stream.set_read_timeout(after)?;
            self.read_timeout = after;
        }
        let input = self.buffers.input_append_buf();
        let amount = loop {
            match (&self.stream).read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                other => break other.map_err(|error| failure(error, timeout))?,
            }
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    /// Tells whether an idle connection can be used again: nothing may have
    /// arrived on it, not even its end.
    fn is_open(&mut self) -> bool {
        let socket = SockRef::from(&self.stream);
        if socket.set_nonblocking(true).is_err() {
            return false;
        }
        let is_quiet = match (&self.stream).read(&mut [0]) {
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        };
        is_quiet && socket.set_nonblocking(false).is_ok()
    }
}

fn failure(error: io::Error, timeout: NextTimeout) -> Error {
    match is_timeout(&error) {
        true => Error::Timeout(timeout.reason),
        false => Error::Io(error),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}
