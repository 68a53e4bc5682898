//! The duties that look at backend servers, one for each.

use std::{collections::BTreeMap, io, time::Duration};

use skylarkwick_connection::order::{Blind, Orders};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::shard::{effect::Target, fact::ServerId};
use slog::{Logger, debug};

use super::event::Event;

/// A look at a server.
#[derive(Debug)]
pub(super) struct Glance {
    pub(super) target: Target,
    pub(super) until_ms: Option<u64>,
    pub(super) acknowledged: u64,
    pub(super) wait: Duration,
}

/// The duties that look at backend servers.
#[derive(Debug)]
pub(super) struct Contacts<O> {
    neighbour: O,
    events: ring::Sender<Event>,
    log: Logger,
    glances: BTreeMap<ServerId, ring::Sender<Glance>>,
}

impl<O: Orders> Contacts<O> {
    pub(super) fn new(neighbour: O, events: ring::Sender<Event>, log: Logger) -> Contacts<O> {
        Contacts { neighbour, events, log, glances: BTreeMap::new() }
    }

    /// Ends the duty of a server that has left.
    pub(super) fn forget(&mut self, server: &ServerId) {
        self.glances.remove(server);
    }

    /// Has a server looked at.
    pub(super) fn look(&mut self, glance: Glance) -> Option<Event> {
        let server = glance.target.server.clone();
        let offered = self.get(&server).map(|glances| glances.try_send(glance));
        match offered {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => {
                Some(Event::Blind(server, Blind::Silent("its duty is busy".to_owned())))
            }
        }
    }

    fn get(&mut self, server: &ServerId) -> io::Result<&ring::Sender<Glance>> {
        if !self.glances.contains_key(server) {
            let glances = self.open()?;
            self.glances.insert(server.clone(), glances);
        }
        self.glances.get(server).ok_or_else(|| io::Error::other("no contact"))
    }

    fn open(&self) -> io::Result<ring::Sender<Glance>> {
        let (glances, input) = ring::bounded(1);
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        let log = self.log.clone();
        Duty::spawn("look", move || look(&neighbour, &input, &events, &log))?;
        Ok(glances)
    }
}

fn look<O: Orders>(
    neighbour: &O,
    input: &ring::Receiver<Glance>,
    events: &ring::Sender<Event>,
    log: &Logger,
) {
    while let Some(glance) = input.receive() {
        let Glance { target, until_ms, acknowledged, wait } = glance;
        let event = match neighbour.look(&target, until_ms, acknowledged, wait) {
            Ok(look) => Event::Looked(Box::new(look)),
            Err(blind) => {
                debug!(log, "look failed"; "server" => %target.server, "error" => %blind);
                Event::Blind(target.server, blind)
            }
        };
        if events.send(event).is_err() {
            return;
        }
    }
}
