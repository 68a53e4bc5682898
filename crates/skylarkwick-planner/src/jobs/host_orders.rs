//! Records orders for hosts in the store, then sends them to the platform.
//!
//! Waiting orders are recorded in one transaction. It is conditional on the last
//! known order of each host and on the shard's fencing token. Its revision is the
//! fencing token of the orders, so that the tokens of each host only grow, whichever
//! holder sends the order. See `docs/DESIGN.md`, section
//! "Hosts and waves".

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    control::{Authority, Hosts},
    store::{
        self, Row, Store, Transaction,
        keyspace::{self, Keyspace},
        row::{self, HostOrderRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::Duty,
    ring,
};
use skylarkwick_request::shard::input::{HostId, HostOrderResult};
use skylarkwick_version::{
    host_order::{self, LastOrder},
    moment::Moment,
    revision::Revision,
};
use slog::{Logger, info, warn};

use super::event::Event;

/// Maximum number of orders that wait to be recorded; the holder counts further ones as
/// busy.
const RING_CAPACITY: usize = 512;
/// Maximum number of orders in one transaction; the platform limits conditions and writes
/// to a hundred in total, and each order needs two.
const MAX_BATCH: usize = 40;
/// Number of sender duties, and so of concurrent calls to the platform.
const SENDERS: usize = 6;
/// An order for a host, a machine of the fleet: move it to a pool, a named group of hosts,
/// or begin its maintenance in a wave, which an operator requests for a set of hosts.
#[derive(Debug)]
pub(super) enum Order {
    /// Move the host to a pool.
    Move(HostId, Arc<str>),
    /// Begin the maintenance of the host in the wave with this number.
    Maintain(HostId, u64),
}

impl Order {
    /// Returns the host that the order is for.
    pub(super) fn host(&self) -> &HostId {
        match self {
            Order::Move(host, _) | Order::Maintain(host, _) => host,
        }
    }
}

/// The holder that issues orders: its entry host and fencing token, and how long it leaves
/// a host alone after an order of an earlier holder.
#[derive(Clone, Debug)]
pub(super) struct Issuer {
    /// The entry host of this process.
    pub(super) entry: Arc<str>,
    /// Rows of the shard.
    pub(super) keyspace: Keyspace,
    /// Fencing token of the shard.
    pub(super) fencing_token: u64,
    /// Shortest time between the orders of two holders for one host.
    pub(super) handover_delay: Duration,
}

/// An order that is recorded in the store, with the authority to send it: the holder's
/// entry host and, as the fencing token of the order, the revision of the recording
/// transaction. `recording_began` is the time just before that.
#[derive(Debug)]
struct RecordedOrder {
    order: Order,
    authority: Authority,
    recording_began: Moment,
}

/// Starts the recording duty and its senders; returns the ring for orders. They end once
/// that ring is dropped and the orders in it are handled, or earlier after a result that
/// cannot be sent because the holder has ended. The result of each order is sent to
/// `events`; a withheld one, which was not sent, counts as busy.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(super) fn start<S: Store, H: Hosts>(
    store: S,
    hosts: &H,
    issuer: Issuer,
    events: ring::Sender<Event>,
    log: Logger,
) -> io::Result<ring::Sender<Order>> {
    let (orders, input) = ring::bounded::<Order>(RING_CAPACITY);
    let mut senders = Vec::with_capacity(SENDERS);
    for _ in 0..SENDERS {
        let (sender, next) = ring::bounded::<RecordedOrder>(MAX_BATCH);
        let (hosts, events, log) = (hosts.clone(), events.clone(), log.clone());
        Duty::spawn("host order", move || send_orders(&hosts, &next, &events, &log))?;
        senders.push(sender);
    }
    Duty::spawn("fleet", move || {
        let mut recorder = Recorder { store, issuer, log, last_orders: None };
        let mut next_sender = 0;
        while let Some(first) = input.receive() {
            let rest = std::iter::from_fn(|| input.try_receive()).take(MAX_BATCH - 1);
            let batch: Vec<Order> = std::iter::once(first).chain(rest).collect();
            let (recorded, withheld) = recorder.record(batch);
            for order in withheld {
                let result = Event::HostOrderResult(order.host().clone(), HostOrderResult::Busy);
                if events.send(result).is_err() {
                    return;
                }
            }
            for order in recorded {
                next_sender = (next_sender + 1) % SENDERS;
                if senders[next_sender].send(order).is_err() {
                    return;
                }
            }
        }
    })?;
    Ok(orders)
}

/// Runs a sender: sends recorded orders to the platform and reports their results. Orders
/// older than [`host_order::MAX_AGE`] are not sent and reported as busy.
fn send_orders<H: Hosts>(
    hosts: &H,
    input: &ring::Receiver<RecordedOrder>,
    events: &ring::Sender<Event>,
    log: &Logger,
) {
    while let Some(RecordedOrder { order, authority, recording_began }) = input.receive() {
        let result = match host_order::may_send(recording_began, Boot.now()) {
            true => send(hosts, &authority, &order),
            false => HostOrderResult::Busy,
        };
        info!(log, "host ordered"; "order" => ?order, "number" => authority.fencing,
            "answer" => ?result);
        if events.send(Event::HostOrderResult(order.host().clone(), result)).is_err() {
            return;
        }
    }
}

/// Sends an order to the platform and returns its result.
fn send<H: Hosts>(hosts: &H, authority: &Authority, order: &Order) -> HostOrderResult {
    match order {
        Order::Move(host, pool) => hosts.move_host(authority, host, pool),
        Order::Maintain(host, wave) => hosts.maintain(authority, host, *wave),
    }
}

/// The last known order of each host, and the revision of its row.
type LastOrders = BTreeMap<HostId, (Revision, HostOrderRow)>;

/// Records orders in the store `S`, and keeps the last known order of each host from one
/// batch to the next.
struct Recorder<S> {
    store: S,
    issuer: Issuer,
    log: Logger,
    /// `None` if the rows have to be read.
    last_orders: Option<LastOrders>,
}

impl<S: Store> Recorder<S> {
    /// Records a batch of orders in one transaction; returns the recorded and the withheld
    /// ones. All are withheld if the rows can't be read or the write isn't confirmed,
    /// otherwise those that the last order for their host doesn't allow yet.
    fn record(&mut self, batch: Vec<Order>) -> (Vec<RecordedOrder>, Vec<Order>) {
        let recording_began = Boot.now();
        let Some(mut last_orders) = self.last_orders.take().or_else(|| self.read().ok()) else {
            return (Vec::new(), batch);
        };
        let now_ms = self.store.clock_ms();
        let (allowed, mut withheld): (Vec<Order>, Vec<Order>) =
            batch.into_iter().partition(|order| self.is_allowed(order, &last_orders, now_ms));
        if allowed.is_empty() {
            self.last_orders = Some(last_orders);
            return (Vec::new(), withheld);
        }
        let next = HostOrderRow {
            holder: self.issuer.entry.to_string(),
            fencing: self.issuer.fencing_token,
            ordered_ms: now_ms,
        };
        let transaction = transaction(&allowed, &next, &last_orders, &self.issuer);
        match store::commit_with_retry(&self.store, &transaction) {
            store::Outcome::Applied(revision) => {
                let holder = Arc::clone(&self.issuer.entry);
                let authority = Authority { holder, fencing: revision.0 };
                let row = |order: &Order| (order.host().clone(), (revision, next.clone()));
                last_orders.extend(allowed.iter().map(row));
                self.last_orders = Some(last_orders);
                let recorded =
                    |order| RecordedOrder { order, authority: authority.clone(), recording_began };
                (allowed.into_iter().map(recorded).collect(), withheld)
            }
            outcome => {
                // The rows may have changed or may still change: read them again
                // before the next orders.
                warn!(self.log, "orders withheld"; "orders" => allowed.len(),
                    "outcome" => ?outcome);
                withheld.extend(allowed);
                (Vec::new(), withheld)
            }
        }
    }

    /// Returns whether the last order for the host allows another one now; if not, logs
    /// why. `now_ms` is the store's clock.
    fn is_allowed(&self, order: &Order, last_orders: &LastOrders, now_ms: u64) -> bool {
        let Some((_, last)) = last_orders.get(order.host()) else {
            return true;
        };
        let last = LastOrder {
            fencing_token: last.fencing,
            age: Duration::from_millis(now_ms.saturating_sub(last.ordered_ms)),
        };
        let Issuer { fencing_token, handover_delay, .. } = self.issuer;
        last.allows(fencing_token, handover_delay)
            .inspect_err(|because| {
                warn!(self.log, "order withheld"; "order" => ?order, "because" => %because);
            })
            .is_ok()
    }

    /// Reads the last order of each host of the shard.
    ///
    /// # Errors
    ///
    /// Returns the store's error, which is also logged.
    fn read(&self) -> Result<LastOrders, store::Error> {
        let page = store::read_partition(&self.store, keyspace::HOST_ORDERS, "")
            .inspect_err(|error| warn!(self.log, "host orders not read"; "error" => %error))?;
        Ok(page
            .rows
            .iter()
            .filter(|row| self.issuer.keyspace.owns(&row.key.name))
            .filter_map(|row| self.decode(row))
            .collect())
    }

    /// Decodes the row of a host's last order; returns `None` if the row was removed. An
    /// invalid one is treated as empty and overwritten by the next order.
    fn decode(&self, row: &Row) -> Option<(HostId, (Revision, HostOrderRow))> {
        let last = row::decode::<HostOrderRow>(row.value.as_deref()?)
            .inspect_err(|error| {
                warn!(self.log, "host order row not decoded"; "host" => &*row.key.name, "error" => %error);
            })
            .unwrap_or_default();
        Some((HostId(Arc::clone(&row.key.name)), (row.revision, last)))
    }
}

/// Returns the transaction that writes `next` as the last order of each host that `orders`
/// name. It is conditional on the revisions of these hosts' rows in `last_orders`, and on
/// the shard's fence row, whose revision is the issuer's fencing token until a later holder acquires
/// the shard.
fn transaction(
    orders: &[Order],
    next: &HostOrderRow,
    last_orders: &LastOrders,
    issuer: &Issuer,
) -> Transaction {
    let fence = (issuer.keyspace.fence(), Revision(issuer.fencing_token));
    let start = Transaction::default().require(fence.0, fence.1);
    orders.iter().fold(start, |transaction, order| {
        let host = order.host();
        let revision = last_orders.get(host).map_or(Revision::ABSENT, |(revision, _)| *revision);
        transaction.replace(keyspace::host_order_key(&host.0), revision, row::encode(next))
    })
}
