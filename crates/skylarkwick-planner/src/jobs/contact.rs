//! The duties that look at backend servers, one for each.

use std::{collections::BTreeMap, io, time::Duration};

use skylarkwick_connection::order::{Orders, PollError};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::shard::{effect::Target, input::ServerId};
use slog::{Logger, debug};

use super::event::Event;

/// A look at a server.
#[derive(Debug)]
pub(super) struct PollRequest {
    pub(super) target: Target,
    pub(super) lease_until_ms: Option<u64>,
    pub(super) acknowledged: u64,
    pub(super) max_wait: Duration,
}

/// The duties that look at backend servers.
#[derive(Debug)]
pub(super) struct Contacts<O> {
    neighbour: O,
    events: ring::Sender<Event>,
    log: Logger,
    requests: BTreeMap<ServerId, ring::Sender<PollRequest>>,
}

impl<O: Orders> Contacts<O> {
    pub(super) fn new(neighbour: O, events: ring::Sender<Event>, log: Logger) -> Contacts<O> {
        Contacts { neighbour, events, log, requests: BTreeMap::new() }
    }

    /// Ends the duty of a server that has left.
    pub(super) fn forget(&mut self, server: &ServerId) {
        self.requests.remove(server);
    }

    /// Has a server looked at.
    pub(super) fn look(&mut self, request: PollRequest) -> Option<Event> {
        let server = request.target.server.clone();
        let offered = self.get(&server).map(|requests| requests.try_send(request));
        match offered {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => Some(Event::PollFailed(
                server,
                PollError::NoResponse("its duty is busy".to_owned()),
            )),
        }
    }

    fn get(&mut self, server: &ServerId) -> io::Result<&ring::Sender<PollRequest>> {
        if !self.requests.contains_key(server) {
            let requests = self.open()?;
            self.requests.insert(server.clone(), requests);
        }
        self.requests.get(server).ok_or_else(|| io::Error::other("no contact"))
    }

    fn open(&self) -> io::Result<ring::Sender<PollRequest>> {
        let (requests, input) = ring::bounded(1);
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        let log = self.log.clone();
        Duty::spawn("look", move || look(&neighbour, &input, &events, &log))?;
        Ok(requests)
    }
}

fn look<O: Orders>(
    neighbour: &O,
    input: &ring::Receiver<PollRequest>,
    events: &ring::Sender<Event>,
    log: &Logger,
) {
    while let Some(request) = input.receive() {
        let PollRequest { target, lease_until_ms, acknowledged, max_wait } = request;
        let event = match neighbour.poll(&target, lease_until_ms, acknowledged, max_wait) {
            Ok(report) => Event::StatusReported(Box::new(report)),
            Err(blind) => {
                debug!(log, "look failed"; "server" => %target.server, "error" => %blind);
                Event::PollFailed(target.server, blind)
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
