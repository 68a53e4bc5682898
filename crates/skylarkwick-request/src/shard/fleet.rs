//! Hosts of a shard and the orders sent for them.
//!
//! A host is moved or maintained only while nothing runs on it. See
//! `docs/DESIGN.md`, section "Hosts and waves".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::{moment::Moment, resources::Resources};

use super::{
    Shard,
    allocation::Allocations,
    effect::Effect,
    host_list::HostLists,
    input::{Host, HostId, HostOrderResult, HostState},
    server::Server,
    trend::Trend,
    wave::WaveProgress,
};

/// Time after the platform has answered that an ordered action has started,
/// until its list certainly shows the effect; until then the order is kept.
const ORDER_SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Time after an order was given up without an answer until it can't take
/// effect any more; until then the host gets no other order.
const UNKNOWN_SETTLE_TIME: Duration = Duration::from_millis(4000);
/// Delay before a host whose order was refused, or not carried out because it
/// was busy, may be ordered again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Action that a host is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum HostAction {
    /// Move to the pool with this name.
    Move(Arc<str>),
    /// Maintenance for the wave with this number.
    Maintain(u64),
}

/// An order for a host: its action and, once it has arrived, its result.
#[derive(Clone, Debug)]
pub(super) struct HostOrder {
    action: HostAction,
    /// Result of the order and when it arrived.
    result: Option<(HostOrderResult, Moment)>,
}

impl HostOrder {
    /// Returns whether this order is a move to the pool in which the server is
    /// listed, and the platform has answered that the move has started; the
    /// server may be used before the platform's list of hosts shows the move.
    fn has_moved(&self, server: &Server) -> bool {
        let is_done = matches!(self.result, Some((HostOrderResult::Done, _)));
        is_done && self.action == HostAction::Move(Arc::clone(&server.info.pool))
    }

    /// Returns when the result arrived; `None` while it is missing.
    fn answered(&self) -> Option<Moment> {
        self.result.map(|(_, at)| at)
    }

    /// Returns whether the order can be dropped, so that the host may get
    /// another: its result arrived so long before the platform's list was
    /// `requested` that the list reflects it (`ORDER_SETTLE_TIME`), that the order
    /// may be sent again (`ORDER_RETRY_DELAY`) or that it can't take effect any
    /// more (`UNKNOWN_SETTLE_TIME`). False while the result is missing.
    fn is_settled(&self, requested: Moment) -> bool {
        match self.result {
            None => false,
            Some((HostOrderResult::Done, at)) => requested.since(at) > ORDER_SETTLE_TIME,
            Some((HostOrderResult::Busy | HostOrderResult::Refused, at)) => {
                requested.since(at) > ORDER_RETRY_DELAY
            }
            Some((HostOrderResult::Unknown, at)) => requested.since(at) > UNKNOWN_SETTLE_TIME,
        }
    }
}

/// What a shard knows of its hosts and pools: the platform's list of hosts, the
/// orders for them, the maintenance waves (requests of operators to maintain
/// some hosts within a given time) and the hosts that drain for these, the spare
/// pools, whose hosts are powered off, and the time of the last rebalance. For
/// each pool: its unmet demand in thousandths of a core, the trend of its demand,
/// the number of hosts that operators gave it, its last allocation, and since when
/// a large task finds no room.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    /// Processor time that ready tasks lack in each pool, in thousandths of a
    /// core; a pool that lacks none is missing.
    pub(super) unmet_millicores: BTreeMap<Arc<str>, u64>,
    /// Pools in which a ready task that needs most of a host finds no room, and
    /// since when.
    pub(super) lacking_room: BTreeMap<Arc<str>, Moment>,
    /// Trend of the demand of each pool that has a queue.
    pub(super) trends: BTreeMap<Arc<str>, Trend>,
    /// Hosts in the platform's list.
    pub(super) hosts: BTreeMap<HostId, Host>,
    /// Which hosts the latest lists had.
    pub(super) lists: HostLists,
    /// Pools whose hosts are powered off.
    pub(super) spare_pools: BTreeSet<Arc<str>>,
    /// Number of hosts that operators gave each pool, counted before any was
    /// moved; empty until known.
    pub(super) pool_sizes: BTreeMap<Arc<str>, usize>,
    /// Result of the last allocation.
    pub(super) allocations: Allocations,
    /// When hosts were last rebalanced.
    pub(super) last_rebalance: Moment,
    /// Maintenance waves by number, completed ones included.
    pub(super) waves: BTreeMap<u64, WaveProgress>,
    /// Orders that are not dropped yet, at most one for each host.
    pub(super) orders: BTreeMap<HostId, HostOrder>,
    /// Hosts that drain for a wave: they get no new work, so that they become
    /// idle, until their maintenance has started or was refused.
    pub(super) draining: BTreeSet<HostId>,
}

impl Fleet {
    /// Returns whether a host drains for a wave or has an order that is not
    /// dropped yet.
    pub(super) fn is_draining_or_ordered(&self, host: &HostId) -> bool {
        self.orders.contains_key(host) || self.draining.contains(host)
    }

    /// Returns whether a host has an order for this action.
    pub(super) fn is_ordered_to(&self, host: &HostId, action: &HostAction) -> bool {
        self.orders.get(host).is_some_and(|order| order.action == *action)
    }

    /// Returns whether a host is in a spare pool, whose hosts are powered off.
    pub(super) fn is_spare(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|host| self.spare_pools.contains(&host.pool))
    }

    /// Returns the pool to which a host's order moves it, whatever the result
    /// so far; the pool in the platform's list if it has no such order.
    pub(super) fn target_pool<'a>(&'a self, host: &'a Host) -> &'a Arc<str> {
        match self.orders.get(&host.id).map(|order| &order.action) {
            Some(HostAction::Move(pool)) => pool,
            _ => &host.pool,
        }
    }

    /// Returns whether a host has an order to move to a pool that it does not
    /// serve yet, as far as is known.
    pub(super) fn is_host_arriving(&self, pool: &Arc<str>) -> bool {
        let action = HostAction::Move(Arc::clone(pool));
        self.orders.values().any(|order| order.action == action)
    }

    /// Records the pools in which a ready task that needs most of a host finds no
    /// room now; those that were recorded before keep their time.
    pub(super) fn record_lacking_room(&mut self, now: Moment, pools: BTreeSet<Arc<str>>) {
        self.lacking_room.retain(|pool, _| pools.contains(pool));
        for pool in pools {
            self.lacking_room.entry(pool).or_insert(now);
        }
    }

    /// Returns the mean resources of the hosts in the platform's list.
    pub(super) fn mean_capacity(&self) -> Resources {
        let count = u64::try_from(self.hosts.len()).unwrap_or(u64::MAX).max(1);
        let all = self.hosts.values().fold(Resources::default(), |all, host| all + host.capacity);
        Resources {
            millicores: all.millicores / count,
            memory_mib: all.memory_mib / count,
            accelerators: all.accelerators / count,
        }
    }

    /// Returns whether any host in the platform's list has a label; true if `label` is `None`.
    pub(super) fn has_label(&self, label: Option<&Arc<str>>) -> bool {
        label.is_none_or(|label| self.hosts.values().any(|host| host.labels.contains(label)))
    }

    /// Returns whether a server gets no new work because its host drains for a
    /// wave or has an order. A move to the server's pool that has started
    /// doesn't count, nor does a drain then. False if the platform names no
    /// host.
    pub(super) fn is_cordoned(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| match self.orders.get(host) {
            Some(order) => !order.has_moved(server),
            None => self.draining.contains(host),
        })
    }

    /// Returns whether a wave that is not completed still has to maintain the
    /// host of this server; false if the platform names no host.
    pub(super) fn is_maintenance_due(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| {
            self.waves.values().any(|progress| progress.is_maintenance_due(host))
        })
    }

    /// Returns whether a maintenance wave drains a server's host; false if the
    /// platform names no host. That the server is leaving doesn't count.
    pub(super) fn is_draining(&self, server: &Server) -> bool {
        server.host().is_some_and(|host| self.draining.contains(host))
    }
}

/// What runs on each host: which hosts are idle, and the numbers of runs on
/// those that have a server.
#[derive(Clone, Debug, Default)]
pub(super) struct Occupancy {
    idle: BTreeSet<HostId>,
    runs: BTreeMap<HostId, RunCounts>,
}

/// Numbers of runs on a host, finite (not long-running) and long-running, from
/// planned ones to those being stopped. The host with the lowest counts drains
/// first; finite runs are compared first, because most of them can't be moved
/// away and have to be awaited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RunCounts {
    finite: usize,
    long_running: usize,
}

impl Occupancy {
    /// Returns whether a host is up and certainly runs nothing: no server on it
    /// has runs or ends of runs to store or is leaving, and its current server, the one that the
    /// platform's list of hosts names for it, has answered this holder. A host
    /// without a current server must be in a spare pool, whose hosts are powered
    /// off, or another server known on it must have answered.
    pub(super) fn is_idle(&self, host: &HostId) -> bool {
        self.idle.contains(host)
    }

    /// Returns the numbers of runs on a host; `None` if the shard knows no
    /// server on it.
    pub(super) fn runs(&self, host: &HostId) -> Option<RunCounts> {
        self.runs.get(host).copied()
    }
}

impl Shard {
    /// Replaces the platform's list of hosts, and drops the settled orders of
    /// hosts that are up or gone. `requested` is when the list was requested; it
    /// tells nothing about what happened later.
    pub fn set_hosts(&mut self, requested: Moment, hosts: Vec<Host>) {
        self.fleet.hosts = hosts.into_iter().map(|host| (host.id.clone(), host)).collect();
        let Fleet { hosts, lists, orders, .. } = &mut self.fleet;
        lists.record(requested, hosts.keys().cloned().collect());
        orders.retain(|id, order| {
            let is_over = match hosts.get(id) {
                Some(host) => host.state == HostState::Up,
                None => order.answered().is_some_and(|at| lists.is_gone(id, at)),
            };
            !(is_over && order.is_settled(requested))
        });
    }

    /// Sets the spare pools, whose hosts are powered off.
    pub fn set_spare_pools(&mut self, pools: BTreeSet<Arc<str>>) {
        self.fleet.spare_pools = pools;
    }

    /// Handles the platform's answer to an order for a host; ignored if the
    /// host has no order. If the action has started, the host counts as busy
    /// until the next list.
    ///
    /// A maintenance that has started or was refused counts as started in its
    /// wave, and the host no longer drains. The order is kept until it is
    /// settled, except a refused maintenance, which is dropped.
    pub fn handle_host_order_result(&mut self, now: Moment, id: &HostId, result: HostOrderResult) {
        let Some(order) = self.fleet.orders.get_mut(id) else {
            return;
        };
        order.result = Some((result, now));
        match (result, order.action.clone()) {
            (HostOrderResult::Done, action) => {
                if let Some(host) = self.fleet.hosts.get_mut(id) {
                    host.state = HostState::Busy;
                }
                if let HostAction::Maintain(number) = action {
                    self.mark_maintenance_started(number, id);
                }
            }
            (HostOrderResult::Refused, HostAction::Maintain(number)) => {
                // The platform has no such host in this wave, so no maintenance
                // is due.
                self.fleet.orders.remove(id);
                self.mark_maintenance_started(number, id);
            }
            _ => {}
        }
    }

    /// Records the initial pool sizes if they are unknown, advances the
    /// maintenance waves and moves hosts between pools. Without hosts it only
    /// advances the waves, and does nothing until the platform's list is known.
    pub(super) fn order_hosts(&mut self, now: Moment) {
        if !self.fleet.lists.is_known() {
            return;
        }
        let occupancy = self.occupancy();
        self.advance_waves(now, &occupancy);
        if !self.fleet.hosts.is_empty() {
            self.init_pool_sizes();
            self.allocate_hosts(now, &occupancy);
        }
    }

    /// Sets the initial number of hosts of each pool, as an earlier holder has
    /// stored it; empty if none has.
    pub fn set_pool_sizes(&mut self, pool_sizes: BTreeMap<Arc<str>, usize>) {
        self.fleet.pool_sizes = pool_sizes;
    }

    /// Counts the hosts of each pool in the platform's list as the initial pool
    /// sizes and has them stored, unless they are known: if none were stored,
    /// no host has been moved.
    fn init_pool_sizes(&mut self) {
        if !self.fleet.pool_sizes.is_empty() {
            return;
        }
        for host in self.fleet.hosts.values() {
            *self.fleet.pool_sizes.entry(Arc::clone(&host.pool)).or_default() += 1;
        }
        self.effects.push(Effect::SavePoolSizes(self.fleet.pool_sizes.clone()));
    }

    /// Determines what runs on each host.
    ///
    /// For a while after a move or maintenance, the platform may list the
    /// host's previous server beside the new one, so every server of the host
    /// counts.
    fn occupancy(&self) -> Occupancy {
        let mut occupancy = Occupancy::default();
        let mut occupied_hosts: BTreeSet<&HostId> = BTreeSet::new();
        let mut fenced_hosts: BTreeSet<&HostId> = BTreeSet::new();
        for server in self.servers.values() {
            let Some(host) = server.host() else {
                continue;
            };
            let runs = occupancy.runs.entry(host.clone()).or_default();
            let long_running =
                server.runs.values().filter(|active_run| active_run.is_long_running).count();
            runs.long_running += long_running;
            runs.finite += server.runs.len() - long_running;
            // An order ends the server, and run ends that are not stored are lost with it.
            if server.info.is_leaving || !server.unsaved_ends.is_empty() {
                occupied_hosts.insert(host);
            }
            if server.is_fenced {
                fenced_hosts.insert(host);
            }
        }
        let is_occupancy_known = |host: &Host| match &host.server {
            Some(current) => self.servers.get(current).is_some_and(|server| server.is_fenced),
            None => self.fleet.spare_pools.contains(&host.pool) || fenced_hosts.contains(&host.id),
        };
        let hosts = self.fleet.hosts.values().filter(|host| host.state == HostState::Up);
        let idle = hosts
            .filter(|host| occupancy.runs(&host.id).unwrap_or_default() == RunCounts::default())
            .filter(|host| !occupied_hosts.contains(&host.id) && is_occupancy_known(host))
            .map(|host| host.id.clone())
            .collect();
        occupancy.idle = idle;
        occupancy
    }

    /// Records that an order for a host is being sent, in place of any earlier
    /// one; its result is still missing.
    pub(super) fn record_order(&mut self, host: HostId, action: HostAction) {
        self.fleet.orders.insert(host, HostOrder { action, result: None });
    }

    /// Orders a host to move to a pool, and records the order.
    pub(super) fn move_host(&mut self, host: HostId, pool: &Arc<str>) {
        self.record_order(host.clone(), HostAction::Move(Arc::clone(pool)));
        self.effects.push(Effect::MoveHost { host, pool: Arc::clone(pool) });
    }
}
