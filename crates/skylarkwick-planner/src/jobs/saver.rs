//! Writes what has to last.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::Directory,
    store::{
        self, Commit, Fault, Key, Settled, Store, Transaction,
        row::{self, BacklogRow, HomesRow, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::{
    job,
    shard::effect::{Batch, JobUpdate},
};
use skylarkwick_version::{moment::millis, revision::Revision};
use slog::{Logger, warn};

use super::{
    event::{Event, tell},
    lease::Renewal,
    writer::{self, Writers},
};

/// Batches that wait to be written.
const RING: usize = 64;
/// Pause after the store gave no answer.
const FAULT_PAUSE: Duration = Duration::from_millis(100);

/// Something to write.
#[derive(Debug)]
pub(super) enum Work {
    /// What became known of jobs.
    Batch(Batch),
    /// The jobs that wait.
    Backlog(BacklogRow),
    /// The sizes of the pools.
    Homes(HomesRow),
    /// The progress of a wave.
    Wave {
        /// Number of the wave.
        wave: u64,
        /// Hosts whose maintenance has begun.
        begun: Vec<String>,
        /// Time that is left for the others.
        left: Duration,
        /// Whether every host is done.
        is_completed: bool,
    },
}

/// Starts the duty; returns it with its ring.
pub(super) fn start<S: Store, D: Directory>(
    store: S,
    directory: D,
    fencing: u64,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
) -> io::Result<(Duty, ring::Sender<Work>)> {
    let (work, input) = ring::bounded(RING);
    let fence = Revision(fencing);
    let writers = writer::start(&store, &events, &log)?;
    let saver = Saver { store, directory, fence, writers, events, log, stop };
    let duty = Duty::spawn("saver", move || saver.run(&input))?;
    Ok((duty, work))
}

struct Saver<S, D> {
    store: S,
    directory: D,
    /// Revision of the row that a later holder replaces.
    fence: Revision,
    writers: Writers,
    events: ring::Sender<Event>,
    log: Logger,
    stop: StopSignal,
}

impl<S: Store, D: Directory> Saver<S, D> {
    fn run(&self, input: &ring::Receiver<Work>) {
        while let Some(work) = input.receive() {
            let event = match work {
                Work::Batch(batch) => self.batch(batch),
                Work::Backlog(backlog) => {
                    self.backlog(backlog);
                    continue;
                }
                Work::Homes(homes) => {
                    self.homes(&homes);
                    continue;
                }
                Work::Wave { wave, begun, left, is_completed } => {
                    let is_stored = self.wave(wave, begun, left, is_completed);
                    Event::WaveStored { wave, is_stored, is_completed }
                }
            };
            if self.events.send(event).is_err() {
                return;
            }
        }
    }

    /// Writes a batch, its queues side by side.
    fn batch(&self, batch: Batch) -> Event {
        let mut by_queue: BTreeMap<Arc<str>, Vec<JobUpdate>> = BTreeMap::new();
        for entry in &batch.updates {
            by_queue.entry(Arc::clone(&entry.queue)).or_default().push(entry.clone());
        }
        match self.writers.write(by_queue.into_values().collect()) {
            true => Event::Saved(Box::new(batch)),
            false => {
                self.stop.sleep(FAULT_PAUSE);
                Event::NotSaved(Box::new(batch))
            }
        }
    }

    fn backlog(&self, mut backlog: BacklogRow) {
        backlog.written_ms = self.store.clock_ms();
        let key = row::backlog_key(row::SHARD);
        if let Err(error) = self.put(key, row::encode(&backlog)) {
            warn!(self.log, "backlog not saved"; "error" => %error);
        }
    }

    /// Writes a row of the shard, unless a later holder has taken the shard; the
    /// holder's duty is then told that it is lost.
    fn put(&self, key: Key, value: Vec<u8>) -> Result<(), Fault> {
        let fence = row::fence_key(row::SHARD);
        let change = Transaction::default().put(key, value).require(fence, self.fence);
        match self.store.commit(&change)? {
            Commit::Applied(_) => Ok(()),
            Commit::Conflict(_) => {
                tell(&self.events, Event::Renewed(Renewal::Lost, Boot.now()));
                Err(Fault::NotDone("a later holder has the shard".to_owned()))
            }
        }
    }

    /// Writes the sizes of the pools, unless an earlier holder has.
    fn homes(&self, homes: &HomesRow) {
        let change = Transaction::default()
            .replace(row::homes_key(row::SHARD), Revision::ABSENT, row::encode(homes))
            .require(row::fence_key(row::SHARD), self.fence);
        match store::settle(&self.store, &change) {
            Settled::Applied(_) => {}
            outcome => warn!(self.log, "sizes of pools not saved"; "outcome" => ?outcome),
        }
    }

    fn wave(&self, wave: u64, begun: Vec<String>, left: Duration, is_completed: bool) -> bool {
        let due_ms = self.store.clock_ms() + millis(left);
        let row = row::encode(&WaveRow { begun, due_ms });
        let stored = self
            .put(row::wave_key(wave), row)
            .and_then(|()| self.directory.report_wave(wave, is_completed));
        if let Err(error) = &stored {
            warn!(self.log, "wave not saved"; "wave" => wave, "error" => %error);
            self.stop.sleep(FAULT_PAUSE);
        }
        stored.is_ok()
    }
}

/// Lists the jobs that wait.
pub(super) fn backlog_row(waiting: BTreeMap<Arc<str>, Vec<job::Id>>) -> BacklogRow {
    let texts = |ids: Vec<job::Id>| ids.iter().map(|id| id.as_str().to_owned()).collect();
    let waiting = waiting.into_iter().map(|(queue, ids)| (queue.to_string(), texts(ids)));
    BacklogRow { written_ms: 0, waiting: waiting.collect() }
}
