//! Duties that write job updates, each one queue at a time.

use std::io;

use skylarkwick_connection::store::{
    self, Commit, Row, Store, Transaction,
    keyspace::Keyspace,
    row::{self, FinalState, JobRow},
};
use skylarkwick_process::{duty::Duty, ring};
use skylarkwick_request::{
    job::State,
    shard::effect::{Change, JobUpdate},
};
use skylarkwick_version::revision::Revision;
use slog::{Logger, info, warn};

use super::{
    event::{Event, send},
    load,
};

/// Number of writer duties, and so of queues that are written concurrently.
const WRITERS: usize = 4;
/// Maximum number of queues whose updates wait for one writer.
const RING_CAPACITY: usize = 64;

/// Most bytes of rows in one transaction; the platform accepts 1 MB with their encoding.
const MAX_TRANSACTION_BYTES: usize = 600_000;

/// Which row of an update another write has changed: none, the job's row, so that the
/// update is obsolete, or its progress row, so that the update has to be made again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConflictKind {
    None,
    Job,
    Progress,
}

/// Handle of the writer duties: the ring to each, and the one for their results. They end
/// when it is dropped.
#[derive(Debug)]
pub(super) struct Writers {
    update_senders: Vec<ring::Sender<Vec<JobUpdate>>>,
    /// For each queue that was written, the updates that may not be stored.
    results: ring::Receiver<Vec<JobUpdate>>,
}

impl Writers {
    /// Writes updates, grouped by queue, concurrently and blocks until all are done. Returns
    /// those that may not have been stored, without obsolete ones; `None` if the writers have
    /// ended before.
    pub(super) fn write(&self, queues: Vec<Vec<JobUpdate>>) -> Option<Vec<JobUpdate>> {
        let count = queues.len();
        for (updates, sender) in queues.into_iter().zip(self.update_senders.iter().cycle()) {
            // A writer's receiver ends only when `self` is dropped.
            let _ = sender.send(updates);
        }
        let mut unsaved = Vec::new();
        for _ in 0..count {
            unsaved.extend(self.results.receive()?);
        }
        Some(unsaved)
    }
}

/// Starts the writer duties. They send to `events` the revision of each write of a job, the
/// stored updates of each queue, the stored progress of a job whose progress row another
/// write has changed, and the removal of a job whose own row has changed.
///
/// # Errors
///
/// Fails if a thread cannot be started.
pub(super) fn start<S: Store>(
    store: &S,
    keyspace: Keyspace,
    events: &ring::Sender<Event>,
    log: &Logger,
) -> io::Result<Writers> {
    let (result_sender, results) = ring::bounded(WRITERS * RING_CAPACITY);
    let mut update_senders = Vec::with_capacity(WRITERS);
    for _ in 0..WRITERS {
        let (sender, input) = ring::bounded::<Vec<JobUpdate>>(RING_CAPACITY);
        let writer =
            Writer { store: store.clone(), keyspace, events: events.clone(), log: log.clone() };
        let result_sender = result_sender.clone();
        Duty::spawn("writer", move || {
            while let Some(updates) = input.receive() {
                if result_sender.send(writer.write_queue(updates)).is_err() {
                    return;
                }
            }
        })?;
        update_senders.push(sender);
    }
    Ok(Writers { update_senders, results })
}

/// A writer duty: commits the updates of one queue at a time to the store `S` and reports
/// to the holder.
struct Writer<S> {
    store: S,
    keyspace: Keyspace,
    events: ring::Sender<Event>,
    log: Logger,
}

/// An update of a job and the transaction that makes it.
struct Write {
    update: JobUpdate,
    transaction: Transaction,
}

impl Write {
    /// Returns the size of the rows, in bytes.
    fn bytes(&self) -> usize {
        self.transaction.writes.iter().map(|(_, value)| value.len()).sum()
    }
}

impl<S: Store> Writer<S> {
    /// Writes the updates of one queue, in as few transactions as the store accepts; returns
    /// those that may not have been stored.
    fn write_queue(&self, updates: Vec<JobUpdate>) -> Vec<JobUpdate> {
        let mut unsaved = Vec::new();
        let mut group: Vec<Write> = Vec::new();
        let mut bytes = 0;
        for update in updates {
            let write = Write { transaction: self.transaction(&update), update };
            if !group.is_empty() && bytes + write.bytes() > MAX_TRANSACTION_BYTES {
                unsaved.extend(self.write_group(std::mem::take(&mut group)));
                bytes = 0;
            }
            bytes += write.bytes();
            group.push(write);
        }
        unsaved.extend(self.write_group(group));
        unsaved
    }

    /// Makes updates of one queue in one transaction; returns those that may not have been
    /// stored.
    ///
    /// Updates that conflict with another write are left out, and the others are tried
    /// again. If the job's row has changed, its update is obsolete and counts as stored; if
    /// only its progress row has, the update counts as not stored. If the store rejects the
    /// transaction, each update is made alone, so that one that the store never accepts holds
    /// up no other job. The holder receives the revision of the write for each update
    /// written, then those updates, and an event for each one left out.
    fn write_group(&self, mut group: Vec<Write>) -> Vec<JobUpdate> {
        let mut unsaved = Vec::new();
        while !group.is_empty() {
            match self.store.commit(&merge(&group)) {
                Ok(Commit::Applied(revision)) => {
                    self.report_saved(group, revision);
                    return unsaved;
                }
                Ok(Commit::Conflict(rows)) => {
                    let count = group.len();
                    group.retain(|write| match self.find_conflict(&write.update, &rows) {
                        ConflictKind::None => true,
                        ConflictKind::Job => false,
                        ConflictKind::Progress => {
                            unsaved.push(write.update.clone());
                            false
                        }
                    });
                    if group.len() == count {
                        warn!(self.log, "conflict without a changed row"; "jobs" => count);
                        unsaved.extend(group.into_iter().map(|write| write.update));
                        return unsaved;
                    }
                }
                Err(store::Error::Rejected(_) | store::Error::TooLarge { .. })
                    if group.len() > 1 =>
                {
                    let each = group.into_iter().map(|write| self.write_group(vec![write]));
                    unsaved.extend(each.flatten());
                    return unsaved;
                }
                Err(error) => {
                    let first = group.first().map_or("", |write| write.update.key.id().as_str());
                    let is_unknown = matches!(error, store::Error::Unknown(_));
                    warn!(self.log, "job updates not saved"; "jobs" => group.len(),
                        "job" => first, "error" => %error, "in_doubt" => is_unknown);
                    unsaved.extend(group.into_iter().map(|write| write.update));
                    return unsaved;
                }
            }
        }
        unsaved
    }

    /// Reports updates that were stored at this revision to the holder.
    fn report_saved(&self, group: Vec<Write>, revision: Revision) {
        let updates: Vec<JobUpdate> = group.into_iter().map(|write| write.update).collect();
        for update in &updates {
            self.log_if_finished(update);
            send(&self.events, Event::ProgressStored(update.key.clone(), revision, None));
        }
        send(&self.events, Event::UpdatesSaved(updates));
    }

    /// Returns which row of an update has another revision than this holder knew, the job's
    /// row first. A changed job row is reported to the holder as the removal of the job, a
    /// changed progress row with its stored value and revision.
    fn find_conflict(&self, update: &JobUpdate, rows: &[Row]) -> ConflictKind {
        let find = |key| rows.iter().find(|row| row.key == key);
        let (queue, id) = (update.key.queue(), update.key.id().as_str());
        let is_changed =
            find(self.keyspace.job(queue, id)).is_some_and(|row| row.revision != update.revision);
        if is_changed {
            // The job was cancelled, or an earlier write of this holder finished it.
            send(&self.events, Event::JobRemoved(update.key.clone()));
            return ConflictKind::Job;
        }
        let progress = find(self.keyspace.progress(queue, id))
            .filter(|row| row.revision != update.progress_revision);
        match progress {
            None => ConflictKind::None,
            Some(row) => {
                let stored = load::decode_progress(row, &self.log);
                send(&self.events, Event::ProgressStored(update.key.clone(), row.revision, stored));
                ConflictKind::Progress
            }
        }
    }

    /// Returns the transaction for an update, conditional on the revisions that the holder
    /// knew: it writes the progress of a job, or marks the job as finished and removes its
    /// progress row.
    fn transaction(&self, update: &JobUpdate) -> Transaction {
        let (queue, id) = (update.key.queue(), update.key.id().as_str());
        let job = self.keyspace.job(queue, id);
        let progress = self.keyspace.progress(queue, id);
        match &update.change {
            Change::Progress(known) => Transaction::default()
                .require(job, update.revision)
                .replace(progress, update.progress_revision, row::encode_progress(known)),
            Change::Finished(state) => {
                let (state, ended_ms) = (final_state(*state), self.store.clock_ms());
                let workspace = update.workspace.clone();
                let row = row::encode(&JobRow::Finished { state, ended_ms, workspace });
                let transaction = Transaction::default().replace(job, update.revision, row);
                match update.progress_revision.0 {
                    0 => transaction,
                    _ => transaction.remove(progress),
                }
            }
        }
    }

    /// Logs the end of a job if the update finishes it.
    fn log_if_finished(&self, update: &JobUpdate) {
        if let Change::Finished(state) = &update.change {
            info!(self.log, "job over"; "job" => update.key.id().as_str(),
                "queue" => &**update.key.queue(), "state" => ?state);
        }
    }
}

/// Returns one transaction that makes several updates.
fn merge(group: &[Write]) -> Transaction {
    let mut merged = Transaction::default();
    for Write { transaction, .. } in group {
        merged.conditions.extend(transaction.conditions.iter().cloned());
        merged.writes.extend(transaction.writes.iter().cloned());
        merged.removals.extend(transaction.removals.iter().cloned());
    }
    merged
}

/// Returns the stored form of a job's final state; a job that is still queued or running
/// counts as completed.
const fn final_state(state: State) -> FinalState {
    match state {
        State::Failed => FinalState::Failed,
        State::Cancelled => FinalState::Cancelled,
        State::Completed | State::Queued | State::Running => FinalState::Completed,
    }
}
