//! Competes for the leases of the site's shards, and runs a term for each one acquired.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    io,
    time::Duration,
};

use skylarkwick_connection::{
    control::{Hosts, Orders, Registry},
    store::{
        self, Key, Page, Row, Store,
        keyspace::{self, Keyspace},
    },
};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_version::{
    lease::Incarnation,
    revision::Revision,
    sharding::{self, ShardId, Sharding},
};
use slog::{Logger, error, warn};

use super::{
    Clients, Config, holder,
    lease::{Acquisition, Lease},
    strength::Strength,
};

/// Pause between two reads of the leases.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// A process that competes for shards: the leases of those that it does not hold, and the
/// duties that run the terms of those that it holds.
pub(super) struct Candidate<'a, S, O, H, D> {
    clients: &'a Clients<S, O, H, D>,
    config: &'a Config,
    sharding: Sharding,
    strength: Strength<S>,
    /// Leases of the shards that this process does not hold.
    leases: BTreeMap<ShardId, Lease<S>>,
    /// Duties of the shards that this process holds.
    terms: BTreeMap<ShardId, Duty>,
    /// Leases that come back when their terms have ended.
    ended: ring::Receiver<Lease<S>>,
    ended_sender: ring::Sender<Lease<S>>,
    log: &'a Logger,
    stop: &'a StopSignal,
}

impl<'a, S: Store, O: Orders, H: Hosts, D: Registry> Candidate<'a, S, O, H, D> {
    /// Creates a candidate that holds no shard; reads and writes nothing yet.
    pub(super) fn new(
        clients: &'a Clients<S, O, H, D>,
        config: &'a Config,
        sharding: Sharding,
        log: &'a Logger,
        stop: &'a StopSignal,
    ) -> Candidate<'a, S, O, H, D> {
        let incarnation = Incarnation(rand::random());
        let lease = |shard| {
            let keyspace = Keyspace::new(sharding, shard);
            (shard, Lease::new(clients.store.clone(), keyspace, config, incarnation, log))
        };
        let capacity = usize::try_from(sharding.count()).unwrap_or(usize::MAX);
        let (ended_sender, ended) = ring::bounded(capacity);
        Candidate {
            clients,
            config,
            sharding,
            strength: Strength::new(clients.store.clone(), config.cores, log.clone()),
            leases: sharding.shards().map(lease).collect(),
            terms: BTreeMap::new(),
            ended,
            ended_sender,
            log,
            stop,
        }
    }

    /// Competes until the stop signal, and then waits for the ends of the terms, each of which
    /// releases its lease.
    pub(super) fn run(mut self) {
        self.strength.publish_cores();
        while !self.stop.is_requested() {
            while let Some(lease) = self.ended.try_receive() {
                self.end_term(lease);
            }
            self.compete();
            self.stop.sleep(READ_PERIOD);
        }
        for (shard, duty) in self.terms {
            if !duty.join() {
                error!(self.log, "shard's duty panicked"; "shard" => %shard);
            }
        }
    }

    /// Takes back the lease of a shard whose term has ended.
    fn end_term(&mut self, lease: Lease<S>) {
        let shard = lease.shard();
        if let Some(duty) = self.terms.remove(&shard)
            && !duty.join()
        {
            error!(self.log, "shard's duty panicked"; "shard" => %shard);
        }
        self.leases.insert(shard, lease);
    }

    /// Reads the leases and acquires one of the vacant shards, if one has been vacant for long
    /// enough: of several, the one that this entry host prefers.
    fn compete(&mut self) {
        if self.leases.is_empty() {
            return;
        }
        let page = match store::read_partition(&self.clients.store, keyspace::LEASES, "") {
            Ok(page) => page,
            Err(error) => {
                warn!(self.log, "leases not read"; "error" => %error);
                return;
            }
        };
        let mut vacant = Vec::new();
        for (shard, lease) in &mut self.leases {
            let row = find_row(&page, Keyspace::new(self.sharding, *shard).lease());
            if let Some(vacancy) = lease.observe(&row, page.now_ms) {
                vacant.push((*shard, row, vacancy));
            }
        }
        if vacant.is_empty() {
            return;
        }
        vacant.sort_by_key(|(shard, ..)| sharding::preference(&self.config.entry, *shard));
        let held = u32::try_from(self.terms.len()).unwrap_or(u32::MAX - 1);
        let delays = [false, true].map(|is_first| self.strength.acquire_delay(held, is_first));
        let due = vacant
            .into_iter()
            .rev()
            .find(|(_, _, vacancy)| vacancy.duration >= delays[usize::from(vacancy.is_first)]);
        if let Some((shard, row, _)) = due {
            self.acquire(shard, &row, page.now_ms);
        }
    }

    /// Acquires a shard and starts the duty that runs its term.
    fn acquire(&mut self, shard: ShardId, row: &Row, now_ms: u64) {
        let Entry::Occupied(mut entry) = self.leases.entry(shard) else {
            return;
        };
        let Some(acquisition) = entry.get_mut().acquire(row, now_ms) else {
            return;
        };
        let lease = entry.remove();
        match self.start_term(lease.clone(), acquisition) {
            Ok(duty) => {
                self.terms.insert(shard, duty);
            }
            Err(error) => {
                error!(self.log, "shard holder not started"; "error" => %error);
                self.leases.insert(shard, lease);
            }
        }
    }

    /// Starts the duty that runs the term of an acquired shard and then hands back its lease,
    /// which it has released if the process stops.
    fn start_term(&self, mut lease: Lease<S>, acquisition: Acquisition) -> io::Result<Duty> {
        let (clients, config) = (self.clients.clone(), self.config.clone());
        let log = self.log.new(slog::o!("shard" => lease.shard().to_string()));
        let (stop, ended) = (self.stop.clone(), self.ended_sender.clone());
        Duty::spawn("shard", move || {
            let settled = holder::run(&clients, &config, &mut lease, acquisition, &log, &stop);
            if stop.is_requested() {
                lease.release(&settled);
            }
            // The candidate no longer receives when the process stops.
            let _ = ended.try_send(lease);
        })
    }
}

/// Returns a row of a page; an absent one if the page lacks it.
fn find_row(page: &Page, key: Key) -> Row {
    let found = page.rows.iter().find(|row| row.key == key).cloned();
    found.unwrap_or(Row { key, revision: Revision::ABSENT, value: None })
}
