//! The lease of a shard: acquires, renews and releases it by writing its row.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Row, Store, Transaction,
    keyspace::Keyspace,
    row::{self, LeaseRow},
};
use skylarkwick_process::clock::{Boot, Clock};
use skylarkwick_request::shard::input::ServerId;
use skylarkwick_version::{
    lease::Incarnation,
    moment::{Moment, millis},
    revision::Revision,
    shard_lease::{self, Decision, Observation, Record, Remainder},
    sharding::ShardId,
};
use slog::{Logger, info, warn};

use super::Config;

/// Most servers in a row that releases a lease; a shard has fewer.
const MAX_SETTLED: usize = 1_000;

/// An acquisition of a shard, which begins a term, the time of one holder: the shard, the holder's
/// fencing token, the number of the term, when it began, and what earlier holders may still do.
#[derive(Clone, Debug)]
pub struct Acquisition {
    /// Rows of the shard.
    pub keyspace: Keyspace,
    /// Revision of the write that acquired the lease; a later holder has a higher token.
    pub fencing_token: u64,
    /// Number of terms so far, this one included.
    pub number: u64,
    /// Time just before the lease was written, on the boot-time clock.
    pub since: Moment,
    /// What earlier holders may still do, counted from `since`.
    pub earlier: Remainder,
    /// Servers, and the time from `since` until nothing runs there that an earlier holder has
    /// started, if this holder's list lacks the server; known after a release only.
    pub settled: BTreeMap<ServerId, Duration>,
    /// The clocks.
    pub readings: Readings,
}

/// Readings of the clocks by which a shard was acquired, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Readings {
    /// The store's clock when the lease row was read, in milliseconds.
    pub store_ms: u64,
    /// The store's clock as this process estimated it just before the write, in milliseconds.
    pub estimated_ms: u64,
    /// Time of the last renewal in the row, on the store's clock as its holder estimated it, in
    /// milliseconds; zero if there was none.
    pub renewed_ms: u64,
    /// Time for which this process had seen the row unchanged, on its own clock.
    pub unchanged: Duration,
}

/// A shard that is free to acquire.
#[derive(Clone, Copy, Debug)]
pub struct Vacancy {
    /// Time since this process first found it so.
    pub duration: Duration,
    /// Whether the shard never had a holder, or its row is invalid.
    pub is_first: bool,
}

/// Result of a lease renewal: confirmed by the store, unconfirmed, after which the shard
/// may still be held, or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The store has confirmed the renewal.
    Confirmed,
    /// The store is unavailable, the outcome is unknown, or the row holds an
    /// earlier renewal of this process that arrived late. The shard may still be held.
    Unconfirmed,
    /// Another process holds the shard, the row is missing or invalid, or this process
    /// did not hold the shard.
    Lost,
}

/// Acquires, renews and releases the shard's lease for this process. While it holds the
/// lease, it keeps the row as last written or, after a conflict with a late renewal of its
/// own, as read. A clone starts from the same state and is then independent.
#[derive(Clone, Debug)]
pub struct Lease<S> {
    store: S,
    keyspace: Keyspace,
    entry: Arc<str>,
    incarnation: Incarnation,
    /// Lease that holders grant to runs.
    run_lease: Duration,
    log: Logger,
    /// The row and its revision; `None` while this process does not hold the lease.
    held: Option<(Revision, LeaseRow)>,
    /// When the shard may be released: once earlier holders have certainly stopped, so that
    /// the next one need not wait for them.
    releasable_from: Moment,
    /// When this process first found the shard free to acquire; `None` after a read that
    /// found it held by another process.
    vacant_since: Option<Moment>,
    /// Since when the row has been seen unchanged.
    observation: Observation,
}

impl<S: Store> Lease<S> {
    /// Creates a lease that is not held; reads and writes nothing yet. `incarnation`
    /// identifies this process in the row.
    pub fn new(
        store: S,
        keyspace: Keyspace,
        config: &Config,
        incarnation: Incarnation,
        log: &Logger,
    ) -> Lease<S> {
        let (entry, log) = (Arc::clone(&config.entry), log.clone());
        let observation = Observation::default();
        Lease {
            store,
            keyspace,
            entry,
            incarnation,
            run_lease: config.run_lease(),
            log,
            held: None,
            releasable_from: Moment::ZERO,
            vacant_since: None,
            observation,
        }
    }

    /// Returns the shard.
    pub fn shard(&self) -> ShardId {
        self.keyspace.shard()
    }

    /// Returns for how long this process has found the shard free to acquire: it has no
    /// holder, its lease has expired, or it belongs to an earlier process of this entry host.
    /// `None` if it is not free. `stored` is its lease row, `now_ms` the store's clock when it
    /// was read. The process does not hold the shard any more.
    pub fn observe(&mut self, stored: &Row, now_ms: u64) -> Option<Vacancy> {
        self.held = None;
        let current = self.decode(stored);
        self.observation = self.observation.update(stored.revision, Boot.now());
        if self.decision(current.as_ref(), now_ms) == Decision::Wait {
            self.vacant_since = None;
            return None;
        }
        let now = Boot.now();
        let vacant_since = *self.vacant_since.get_or_insert(now);
        Some(Vacancy { duration: now.since(vacant_since), is_first: current.is_none() })
    }

    /// Decides what to do about the shard by its lease row, `None` if it is missing or
    /// invalid.
    fn decision(&self, current: Option<&LeaseRow>, now_ms: u64) -> Decision {
        let holder = current.map(Record::from);
        let (observation, run_lease) = (self.observation, self.run_lease);
        shard_lease::decide(holder.as_ref(), observation, &self.entry, now_ms, run_lease)
    }

    /// Acquires the lease if its row is still as it was read for [`Self::observe`]. The same
    /// transaction writes the fence row, so that writes of earlier holders that require its
    /// old revision conflict. Returns `None` if the shard is not free, or the write isn't
    /// confirmed.
    ///
    /// `now_ms` is the store's clock when the row was read. The lease counts from the write,
    /// because this process may have been paused in between.
    pub fn acquire(&mut self, stored: &Row, now_ms: u64) -> Option<Acquisition> {
        let current = self.decode(stored);
        let Decision::Acquire(earlier) = self.decision(current.as_ref(), now_ms) else {
            return None;
        };
        let Remainder { overlap, granted } = earlier;
        let since = Boot.now();
        let readings = Readings {
            store_ms: now_ms,
            estimated_ms: self.store.clock_ms(),
            renewed_ms: current.as_ref().map_or(0, |current| current.renewed_ms),
            unchanged: self.observation.duration(),
        };
        let next = LeaseRow {
            holder: self.entry.to_string(),
            incarnation: self.incarnation.0,
            number: current.as_ref().map_or(0, |current| current.number) + 1,
            fencing: 0,
            renewed_ms: self.store.clock_ms(),
            earlier_until_ms: Some(now_ms.saturating_add(millis(overlap))),
            settled: Vec::new(),
            granted_until_ms: Some(now_ms.saturating_add(millis(granted))),
        };
        let transaction = self.lease_transaction(stored.revision, &next);
        let fence = row::encode(&self.entry.to_string());
        let transaction = transaction.put(self.keyspace.fence(), fence);
        let revision = self.commit(&transaction)?;
        let number = next.number;
        info!(self.log, "shard taken"; "shard" => %self.shard(), "fencing" => revision.0,
            "number" => number, "step" => step(overlap), "overlap_ms" => millis(overlap),
            "granted_ms" => millis(granted),
            "before" => current.as_ref().map(|current| current.holder.clone()).unwrap_or_default());
        let settled = current.map(|current| settled(current, now_ms)).unwrap_or_default();
        self.held = Some((revision, LeaseRow { fencing: revision.0, ..next }));
        self.releasable_from = Boot.now() + overlap;
        Some(Acquisition {
            keyspace: self.keyspace,
            fencing_token: revision.0,
            number,
            since,
            earlier,
            settled,
            readings,
        })
    }

    /// Decodes the lease row; returns `None` if it does not exist or is invalid.
    fn decode(&self, stored: &Row) -> Option<LeaseRow> {
        let value = stored.value.as_deref()?;
        row::decode(value)
            .inspect_err(|error| warn!(self.log, "lease row not decoded"; "error" => %error))
            .ok()
    }

    /// Commits a transaction and returns its revision; returns `None` on a conflict, and
    /// if the store did not confirm the write.
    fn commit(&self, transaction: &Transaction) -> Option<Revision> {
        match store::commit_with_retry(&self.store, transaction) {
            store::Outcome::Applied(revision) => Some(revision),
            outcome => {
                info!(self.log, "lease not written"; "outcome" => ?outcome);
                None
            }
        }
    }

    /// Returns a transaction that writes the lease row if it still has `revision`.
    fn lease_transaction(&self, revision: Revision, next: &LeaseRow) -> Transaction {
        let key = self.keyspace.lease();
        Transaction::default().replace(key, revision, row::encode(next))
    }

    /// Renews the lease by a write of its row, which is conditional on the row as last
    /// written by this process.
    pub fn renew(&mut self) -> Renewal {
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

    /// Handles a conflict of `next` with the stored row, the first of `rows`. If that is a
    /// late renewal of this process, it is kept as the last written row, and the renewal
    /// counts as unconfirmed; anything else means that the lease is lost.
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
    /// expires. Does nothing if it is not held; after a failed write the lease expires, and
    /// so it does while the holder that this process replaced may still act.
    ///
    /// `settled` are servers, and the time from now until nothing that this holder or one
    /// before it has started runs there.
    pub fn release(&mut self, settled: &BTreeMap<ServerId, Duration>) {
        let Some((revision, held)) = self.held.take() else {
            return;
        };
        if Boot.now() < self.releasable_from {
            info!(self.log, "shard left to expire"; "shard" => %self.shard());
            return;
        }
        let now_ms = self.store.clock_ms();
        let until_ms = |time: &Duration| now_ms.saturating_add(millis(*time));
        let settled = settled.iter().map(|(server, time)| (server.to_string(), until_ms(time)));
        let settled = settled.take(MAX_SETTLED).collect();
        let next = LeaseRow { holder: String::new(), settled, ..held };
        if self.commit(&self.lease_transaction(revision, &next)).is_some() {
            info!(self.log, "shard released"; "shard" => %self.shard());
        }
    }
}

/// Returns the servers of a released row, each with the time until nothing runs there; none if
/// it was not released. `now_ms` is the store's clock when the row was read.
fn settled(row: LeaseRow, now_ms: u64) -> BTreeMap<ServerId, Duration> {
    if !row.holder.is_empty() {
        return BTreeMap::new();
    }
    let time_left = |until_ms: u64| Duration::from_millis(until_ms.saturating_sub(now_ms));
    let settled = row.settled.into_iter();
    settled.map(|(server, until_ms)| (ServerId(Arc::from(server)), time_left(until_ms))).collect()
}

/// Returns the word by which the log tells an acquisition while an earlier holder may still act
/// from one after all have stopped.
fn step(overlap: Duration) -> &'static str {
    match overlap.is_zero() {
        true => "Succeed",
        false => "TakeOver",
    }
}
