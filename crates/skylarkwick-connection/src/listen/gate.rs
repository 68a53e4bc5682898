//! Decisions about connections: which are admitted, which have to end, and who may keep how many
//! bytes.
//!
//! Needs no socket and reads no clock, so that crowds are tested without a network. See
//! `docs/design/clients.md`.

use std::collections::BTreeMap;

use skylarkwick_version::moment::Moment;

use super::limits::Limits;

/// Number of a connection, unique in a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Waits for a request.
    Idle,
    /// Has received a part of a request's head.
    Head,
    /// Reads a body.
    Body,
    /// A request that was read is being handled.
    Handling,
    /// Writes a response.
    Response,
}

/// Why a connection was not admitted, or was closed; a name for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// All connections are in use, and none can make room.
    Full,
    /// It made room for a new connection.
    Replaced,
    /// Its body made room for another one.
    Outweighed,
    /// A head was not complete in time.
    SlowHead,
    /// A body was not complete in time, or nothing of it came for too long.
    SlowBody,
    /// The response was not taken.
    SlowReader,
    /// No request came for too long.
    Unused,
}

/// A connection that has to end, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// The connection.
    pub connection: ConnectionId,
    /// Why it has to end.
    pub reason: Reason,
}

/// A connection: what it does and since when, when it last received or sent a byte, and the
/// bytes that it holds.
#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: Phase,
    since: Moment,
    progress: Moment,
    held_bytes: usize,
    /// Requests in a row that came before the response to the one before was sent.
    requests_ahead: u32,
}

/// The connections of a listener.
#[derive(Debug)]
pub struct Gate {
    limits: Limits,
    next: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    held_bytes: usize,
}

impl Gate {
    /// Creates a gate without connections.
    pub fn new(limits: Limits) -> Gate {
        Gate { limits, next: 0, connections: BTreeMap::new(), held_bytes: 0 }
    }

    /// Admits a new connection, and names the one that has to end for it if all are in use: the
    /// one that has been idle for longest, else the one whose head or body is the longest
    /// without progress. Requests that were read are never given up.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::Full`] if every connection is at work for its caller.
    pub fn open(&mut self, now: Moment) -> Result<(ConnectionId, Option<Eviction>), Reason> {
        let evicted = match self.connections.len() < self.limits.max_connections {
            true => None,
            false => Some(self.replaceable().ok_or(Reason::Full)?),
        };
        if let Some(connection) = evicted {
            self.close(connection);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        let phase = Phase::Idle;
        let (since, progress) = (now, now);
        let connection = Connection { phase, since, progress, held_bytes: 0, requests_ahead: 0 };
        self.connections.insert(id, connection);
        let reason = Reason::Replaced;
        Ok((id, evicted.map(|connection| Eviction { connection, reason })))
    }

    /// Returns the connection that is missed least.
    fn replaceable(&self) -> Option<ConnectionId> {
        let oldest = |phases: &[Phase]| {
            let candidates = self.connections.iter();
            candidates
                .filter(|(_, connection)| phases.contains(&connection.phase))
                .min_by_key(|(_, connection)| connection.progress)
                .map(|(id, _)| *id)
        };
        oldest(&[Phase::Idle]).or_else(|| oldest(&[Phase::Head, Phase::Body]))
    }

    /// Records that a connection enters a phase; nothing changes if it is in it.
    pub fn enter(&mut self, id: ConnectionId, phase: Phase, now: Moment) {
        match self.connections.get_mut(&id) {
            Some(connection) if connection.phase != phase => {
                (connection.phase, connection.since, connection.progress) = (phase, now, now);
            }
            _ => {}
        }
    }

    /// Records that the head of a request is complete, and that its body is read. Returns
    /// whether the connection may go on after the response: not if its caller has sent too many
    /// requests ahead of the responses.
    pub fn begin_request(&mut self, id: ConnectionId, now: Moment) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        connection.requests_ahead = match connection.phase {
            // The first bytes of the request came after the last response.
            Phase::Head => 0,
            _ => connection.requests_ahead + 1,
        };
        let may_go_on = connection.requests_ahead < self.limits.max_requests_ahead;
        self.enter(id, Phase::Body, now);
        may_go_on
    }

    /// Records that a connection has received bytes; an idle one begins a request.
    pub fn record_read(&mut self, id: ConnectionId, now: Moment) {
        self.record_progress(id, Phase::Head, now);
    }

    /// Records that a connection has sent bytes of a response.
    pub fn record_written(&mut self, id: ConnectionId, now: Moment) {
        self.record_progress(id, Phase::Response, now);
    }

    /// Records that bytes have come or gone, by which an idle connection enters a phase.
    fn record_progress(&mut self, id: ConnectionId, from_idle: Phase, now: Moment) {
        match self.connections.get_mut(&id) {
            Some(connection) if connection.phase == Phase::Idle => self.enter(id, from_idle, now),
            Some(connection) => connection.progress = now,
            None => {}
        }
    }

    /// Records that all of a response was sent.
    pub fn record_flushed(&mut self, id: ConnectionId, now: Moment) {
        if self.phase(id) == Some(Phase::Response) {
            self.enter(id, Phase::Idle, now);
        }
    }

    /// Returns what a connection does; `None` if it has to end or has ended.
    pub fn phase(&self, id: ConnectionId) -> Option<Phase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Reserves bytes for a connection's body. If they are not free, the bodies that are the
    /// longest without progress have to end, as far as needed.
    ///
    /// # Errors
    ///
    /// Returns an error, and changes nothing, if they could not be freed, or if the connection
    /// has to end.
    pub fn reserve(&mut self, id: ConnectionId, bytes: usize) -> Result<Vec<Eviction>, Reason> {
        let own_progress = match self.connections.get(&id) {
            Some(connection) => connection.progress,
            None => return Err(Reason::Outweighed),
        };
        let mut victims: Vec<(Moment, ConnectionId, usize)> = self
            .connections
            .iter()
            .filter(|(other, connection)| **other != id && connection.phase == Phase::Body)
            .filter(|(_, connection)| connection.held_bytes > 0)
            .filter(|(_, connection)| connection.progress < own_progress)
            .map(|(other, connection)| (connection.progress, *other, connection.held_bytes))
            .collect();
        victims.sort();
        let wanted = self.held_bytes.saturating_add(bytes);
        let mut excess = wanted.saturating_sub(self.limits.max_body_bytes);
        let mut evictions = Vec::new();
        for (_, connection, held_bytes) in victims {
            if excess == 0 {
                break;
            }
            excess = excess.saturating_sub(held_bytes);
            evictions.push(Eviction { connection, reason: Reason::Outweighed });
        }
        if excess > 0 {
            return Err(Reason::Outweighed);
        }
        for eviction in &evictions {
            self.close(eviction.connection);
        }
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held_bytes += bytes;
            self.held_bytes += bytes;
        }
        Ok(evictions)
    }

    /// Gives back the bytes that a connection holds.
    pub fn release(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.held_bytes -= std::mem::take(&mut connection.held_bytes);
        }
    }

    /// Removes a connection and gives back its bytes.
    pub fn close(&mut self, id: ConnectionId) {
        self.release(id);
        self.connections.remove(&id);
    }

    /// Takes out the connections that have had no progress for too long.
    pub fn expire(&mut self, now: Moment) -> Vec<Eviction> {
        let expired = |connection: &Connection| {
            let Limits { head_timeout, stall_timeout, body_timeout, idle_timeout, .. } =
                self.limits;
            let in_phase = now.since(connection.since);
            let stalled = now.since(connection.progress);
            match connection.phase {
                Phase::Idle if in_phase > idle_timeout => Some(Reason::Unused),
                Phase::Head if in_phase > head_timeout => Some(Reason::SlowHead),
                Phase::Body if stalled > stall_timeout || in_phase > body_timeout => {
                    Some(Reason::SlowBody)
                }
                Phase::Response if stalled > stall_timeout => Some(Reason::SlowReader),
                _ => None,
            }
        };
        let evictions: Vec<Eviction> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| {
                Some(Eviction { connection: *id, reason: expired(connection)? })
            })
            .collect();
        for eviction in &evictions {
            self.close(eviction.connection);
        }
        evictions
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the bytes of all bodies.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }
}
