//! The hosts of a shard, and the orders for them.
//!
//! A host is moved or maintained only while nothing runs on it.
//! See `docs/DESIGN.md`, section "Hosts and waves".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    allotment::Allotments,
    effect::Effect,
    input::{Host, HostId, HostOrderResult, HostState},
    server::Server,
    wave::Round,
};

/// Time after which an order is taken from the platform's list instead of from
/// its answer.
const ORDER_SETTLES: Duration = Duration::from_millis(1500);
/// Time after which an order without an answer can't be carried out any more.
const DOUBT_SETTLES: Duration = Duration::from_millis(4000);
/// Pause before a refused order for a host is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(700);

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Move(Arc<str>),
    Maintain(u64),
}

/// An order for a host.
#[derive(Clone, Debug)]
pub(super) struct Order {
    purpose: Purpose,
    /// The platform's answer, and when it came.
    answer: Option<(HostOrderResult, Moment)>,
}

impl Order {
    /// Tells whether a server is the one that a move has brought to its new pool;
    /// it can be used before the platform's list of hosts tells so.
    fn has_brought(&self, server: &Server) -> bool {
        let is_done = matches!(self.answer, Some((HostOrderResult::Done, _)));
        is_done && self.purpose == Purpose::Move(Arc::clone(&server.listing.pool))
    }

    /// Tells whether the platform's list may be trusted again; an order that is
    /// not answered yet may still be carried out.
    fn is_settled(&self, now: Moment) -> bool {
        match self.answer {
            None => false,
            Some((HostOrderResult::Done, at)) => now.since(at) > ORDER_SETTLES,
            Some((HostOrderResult::Busy | HostOrderResult::Refused, at)) => {
                now.since(at) > ORDER_RETRY
            }
            Some((HostOrderResult::Unknown, at)) => now.since(at) > DOUBT_SETTLES,
        }
    }
}

/// The hosts of the shard's pools.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// Processor time that ready tasks lack in each pool.
    pub(super) unmet: BTreeMap<Arc<str>, u64>,
    pub(super) hosts: BTreeMap<HostId, Host>,
    pub(super) spare_pools: BTreeSet<Arc<str>>,
    /// Hosts of each pool as operators sized them, once these are known.
    pub(super) homes: BTreeMap<Arc<str>, usize>,
    /// Hosts of each pool when they were last shared out.
    pub(super) allotted: Allotments,
    /// When hosts were last moved to where they may be needed next.
    pub(super) rebalanced: Moment,
    pub(super) waves: BTreeMap<u64, Round>,
    pub(super) orders: BTreeMap<HostId, Order>,
    pub(super) emptying: BTreeSet<HostId>,
}

impl Fleet {
    /// Tells whether a host is being emptied, moved or maintained.
    pub(super) fn is_ordered(&self, host: &HostId) -> bool {
        self.orders.contains_key(host) || self.emptying.contains(host)
    }

    /// Tells whether a host has this order.
    pub(super) fn is_ordered_to(&self, host: &HostId, purpose: &Purpose) -> bool {
        self.orders.get(host).is_some_and(|order| order.purpose == *purpose)
    }

    /// Tells whether a host's pool is one whose hosts are off.
    pub(super) fn is_off(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| self.spare_pools.contains(&host.pool))
    }

    /// Returns the pool that a host belongs to once its order is carried out.
    pub(super) fn pool_after_orders<'a>(&'a self, host: &'a Host) -> &'a Arc<str> {
        match self.orders.get(&host.id).map(|order| &order.purpose) {
            Some(Purpose::Move(pool)) => pool,
            _ => &host.pool,
        }
    }

    /// Tells whether a server's host is to get no new work.
    pub(super) fn is_reserved(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| match self.orders.get(host) {
            Some(order) => !order.has_brought(server),
            None => self.emptying.contains(host),
        })
    }

    /// Tells whether a server's host will have to be emptied for maintenance.
    pub(super) fn is_due(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| self.waves.values().any(|round| round.is_due(host)))
    }

    /// Tells whether a server's host is being emptied.
    pub(super) fn is_emptying(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| self.emptying.contains(host))
    }
}

/// What runs on the hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    idle: BTreeSet<HostId>,
    runs: BTreeMap<HostId, Runs>,
}

/// How many runs there are on a host; those that end come first, as they can't be
/// hurried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Runs {
    ending: usize,
    lasting: usize,
}

impl Occupancy {
    /// Tells whether a host is up and certainly runs nothing.
    pub(super) fn is_idle(&self, host: &HostId) -> bool {
        self.idle.contains(host)
    }

    /// Counts the runs on a host, if the platform lists a server there.
    pub(super) fn runs(&self, host: &HostId) -> Option<Runs> {
        self.runs.get(host).copied()
    }
}

impl Shard {
    /// Puts the platform's list of hosts in force.
    pub fn set_hosts(&mut self, now: Moment, hosts: Vec<Host>) {
        self.fleet.hosts = hosts.into_iter().map(|host| (host.id.clone(), host)).collect();
        let hosts = &self.fleet.hosts;
        self.fleet.orders.retain(|id, order| {
            let is_up = hosts.get(id).is_some_and(|host| host.state == HostState::Up);
            !(is_up && order.is_settled(now))
        });
    }

    /// Tells which pools hold hosts that are off.
    pub fn set_spare_pools(&mut self, pools: BTreeSet<Arc<str>>) {
        self.fleet.spare_pools = pools;
    }

    /// Notes the platform's answer to an order for a host.
    pub fn handle_host_order_result(&mut self, now: Moment, id: &HostId, answer: HostOrderResult) {
        let Some(order) = self.fleet.orders.get_mut(id) else {
            return;
        };
        order.answer = Some((answer, now));
        match (answer, order.purpose.clone()) {
            (HostOrderResult::Done, purpose) => {
                if let Some(host) = self.fleet.hosts.get_mut(id) {
                    host.state = HostState::Busy;
                }
                if let Purpose::Maintain(number) = purpose {
                    self.begin_maintenance(number, id);
                }
            }
            (HostOrderResult::Refused, Purpose::Maintain(number)) => {
                // The platform knows no such host in this wave, so nothing is due.
                self.fleet.orders.remove(id);
                self.begin_maintenance(number, id);
            }
            _ => {}
        }
    }

    /// Moves and maintains hosts.
    pub(super) fn order_hosts(&mut self, now: Moment) {
        if self.fleet.hosts.is_empty() {
            return;
        }
        self.settle_homes();
        let occupancy = self.occupancy();
        self.maintain(now, &occupancy);
        self.allot(now, &occupancy);
    }

    /// Takes over the sizes of the pools that an earlier holder has stored.
    pub fn set_pool_sizes(&mut self, homes: BTreeMap<Arc<str>, usize>) {
        self.fleet.homes = homes;
    }

    /// Takes the sizes of the pools from the first list of hosts, unless they are
    /// known: no host has been moved before.
    fn settle_homes(&mut self) {
        if !self.fleet.homes.is_empty() {
            return;
        }
        for host in self.fleet.hosts.values() {
            *self.fleet.homes.entry(Arc::clone(&host.pool)).or_default() += 1;
        }
        self.effects.push(Effect::SavePoolSizes(self.fleet.homes.clone()));
    }

    /// Finds out which hosts run nothing.
    ///
    /// For a while after a move or maintenance the platform may list the host's
    /// last server beside its new one, so every server of the host counts.
    fn occupancy(&self) -> Occupancy {
        let mut occupancy = Occupancy::default();
        let mut leaving: BTreeSet<&HostId> = BTreeSet::new();
        let mut fenced: BTreeSet<&HostId> = BTreeSet::new();
        for server in self.servers.values() {
            let Some(host) = server.host() else {
                continue;
            };
            let runs = occupancy.runs.entry(host.clone()).or_default();
            let lasting = server.runs.values().filter(|taken| taken.is_lasting).count();
            runs.lasting += lasting;
            runs.ending += server.runs.len() - lasting;
            if server.listing.is_leaving {
                leaving.insert(host);
            }
            if server.is_fenced {
                fenced.insert(host);
            }
        }
        let is_known = |host: &Host| match &host.server {
            Some(current) => self.servers.get(current).is_some_and(|server| server.is_fenced),
            None => self.fleet.spare_pools.contains(&host.pool) || fenced.contains(&host.id),
        };
        let hosts = self.fleet.hosts.values().filter(|host| host.state == HostState::Up);
        let idle = hosts
            .filter(|host| occupancy.runs(&host.id).unwrap_or_default() == Runs::default())
            .filter(|host| !leaving.contains(&host.id) && is_known(host))
            .map(|host| host.id.clone())
            .collect();
        occupancy.idle = idle;
        occupancy
    }

    pub(super) fn order(&mut self, host: HostId, purpose: Purpose) {
        self.fleet.orders.insert(host, Order { purpose, answer: None });
    }

    /// Orders a host to move.
    pub(super) fn move_host(&mut self, host: HostId, pool: &Arc<str>) {
        self.order(host.clone(), Purpose::Move(Arc::clone(pool)));
        self.effects.push(Effect::MoveHost { host, pool: Arc::clone(pool) });
    }
}
