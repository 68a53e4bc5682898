//! The duties that talk to backend servers.
//!
//! Each server has a duty that looks at it. Orders are given by a pool of
//! senders, a few at a time for one server, so that a server that does not
//! answer holds up only a few of them and no other server's.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    time::Duration,
};

use skylarkwick_connection::order::{Blind, Orders};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::{
    job::task,
    shard::{
        effect::{Start, Target},
        fact::{Answer, Refusal, ServerId},
    },
};
use slog::{Logger, debug, warn};

use super::event::Event;

/// Orders that are given at once.
const SENDERS: usize = 128;
/// Orders that are given at once to one server.
const SENDERS_PER_SERVER: usize = 6;
/// Orders that wait for one server before further ones are refused as not sent.
const MAX_WAITING: usize = 256;

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

/// What is under way for one server.
#[derive(Debug)]
struct Contact {
    glances: ring::Sender<Glance>,
    waiting: VecDeque<Order>,
    in_progress: usize,
}

/// Number of a sender.
pub(super) type Sender = usize;

/// The duties that talk to backend servers.
#[derive(Debug)]
pub(super) struct Contacts<O> {
    neighbour: O,
    events: ring::Sender<Event>,
    log: Logger,
    contacts: BTreeMap<ServerId, Contact>,
    senders: Vec<ring::Sender<Order>>,
    idle: Vec<Sender>,
}

impl<O: Orders> Contacts<O> {
    pub(super) fn new(neighbour: O, events: ring::Sender<Event>, log: Logger) -> Contacts<O> {
        let (contacts, senders, idle) = (BTreeMap::new(), Vec::new(), Vec::new());
        Contacts { neighbour, events, log, contacts, senders, idle }
    }

    /// Ends the duty of a server that has left; orders that wait are void.
    pub(super) fn forget(&mut self, server: &ServerId) {
        self.contacts.remove(server);
    }

    /// Has a server looked at.
    pub(super) fn look(&mut self, glance: Glance) -> Option<Event> {
        let server = glance.target.server.clone();
        let offered = self.get(&server).map(|contact| contact.glances.offer(glance));
        match offered {
            Ok(Ok(())) => None,
            Ok(Err(_)) | Err(_) => {
                Some(Event::Blind(server, Blind::Silent("its duty is busy".to_owned())))
            }
        }
    }

    /// Has an order given; returns its answer when it can't even wait.
    pub(super) fn order(&mut self, order: Order) -> Option<Event> {
        let server = order.server().clone();
        let refused = match self.get(&server) {
            Ok(contact) if contact.waiting.len() < MAX_WAITING => {
                contact.waiting.push_back(order);
                None
            }
            _ => order.answered(Answer::Refused(Refusal::Unwell, None)),
        };
        self.send_next(&server);
        refused
    }

    /// Notes that a sender has given its order.
    pub(super) fn finished(&mut self, sender: Sender, server: &ServerId) {
        self.idle.push(sender);
        if let Some(contact) = self.contacts.get_mut(server) {
            contact.in_progress = contact.in_progress.saturating_sub(1);
        }
        self.send_next(server);
        let starved: Vec<ServerId> = self
            .contacts
            .iter()
            .filter(|(_, contact)| contact.has_due())
            .map(|(server, _)| server.clone())
            .collect();
        for server in starved {
            self.send_next(&server);
        }
    }

    fn send_next(&mut self, server: &ServerId) {
        while self.contacts.get(server).is_some_and(Contact::has_due) {
            let Some(sender) = self.idle.pop().or_else(|| self.open_sender()) else {
                return;
            };
            let Some(contact) = self.contacts.get_mut(server) else {
                return;
            };
            if let Some(order) = contact.waiting.pop_front() {
                contact.in_progress += 1;
                // An idle sender's ring is empty, and it ends only with the holder.
                let _ = self.senders[sender].offer(order);
            }
        }
    }

    fn open_sender(&mut self) -> Option<Sender> {
        if self.senders.len() >= SENDERS {
            return None;
        }
        let sender = self.senders.len();
        let (orders, input) = ring::bounded(1);
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        Duty::spawn("order", move || give(sender, &neighbour, &input, &events))
            .inspect_err(|error| warn!(self.log, "no sender started"; "error" => %error))
            .ok()?;
        self.senders.push(orders);
        Some(sender)
    }

    fn get(&mut self, server: &ServerId) -> io::Result<&mut Contact> {
        if !self.contacts.contains_key(server) {
            let contact = self.open()?;
            self.contacts.insert(server.clone(), contact);
        }
        self.contacts.get_mut(server).ok_or_else(|| io::Error::other("no contact"))
    }

    fn open(&self) -> io::Result<Contact> {
        let (glances, input) = ring::bounded(1);
        let (neighbour, events) = (self.neighbour.clone(), self.events.clone());
        let log = self.log.clone();
        Duty::spawn("look", move || look(&neighbour, &input, &events, &log))?;
        Ok(Contact { glances, waiting: VecDeque::new(), in_progress: 0 })
    }
}

impl Contact {
    fn has_due(&self) -> bool {
        !self.waiting.is_empty() && self.in_progress < SENDERS_PER_SERVER
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

fn give<O: Orders>(
    sender: Sender,
    neighbour: &O,
    input: &ring::Receiver<Order>,
    events: &ring::Sender<Event>,
) {
    while let Some(order) = input.receive() {
        let answer = match &order {
            Order::Start(target, start) => neighbour.start(target, start),
            Order::Stop(target, task, run) => neighbour.stop(target, task, *run),
            Order::Pace(target, task, run, percent) => neighbour.pace(target, task, *run, *percent),
        };
        let server = order.server().clone();
        let answered = order.answered(answer);
        let finished = Event::Sent(sender, server);
        if answered.into_iter().chain([finished]).any(|event| events.send(event).is_err()) {
            return;
        }
    }
}
