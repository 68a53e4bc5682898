//! Orders for hosts.
//!
//! Each order is written down before it is given, on condition that the last
//! order for the host is the one that was read. The revision of that row is the
//! order's fencing number, so that numbers only grow for each host, whoever
//! gives the order. See `docs/DESIGN.md`, section "Hosts and waves".

use std::{io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::{Hosts, Seal},
    store::{
        self, Settled, Store, Transaction,
        row::{self, HostRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::Duty,
    ring,
};
use skylarkwick_request::shard::fact::{HostAnswer, HostId};
use skylarkwick_version::revision::Revision;
use slog::{Logger, info, warn};

use super::event::Event;

/// Orders that wait.
const RING: usize = 256;

/// Longest time from the reading of a host's row to the call; the next holder
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
    pub(super) handover: Duration,
}

impl Holder {
    /// Returns why the last order for a host keeps this holder from giving one.
    fn obstacle(&self, last: &HostRow, now_ms: u64) -> Option<&'static str> {
        let age = Duration::from_millis(now_ms.saturating_sub(last.ordered_ms));
        match () {
            () if last.fencing > self.fencing => Some("a later holder gives orders"),
            () if last.fencing < self.fencing && age < self.handover => {
                Some("the last holder's order may still arrive")
            }
            () => None,
        }
    }
}

/// Starts the duty; returns its ring.
pub(super) fn start<S: Store, H: Hosts>(
    store: S,
    hosts: H,
    holder: Holder,
    events: ring::Sender<Event>,
    log: Logger,
) -> io::Result<ring::Sender<Order>> {
    let (orders, input) = ring::bounded::<Order>(RING);
    Duty::spawn("fleet", move || {
        while let Some(order) = input.receive() {
            let host = order.host().clone();
            let asked = Boot.now();
            let answer = match seal(&store, &host, &holder, &log) {
                Some(seal) if Boot.now().since(asked) < MAX_SEAL_AGE => give(&hosts, &seal, &order),
                _ => HostAnswer::Busy,
            };
            info!(log, "host ordered"; "order" => ?order, "answer" => ?answer);
            if events.send(Event::HostAnswered(host, answer)).is_err() {
                return;
            }
        }
    })?;
    Ok(orders)
}

fn give<H: Hosts>(hosts: &H, seal: &Seal, order: &Order) -> HostAnswer {
    match order {
        Order::Move(host, pool) => hosts.move_host(seal, host, pool),
        Order::Maintain(host, wave) => hosts.maintain(seal, host, *wave),
    }
}

/// Writes an order down; nothing when a later holder may give orders.
fn seal<S: Store>(store: &S, host: &HostId, holder: &Holder, log: &Logger) -> Option<Seal> {
    let key = row::host_key(&host.0);
    let (last, now_ms) = store::read_one(store, &key)
        .inspect_err(|error| warn!(log, "order unread"; "host" => %host, "error" => %error))
        .ok()?;
    let known = last.value.as_deref().and_then(|value| row::decode::<HostRow>(value).ok());
    if let Some(because) = known.and_then(|known| holder.obstacle(&known, now_ms)) {
        warn!(log, "order withheld"; "host" => %host, "because" => because);
        return None;
    }
    let entry = &holder.entry;
    let next = HostRow { holder: entry.to_string(), fencing: holder.fencing, ordered_ms: now_ms };
    let change = Transaction::default()
        .replace(key, last.revision, row::encode(&next))
        .require(row::fence_key(row::SHARD), Revision(holder.fencing));
    match store::settle(store, &change) {
        Settled::Applied(revision) => Some(Seal { holder: Arc::clone(entry), fencing: revision.0 }),
        outcome => {
            warn!(log, "order withheld"; "host" => %host, "outcome" => ?outcome);
            None
        }
    }
}
