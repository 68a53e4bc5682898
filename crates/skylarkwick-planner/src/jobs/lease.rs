//! The lease of the shard: acquires, renews and releases it by writing its row.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Row, Store, Transaction,
    row::{self, LeaseRow},
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::StopSignal,
};
use skylarkwick_version::{
    lease::Incarnation,
    moment::Moment,
    revision::Revision,
    shard_lease::{self, Decision, Observation, Record},
};
use slog::{Logger, info, warn};

use super::Config;

/// How often a process that does not hold the shard reads the lease.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// Ratio of cores above which a host counts as stronger than this one.
const MIN_CORES_RATIO: f64 = 1.3;
/// Time for which a host leaves a vacant shard to stronger ones.
const WEAKER_HOST_DELAY: Duration = Duration::from_millis(1500);
/// Time for which every host waits before the first acquisition ever, so that the
/// others can publish their cores.
const FIRST_HOLDER_DELAY: Duration = Duration::from_millis(700);

/// An acquisition of the shard, which begins a term.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acquisition {
    pub(super) fencing_token: u64,
    /// Number of holders so far, this one included.
    pub(super) number: u64,
    /// Time just before the lease was acquired.
    pub(super) since: Moment,
    /// Whether the previous holder may still be active.
    pub(super) is_takeover: bool,
}

/// Result of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Renewal {
    /// The store has confirmed the renewal.
    Confirmed,
    /// The store is unavailable, the outcome is unknown, or the row holds an
    /// earlier renewal of this process that arrived late.
    Unconfirmed,
    /// Another process holds the shard.
    Lost,
}

/// The shard's lease as last read or written by this process.
#[derive(Clone, Debug)]
pub(super) struct Lease<S> {
    store: S,
    entry: Arc<str>,
    /// Processor cores of this host.
    cores: f64,
    incarnation: Incarnation,
    log: Logger,
    held: Option<(Revision, LeaseRow)>,
    /// Since when the shard has been free to acquire.
    vacant_since: Option<Moment>,
    observation: Observation,
}

impl<S: Store> Lease<S> {
    pub(super) fn new(
        store: S,
        config: &Config,
        incarnation: Incarnation,
        log: &Logger,
    ) -> Lease<S> {
        let Config { entry, cores, .. } = config.clone();
        let log = log.clone();
        let observation = Observation::default();
        Lease { store, entry, cores, incarnation, log, held: None, vacant_since: None, observation }
    }

    /// Waits until the shard can be acquired and acquires it; returns `None` on the
    /// stop signal.
    ///
    /// Weaker hosts wait for a while to leave the shard to stronger ones, because
    /// holding it needs more processor time than anything else.
    pub(super) fn acquire(&mut self, stop: &StopSignal) -> Option<Acquisition> {
        self.publish_cores();
        while !stop.is_requested() {
            self.held = None;
            if let Some(acquisition) = self.try_acquire() {
                return Some(acquisition);
            }
            stop.sleep(READ_PERIOD);
        }
        None
    }

    fn try_acquire(&mut self) -> Option<Acquisition> {
        let (stored, now_ms) = store::read_one(&self.store, &row::lease_key(row::SHARD))
            .inspect_err(|error| warn!(self.log, "lease not read"; "error" => %error))
            .ok()?;
        let current = self.decode(&stored);
        self.observation = self.observation.update(stored.revision, Boot.now());
        let holder = current.as_ref().map(Record::from);
        let decision = shard_lease::decide(holder.as_ref(), self.observation, &self.entry, now_ms);
        if decision == Decision::Wait {
            self.vacant_since = None;
            return None;
        }
        let since = Boot.now();
        let vacant_since = *self.vacant_since.get_or_insert(since);
        if since.since(vacant_since) < self.acquire_delay(current.is_none()) {
            return None;
        }
        let next = LeaseRow {
            holder: self.entry.to_string(),
            incarnation: self.incarnation.0,
            number: current.as_ref().map_or(0, |current| current.number) + 1,
            fencing: 0,
            renewed_ms: now_ms,
        };
        let transaction = self.lease_transaction(stored.revision, &next);
        let fence = row::encode(&self.entry.to_string());
        let transaction = transaction.put(row::fence_key(row::SHARD), fence);
        let revision = self.commit(&transaction)?;
        let number = next.number;
        info!(self.log, "shard taken"; "shard" => row::SHARD, "fencing" => revision.0,
            "number" => number, "step" => ?decision,
            "before" => current.map(|current| current.holder).unwrap_or_default());
        self.held = Some((revision, LeaseRow { fencing: revision.0, ..next }));
        let is_takeover = decision == Decision::TakeOver;
        Some(Acquisition { fencing_token: revision.0, number, since, is_takeover })
    }

    /// Returns how long this host leaves a vacant shard to others. Before the first
    /// acquisition, the cores of the others may not be published yet.
    fn acquire_delay(&self, is_first: bool) -> Duration {
        let max_cores = self.max_cores().unwrap_or_default();
        match () {
            () if max_cores > self.cores * MIN_CORES_RATIO => WEAKER_HOST_DELAY,
            () if is_first => FIRST_HOLDER_DELAY,
            () => Duration::ZERO,
        }
    }

    /// Publishes the cores of this host if they exceed the published maximum.
    fn publish_cores(&self) {
        let Some(max_cores) = self.max_cores() else {
            return;
        };
        if self.cores > max_cores {
            let key = row::max_cores_key(row::SHARD);
            let transaction = Transaction::default().put(key, row::encode(&self.cores));
            if let Err(error) = self.store.commit(&transaction) {
                warn!(self.log, "core count not stored"; "error" => %error);
            }
        }
    }

    /// Returns the largest published number of cores: zero if there is none, and
    /// `None` if it can't be read.
    fn max_cores(&self) -> Option<f64> {
        let (row, _) = store::read_one(&self.store, &row::max_cores_key(row::SHARD))
            .inspect_err(|error| warn!(self.log, "core count not read"; "error" => %error))
            .ok()?;
        let max_cores = row.value.as_deref().map(row::decode::<f64>);
        max_cores.map_or(Some(0.0), |max_cores| {
            max_cores
                .inspect_err(|error| warn!(self.log, "core count not decoded"; "error" => %error))
                .ok()
        })
    }

    fn decode(&self, stored: &Row) -> Option<LeaseRow> {
        let value = stored.value.as_deref()?;
        row::decode(value)
            .inspect_err(|error| warn!(self.log, "lease row not decoded"; "error" => %error))
            .ok()
    }

    fn commit(&self, transaction: &Transaction) -> Option<Revision> {
        match store::commit_with_retry(&self.store, transaction) {
            store::Outcome::Applied(revision) => Some(revision),
            outcome => {
                info!(self.log, "lease not written"; "outcome" => ?outcome);
                None
            }
        }
    }

    fn lease_transaction(&self, revision: Revision, next: &LeaseRow) -> Transaction {
        let key = row::lease_key(row::SHARD);
        Transaction::default().replace(key, revision, row::encode(next))
    }

    /// Renews the lease by a conditional write of its row.
    pub(super) fn renew(&mut self) -> Renewal {
        let Some((revision, held)) = self.held.clone() else {
            return Renewal::Lost;
        };
        let next = LeaseRow { renewed_ms: self.store.clock_ms(), ..held };
        match store::commit_with_retry(&self.store, &self.lease_transaction(revision, &next)) {
            store::Outcome::Applied(revision) => {
                self.held = Some((revision, next));
                Renewal::Confirmed
            }
            store::Outcome::Conflict(rows) => self.handle_conflict(&rows, next),
            store::Outcome::NotDone(error) | store::Outcome::Unknown(error) => {
                warn!(self.log, "lease not renewed"; "error" => error);
                Renewal::Unconfirmed
            }
        }
    }

    /// Handles a conflict: the row holds a late renewal of this process, or another
    /// holder's lease.
    fn handle_conflict(&mut self, rows: &[Row], next: LeaseRow) -> Renewal {
        let stored = rows.first();
        let current = stored.and_then(|stored| self.decode(stored));
        match (stored, current) {
            (Some(stored), Some(current)) if current.incarnation == self.incarnation.0 => {
                self.held =
                    Some((stored.revision, LeaseRow { renewed_ms: current.renewed_ms, ..next }));
                Renewal::Unconfirmed
            }
            _ => Renewal::Lost,
        }
    }

    /// Releases the shard, so that another process need not wait until the lease
    /// expires.
    pub(super) fn release(&mut self) {
        let Some((revision, held)) = self.held.take() else {
            return;
        };
        let next = LeaseRow { holder: String::new(), ..held };
        if self.commit(&self.lease_transaction(revision, &next)).is_some() {
            info!(self.log, "shard released"; "shard" => row::SHARD);
        }
    }
}
