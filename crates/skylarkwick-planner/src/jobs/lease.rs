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

/// Pause between two reads of the lease by a process that does not hold the shard.
const READ_PERIOD: Duration = Duration::from_millis(400);

/// Ratio of the largest published number of processor cores to this host's above which this
/// host counts as weaker.
const MIN_CORES_RATIO: f64 = 1.3;
/// Time from when a weaker host first finds the shard vacant, during which it leaves it to
/// stronger ones; then it acquires the shard itself.
const WEAKER_HOST_DELAY: Duration = Duration::from_millis(1500);
/// Time for which even the strongest host waits before it acquires a shard that never had a
/// holder, so that all hosts can publish their processor cores; weaker hosts wait for
/// [`WEAKER_HOST_DELAY`].
const FIRST_HOLDER_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of attempts to publish the cores of this host while other hosts publish
/// theirs; each raises the figure.
const MAX_PUBLISH_ATTEMPTS: u32 = 10;

/// An acquisition of the shard, which begins a term, the time of one holder: the holder's
/// fencing token, the number of the term, when it began, and whether the previous holder
/// may still be active.
#[derive(Clone, Copy, Debug)]
pub(super) struct Acquisition {
    /// Revision of the write that acquired the lease; a later holder has a higher token.
    pub(super) fencing_token: u64,
    /// Number of terms so far, this one included.
    pub(super) number: u64,
    /// Time just before the lease was written, on the boot-time clock.
    pub(super) since: Moment,
    /// Whether the previous holder may still be active.
    pub(super) is_takeover: bool,
}

/// Result of a lease renewal: confirmed by the store, unconfirmed, after which the shard
/// may still be held, or lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Renewal {
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
pub(super) struct Lease<S> {
    store: S,
    entry: Arc<str>,
    /// Processor cores of this host.
    cores: f64,
    incarnation: Incarnation,
    log: Logger,
    /// The row and its revision; `None` while this process does not hold the lease.
    held: Option<(Revision, LeaseRow)>,
    /// When the shard may be released: once the holder before this one has certainly
    /// stopped, because the next one takes a released shard as one without a holder that
    /// still acts.
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
    pub(super) fn new(
        store: S,
        config: &Config,
        incarnation: Incarnation,
        log: &Logger,
    ) -> Lease<S> {
        let Config { entry, cores, .. } = config.clone();
        let log = log.clone();
        let observation = Observation::default();
        Lease {
            store,
            entry,
            cores,
            incarnation,
            log,
            held: None,
            releasable_from: Moment::ZERO,
            vacant_since: None,
            observation,
        }
    }

    /// Blocks until the shard can be acquired and acquires it; returns `None` on the stop
    /// signal. First publishes the processor cores of this host, which raises the stored
    /// maximum only if this host exceeds it.
    ///
    /// Weaker hosts wait for [`WEAKER_HOST_DELAY`] to leave the shard to stronger ones,
    /// because holding it needs more processor time than anything else.
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

    /// Reads the lease and acquires it if it is free, has expired, or belongs to an earlier
    /// process of this entry host, and [`Self::acquire_delay`] has passed since it was
    /// first found so. The same transaction writes the fence row, so that writes of earlier
    /// holders that require its old revision conflict. Returns `None` if the lease was not
    /// acquired, also if the row can't be read or the write isn't confirmed.
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
        if is_takeover {
            self.releasable_from = Boot.now() + shard_lease::HOLDER_OVERLAP;
        }
        Some(Acquisition { fencing_token: revision.0, number, since, is_takeover })
    }

    /// Returns how long this host leaves a vacant shard to others: [`WEAKER_HOST_DELAY`] if
    /// the largest published number of cores is more than [`MIN_CORES_RATIO`] times this
    /// host's, else [`FIRST_HOLDER_DELAY`] if `is_first`, else zero.
    /// `is_first` is whether the lease row is missing or invalid; the cores of other hosts
    /// may not be published yet then. A maximum of cores that can't be read counts as zero.
    fn acquire_delay(&self, is_first: bool) -> Duration {
        let max_cores = self.max_cores().unwrap_or_default();
        match () {
            () if max_cores > self.cores * MIN_CORES_RATIO => WEAKER_HOST_DELAY,
            () if is_first => FIRST_HOLDER_DELAY,
            () => Duration::ZERO,
        }
    }

    /// Stores the cores of this host if they exceed the stored maximum of all hosts; does
    /// nothing if that can't be read or decoded. All hosts may do so at once, so the write
    /// is conditional on the row that was read, and a conflict reads it again. Any other
    /// failure is only logged.
    fn publish_cores(&self) {
        for _ in 0..MAX_PUBLISH_ATTEMPTS {
            let Some((revision, max_cores)) = self.read_max_cores() else {
                return;
            };
            if self.cores <= max_cores {
                return;
            }
            let key = row::max_cores_key(row::SHARD);
            let value = row::encode(&self.cores);
            let transaction = Transaction::default().replace(key, revision, value);
            match store::commit_with_retry(&self.store, &transaction) {
                store::Outcome::Applied(_) => return,
                store::Outcome::Conflict(_) => {}
                store::Outcome::NotDone(error) | store::Outcome::Unknown(error) => {
                    warn!(self.log, "core count not stored"; "error" => error);
                    return;
                }
            }
        }
        warn!(self.log, "core count not stored"; "error" => "other hosts kept changing it");
    }

    /// Returns the largest published number of cores, as [`Self::read_max_cores`] does.
    fn max_cores(&self) -> Option<f64> {
        self.read_max_cores().map(|(_, max_cores)| max_cores)
    }

    /// Returns the revision of the row with the largest published number of cores, and that
    /// number, zero if there is none; `None` if it can't be read or decoded, which is logged.
    fn read_max_cores(&self) -> Option<(Revision, f64)> {
        let (row, _) = store::read_one(&self.store, &row::max_cores_key(row::SHARD))
            .inspect_err(|error| warn!(self.log, "core count not read"; "error" => %error))
            .ok()?;
        let Some(value) = row.value.as_deref() else {
            return Some((row.revision, 0.0));
        };
        row::decode::<f64>(value)
            .inspect_err(|error| warn!(self.log, "core count not decoded"; "error" => %error))
            .ok()
            .map(|max_cores| (row.revision, max_cores))
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
        let key = row::lease_key(row::SHARD);
        Transaction::default().replace(key, revision, row::encode(next))
    }

    /// Renews the lease by a write of its row, which is conditional on the row as last
    /// written by this process.
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
    pub(super) fn release(&mut self) {
        let Some((revision, held)) = self.held.take() else {
            return;
        };
        if Boot.now() < self.releasable_from {
            info!(self.log, "shard left to expire"; "shard" => row::SHARD);
            return;
        }
        let next = LeaseRow { holder: String::new(), ..held };
        if self.commit(&self.lease_transaction(revision, &next)).is_some() {
            info!(self.log, "shard released"; "shard" => row::SHARD);
        }
    }
}
