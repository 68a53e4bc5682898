//! The duty that gives orders to backend servers.
//!
//! Orders are given by a pool of senders, a few at a time for one server, so that
//! a server that does not answer holds up only a few of them and no other
//! server's. The duty is apart from the holder's, so that a sender need not wait
//! for a decision to get its next order.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
};

use skylarkwick_connection::order::Orders;
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::{
    job::task,
    shard::{
        effect::{Start, Target},
        input::{OrderResult, RejectReason, ServerId},
    },
};
use slog::{Logger, warn};

use super::event::Event;

/// Orders and reports that wait for the duty.
const RING: usize = 4096;
/// Orders that are given at once.
const SENDERS: usize = 128;
/// Orders that are given at once to one server.
const SENDERS_PER_SERVER: usize = 6;
/// Orders that wait for one server before further ones are refused as not sent.
const MAX_WAITING: usize = 256;

/// An order for a server.
#[derive(Debug)]
pub(super) enum Order {
    Start(Target, Box<Start>),
    Stop(Target, task::Id, task::RunId),
    Pace(Target, task::Id, task::RunId, u32),
}

/// Number of a sender.
type Sender = usize;

/// What the duty is told.
#[derive(Debug)]
enum Work {
    /// Give an order.
    Give(Order),
    /// A sender has given its order to a server.
    Given(Sender, ServerId),
    /// The shard is given up.
    End,
}

/// Gives orders to the duty, which ends with it; orders that wait are then void.
#[derive(Debug)]
pub(super) struct Dispatch {
    work: ring::Sender<Work>,
    end: StopSignal,
}

impl Drop for Dispatch {
    fn drop(&mut self) {
        self.end.request();
        // The duty may have ended by itself, as nobody takes its events any more.
        let _ = self.work.send(Work::End);
    }
}

impl Dispatch {
    /// Has an order given; returns its answer when it can't even wait.
    pub(super) fn order(&self, order: Order) -> Option<Event> {
        match self.work.try_send(Work::Give(order)) {
            Err(ring::SendError::Full(Work::Give(order))) => order.refused(),
            _ => None,
        }
    }
}

/// Starts the duty.
pub(super) fn start<O: Orders>(
    neighbour: O,
    events: ring::Sender<Event>,
    log: Logger,
) -> io::Result<Dispatch> {
    let (work, input) = ring::bounded(RING);
    let reports = work.clone();
    let end = StopSignal::default();
    let is_over = end.clone();
    Duty::spawn("dispatch", move || {
        let mut dispatcher = Dispatcher {
            neighbour,
            events,
            reports,
            log,
            lanes: BTreeMap::new(),
            senders: Vec::new(),
            idle: Vec::new(),
        };
        while let Some(work) = input.receive() {
            if is_over.is_requested() || !dispatcher.note(work) {
                return;
            }
        }
    })?;
    Ok(Dispatch { work, end })
}

/// Orders for one server.
#[derive(Debug, Default)]
struct Lane {
    waiting: VecDeque<Order>,
    in_progress: usize,
}

impl Lane {
    fn has_due(&self) -> bool {
        !self.waiting.is_empty() && self.in_progress < SENDERS_PER_SERVER
    }
}

/// What the duty owns.
struct Dispatcher<O> {
    neighbour: O,
    events: ring::Sender<Event>,
    reports: ring::Sender<Work>,
    log: Logger,
    /// The servers that have orders, waiting or in progress.
    lanes: BTreeMap<ServerId, Lane>,
    senders: Vec<ring::Sender<Order>>,
    idle: Vec<Sender>,
}

impl<O: Orders> Dispatcher<O> {
    /// Takes note of an order or a report; false once the holder has ended.
    fn note(&mut self, work: Work) -> bool {
        match work {
            Work::Give(order) => {
                let server = order.server().clone();
                let lane = self.lanes.entry(server.clone()).or_default();
                if lane.waiting.len() >= MAX_WAITING {
                    let answered = order.refused();
                    return answered.is_none_or(|event| self.events.send(event).is_ok());
                }
                lane.waiting.push_back(order);
                self.send_next(&server);
            }
            Work::Given(sender, server) => {
                self.idle.push(sender);
                self.finish(&server);
                self.send_starved();
            }
            Work::End => return false,
        }
        true
    }

    fn finish(&mut self, server: &ServerId) {
        if let Some(lane) = self.lanes.get_mut(server) {
            lane.in_progress = lane.in_progress.saturating_sub(1);
        }
        self.send_next(server);
        let is_empty = |lane: &Lane| lane.waiting.is_empty() && lane.in_progress == 0;
        if self.lanes.get(server).is_some_and(is_empty) {
            self.lanes.remove(server);
        }
    }

    /// Gives idle senders to servers whose orders found none.
    fn send_starved(&mut self) {
        if self.idle.is_empty() {
            return;
        }
        let due = self.lanes.iter().filter(|(_, lane)| lane.has_due());
        let starved: Vec<ServerId> = due.map(|(server, _)| server.clone()).collect();
        for server in starved {
            self.send_next(&server);
        }
    }

    fn send_next(&mut self, server: &ServerId) {
        while self.lanes.get(server).is_some_and(Lane::has_due) {
            let Some(sender) = self.idle.pop().or_else(|| self.open_sender()) else {
                return;
            };
            let Some(lane) = self.lanes.get_mut(server) else {
                return;
            };
            if let Some(order) = lane.waiting.pop_front() {
                lane.in_progress += 1;
                // An idle sender's ring is empty, and it ends only with this duty.
                let _ = self.senders[sender].try_send(order);
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
        let reports = self.reports.clone();
        Duty::spawn("order", move || give(sender, &neighbour, &input, &events, &reports))
            .inspect_err(|error| warn!(self.log, "no sender started"; "error" => %error))
            .ok()?;
        self.senders.push(orders);
        Some(sender)
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

    /// Returns the answer to an order that was not sent.
    fn refused(self) -> Option<Event> {
        self.answered(OrderResult::Refused(RejectReason::Unavailable, None))
    }

    fn answered(self, answer: OrderResult) -> Option<Event> {
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

fn give<O: Orders>(
    sender: Sender,
    neighbour: &O,
    input: &ring::Receiver<Order>,
    events: &ring::Sender<Event>,
    reports: &ring::Sender<Work>,
) {
    while let Some(order) = input.receive() {
        let answer = match &order {
            Order::Start(target, start) => neighbour.start(target, start),
            Order::Stop(target, task, run) => neighbour.stop(target, task, *run),
            Order::Pace(target, task, run, percent) => neighbour.pace(target, task, *run, *percent),
        };
        let server = order.server().clone();
        let is_told = order.answered(answer).is_none_or(|event| events.send(event).is_ok());
        if !is_told || reports.send(Work::Given(sender, server)).is_err() {
            return;
        }
    }
}
