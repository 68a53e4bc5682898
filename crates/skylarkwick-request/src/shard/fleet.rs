//! The hosts of a shard, and which of them are maintained next.
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
    demand::Demand,
    effect::Effect,
    fact::{Host, HostAnswer, HostId, ServerId, Standing, Wave},
    server::Server,
};

/// Time after which an order is taken from the platform's list instead of from
/// its answer.
const ORDER_SETTLES: Duration = Duration::from_millis(1500);
/// Time after which an order without an answer can't be carried out any more.
const DOUBT_SETTLES: Duration = Duration::from_millis(4000);
/// Pause before a refused order for a host is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// Hosts that are emptied ahead of the ones that are down.
const EMPTIED_AHEAD: usize = 2;

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Purpose {
    Move(Arc<str>),
    Maintain(u64),
}

/// An order for a host.
#[derive(Clone, Debug)]
struct Order {
    purpose: Purpose,
    /// The platform's answer, and when it came.
    answer: Option<(HostAnswer, Moment)>,
}

impl Order {
    /// Tells whether the platform's list may be trusted again; an order that is
    /// not answered yet may still be carried out.
    fn is_settled(&self, now: Moment) -> bool {
        match self.answer {
            None => false,
            Some((HostAnswer::Done, at)) => now.since(at) > ORDER_SETTLES,
            Some((HostAnswer::Busy | HostAnswer::Refused, at)) => now.since(at) > ORDER_RETRY,
            Some((HostAnswer::Unknown, at)) => now.since(at) > DOUBT_SETTLES,
        }
    }
}

/// Progress of a wave.
#[derive(Clone, Debug)]
struct Round {
    wave: Wave,
    is_stored: bool,
    is_completed: bool,
}

/// The hosts of the shard's pools.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// Processor time that ready tasks lack in each pool.
    pub(super) unmet: BTreeMap<Arc<str>, u64>,
    pub(super) lacking_since: BTreeMap<Arc<str>, Moment>,
    /// Whether the platform's list of hosts was read since the takeover.
    has_list: bool,
    pub(super) hosts: BTreeMap<HostId, Host>,
    pub(super) spare_pools: BTreeSet<Arc<str>>,
    pub(super) demand: BTreeMap<Arc<str>, Demand>,
    pub(super) rebalanced: Moment,
    waves: BTreeMap<u64, Round>,
    orders: BTreeMap<HostId, Order>,
    emptying: BTreeSet<HostId>,
}

impl Fleet {
    /// Tells whether the platform's list of hosts is known.
    pub(super) fn is_listed(&self) -> bool {
        self.has_list
    }

    /// Returns the servers on the hosts of a pool that are up.
    pub(super) fn servers_of(&self, pool: &str) -> impl Iterator<Item = &ServerId> {
        let hosts = self.hosts.values();
        hosts
            .filter(move |host| &*host.pool == pool && host.standing == Standing::Up)
            .filter_map(|host| host.server.as_ref())
    }

    /// Tells whether a host is being emptied, moved or maintained.
    pub(super) fn is_ordered(&self, host: &HostId) -> bool {
        self.orders.contains_key(host) || self.emptying.contains(host)
    }

    /// Tells whether a host is ordered to move to a pool.
    pub(super) fn is_incoming(&self, host: &HostId, pool: &Arc<str>) -> bool {
        let order = self.orders.get(host);
        order.is_some_and(|order| order.purpose == Purpose::Move(Arc::clone(pool)))
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
        server.host().is_some_and(|host| self.is_ordered(host))
    }

    /// Tells whether a server's host is being emptied.
    pub(super) fn is_emptying(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| self.emptying.contains(host))
    }
}

impl Shard {
    /// Puts the platform's list of hosts in force.
    pub fn list_hosts(&mut self, now: Moment, hosts: Vec<Host>) {
        self.fleet.has_list = true;
        self.fleet.hosts = hosts.into_iter().map(|host| (host.id.clone(), host)).collect();
        let hosts = &self.fleet.hosts;
        self.fleet.orders.retain(|id, order| {
            let is_up = hosts.get(id).is_some_and(|host| host.standing == Standing::Up);
            !(is_up && order.is_settled(now))
        });
    }

    /// Tells which pools hold hosts that are off.
    pub fn set_spare_pools(&mut self, pools: BTreeSet<Arc<str>>) {
        self.fleet.spare_pools = pools;
    }

    /// Puts a wave in force.
    pub fn ask_maintenance(&mut self, wave: Wave) {
        let round = Round { wave, is_stored: false, is_completed: false };
        self.fleet.waves.entry(round.wave.number).or_insert(round);
    }

    /// Tells whether hosts have to be listed, because some are needed or due.
    pub fn wants_hosts(&self) -> bool {
        let is_due = self.fleet.waves.values().any(|round| !round.is_completed);
        is_due || !self.fleet.orders.is_empty() || !self.fleet.unmet.is_empty()
    }

    /// Notes the platform's answer to an order for a host.
    pub fn host_answered(&mut self, now: Moment, id: &HostId, answer: HostAnswer) {
        let Some(order) = self.fleet.orders.get_mut(id) else {
            return;
        };
        order.answer = Some((answer, now));
        match (answer, order.purpose.clone()) {
            (HostAnswer::Done, purpose) => {
                if let Some(host) = self.fleet.hosts.get_mut(id) {
                    host.standing = Standing::Busy;
                }
                if let Purpose::Maintain(number) = purpose {
                    self.begin_maintenance(number, id);
                }
            }
            (HostAnswer::Refused, Purpose::Maintain(number)) => {
                // The platform knows no such host in this wave, so nothing is due.
                self.fleet.orders.remove(id);
                self.begin_maintenance(number, id);
            }
            _ => {}
        }
    }

    /// Notes that the progress of a wave is stored.
    pub fn wave_stored(&mut self, number: u64, is_completed: bool) {
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored = true;
            round.is_completed = is_completed;
        }
    }

    /// Notes that the progress of a wave may not be stored.
    pub fn wave_not_stored(&mut self, number: u64) {
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored = false;
        }
    }

    fn begin_maintenance(&mut self, number: u64, id: &HostId) {
        self.fleet.emptying.remove(id);
        if let Some(round) = self.fleet.waves.get_mut(&number) {
            round.is_stored &= !round.wave.begun.insert(id.clone());
        }
    }

    /// Moves and maintains hosts.
    pub(super) fn move_hosts(&mut self, now: Moment) {
        if self.fleet.hosts.is_empty() {
            return;
        }
        self.note_lack(now);
        let numbers: Vec<u64> = self.fleet.waves.keys().copied().collect();
        for number in numbers {
            self.maintain(number);
        }
        self.meet_lack(now);
        self.rebalance(now);
    }

    fn maintain(&mut self, number: u64) {
        let Some(round) = self.fleet.waves.get(&number) else {
            return;
        };
        if round.is_completed {
            return;
        }
        let due: Vec<HostId> = round
            .wave
            .hosts
            .iter()
            .filter(|host| !round.wave.begun.contains(host))
            .filter(|host| self.fleet.hosts.contains_key(host))
            .cloned()
            .collect();
        let most_down = round.wave.most_down.max(1);
        let is_stored = round.is_stored;
        if due.is_empty() || !is_stored {
            self.store_wave(number, due.is_empty());
        }
        let mut free = most_down.saturating_sub(self.down_for(number));
        for host in &due {
            if free > 0 && self.is_empty_and_up(host) && !self.fleet.orders.contains_key(host) {
                self.order(host.clone(), Purpose::Maintain(number));
                self.effects.push(Effect::Maintain { host: host.clone(), wave: number });
                free -= 1;
            }
        }
        self.empty_next(&due, free + EMPTIED_AHEAD);
    }

    fn store_wave(&mut self, number: u64, is_completed: bool) {
        let Some(round) = self.fleet.waves.get_mut(&number) else {
            return;
        };
        round.is_stored = true;
        round.is_completed = is_completed;
        let begun = round.wave.begun.clone();
        self.effects.push(Effect::Wave { wave: number, begun, is_completed });
    }

    /// Counts the hosts that are down for a wave, or may be: an order of the last
    /// holder may not have been stored.
    fn down_for(&self, number: u64) -> usize {
        let Some(round) = self.fleet.waves.get(&number) else {
            return 0;
        };
        let is_ordered = |id: &HostId| {
            self.fleet
                .orders
                .get(id)
                .is_some_and(|order| order.purpose == Purpose::Maintain(number))
        };
        let is_busy = |id: &HostId| {
            self.fleet.hosts.get(id).is_some_and(|host| host.standing == Standing::Busy)
        };
        round.wave.hosts.iter().filter(|id| is_ordered(id) || is_busy(id)).count()
    }

    /// Keeps some of the due hosts free of new work; those with the least to
    /// move come first.
    fn empty_next(&mut self, due: &[HostId], wanted: usize) {
        let emptying = due.iter().filter(|id| self.fleet.emptying.contains(id)).count();
        let mut candidates: Vec<(usize, HostId)> = due
            .iter()
            .filter(|id| !self.fleet.emptying.contains(id) && !self.fleet.orders.contains_key(id))
            .filter_map(|id| Some((self.server_of(id)?.runs.len(), id.clone())))
            .collect();
        candidates.sort();
        for (_, id) in candidates.into_iter().take(wanted.saturating_sub(emptying)) {
            self.fleet.emptying.insert(id);
        }
    }

    fn server_of(&self, id: &HostId) -> Option<&Server> {
        self.servers.values().find(|server| server.host() == Some(id) && !server.is_unlisted)
    }

    /// Tells whether a host is up and certainly runs nothing.
    ///
    /// For a while after a move or maintenance the platform may list the host's
    /// last server beside its new one, so every server of the host counts.
    pub(super) fn is_empty_and_up(&self, id: &HostId) -> bool {
        let is_up = |host: &Host| host.standing == Standing::Up;
        let Some(host) = self.fleet.hosts.get(id).filter(|host| is_up(host)) else {
            return false;
        };
        let mut servers = self.servers.values().filter(|server| server.host() == Some(id));
        let is_busy =
            servers.clone().any(|server| !server.runs.is_empty() || server.listing.is_leaving);
        let is_known = match &host.server {
            Some(current) => servers.any(|server| server.id() == current && server.is_fenced),
            None => self.fleet.spare_pools.contains(&host.pool) || servers.any(|s| s.is_fenced),
        };
        !is_busy && is_known
    }

    pub(super) fn order(&mut self, host: HostId, purpose: Purpose) {
        self.fleet.orders.insert(host, Order { purpose, answer: None });
    }
}
