//! Orders for hosts.
//!
//! Orders are written down before they are given, all that wait in one
//! transaction, on condition that the last order for each host is the one that
//! is known and that no later holder has taken the shard. The revision of that
//! transaction is the orders' fencing number, so that numbers only grow for each
//! host, whoever gives the order. See `docs/DESIGN.md`, section "Hosts and
//! waves".

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Hosts, Seal},
    store::{
        self, Fault, Row, Settled, Store, Transaction,
        row::{self, HostRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::Duty,
    ring,
};
use skylarkwick_request::shard::input::{HostId, HostOrderResult};
use skylarkwick_version::{moment::Moment, revision::Revision};
use slog::{Logger, info, warn};

use super::event::Event;

/// Orders that wait.
const RING: usize = 512;
/// Orders written down at once; the platform takes a hundred conditions and
/// writes together, and an order needs two.
const MAX_BATCH: usize = 40;
/// Orders that are given at once.
const GIVERS: usize = 6;
/// Longest time from the writing down of an order to the call; the next holder
/// counts on it that older orders are not given any more.
const MAX_SEAL_AGE: Duration = Duration::from_millis(800);

/// An order for a host.
#[derive(Debug)]
pub(super) enum Order {
    /// Move it to a pool.
    Move(HostId, Arc<str>),
    /// Begin its maintenance in a wave.
    Maintain(HostId, u64),
}

impl Order {
    /// Returns the host.
    pub(super) fn host(&self) -> &HostId {
        match self {
            Order::Move(host, _) | Order::Maintain(host, _) => host,
        }
    }
}

/// Who gives orders.
#[derive(Clone, Debug)]
pub(super) struct Holder {
    /// The entry host of this process.
    pub(super) entry: Arc<str>,
    /// Fencing number of the shard.
    pub(super) fencing: u64,
    /// Time between the orders of two holders for one host.
    pub(super) handover_delay: Duration,
}

impl Holder {
    /// Returns why the last order for a host keeps this holder from giving one.
    fn obstacle(&self, last: &HostRow, now_ms: u64) -> Option<&'static str> {
        let age = Duration::from_millis(now_ms.saturating_sub(last.ordered_ms));
        match () {
            () if last.fencing > self.fencing => Some("a later holder gives orders"),
            () if last.fencing < self.fencing && age < self.handover_delay => {
                Some("the last holder's order may still arrive")
            }
            () => None,
        }
    }
}

/// An order that is written down.
#[derive(Debug)]
struct Sealed {
    order: Order,
    seal: Seal,
    since: Moment,
}

/// Starts the duties; returns their ring.
pub(super) fn start<S: Store, H: Hosts>(
    store: S,
    hosts: &H,
    holder: Holder,
    events: ring::Sender<Event>,
    log: Logger,
) -> io::Result<ring::Sender<Order>> {
    let (orders, input) = ring::bounded::<Order>(RING);
    let mut givers = Vec::with_capacity(GIVERS);
    for _ in 0..GIVERS {
        let (sealed, next) = ring::bounded::<Sealed>(MAX_BATCH);
        let (hosts, events, log) = (hosts.clone(), events.clone(), log.clone());
        Duty::spawn("host order", move || give_all(&hosts, &next, &events, &log))?;
        givers.push(sealed);
    }
    Duty::spawn("fleet", move || {
        let mut ledger = Ledger { store, holder, log, last: None };
        let mut turn = 0;
        while let Some(first) = input.receive() {
            let rest = std::iter::from_fn(|| input.try_receive()).take(MAX_BATCH - 1);
            let batch: Vec<Order> = std::iter::once(first).chain(rest).collect();
            let (sealed, withheld) = ledger.seal(batch);
            for order in withheld {
                let answer = Event::HostAnswered(order.host().clone(), HostOrderResult::Busy);
                if events.send(answer).is_err() {
                    return;
                }
            }
            for order in sealed {
                turn = (turn + 1) % GIVERS;
                if givers[turn].send(order).is_err() {
                    return;
                }
            }
        }
    })?;
    Ok(orders)
}

/// Gives the orders that are written down, unless that was too long ago.
fn give_all<H: Hosts>(
    hosts: &H,
    input: &ring::Receiver<Sealed>,
    events: &ring::Sender<Event>,
    log: &Logger,
) {
    while let Some(Sealed { order, seal, since }) = input.receive() {
        let answer = match Boot.now().since(since) < MAX_SEAL_AGE {
            true => give(hosts, &seal, &order),
            false => HostOrderResult::Busy,
        };
        info!(log, "host ordered"; "order" => ?order, "number" => seal.fencing,
            "answer" => ?answer);
        if events.send(Event::HostAnswered(order.host().clone(), answer)).is_err() {
            return;
        }
    }
}

fn give<H: Hosts>(hosts: &H, seal: &Seal, order: &Order) -> HostOrderResult {
    match order {
        Order::Move(host, pool) => hosts.move_host(seal, host, pool),
        Order::Maintain(host, wave) => hosts.maintain(seal, host, *wave),
    }
}

/// The last order for each host, as far as this holder knows.
type Known = BTreeMap<HostId, (Revision, HostRow)>;

/// Writes orders down.
struct Ledger<S> {
    store: S,
    holder: Holder,
    log: Logger,
    /// None until the rows were read.
    last: Option<Known>,
}

impl<S: Store> Ledger<S> {
    /// Writes orders down; returns them, and those that must not be given now.
    fn seal(&mut self, batch: Vec<Order>) -> (Vec<Sealed>, Vec<Order>) {
        let since = Boot.now();
        let Some(mut known) = self.last.take().or_else(|| self.read().ok()) else {
            return (Vec::new(), batch);
        };
        let now_ms = self.store.clock_ms();
        let (free, mut withheld): (Vec<Order>, Vec<Order>) =
            batch.into_iter().partition(|order| self.is_free(order, &known, now_ms));
        if free.is_empty() {
            self.last = Some(known);
            return (Vec::new(), withheld);
        }
        let next = HostRow {
            holder: self.holder.entry.to_string(),
            fencing: self.holder.fencing,
            ordered_ms: now_ms,
        };
        let change = transaction(&free, &next, &known, self.holder.fencing);
        match store::settle(&self.store, &change) {
            Settled::Applied(revision) => {
                let holder = Arc::clone(&self.holder.entry);
                let seal = Seal { holder, fencing: revision.0 };
                let row = |order: &Order| (order.host().clone(), (revision, next.clone()));
                known.extend(free.iter().map(row));
                self.last = Some(known);
                let sealed = |order| Sealed { order, seal: seal.clone(), since };
                (free.into_iter().map(sealed).collect(), withheld)
            }
            outcome => {
                // The rows may have changed, or may change later, so they are read
                // again before the next orders.
                warn!(self.log, "orders withheld"; "orders" => free.len(),
                    "outcome" => ?outcome);
                withheld.extend(free);
                (Vec::new(), withheld)
            }
        }
    }

    /// Tells whether the last order for a host allows another one now.
    fn is_free(&self, order: &Order, known: &Known, now_ms: u64) -> bool {
        let last = known.get(order.host()).map(|(_, last)| last);
        let obstacle = last.and_then(|last| self.holder.obstacle(last, now_ms));
        if let Some(because) = obstacle {
            warn!(self.log, "order withheld"; "order" => ?order, "because" => because);
        }
        obstacle.is_none()
    }

    fn read(&self) -> Result<Known, Fault> {
        let page = store::read_part(&self.store, row::HOSTS, "")
            .inspect_err(|error| warn!(self.log, "orders unread"; "error" => %error))?;
        Ok(page.rows.iter().filter_map(|row| self.decode(row)).collect())
    }

    /// Reads the row of a host's last order; one that another writer has spoilt
    /// is written over.
    fn decode(&self, row: &Row) -> Option<(HostId, (Revision, HostRow))> {
        let known = row::decode::<HostRow>(row.value.as_deref()?)
            .inspect_err(|error| {
                warn!(self.log, "order unreadable"; "host" => &*row.key.name, "error" => %error);
            })
            .unwrap_or_default();
        Some((HostId(Arc::clone(&row.key.name)), (row.revision, known)))
    }
}

fn transaction(orders: &[Order], next: &HostRow, known: &Known, fencing: u64) -> Transaction {
    let start = Transaction::default().require(row::fence_key(row::SHARD), Revision(fencing));
    orders.iter().fold(start, |change, order| {
        let host = order.host();
        let revision = known.get(host).map_or(Revision::ABSENT, |(revision, _)| *revision);
        change.replace(row::host_key(&host.0), revision, row::encode(next))
    })
}
