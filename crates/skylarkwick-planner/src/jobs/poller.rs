//! Polls backend servers, with one duty for each server.

use std::{collections::BTreeMap, io, time::Duration};

use skylarkwick_connection::control::{Orders, PollError};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::shard::{effect::Target, input::ServerId};
use slog::{Logger, debug};

use super::event::Event;

/// The parameters of a status poll, which also renews the server's lease and acknowledges
/// ends of runs: the server, the new end of the lease, the number of the last run end that
/// is stored, and the longest wait for a run to end.
#[derive(Debug)]
pub(super) struct PollRequest {
    pub(super) target: Target,
    /// New end of the lease on the server's clock, in milliseconds; `None` doesn't renew
    /// it.
    pub(super) lease_until_ms: Option<u64>,
    /// Number of the last run end that is stored.
    pub(super) acknowledged: u64,
    /// Longest time that the server may wait for a run to finish before it responds.
    pub(super) max_wait: Duration,
}

/// Handle of the duties that poll backend servers, one for each server that was polled and
/// not removed since. They end after it is dropped, at the latest when the polls in
/// progress and those that wait are done. `O` is the client that makes the calls.
#[derive(Debug)]
pub(super) struct Pollers<O> {
    client: O,
    events: ring::Sender<Event>,
    log: Logger,
    senders: BTreeMap<ServerId, ring::Sender<PollRequest>>,
}

impl<O: Orders> Pollers<O> {
    /// Creates a handle without duties; each is started by the first poll of its server.
    /// The results of the polls are sent to `events`.
    pub(super) fn new(client: O, events: ring::Sender<Event>, log: Logger) -> Pollers<O> {
        Pollers { client, events, log, senders: BTreeMap::new() }
    }

    /// Ends the duty of a server that is no longer polled, at the latest after the poll in
    /// progress and one that waits; does nothing if it has none.
    pub(super) fn remove(&mut self, server: &ServerId) {
        self.senders.remove(server);
    }

    /// Passes a poll to the server's duty, which is started if need be, and returns at
    /// once. Returns the event that reports the poll as failed if another one waits
    /// already or the duty can't be started.
    pub(super) fn poll(&mut self, request: PollRequest) -> Option<Event> {
        let target = request.target.clone();
        let sent = self.sender(&target.server).map(|sender| sender.try_send(request));
        match sent {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => Some(Event::PollFailed(
                target,
                PollError::NoResponse("its poller is busy or was not started".to_owned()),
            )),
        }
    }

    /// Returns the ring of the server's duty, which is started if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    fn sender(&mut self, server: &ServerId) -> io::Result<&ring::Sender<PollRequest>> {
        if !self.senders.contains_key(server) {
            let sender = self.spawn()?;
            self.senders.insert(server.clone(), sender);
        }
        self.senders.get(server).ok_or_else(|| io::Error::other("the poller was not started"))
    }

    /// Starts a polling duty and returns its ring.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    fn spawn(&self) -> io::Result<ring::Sender<PollRequest>> {
        let (sender, input) = ring::bounded(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        let log = self.log.clone();
        Duty::spawn("look", move || poll(&client, &input, &events, &log))?;
        Ok(sender)
    }
}

/// Runs a polling duty: makes one poll at a time and sends its report or error to `events`.
/// Returns once the handle has dropped its ring or the holder has ended.
fn poll<O: Orders>(
    client: &O,
    input: &ring::Receiver<PollRequest>,
    events: &ring::Sender<Event>,
    log: &Logger,
) {
    while let Some(request) = input.receive() {
        let PollRequest { target, lease_until_ms, acknowledged, max_wait } = request;
        let event = match client.poll(&target, lease_until_ms, acknowledged, max_wait) {
            Ok(report) => Event::StatusReported(Box::new(report)),
            Err(error) => {
                debug!(log, "status poll failed"; "server" => %target.server, "error" => %error);
                Event::PollFailed(target, error)
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
