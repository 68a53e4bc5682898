//! The lease of the shard: taken, renewed and released by one row.

use std::{sync::Arc, time::Duration};

use skylarkwick_connection::store::{
    self, Row, Settled, Store, Transaction,
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

/// How often a process looks at a shard that another holds.
const LOOK_PERIOD: Duration = Duration::from_millis(400);

/// How much stronger another host has to be for this one to hesitate.
const STRONGER: f64 = 1.3;
/// Time that a weak host leaves a vacant shard to stronger ones.
const WEAK_HESITATION: Duration = Duration::from_millis(1500);
/// Time that every host leaves a shard that nobody has held yet.
const FIRST_HESITATION: Duration = Duration::from_millis(700);

/// A shard that was just taken.
#[derive(Clone, Copy, Debug)]
pub(super) struct Taken {
    pub(super) fencing: u64,
    pub(super) number: u64,
    pub(super) since: Moment,
    /// Whether the last holder may still be at work.
    pub(super) may_be_contested: bool,
}

/// What came of a renewal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Renewal {
    /// The store has confirmed it.
    Confirmed,
    /// Nobody knows, or the store is out.
    Unconfirmed,
    /// Another process holds the shard.
    Lost,
}

/// The lease of the shard, as this process knows it.
#[derive(Clone, Debug)]
pub(super) struct Lease<S> {
    store: S,
    entry: Arc<str>,
    /// Processor time of this host, in cores.
    cores: f64,
    incarnation: Incarnation,
    log: Logger,
    held: Option<(Revision, LeaseRow)>,
    /// Since when this process could take the shard.
    vacant: Option<Moment>,
    sight: Observation,
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
        let sight = Observation::default();
        Lease { store, entry, cores, incarnation, log, held: None, vacant: None, sight }
    }

    /// Waits until the shard can be taken, and takes it; nothing on the stop.
    ///
    /// A host that is weaker than others leaves the shard to them for a while:
    /// holding it takes more of a processor than anything else.
    pub(super) fn acquire(&mut self, stop: &StopSignal) -> Option<Taken> {
        self.register();
        while !stop.is_requested() {
            self.held = None;
            if let Some(taken) = self.try_acquire() {
                return Some(taken);
            }
            stop.sleep(LOOK_PERIOD);
        }
        None
    }

    fn try_acquire(&mut self) -> Option<Taken> {
        let (seen, now_ms) = store::read_one(&self.store, &row::lease_key(row::SHARD))
            .inspect_err(|error| warn!(self.log, "lease unread"; "error" => %error))
            .ok()?;
        let known = self.decode(&seen);
        self.sight = self.sight.update(seen.revision, Boot.now());
        let holder = known.as_ref().map(Record::from);
        let step = shard_lease::decide(holder.as_ref(), self.sight, &self.entry, now_ms);
        if step == Decision::Wait {
            self.vacant = None;
            return None;
        }
        let since = Boot.now();
        let vacant = *self.vacant.get_or_insert(since);
        if since.since(vacant) < self.hesitation(known.is_none()) {
            return None;
        }
        let next = LeaseRow {
            holder: self.entry.to_string(),
            incarnation: self.incarnation.0,
            number: known.as_ref().map_or(0, |known| known.number) + 1,
            fencing: 0,
            renewed_ms: now_ms,
        };
        let change = self.change(seen.revision, &next);
        let fence = row::encode(&self.entry.to_string());
        let change = change.put(row::fence_key(row::SHARD), fence);
        let revision = self.commit(&change)?;
        let number = next.number;
        info!(self.log, "shard taken"; "shard" => row::SHARD, "fencing" => revision.0,
            "number" => number, "step" => ?step,
            "before" => known.map(|known| known.holder).unwrap_or_default());
        self.held = Some((revision, LeaseRow { fencing: revision.0, ..next }));
        let may_be_contested = step == Decision::TakeOver;
        Some(Taken { fencing: revision.0, number, since, may_be_contested })
    }

    /// Returns how long this host leaves a vacant shard to others. Before the first
    /// holder, the strengths of the others may not be known yet.
    fn hesitation(&self, is_first: bool) -> Duration {
        let strongest = self.strongest().unwrap_or_default();
        match () {
            () if strongest > self.cores * STRONGER => WEAK_HESITATION,
            () if is_first => FIRST_HESITATION,
            () => Duration::ZERO,
        }
    }

    /// Lets weaker hosts know how strong this one is.
    fn register(&self) {
        let Some(strongest) = self.strongest() else {
            return;
        };
        if self.cores > strongest {
            let key = row::strength_key(row::SHARD);
            let change = Transaction::default().put(key, row::encode(&self.cores));
            if let Err(error) = self.store.commit(&change) {
                warn!(self.log, "strength not stored"; "error" => %error);
            }
        }
    }

    /// Returns the strength of the strongest host; zero before one has told, and
    /// nothing when the store does not answer.
    fn strongest(&self) -> Option<f64> {
        let (row, _) = store::read_one(&self.store, &row::strength_key(row::SHARD))
            .inspect_err(|error| warn!(self.log, "strength unread"; "error" => %error))
            .ok()?;
        let strongest = row.value.as_deref().map(row::decode::<f64>);
        strongest.map_or(Some(0.0), |strongest| {
            strongest
                .inspect_err(|error| warn!(self.log, "strength unreadable"; "error" => %error))
                .ok()
        })
    }

    fn decode(&self, seen: &Row) -> Option<LeaseRow> {
        let value = seen.value.as_deref()?;
        row::decode(value)
            .inspect_err(|error| warn!(self.log, "lease unreadable"; "error" => %error))
            .ok()
    }

    fn commit(&self, change: &Transaction) -> Option<Revision> {
        match store::settle(&self.store, change) {
            Settled::Applied(revision) => Some(revision),
            outcome => {
                info!(self.log, "lease not written"; "outcome" => ?outcome);
                None
            }
        }
    }

    fn change(&self, revision: Revision, next: &LeaseRow) -> Transaction {
        let key = row::lease_key(row::SHARD);
        Transaction::default().replace(key, revision, row::encode(next))
    }

    /// Renews the lease with one write.
    pub(super) fn renew(&mut self) -> Renewal {
        let Some((revision, held)) = self.held.clone() else {
            return Renewal::Lost;
        };
        let next = LeaseRow { renewed_ms: self.store.clock_ms(), ..held };
        match store::settle(&self.store, &self.change(revision, &next)) {
            Settled::Applied(revision) => {
                self.held = Some((revision, next));
                Renewal::Confirmed
            }
            Settled::Conflict(rows) => self.recover(&rows, next),
            Settled::NotDone(error) | Settled::Unknown(error) => {
                warn!(self.log, "lease not renewed"; "error" => error);
                Renewal::Unconfirmed
            }
        }
    }

    /// Tells a renewal of our own that arrived late from another holder's row.
    fn recover(&mut self, rows: &[Row], next: LeaseRow) -> Renewal {
        let seen = rows.first();
        let known = seen.and_then(|seen| self.decode(seen));
        match (seen, known) {
            (Some(seen), Some(known)) if known.incarnation == self.incarnation.0 => {
                self.held =
                    Some((seen.revision, LeaseRow { renewed_ms: known.renewed_ms, ..next }));
                Renewal::Unconfirmed
            }
            _ => Renewal::Lost,
        }
    }

    /// Gives the shard up, so that another process need not wait.
    pub(super) fn release(&mut self) {
        let Some((revision, held)) = self.held.take() else {
            return;
        };
        let next = LeaseRow { holder: String::new(), ..held };
        if self.commit(&self.change(revision, &next)).is_some() {
            info!(self.log, "shard released"; "shard" => row::SHARD);
        }
    }
}
