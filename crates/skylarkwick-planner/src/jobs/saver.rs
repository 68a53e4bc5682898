//! Writes what has to last.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::{
    order::Directory,
    store::{
        self, Commit, Fault, Key, Row, Settled, Store, Transaction,
        row::{self, BacklogRow, HomesRow, JobRow, Over, ProgressRow, WaveRow},
    },
};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, Stop},
    ring,
};
use skylarkwick_request::{
    job::{self, State},
    shard::effect::{Batch, Change, Entry},
};
use skylarkwick_version::{moment::millis, revision::Revision};
use slog::{Logger, info, warn};

use super::{event::Event, lease::Renewal, load};

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

/// The row of an entry that another write has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Clash {
    None,
    Job,
    Progress,
}

/// Starts the duty; returns it with its ring.
pub(super) fn start<S: Store, D: Directory>(
    store: S,
    directory: D,
    fencing: u64,
    events: ring::Sender<Event>,
    log: Logger,
    stop: Stop,
) -> io::Result<(Duty, ring::Sender<Work>)> {
    let (work, input) = ring::bounded(RING);
    let fence = Revision(fencing);
    let saver = Saver { store, directory, fence, events, log, stop };
    let duty = Duty::spawn("saver", move || saver.run(&input))?;
    Ok((duty, work))
}

struct Saver<S, D> {
    store: S,
    directory: D,
    /// Revision of the row that a later holder replaces.
    fence: Revision,
    events: ring::Sender<Event>,
    log: Logger,
    stop: Stop,
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

    fn batch(&self, batch: Batch) -> Event {
        let mut by_queue: BTreeMap<Arc<str>, Vec<Entry>> = BTreeMap::new();
        for entry in &batch.entries {
            by_queue.entry(Arc::clone(&entry.queue)).or_default().push(entry.clone());
        }
        let mut is_stored = true;
        for entries in by_queue.into_values() {
            is_stored &= self.queue(entries);
        }
        match is_stored {
            true => Event::Saved(Box::new(batch)),
            false => {
                self.stop.sleep(FAULT_PAUSE);
                Event::NotSaved(Box::new(batch))
            }
        }
    }

    /// Writes the entries of one queue; false when one of them is not stored.
    ///
    /// Entries that meet another writer's rows are taken out, and the rest is
    /// written.
    fn queue(&self, mut entries: Vec<Entry>) -> bool {
        let mut is_stored = true;
        while !entries.is_empty() {
            match self.store.commit(&self.transaction(&entries)) {
                Ok(Commit::Applied(revision)) => {
                    for entry in &entries {
                        self.explain(entry);
                        self.note(Event::Noted(entry.id.clone(), revision, None));
                    }
                    return is_stored;
                }
                Ok(Commit::Conflict(rows)) => {
                    let before = entries.len();
                    entries.retain(|entry| match self.clash(entry, &rows) {
                        Clash::None => true,
                        Clash::Job => false,
                        Clash::Progress => {
                            is_stored = false;
                            false
                        }
                    });
                    if entries.len() == before {
                        warn!(self.log, "conflict without a cause"; "jobs" => before);
                        return false;
                    }
                }
                Err(error) => {
                    let is_unknown = matches!(error, Fault::Unknown(_));
                    warn!(self.log, "not saved"; "jobs" => entries.len(), "error" => %error,
                        "in_doubt" => is_unknown);
                    return false;
                }
            }
        }
        is_stored
    }

    /// Tells which row of an entry is not as this holder knew it, and lets the
    /// shard know how it is.
    fn clash(&self, entry: &Entry, rows: &[Row]) -> Clash {
        let find = |key| rows.iter().find(|row| row.key == key);
        let (queue, id) = (&entry.queue, entry.id.as_str());
        let is_changed =
            find(row::job_key(queue, id)).is_some_and(|row| row.revision != entry.revision);
        if is_changed {
            // The job was cancelled, or an earlier write of ours ended it.
            self.note(Event::Withdrawn(entry.id.clone()));
            return Clash::Job;
        }
        let progress = find(row::progress_key(queue, id))
            .filter(|row| row.revision != entry.progress_revision);
        match progress {
            None => Clash::None,
            Some(row) => {
                let other = load::progress_of(row, &self.log);
                self.note(Event::Noted(entry.id.clone(), row.revision, other));
                Clash::Progress
            }
        }
    }

    fn note(&self, event: Event) {
        // The holder has ended, and its successor reads the rows.
        let _ = self.events.send(event);
    }

    fn transaction(&self, entries: &[Entry]) -> Transaction {
        let mut change = Transaction::default();
        for entry in entries {
            let (queue, id) = (&entry.queue, entry.id.as_str());
            let job = row::job_key(queue, id);
            let progress = row::progress_key(queue, id);
            change = match &entry.change {
                Change::Progress(known) => {
                    change.conditions.push((job, entry.revision));
                    let row = row::encode(&ProgressRow::from(known));
                    change.replace(progress, entry.progress_revision, row)
                }
                Change::Over(state) => {
                    let (state, ended_ms) = (over(*state), self.store.clock_ms());
                    let row = row::encode(&JobRow::Over { state, ended_ms });
                    let change = change.replace(job, entry.revision, row);
                    match entry.progress_revision.0 {
                        0 => change,
                        _ => change.remove(progress),
                    }
                }
            };
        }
        change
    }

    fn explain(&self, entry: &Entry) {
        if let Change::Over(state) = &entry.change {
            info!(self.log, "job over"; "job" => entry.id.as_str(), "queue" => &*entry.queue,
                "state" => ?state);
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
                self.note(Event::Renewed(Renewal::Lost, Boot.now()));
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

const fn over(state: State) -> Over {
    match state {
        State::Failed => Over::Failed,
        State::Cancelled => Over::Cancelled,
        State::Completed | State::Queued | State::Running => Over::Completed,
    }
}

/// Lists the jobs that wait.
pub(super) fn backlog_row(waiting: BTreeMap<Arc<str>, Vec<job::Id>>) -> BacklogRow {
    let texts = |ids: Vec<job::Id>| ids.iter().map(|id| id.as_str().to_owned()).collect();
    let waiting = waiting.into_iter().map(|(queue, ids)| (queue.to_string(), texts(ids)));
    BacklogRow { written_ms: 0, waiting: waiting.collect() }
}
