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

/// Maximum number of messages (orders and reports of finished calls) that wait for the
/// dispatch duty; further orders are rejected unsent, or dropped if they set a pace.
const RING_CAPACITY: usize = 4096;
/// Maximum number of senders, and so of concurrent calls to all servers.
const MAX_SENDERS: usize = 128;
/// Maximum number of concurrent calls to one server.
const MAX_SENDERS_PER_SERVER: usize = 6;
/// Maximum number of orders that wait for one server; further ones are rejected unsent, or
/// dropped if they set a pace.
const MAX_WAITING: usize = 256;

/// An order for a backend server: start a run (one attempt at a task), stop it, or set its
/// pace, the speed at which the server lets it proceed.
#[derive(Debug)]
pub(super) enum Order {
    /// Start a run of a task.
    Start(Target, Box<Start>),
    /// Stop a run of a task.
    Stop(Target, task::Id, task::RunId),
    /// Set the pace of a run, in percent of the full pace.
    Pace(Target, task::Id, task::RunId, u32),
}

/// Index of a sender, a duty that makes one call at a time, in the pool.
type SenderId = usize;

/// A message to the dispatch duty: an order, the report of a finished call, or the end.
#[derive(Debug)]
enum Message {
    /// Send an order.
    Send(Order),
    /// This sender has finished its call to this server.
    Sent(SenderId, ServerId),
    /// The holder has ended.
    Stop,
}

/// Handle of the dispatch duty. Dropping it ends the duty and discards waiting orders;
/// calls in progress are completed.
#[derive(Debug)]
pub(super) struct DispatchHandle {
    messages: ring::Sender<Message>,
    stop: StopSignal,
}

impl Drop for DispatchHandle {
    /// Makes the dispatch duty end before it handles its next message. Does not wait for
    /// its end, but blocks while the duty's ring is full.
    fn drop(&mut self) {
        self.stop.request();
        // Fails if the duty has ended because the holder's ring was closed.
        let _ = self.messages.send(Message::Stop);
    }
}

impl DispatchHandle {
    /// Queues an order and returns at once. The result of a start or a stop follows as an
    /// event; that of a pace order is dropped.
    ///
    /// If the duty's ring is full, returns the event that reports a start or a stop as
    /// rejected, and drops a pace order. Returns `None` otherwise, also if the duty has
    /// ended.
    pub(super) fn send(&self, order: Order) -> Option<Event> {
        match self.messages.try_send(Message::Send(order)) {
            Err(ring::SendError::Full(Message::Send(order))) => order.into_rejection(),
            _ => None,
        }
    }
}

/// Starts the dispatch duty, which sends the results of start and stop orders to `events`.
/// `client` makes the calls to the servers.
///
/// # Errors
///
/// Fails if the duty's thread cannot be started.
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

/// The orders that wait for one server, oldest first, and the number of calls to it that
/// are in progress.
#[derive(Debug, Default)]
struct ServerQueue {
    waiting: VecDeque<Order>,
    in_progress: usize,
}

impl ServerQueue {
    /// Returns whether an order waits and the server's limit of calls allows another one.
    fn can_send(&self) -> bool {
        !self.waiting.is_empty() && self.in_progress < MAX_SENDERS_PER_SERVER
    }
}

/// State of the dispatch duty: the orders of each server, and the senders, with the rings
/// to and from them. `O` is the client that makes the calls.
struct Dispatcher<O> {
    client: O,
    events: ring::Sender<Event>,
    /// The duty's own ring, on which senders report finished calls.
    reports: ring::Sender<Message>,
    log: Logger,
    /// Servers with waiting orders or calls in progress.
    queues: BTreeMap<ServerId, ServerQueue>,
    senders: Vec<ring::Sender<Order>>,
    idle_senders: Vec<SenderId>,
}

impl<O: Orders> Dispatcher<O> {
    /// Handles a message. Queues an order and sends its server's waiting ones as far as
    /// possible, or rejects it if [`MAX_WAITING`] orders wait for its server; a pace order,
    /// which sets the speed of a run, is then dropped. Counts a reported call as finished,
    /// marks its sender as idle and sends waiting orders. Returns false for
    /// [`Message::Stop`], and if a rejection cannot be reported because the holder has ended.
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

    /// Counts a call to the server as finished, sends the server's waiting orders, and
    /// forgets the server if nothing waits or is in progress.
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

    /// Sends the waiting orders of all servers, one server after another in the order of
    /// their identities, as far as [`Self::send_waiting_to`] can; does nothing without an
    /// idle sender.
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

    /// Sends the waiting orders of a server, oldest first, until none waits, its limit of
    /// concurrent calls is reached, or no sender is idle and none can be started.
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

    /// Starts a sender and returns its index, without marking it as idle. Returns `None` if
    /// there are [`MAX_SENDERS`] already, or if its thread cannot be started, which is
    /// logged.
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
    /// Returns the server that the order is for.
    fn server(&self) -> &ServerId {
        match self {
            Order::Start(target, _) | Order::Stop(target, ..) | Order::Pace(target, ..) => {
                &target.server
            }
        }
    }

    /// Returns the event that reports an order as rejected because it was not sent, with
    /// [`RejectReason::NotSent`]; pace orders have none.
    fn into_rejection(self) -> Option<Event> {
        self.into_event(OrderResult::Refused(RejectReason::NotSent, None))
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

/// Runs a sender: sends one order at a time, reports the result of a start or a stop to the
/// holder, and then the finished call to the dispatch duty. Results of pace orders are
/// dropped. Returns once a report cannot be delivered because its receiver has ended, or
/// once the dispatch duty has closed `input`.
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
