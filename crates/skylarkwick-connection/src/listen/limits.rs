//! Limits of a listener, so that no crowd of clients takes a process beyond its machine.
//! See `docs/design/clients.md`.

use std::time::Duration;

use super::drain::Drain;

/// Share of the machine's memory for the buffers of connections.
const CONNECTION_MEMORY_DIVISOR: usize = 6;
/// Share of the machine's memory for bodies that are being read or handled.
const BODY_MEMORY_DIVISOR: usize = 8;
/// Buffers of a connection at their largest, in bytes: read, write, and its task.
const CONNECTION_BYTES: usize = 2 * MAX_HEAD_BYTES + (8 << 10);
/// Descriptors that a machine reserves for files.
const FILE_DESCRIPTORS: usize = 200;
/// Eighths of the other descriptors that callers may use.
const CALLER_DESCRIPTOR_EIGHTHS: usize = 3;
/// Eighths of them for handlers, each of which may use a connection to the store.
const HANDLER_DESCRIPTOR_EIGHTHS: usize = 2;
/// Eighths of them for other entry hosts. The rest is left for readiness checks and for the
/// process itself.
const NEIGHBOUR_DESCRIPTOR_EIGHTHS: usize = 1;
/// Handlers if nothing is known of the machine.
const DEFAULT_MAX_HANDLERS: usize = 96;
/// Largest head of a request, in bytes; also the size of a connection's buffers.
pub(super) const MAX_HEAD_BYTES: usize = 24 << 10;
/// Connections if nothing is known of the machine.
const DEFAULT_MAX_CONNECTIONS: usize = 1024;
/// Bytes of bodies if nothing is known of the machine.
const DEFAULT_MAX_BODY_BYTES: usize = 64 << 20;
/// Fewest connections, whatever the machine.
const MIN_CONNECTIONS: usize = 8;
/// Fewest bytes of bodies, whatever the machine: one body of the largest size that the
/// default configuration allows, while its buffer grows.
const MIN_BODY_BYTES: usize = 1 << 20;

/// Limits of a listener: connections, bytes of bodies, times without progress, and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Most requests that are handled at once, each on a thread of its own.
    pub max_handlers: usize,
    /// Most connections open at once.
    pub max_connections: usize,
    /// Most bytes of all bodies that are being read or handled.
    pub max_body_bytes: usize,
    /// Most requests in a row that a connection sends ahead of the responses.
    pub max_requests_ahead: u32,
    /// Longest time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Longest time without a byte of a body that is read, or of a response that is written.
    pub stall_timeout: Duration,
    /// Longest time in which a body has to be complete.
    pub body_timeout: Duration,
    /// Longest time without a request.
    pub idle_timeout: Duration,
    /// How it ends after the stop signal.
    pub drain: Drain,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_handlers: DEFAULT_MAX_HANDLERS,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_requests_ahead: 100,
            head_timeout: Duration::from_secs(10),
            stall_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            drain: Drain::IMMEDIATE,
        }
    }
}

impl Limits {
    /// Returns the limits of callers on a machine with this much memory, in bytes, and this many
    /// descriptors.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Limits {
        let by_memory = memory_bytes / CONNECTION_MEMORY_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = sockets(descriptors, CALLER_DESCRIPTOR_EIGHTHS);
        let handlers = sockets(descriptors, HANDLER_DESCRIPTOR_EIGHTHS);
        Limits {
            max_handlers: handlers.clamp(1, DEFAULT_MAX_HANDLERS),
            max_connections: by_memory.min(by_descriptors).max(MIN_CONNECTIONS),
            max_body_bytes: (memory_bytes / BODY_MEMORY_DIVISOR).max(MIN_BODY_BYTES),
            ..Limits::default()
        }
    }

    /// Returns these limits of a listener for other entry hosts on a machine with this many
    /// descriptors.
    #[must_use]
    pub fn of_neighbours(self, descriptors: usize) -> Limits {
        let by_descriptors = sockets(descriptors, NEIGHBOUR_DESCRIPTOR_EIGHTHS);
        Limits { max_connections: self.max_connections.min(by_descriptors).max(1), ..self }
    }
}

/// Returns some eighths of the descriptors that a machine leaves for sockets.
fn sockets(descriptors: usize, eighths: usize) -> usize {
    descriptors.saturating_sub(FILE_DESCRIPTORS) * eighths / 8
}
