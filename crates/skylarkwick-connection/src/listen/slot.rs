//! A connection's place among those of its listener, and the stream that records its progress.

use std::{
    collections::BTreeMap,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
    time::Duration,
};

use skylarkwick_process::clock::{Boot, Clock};
use slog::{Logger, warn};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::Notify,
};

use super::{
    gate::{ConnectionId, Eviction, Gate, Phase, Reason},
    limits::Limits,
    linger::Linger,
    tally::{Outcome, Tally},
};

/// The connections of a listener: the decisions about them, the signals that end them, how
/// many ended for each reason since the last report, and the counts of the stop.
#[derive(Debug)]
pub(super) struct Slots {
    state: Mutex<State>,
    /// Wakes the listener when the last connection has ended.
    emptied: Notify,
}

#[derive(Debug)]
struct State {
    gate: Gate,
    ends: BTreeMap<ConnectionId, Arc<Notify>>,
    counts: BTreeMap<Reason, u64>,
    /// Counts since the stop signal; `None` before it.
    tally: Option<Tally>,
}

impl Slots {
    /// Creates the state of a listener without connections.
    pub(super) fn new(limits: Limits) -> Arc<Slots> {
        let gate = Gate::new(limits);
        let (ends, counts) = (BTreeMap::new(), BTreeMap::new());
        let state = State { gate, ends, counts, tally: None };
        Arc::new(Slots { state: Mutex::new(state), emptied: Notify::new() })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection; `None` if it has to be closed.
    pub(super) fn open(self: &Arc<Slots>) -> Option<Slot> {
        let mut state = self.state();
        match state.gate.open(Boot.now()) {
            Ok((id, eviction)) => {
                state.end_all(eviction);
                let end = Arc::new(Notify::new());
                state.ends.insert(id, Arc::clone(&end));
                Some(Slot { slots: Arc::clone(self), id, end })
            }
            Err(reason) => {
                state.count(reason);
                None
            }
        }
    }

    /// Returns the number of connections.
    pub(super) fn len(&self) -> usize {
        self.state().gate.len()
    }

    /// Waits until the last connection has ended since the last call.
    pub(super) async fn emptied(&self) {
        self.emptied.notified().await;
    }

    /// Lets no connection go on after its next response, and begins to count what becomes of
    /// connections and requests.
    pub(super) fn begin_stop(&self) {
        self.state().tally = Some(Tally::default());
    }

    /// Logs the counts of a stop that took this long.
    pub(super) fn report_stop(&self, log: &Logger, duration: Duration) {
        self.state().tally.unwrap_or_default().report(log, duration);
    }

    /// Ends the connections that have had no progress for too long, and logs how many ended for
    /// each reason since the last call, one line a reason.
    pub(super) fn sweep(&self, log: &Logger) {
        let mut state = self.state();
        let expired = state.gate.expire(Boot.now());
        state.end_all(expired);
        let (open, held_bytes) = (state.gate.len(), state.gate.held_bytes());
        for (reason, count) in std::mem::take(&mut state.counts) {
            warn!(log, "connections closed"; "because" => ?reason, "count" => count,
                "open" => open, "body_bytes" => held_bytes);
        }
    }
}

impl State {
    fn count(&mut self, reason: Reason) {
        *self.counts.entry(reason).or_default() += 1;
    }

    /// Counts something if the listener is stopping.
    fn count_stop(&mut self, count: impl FnOnce(&mut Tally)) {
        if let Some(tally) = &mut self.tally {
            count(tally);
        }
    }

    /// Signals connections that they have to end.
    fn end_all(&mut self, evictions: impl IntoIterator<Item = Eviction>) {
        for Eviction { connection, reason } in evictions {
            self.count(reason);
            if let Some(end) = self.ends.remove(&connection) {
                end.notify_one();
            }
        }
    }
}

/// A connection's place; it is given back when it is dropped.
#[derive(Debug)]
pub(super) struct Slot {
    slots: Arc<Slots>,
    id: ConnectionId,
    end: Arc<Notify>,
}

impl Slot {
    /// Waits until the connection has to end.
    pub(super) async fn ended(&self) {
        self.end.notified().await;
    }

    /// Records that the head of a request is complete; returns whether the connection may go on
    /// after the response.
    pub(super) fn begin_request(&self) -> bool {
        self.slots.state().gate.begin_request(self.id, Boot.now())
    }

    /// Records that the connection enters a phase.
    pub(super) fn enter(&self, phase: Phase) {
        self.slots.state().gate.enter(self.id, phase, Boot.now());
    }

    /// Records that a request has its response, which is written next; returns whether the
    /// connection may go on after it as far as the listener is concerned.
    pub(super) fn respond(&self, outcome: Outcome) -> bool {
        self.enter(Phase::Response);
        let mut state = self.slots.state();
        state.count_stop(|tally| tally.count_response(outcome));
        state.tally.is_none()
    }

    /// Counts the connection as one that the listener closes while it is idle.
    pub(super) fn count_idle(&self) {
        self.slots.state().count_stop(Tally::count_idle);
    }

    /// Returns what the connection does; `None` if it has to end.
    pub(super) fn phase(&self) -> Option<Phase> {
        self.slots.state().gate.phase(self.id)
    }

    /// Reserves bytes for the body; returns false if there are none.
    pub(super) fn reserve(&self, bytes: usize) -> bool {
        let mut state = self.slots.state();
        match state.gate.reserve(self.id, bytes) {
            Ok(evictions) => {
                state.end_all(evictions);
                true
            }
            Err(reason) => {
                state.count(reason);
                false
            }
        }
    }

    /// Gives back the bytes of the body.
    pub(super) fn release(&self) {
        self.slots.state().gate.release(self.id);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.slots.state();
        let phase = state.gate.phase(self.id);
        state.count_stop(|tally| tally.count_end(phase));
        state.gate.close(self.id);
        state.ends.remove(&self.id);
        if state.gate.is_empty() {
            self.slots.emptied.notify_one();
        }
    }
}

/// A stream that records each byte received and sent.
#[derive(Debug)]
pub(super) struct Stream {
    stream: TcpStream,
    slot: Arc<Slot>,
    /// Set once the connection is closed by the listener.
    linger: Option<Linger>,
}

impl Stream {
    /// Creates a stream that records the progress of the connection in `slot`.
    pub(super) fn new(stream: TcpStream, slot: Arc<Slot>) -> Stream {
        Stream { stream, slot, linger: None }
    }

    fn record(&self, record: impl FnOnce(&mut Gate, ConnectionId)) {
        record(&mut self.slot.slots.state().gate, self.slot.id);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Stream>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if buffer.filled().len() > before {
            self.record(|gate, id| gate.record_read(id, Boot.now()));
        }
        result
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Stream>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, bytes);
        if matches!(result, Poll::Ready(Ok(written)) if written > 0) {
            self.record(|gate, id| gate.record_written(id, Boot.now()));
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Stream>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.record(|gate, id| gate.record_flushed(id, Boot.now()));
        }
        result
    }

    /// Closes the connection in order, see [`Linger`].
    fn poll_shutdown(mut self: Pin<&mut Stream>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Stream { stream, linger, .. } = &mut *self;
        let linger = match linger {
            Some(linger) => linger,
            None => linger.insert(ready!(Linger::poll_begin(stream, cx))?),
        };
        linger.poll_end(stream, cx).map(Ok)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Stream>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        if matches!(result, Poll::Ready(Ok(written)) if written > 0) {
            self.record(|gate, id| gate.record_written(id, Boot.now()));
        }
        result
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
