//! Which hosts change their pool, and which are maintained next.
//!
//! A host is moved or maintained only while nothing runs on it. A pool gets
//! hosts for work that it cannot hold, from pools that do not use theirs.
//! See `docs/DESIGN.md`, section "Hosts and waves".

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use skylarkwick_version::moment::Moment;

use super::{
    Shard,
    effect::Effect,
    fact::{Host, HostAnswer, HostId, ServerId, Standing, Wave},
    server::Server,
};

/// Time after which an order is taken from the platform's list instead of from
/// its answer.
const ORDER_SETTLES: Duration = Duration::from_millis(1500);
/// Pause before a refused order for a host is sent again.
const ORDER_RETRY: Duration = Duration::from_millis(700);
/// How long work must lack room before hosts are moved for it.
const LACK_BEFORE_MOVE: Duration = Duration::from_millis(100);
/// Hosts asked for beyond what the jobs at hand use at full speed, in percent:
/// more come while a host moves.
const HEADROOM_PERCENT: u64 = 130;
/// Idle hosts that a pool keeps when it gives some away.
const KEPT_IDLE: usize = 2;
/// Hosts that are emptied ahead of the ones that are down.
const EMPTIED_AHEAD: usize = 2;

/// What a host is ordered to do.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Purpose {
    Move(Arc<str>),
    Maintain(u64),
}

/// An order for a host.
#[derive(Clone, Debug)]
struct Order {
    purpose: Purpose,
    sent: Moment,
    is_answered: bool,
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
    lacking_since: BTreeMap<Arc<str>, Moment>,
    /// Whether the platform's list of hosts was read since the takeover.
    has_list: bool,
    hosts: BTreeMap<HostId, Host>,
    spare_pools: BTreeSet<Arc<str>>,
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

    /// Tells whether a server's host is to get no new work.
    pub(super) fn is_reserved(&self, server: &Server) -> bool {
        server
            .host()
            .is_some_and(|host| self.orders.contains_key(host) || self.emptying.contains(host))
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
            !(is_up && now.since(order.sent) > ORDER_SETTLES)
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
        match (answer, order.purpose.clone()) {
            (HostAnswer::Done, purpose) => {
                order.is_answered = true;
                order.sent = now;
                if let Some(host) = self.fleet.hosts.get_mut(id) {
                    host.standing = Standing::Busy;
                }
                if let Purpose::Maintain(number) = purpose {
                    self.begin_maintenance(number, id);
                }
            }
            (HostAnswer::Busy, _) => order.sent = now - (ORDER_SETTLES - ORDER_RETRY),
            (HostAnswer::Refused, Purpose::Maintain(number)) => {
                // The platform knows no such host in this wave, so nothing is due.
                self.fleet.orders.remove(id);
                self.begin_maintenance(number, id);
            }
            (HostAnswer::Refused, Purpose::Move(_)) => order.sent = now,
            (HostAnswer::Unknown, _) => order.sent = now - ORDER_RETRY,
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
            self.maintain(now, number);
        }
        self.meet_lack(now);
    }

    fn maintain(&mut self, now: Moment, number: u64) {
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
                self.order(now, host.clone(), Purpose::Maintain(number));
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

    /// Counts the hosts that are down for a wave, or may be.
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
        let begun = &round.wave.begun;
        round
            .wave
            .hosts
            .iter()
            .filter(|id| is_ordered(id) || (begun.contains(id) && is_busy(id)))
            .count()
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
    fn is_empty_and_up(&self, id: &HostId) -> bool {
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

    fn order(&mut self, now: Moment, host: HostId, purpose: Purpose) {
        self.fleet.orders.insert(host, Order { purpose, sent: now, is_answered: false });
    }

    fn note_lack(&mut self, now: Moment) {
        let unmet = &self.fleet.unmet;
        self.fleet.lacking_since.retain(|pool, _| unmet.contains_key(pool));
        for pool in unmet.keys() {
            self.fleet.lacking_since.entry(Arc::clone(pool)).or_insert(now);
        }
    }

    /// Moves idle hosts to pools whose waiting work they can't hold.
    fn meet_lack(&mut self, now: Moment) {
        let lacking: Vec<Arc<str>> = self
            .fleet
            .lacking_since
            .iter()
            .filter(|(_, since)| now.since(**since) >= LACK_BEFORE_MOVE)
            .map(|(pool, _)| Arc::clone(pool))
            .collect();
        for pool in lacking {
            for _ in 0..self.hosts_lacking(&pool) {
                let Some(host) = self.giver(&pool) else {
                    return;
                };
                self.order(now, host.clone(), Purpose::Move(Arc::clone(&pool)));
                self.effects.push(Effect::Move { host, pool: Arc::clone(&pool) });
            }
        }
    }

    /// Returns how many more hosts a pool's waiting work needs.
    fn hosts_lacking(&self, pool: &Arc<str>) -> usize {
        let own = self.fleet.hosts.values().filter(|host| host.pool == *pool);
        let room: u64 = own.clone().map(|host| host.capacity.millicores).sum();
        let hosts = u64::try_from(own.count()).unwrap_or_default().max(1);
        let of_one = (room / hosts).max(1);
        let used: u64 = self
            .jobs
            .values()
            .filter(|active| {
                self.queues.get(&active.queue).is_some_and(|queue| queue.pool == *pool)
            })
            .map(|active| active.millicores_at_full_speed(&self.learning))
            .sum();
        let wanted = used * HEADROOM_PERCENT / 100 + self.lasting_millicores(pool);
        let lacking = wanted.saturating_sub(room).div_ceil(of_one);
        usize::try_from(lacking).unwrap_or_default().saturating_sub(self.incoming(pool))
    }

    /// Returns the processor time that lasting tasks hold in a pool.
    fn lasting_millicores(&self, pool: &str) -> u64 {
        let servers = self.servers.values().filter(|server| &*server.listing.pool == pool);
        servers
            .flat_map(|server| &server.runs)
            .filter(|(task, _)| self.step(task).is_some_and(|step| step.is_lasting))
            .map(|(_, taken)| taken.size.millicores)
            .sum()
    }

    fn incoming(&self, pool: &Arc<str>) -> usize {
        let is_incoming = |order: &&Order| order.purpose == Purpose::Move(Arc::clone(pool));
        let ordered = self.fleet.orders.values().filter(is_incoming).count();
        let arriving = self
            .fleet
            .hosts
            .values()
            .filter(|host| host.pool == *pool && host.standing == Standing::Busy)
            .filter(|host| !self.fleet.orders.contains_key(&host.id))
            .count();
        ordered + arriving
    }

    /// Returns an idle host of the pool that can best spare one.
    fn giver(&self, taker: &Arc<str>) -> Option<HostId> {
        let mut idle: BTreeMap<&Arc<str>, Vec<&HostId>> = BTreeMap::new();
        for (id, host) in &self.fleet.hosts {
            let is_free = host.pool != *taker
                && !self.fleet.unmet.contains_key(&host.pool)
                && !self.fleet.orders.contains_key(id)
                && !self.fleet.emptying.contains(id)
                && self.is_empty_and_up(id);
            if is_free {
                idle.entry(&host.pool).or_default().push(id);
            }
        }
        let spare = idle
            .iter()
            .find(|(pool, _)| self.fleet.spare_pools.contains(**pool))
            .and_then(|(_, hosts)| hosts.first().copied());
        let other = idle
            .iter()
            .filter(|(pool, _)| !self.fleet.spare_pools.contains(**pool))
            .max_by_key(|(_, hosts)| hosts.len())
            .filter(|(_, hosts)| hosts.len() > KEPT_IDLE)
            .and_then(|(_, hosts)| hosts.first().copied());
        other.or(spare).cloned()
    }
}
