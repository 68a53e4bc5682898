//! The two duties of each backend server: one looks, one gives orders.
//!
//! A server that does not answer holds up nothing but its own duties.

use std::{collections::BTreeMap, io, time::Duration};

use skylarkwick_connection::order::Orders;
use skylarkwick_process::{
    duty::Duty,
    ring::{self, Refused},
};
use skylarkwick_request::{
    job::task,
    shard::{
        effect::{Start, Target},
        fact::{Answer, Refusal, ServerId},
    },
};
use slog::{Logger, debug};

use super::event::Event;

/// Orders that wait for one server.
const RING: usize = 128;

/// A look at a server.
#[derive(Debug)]
pub(super) struct Glance {
    pub(super) target: Target,
    pub(super) until_ms: Option<u64>,
    pub(super) acknowledged: u64,
    pub(super) wait: Duration,
}

/// An order for a server.
#[derive(Debug)]
pub(super) enum Order {
    Start(Target, Box<Start>),
    Stop(Target, task::Id, task::Run),
    Pace(Target, task::Id, task::Run, u32),
}

/// The rings of one server's duties.
#[derive(Debug)]
struct Contact {
    glances: ring::Sender<Glance>,
    orders: ring::Sender<Order>,
}

/// The duties of every backend server.
#[derive(Debug)]
pub(super) struct Contacts<O> {
    neighbour: O,
    events: ring::Sender<Event>,
    log: Logger,
    contacts: BTreeMap<ServerId, Contact>,
}

impl<O: Orders> Contacts<O> {
    pub(super) fn new(neighbour: O, events: ring::Sender<Event>, log: Logger) -> Contacts<O> {
        Contacts { neighbour, events, log, contacts: BTreeMap::new() }
    }

    /// Ends the duties of a server that has left.
    pub(super) fn forget(&mut self, server: &ServerId) {
        self.contacts.remove(server);
    }

    /// Has a server looked at.
    pub(super) fn look(&mut self, glance: Glance) -> Option<Event> {
        let server = glance.target.server.clone();
        match self.get(&server).map(|contact| contact.glances.offer(glance)) {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => {
                let blind = skylarkwick_connection::order::Blind::Silent("busy".to_owned());
                Some(Event::Blind(server, blind))
            }
        }
    }

    /// Has an order given; returns its answer when it can't even be queued.
    pub(super) fn order(&mut self, order: Order) -> Option<Event> {
        let server = order.server().clone();
        match self.get(&server).map(|contact| contact.orders.offer(order)) {
            Ok(Ok(())) | Err(_) => None,
            Ok(Err(Refused::Full(order) | Refused::Closed(order))) => {
                order.answered(Answer::Refused(Refusal::Unwell, None))
            }
        }
    }

    fn get(&mut self, server: &ServerId) -> io::Result<&Contact> {
        if !self.contacts.contains_key(server) {
            let contact = self.open()?;
            self.contacts.insert(server.clone(), contact);
        }
        self.contacts.get(server).ok_or_else(|| io::Error::other("no contact"))
    }

    fn open(&self) -> io::Result<Contact> {
        let (glances, look_input) = ring::bounded(1);
        let (orders, order_input) = ring::bounded(RING);
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        let log = self.log.clone();
        Duty::spawn("look", move || look(&neighbour, &look_input, &events, &log))?;
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        Duty::spawn("order", move || give(&neighbour, &order_input, &events))?;
        Ok(Contact { glances, orders })
    }
}

impl Order {
    fn server(&self) -> &ServerId {
        match self {
            Order::Start(target, _) | Order::Stop(target, ..) | Order::Pace(target, ..) => {
                &target.server
            }
        }
    }

    fn answered(self, answer: Answer) -> Option<Event> {
        match self {
            Order::Start(target, start) => {
                Some(Event::Started(target.server, start.task, start.run, answer))
            }
            Order::Stop(target, task, run) => {
                Some(Event::Stopped(target.server, task, run, answer))
            }
            Order::Pace(..) => None,
        }
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

fn give<O: Orders>(neighbour: &O, input: &ring::Receiver<Order>, events: &ring::Sender<Event>) {
    while let Some(order) = input.receive() {
        let answer = match &order {
            Order::Start(target, start) => neighbour.start(target, start),
            Order::Stop(target, task, run) => neighbour.stop(target, task, *run),
            Order::Pace(target, task, run, percent) => neighbour.pace(target, task, *run, *percent),
        };
        let event = order.answered(answer);
        if event.is_some_and(|event| events.send(event).is_err()) {
            return;
        }
    }
}
