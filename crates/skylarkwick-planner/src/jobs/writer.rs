//! The duties that write what became known of jobs, one queue at a time each.

use std::io;

use skylarkwick_connection::store::{
    Commit, Fault, Row, Store, Transaction,
    row::{self, JobRow, Over, ProgressRow},
};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::{
    job::State,
    shard::effect::{Change, JobUpdate},
};
use slog::{Logger, info, warn};

use super::{
    event::{Event, tell},
    load,
};

/// Queues that are written side by side.
const WRITERS: usize = 4;
/// Queues that wait for one writer.
const RING: usize = 64;

/// The row of an entry that another write has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Clash {
    None,
    Job,
    Progress,
}

/// The duties that write queues.
#[derive(Debug)]
pub(super) struct Writers {
    rings: Vec<ring::Sender<Vec<JobUpdate>>>,
    /// Whether the entries that were given to a writer are stored.
    written: ring::Receiver<bool>,
}

impl Writers {
    /// Writes the entries of some queues side by side; false when one of them is
    /// not stored.
    pub(super) fn write(&self, queues: Vec<Vec<JobUpdate>>) -> bool {
        let count = queues.len();
        for (entries, ring) in queues.into_iter().zip(self.rings.iter().cycle()) {
            // A writer ends only with this value.
            let _ = ring.send(entries);
        }
        let stored = (0..count).filter(|_| self.written.receive() == Some(true));
        stored.count() == count
    }
}

/// Starts the duties.
pub(super) fn start<S: Store>(
    store: &S,
    events: &ring::Sender<Event>,
    log: &Logger,
) -> io::Result<Writers> {
    let (outcome, written) = ring::bounded(WRITERS * RING);
    let mut rings = Vec::with_capacity(WRITERS);
    for _ in 0..WRITERS {
        let (entries, input) = ring::bounded::<Vec<JobUpdate>>(RING);
        let writer = Writer { store: store.clone(), events: events.clone(), log: log.clone() };
        let outcome = outcome.clone();
        Duty::spawn("writer", move || {
            while let Some(entries) = input.receive() {
                if outcome.send(writer.queue(entries)).is_err() {
                    return;
                }
            }
        })?;
        rings.push(entries);
    }
    Ok(Writers { rings, written })
}

struct Writer<S> {
    store: S,
    events: ring::Sender<Event>,
    log: Logger,
}

impl<S: Store> Writer<S> {
    /// Writes the entries of one queue; false when one of them is not stored.
    ///
    /// Entries that meet another writer's rows are taken out, and the rest is
    /// written.
    fn queue(&self, mut entries: Vec<JobUpdate>) -> bool {
        let mut is_stored = true;
        while !entries.is_empty() {
            match self.store.commit(&self.transaction(&entries)) {
                Ok(Commit::Applied(revision)) => {
                    for entry in &entries {
                        self.explain(entry);
                        tell(&self.events, Event::Noted(entry.id.clone(), revision, None));
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
    fn clash(&self, entry: &JobUpdate, rows: &[Row]) -> Clash {
        let find = |key| rows.iter().find(|row| row.key == key);
        let (queue, id) = (&entry.queue, entry.id.as_str());
        let is_changed =
            find(row::job_key(queue, id)).is_some_and(|row| row.revision != entry.revision);
        if is_changed {
            // The job was cancelled, or an earlier write of ours ended it.
            tell(&self.events, Event::Withdrawn(entry.id.clone()));
            return Clash::Job;
        }
        let progress = find(row::progress_key(queue, id))
            .filter(|row| row.revision != entry.progress_revision);
        match progress {
            None => Clash::None,
            Some(row) => {
                let other = load::progress_of(row, &self.log);
                tell(&self.events, Event::Noted(entry.id.clone(), row.revision, other));
                Clash::Progress
            }
        }
    }

    fn transaction(&self, entries: &[JobUpdate]) -> Transaction {
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
                Change::Finished(state) => {
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

    fn explain(&self, entry: &JobUpdate) {
        if let Change::Finished(state) = &entry.change {
            info!(self.log, "job over"; "job" => entry.id.as_str(), "queue" => &*entry.queue,
                "state" => ?state);
        }
    }
}

const fn over(state: State) -> Over {
    match state {
        State::Failed => Over::Failed,
        State::Cancelled => Over::Cancelled,
        State::Completed | State::Queued | State::Running => Over::Completed,
    }
}
