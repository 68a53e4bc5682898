//! Writes job updates, the backlog, incarnations of servers, pool sizes and waves to the store.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    control::Registry,
    store::{
        self, Commit, Store, Transaction,
        clock::Reading,
        keyspace::Keyspace,
        row::{self, BacklogRow, IncarnationsRow, PoolSizesRow, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::shard::{
    Incarnation,
    effect::{Batch, JobUpdate},
    input::ServerId,
};
use skylarkwick_version::{moment::millis, revision::Revision, sharding::Sharding};
use slog::{Logger, warn};

use super::{
    event::{Event, send},
    lease::Renewal,
    writer::{self, Writers},
};

/// Maximum number of requests that wait to be written.
const RING_CAPACITY: usize = 64;
/// Pause after a failed write of job updates or of a wave, before its result is sent to
/// the holder.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// A request to the saver's duty: write job updates, the backlog with incarnations of servers,
/// the pool sizes or the progress of a wave.
#[derive(Debug)]
pub(super) enum SaveRequest {
    /// Updates of jobs.
    Batch(Batch),
    /// The waiting jobs of each queue, and the incarnations of servers if they have changed.
    /// Both are written in one transaction, so that the second costs no call.
    Backlog(BacklogRow, Option<BTreeMap<ServerId, Incarnation>>),
    /// The initial sizes of the pools.
    PoolSizes(PoolSizesRow),
    /// The progress of a wave.
    Wave {
        /// Number of the wave.
        wave: u64,
        /// Hosts whose maintenance has begun.
        started: Vec<String>,
        /// Time left for the remaining hosts.
        time_left: Duration,
        /// Whether every host is done.
        is_completed: bool,
    },
}

/// Where a holder's saver writes: the store and the operators' reports, the rows of the shard,
/// and the fencing token of the holder.
#[derive(Clone, Debug)]
pub(super) struct Target<S, D> {
    /// Client of the platform's store.
    pub(super) store: S,
    /// Reports waves to the operators.
    pub(super) registry: D,
    /// Rows of the shard.
    pub(super) keyspace: Keyspace,
    /// Fencing token of the holder.
    pub(super) fencing_token: u64,
}

/// Starts the saver and its writers; returns the saver's duty and the ring for requests.
/// The duty ends once that ring is dropped and its requests are written, or a result can't
/// be sent to `events`; the `stop` signal only ends pauses after failed writes.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(super) fn start<S: Store, D: Registry>(
    target: Target<S, D>,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<(Duty, ring::Sender<SaveRequest>)> {
    let (requests, input) = ring::bounded(RING_CAPACITY);
    let Target { store, registry, keyspace, fencing_token } = target;
    let fence = Revision(fencing_token);
    let writers = writer::start(&store, keyspace, &events, &log)?;
    let saver = Saver { store, registry, keyspace, fence, writers, events, log, stop };
    let duty = Duty::spawn("saver", move || saver.run(&input))?;
    Ok((duty, requests))
}

/// The saver's duty: writes one request after another to the store `S`, and sends the
/// results of batches and waves to the holder. `D` reports waves to the operators.
struct Saver<S, D> {
    store: S,
    registry: D,
    keyspace: Keyspace,
    /// Revision of the fence row, which the next holder replaces.
    fence: Revision,
    writers: Writers,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
}

impl<S: Store, D: Registry> Saver<S, D> {
    /// Writes requests until their ring is closed, or until a result cannot be sent because
    /// the holder has ended. The holder receives the results of batches and waves, and
    /// whether incarnations were not written; other failed writes of the backlog and those of
    /// pool sizes are only logged. A backlog or wave that is rejected because of a later
    /// holder also ends the term, see [`Self::commit`].
    fn run(&self, input: &ring::Receiver<SaveRequest>) {
        while let Some(request) = input.receive() {
            let event = match request {
                SaveRequest::Batch(batch) => self.save_batch(batch),
                SaveRequest::Backlog(backlog, incarnations) => {
                    if self.save_backlog(backlog, incarnations.as_ref()) || incarnations.is_none() {
                        continue;
                    }
                    Event::IncarnationsNotSaved
                }
                SaveRequest::PoolSizes(pool_sizes) => {
                    self.save_pool_sizes(&pool_sizes);
                    continue;
                }
                SaveRequest::Wave { wave, started, time_left, is_completed } => {
                    let is_saved = self.save_wave(wave, started, time_left, is_completed);
                    Event::WaveSaveResult { wave, is_saved, is_completed }
                }
            };
            if self.events.send(event).is_err() {
                return;
            }
        }
    }

    /// Writes a batch, its queues concurrently; returns the event that reports whether all
    /// of it was stored. The writers report the updates that were; the event has the others.
    /// Pauses for [`RETRY_DELAY`] first if there are any.
    fn save_batch(&self, batch: Batch) -> Event {
        let mut by_queue: BTreeMap<Arc<str>, Vec<JobUpdate>> = BTreeMap::new();
        for update in &batch.updates {
            by_queue.entry(Arc::clone(update.key.queue())).or_default().push(update.clone());
        }
        let Batch { updates, cursors } = batch;
        let unsaved = self.writers.write(by_queue.into_values().collect()).unwrap_or(updates);
        if unsaved.is_empty() {
            return Event::BatchSaved(Box::new(Batch { updates: unsaved, cursors }));
        }
        self.stop.sleep(RETRY_DELAY);
        Event::BatchNotSaved(Box::new(Batch { updates: unsaved, cursors: Vec::new() }))
    }

    /// Writes the backlog with the store's time, and incarnations of servers if there are
    /// any; returns whether they were written. If a later holder has acquired the shard, they
    /// are not and the lease is reported as lost. Any failure is logged.
    fn save_backlog(
        &self,
        mut backlog: BacklogRow,
        incarnations: Option<&BTreeMap<ServerId, Incarnation>>,
    ) -> bool {
        // A pause between the two readings makes the stored times later, never earlier.
        let now = Boot.now();
        let store_ms = self.store.clock_ms();
        backlog.written_ms = store_ms;
        let mut transaction =
            Transaction::default().put(self.keyspace.backlog(), row::encode(&backlog));
        if let Some(incarnations) = incarnations {
            let row = IncarnationsRow::new(incarnations, Reading { now, store_ms });
            transaction = transaction.put(self.keyspace.incarnations(), row::encode(&row));
        }
        self.commit(transaction)
            .inspect_err(|error| warn!(self.log, "backlog not saved"; "error" => %error))
            .is_ok()
    }

    /// Commits a transaction on condition that no later holder has acquired the shard; if one
    /// has, sends the holder an event that the lease is lost.
    ///
    /// # Errors
    ///
    /// Returns the store's error, also if a later holder has acquired the shard.
    fn commit(&self, transaction: Transaction) -> Result<(), store::Error> {
        let transaction = transaction.require(self.keyspace.fence(), self.fence);
        match self.store.commit(&transaction)? {
            Commit::Applied(_) => Ok(()),
            Commit::Conflict(_) => {
                send(&self.events, Event::LeaseRenewal(Renewal::Lost, Boot.now()));
                Err(store::Error::NotDone("a later holder has acquired the shard".to_owned()))
            }
        }
    }

    /// Writes the initial sizes of the pools, their numbers of hosts before any move,
    /// unless they are stored already or a later holder has acquired the shard. Both count
    /// as failures; a failure is only logged.
    fn save_pool_sizes(&self, pool_sizes: &PoolSizesRow) {
        let transaction = Transaction::default()
            .replace(self.keyspace.pool_sizes(), Revision::ABSENT, row::encode(pool_sizes))
            .require(self.keyspace.fence(), self.fence);
        match store::commit_with_retry(&self.store, &transaction) {
            store::Outcome::Applied(_) => {}
            outcome => warn!(self.log, "pool sizes not saved"; "outcome" => ?outcome),
        }
    }

    /// Writes the progress of a wave and then reports it to the operators; returns false,
    /// after a pause of [`RETRY_DELAY`], if either may not have been stored. `time_left` is
    /// stored as the time on the store's clock at which it ends.
    fn save_wave(
        &self,
        wave: u64,
        started: Vec<String>,
        time_left: Duration,
        is_completed: bool,
    ) -> bool {
        let due_ms = self.store.clock_ms() + millis(time_left);
        let row = row::encode(&WaveRow { started, due_ms });
        let result = self
            .commit(Transaction::default().put(self.keyspace.wave(wave), row))
            .and_then(|()| self.report_wave(wave, is_completed));
        if let Err(error) = &result {
            warn!(self.log, "wave not saved"; "wave" => wave, "error" => %error);
            self.stop.sleep(RETRY_DELAY);
        }
        result.is_ok()
    }

    /// Reports a wave to the operators as running, or as completed once every shard has
    /// stored that its part is. A shard that completes before others reports nothing, because
    /// a late report that the wave runs would replace that of its completion.
    ///
    /// # Errors
    ///
    /// Returns the store's error; the wave may have been reported.
    fn report_wave(&self, number: u64, is_completed: bool) -> Result<(), store::Error> {
        match is_completed {
            true if !self.is_wave_completed(number)? => Ok(()),
            _ => self.registry.report_wave(number, is_completed),
        }
    }

    /// Returns whether the shards have stored together that the maintenance of every host of
    /// a wave has started; true if the operators have removed the wave.
    ///
    /// # Errors
    ///
    /// Returns the store's error if it gave no usable response, or if a row can't be decoded.
    fn is_wave_completed(&self, number: u64) -> Result<bool, store::Error> {
        let sharding = self.keyspace.sharding();
        if sharding == Sharding::SINGLE {
            return Ok(true);
        }
        let changes = self.registry.operator_changes(None, Duration::ZERO)?;
        let wave = changes.waves.into_iter().find(|wave| wave.number == number);
        let mut left = wave.map(|wave| wave.hosts).unwrap_or_default();
        for shard in sharding.shards() {
            let key = Keyspace::new(sharding, shard).wave(number);
            let (row, _) = store::read_one(&self.store, &key)?;
            let Some(value) = row.value else {
                continue;
            };
            let row = row::decode::<WaveRow>(&value)
                .map_err(|error| store::Error::NotDone(error.to_string()))?;
            left.retain(|host| !row.started.iter().any(|started| **started == *host.0));
        }
        Ok(left.is_empty())
    }
}
