//! Sends orders to backend servers.
//!
//! A pool of senders makes the calls. The number of concurrent calls to one server
//! is limited, so that an unresponsive server blocks few senders and no orders for
//! other servers. Dispatch has a duty of its own, so that a sender gets its next
//! order without waiting for the holder's next decision.

use std::{
    collections::{BTreeMap, VecDeque},
    io,
};

use skylarkwick_connection::control::Orders;
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

/// Orders and reports that may wait for the dispatch duty.
const RING_CAPACITY: usize = 4096;
/// Concurrent calls to all servers.
const MAX_SENDERS: usize = 128;
/// Concurrent calls to one server.
const MAX_SENDERS_PER_SERVER: usize = 6;
/// Orders that may wait for one server; further ones are rejected unsent.
const MAX_WAITING: usize = 256;

/// An order for a backend server.
#[derive(Debug)]
pub(super) enum Order {
    Start(Target, Box<Start>),
    Stop(Target, task::Id, task::RunId),
    Pace(Target, task::Id, task::RunId, u32),
}

/// Index of a sender in the pool.
type SenderId = usize;

/// A message to the dispatch duty.
#[derive(Debug)]
enum Message {
    /// Send an order.
    Send(Order),
    /// A sender has finished its call to a server.
    Sent(SenderId, ServerId),
    /// The holder has ended.
    Stop,
}

/// Handle of the dispatch duty; dropping it ends the duty and discards waiting
/// orders.
#[derive(Debug)]
pub(super) struct DispatchHandle {
    messages: ring::Sender<Message>,
    stop: StopSignal,
}

impl Drop for DispatchHandle {
    fn drop(&mut self) {
        self.stop.request();
        // Fails if the duty has ended because the holder's ring was closed.
        let _ = self.messages.send(Message::Stop);
    }
}

impl DispatchHandle {
    /// Queues an order; returns a rejection if the duty's ring is full.
    pub(super) fn send(&self, order: Order) -> Option<Event> {
        match self.messages.try_send(Message::Send(order)) {
            Err(ring::SendError::Full(Message::Send(order))) => order.into_rejection(),
            _ => None,
        }
    }
}

/// Starts the dispatch duty.
pub(super) fn start<O: Orders>(
    client: O,
    events: ring::Sender<Event>,
    log: Logger,
) -> io::Result<DispatchHandle> {
    let (messages, input) = ring::bounded(RING_CAPACITY);
    let reports = messages.clone();
    let stop = StopSignal::default();
    let duty_stop = stop.clone();
    Duty::spawn("dispatch", move || {
        let mut dispatcher = Dispatcher {
            client,
            events,
            reports,
            log,
            queues: BTreeMap::new(),
            senders: Vec::new(),
            idle_senders: Vec::new(),
        };
        while let Some(message) = input.receive() {
            if duty_stop.is_requested() || !dispatcher.handle(message) {
                return;
            }
        }
    })?;
    Ok(DispatchHandle { messages, stop })
}

/// Waiting orders and concurrent calls of one server.
#[derive(Debug, Default)]
struct ServerQueue {
    waiting: VecDeque<Order>,
    in_progress: usize,
}

impl ServerQueue {
    fn can_send(&self) -> bool {
        !self.waiting.is_empty() && self.in_progress < MAX_SENDERS_PER_SERVER
    }
}

/// State of the dispatch duty.
struct Dispatcher<O> {
    client: O,
    events: ring::Sender<Event>,
    reports: ring::Sender<Message>,
    log: Logger,
    /// Servers with waiting orders or calls in progress.
    queues: BTreeMap<ServerId, ServerQueue>,
    senders: Vec<ring::Sender<Order>>,
    idle_senders: Vec<SenderId>,
}

impl<O: Orders> Dispatcher<O> {
    /// Handles a message; returns false once the holder has ended.
    fn handle(&mut self, message: Message) -> bool {
        match message {
            Message::Send(order) => {
                let server = order.server().clone();
                let queue = self.queues.entry(server.clone()).or_default();
                if queue.waiting.len() >= MAX_WAITING {
                    let event = order.into_rejection();
                    return event.is_none_or(|event| self.events.send(event).is_ok());
                }
                queue.waiting.push_back(order);
                self.send_waiting_to(&server);
            }
            Message::Sent(sender, server) => {
                self.idle_senders.push(sender);
                self.finish_order(&server);
                self.send_waiting();
            }
            Message::Stop => return false,
        }
        true
    }

    fn finish_order(&mut self, server: &ServerId) {
        if let Some(queue) = self.queues.get_mut(server) {
            queue.in_progress = queue.in_progress.saturating_sub(1);
        }
        self.send_waiting_to(server);
        let is_empty = |queue: &ServerQueue| queue.waiting.is_empty() && queue.in_progress == 0;
        if self.queues.get(server).is_some_and(is_empty) {
            self.queues.remove(server);
        }
    }

    /// Assigns idle senders to servers whose orders wait for one.
    fn send_waiting(&mut self) {
        if self.idle_senders.is_empty() {
            return;
        }
        let sendable = self.queues.iter().filter(|(_, queue)| queue.can_send());
        let servers: Vec<ServerId> = sendable.map(|(server, _)| server.clone()).collect();
        for server in servers {
            self.send_waiting_to(&server);
        }
    }

    /// Sends the waiting orders of a server, as far as its limit and the idle senders
    /// allow.
    fn send_waiting_to(&mut self, server: &ServerId) {
        while self.queues.get(server).is_some_and(ServerQueue::can_send) {
            let Some(sender) = self.idle_senders.pop().or_else(|| self.open_sender()) else {
                return;
            };
            let Some(queue) = self.queues.get_mut(server) else {
                return;
            };
            if let Some(order) = queue.waiting.pop_front() {
                queue.in_progress += 1;
                // An idle sender's ring is empty, and its receiver ends only with this duty.
                let _ = self.senders[sender].try_send(order);
            }
        }
    }

    fn open_sender(&mut self) -> Option<SenderId> {
        if self.senders.len() >= MAX_SENDERS {
            return None;
        }
        let sender = self.senders.len();
        let (orders, input) = ring::bounded(1);
        let (client, events) = (self.client.clone(), self.events.clone());
        let reports = self.reports.clone();
        Duty::spawn("order", move || send_orders(sender, &client, &input, &events, &reports))
            .inspect_err(|error| warn!(self.log, "sender not started"; "error" => %error))
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

    /// Returns the event that reports the rejection of an order that was not sent.
    fn into_rejection(self) -> Option<Event> {
        self.into_event(OrderResult::Refused(RejectReason::Unavailable, None))
    }

    /// Returns the event that reports the result; pace orders have none.
    fn into_event(self, result: OrderResult) -> Option<Event> {
        match self {
            Order::Start(target, start) => {
                Some(Event::StartResult(target.server, start.task, start.run, result))
            }
            Order::Stop(target, task, run) => {
                Some(Event::StopResult(target.server, task, run, result))
            }
            Order::Pace(..) => None,
        }
    }
}

fn send_orders<O: Orders>(
    sender: SenderId,
    client: &O,
    input: &ring::Receiver<Order>,
    events: &ring::Sender<Event>,
    reports: &ring::Sender<Message>,
) {
    while let Some(order) = input.receive() {
        let result = match &order {
            Order::Start(target, start) => client.start(target, start),
            Order::Stop(target, task, run) => client.stop(target, task, *run),
            Order::Pace(target, task, run, percent) => client.pace(target, task, *run, *percent),
        };
        let server = order.server().clone();
        let is_delivered = order.into_event(result).is_none_or(|event| events.send(event).is_ok());
        if !is_delivered || reports.send(Message::Sent(sender, server)).is_err() {
            return;
        }
    }
}
