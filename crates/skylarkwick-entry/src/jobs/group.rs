//! Writes the rows of several submissions of a partition in one transaction.
//!
//! While the store is slow or refuses many writes, it takes one write of many rows where it would
//! not take a write for each. See `docs/design/submissions.md`.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::store::{self, Commit, Key, Row, Store, Transaction};
use skylarkwick_process::{
    clock::{Boot, Clock},
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_request::submission::{Gate, MAX_GROUP_REFUSALS};
use skylarkwick_version::{moment::Moment, revision::Revision};

/// Rows on their way to the duty.
const RING_CAPACITY: usize = 256;
/// Most rows of one transaction; the platform accepts 100 entries, and a row takes two.
const MAX_ROWS: usize = 48;
/// Most bytes of rows of one transaction; the platform accepts 1 MB with their encoding.
const MAX_BYTES: usize = 400_000;
/// Most bytes of rows that wait; what comes beyond that is refused.
const MAX_WAITING_BYTES: usize = 4 << 20;
/// Time that the duty has to answer after a deadline.
const GRACE: Duration = Duration::from_millis(50);
/// Longest wait for a row before the stop signal is looked at.
const IDLE_WAIT: Duration = Duration::from_secs(1);

/// How the write of a new row ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// The row is stored.
    Stored,
    /// There was a row with this key.
    Exists(Row),
    /// The row is too large for the store, or not valid.
    Rejected,
    /// Nothing was written.
    Refused,
    /// The row may be stored, now or later.
    Unanswered,
}

/// A new row to write, until when its submission is waited for, and the ring for the result.
#[derive(Debug)]
struct Item {
    key: Key,
    value: Vec<u8>,
    deadline: Moment,
    result: ring::Sender<Written>,
}

/// The rows of a partition that wait, and whether the store takes them.
#[derive(Debug)]
struct Batch {
    items: Vec<Item>,
    gate: Gate,
    /// Writes in a row that the store has refused.
    refusals: u32,
}

/// Handle of the duty that writes new rows.
#[derive(Clone, Debug)]
pub(super) struct Writer {
    items: ring::Sender<Item>,
}

impl Writer {
    /// Starts the duty; it ends after the stop signal, or once all handles are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub(super) fn start<S: Store>(store: S, stop: StopSignal) -> io::Result<Writer> {
        let (items, input) = ring::bounded::<Item>(RING_CAPACITY);
        let mut batches = Batches { store, by_part: BTreeMap::new() };
        Duty::spawn("group-writer", move || {
            while !stop.is_requested() {
                match input.receive_timeout(batches.wait(Boot.now())) {
                    Ok(first) => {
                        batches.add(first);
                        std::iter::from_fn(|| input.try_receive())
                            .for_each(|item| batches.add(item));
                    }
                    Err(ring::ReceiveError::TimedOut) => {}
                    Err(ring::ReceiveError::Closed) => return,
                }
                batches.write_due();
            }
        })?;
        Ok(Writer { items })
    }

    /// Writes a new row, together with others of its partition, and waits for the result. While
    /// the store refuses them, the row waits for up to `timeout`.
    pub(super) fn write(&self, key: Key, value: Vec<u8>, timeout: Duration) -> Written {
        let (result, results) = ring::bounded(1);
        let deadline = Boot.now() + timeout;
        match self.items.try_send(Item { key, value, deadline, result }) {
            Err(_) => Written::Refused,
            // The duty answers by the deadline, unless a write takes longer.
            Ok(()) => results.receive_timeout(timeout + GRACE).unwrap_or(Written::Unanswered),
        }
    }
}

/// The rows that wait, by partition.
#[derive(Debug)]
struct Batches<S> {
    store: S,
    by_part: BTreeMap<Arc<str>, Batch>,
}

impl<S: Store> Batches<S> {
    /// Adds a row; refuses it if too many wait.
    fn add(&mut self, item: Item) {
        let waiting = self.by_part.values().flat_map(|batch| &batch.items);
        let bytes: usize = waiting.map(|item| item.value.len()).sum();
        if bytes + item.value.len() > MAX_WAITING_BYTES {
            return answer(vec![item], &Written::Refused);
        }
        let batch = self.by_part.entry(Arc::clone(&item.key.part)).or_insert(Batch {
            items: Vec::new(),
            gate: Gate::of_group_writes(),
            refusals: 0,
        });
        batch.items.push(item);
    }

    /// Returns the time until a batch may be written or a row has waited too long.
    fn wait(&self, now: Moment) -> Duration {
        let waiting = self.by_part.values().filter(|batch| !batch.items.is_empty());
        let due = waiting.flat_map(|batch| {
            let deadlines = batch.items.iter().map(|item| item.deadline);
            deadlines.chain([batch.gate.next_write()])
        });
        due.min().map_or(IDLE_WAIT, |due| due.since(now).min(IDLE_WAIT))
    }

    /// Refuses the rows that have waited too long, and writes the batches that may be written.
    fn write_due(&mut self) {
        for batch in self.by_part.values_mut() {
            let now = Boot.now();
            let is_late = |item: &mut Item| item.deadline <= now;
            let late = batch.items.extract_if(.., is_late).collect();
            answer(late, &Written::Refused);
            if !batch.items.is_empty() && batch.gate.admit(now) {
                batch.write(&self.store);
            }
        }
        self.by_part.retain(|_, batch| !batch.items.is_empty() || batch.gate.is_refusing());
    }
}

impl Batch {
    /// Writes the rows that fit into one transaction; those that the store refuses wait on, unless it
    /// keeps refusing them: another entry host may have better access.
    fn write<S: Store>(&mut self, store: &S) {
        let mut bytes = 0;
        let fitting = self.items.iter().take(MAX_ROWS).take_while(|item| {
            bytes += item.value.len();
            bytes <= MAX_BYTES
        });
        let count = fitting.count().max(1);
        let group = self.items.drain(..count).collect();
        let refused = write_group(store, group);
        match refused.is_empty() {
            true => {
                self.refusals = 0;
                self.gate.record_answer(Boot.now(), Duration::ZERO);
            }
            false => {
                self.refusals += 1;
                self.gate.record_refusal(Boot.now());
                self.items.splice(0..0, refused);
                if self.refusals >= MAX_GROUP_REFUSALS {
                    answer(std::mem::take(&mut self.items), &Written::Refused);
                }
            }
        }
    }
}

/// Writes rows of one partition in one transaction, without those that exist already, and returns
/// those that the store refused. A transaction that it does not accept is split, so that one row
/// can't keep others out.
fn write_group<S: Store>(store: &S, mut group: Vec<Item>) -> Vec<Item> {
    while !group.is_empty() {
        let transaction = group.iter().fold(Transaction::default(), |transaction, item| {
            transaction.replace(item.key.clone(), Revision::ABSENT, item.value.clone())
        });
        match store.commit(&transaction) {
            Ok(Commit::Applied(_)) => {
                answer(group, &Written::Stored);
                return Vec::new();
            }
            Ok(Commit::Conflict(rows)) => {
                let before = group.len();
                group = without_existing(group, &rows);
                if group.len() == before {
                    return group;
                }
            }
            Err(store::Error::Unknown(_)) => {
                answer(group, &Written::Unanswered);
                return Vec::new();
            }
            Err(store::Error::NotDone(_)) => return group,
            Err(store::Error::Rejected(_) | store::Error::TooLarge { .. }) => {
                if group.len() == 1 {
                    answer(group, &Written::Rejected);
                    return Vec::new();
                }
                let rest = group.split_off(group.len() / 2);
                let mut refused = write_group(store, rest);
                refused.extend(write_group(store, group));
                return refused;
            }
        }
    }
    Vec::new()
}

/// Answers the items whose rows exist, and returns the others.
fn without_existing(group: Vec<Item>, rows: &[Row]) -> Vec<Item> {
    let mut absent = Vec::new();
    for item in group {
        let existing = rows.iter().find(|row| row.key == item.key && row.value.is_some());
        match existing {
            Some(row) => answer(vec![item], &Written::Exists(row.clone())),
            None => absent.push(item),
        }
    }
    absent
}

fn answer(items: Vec<Item>, written: &Written) {
    for item in items {
        // A submission that is not waited for any more is dropped.
        let _ = item.result.try_send(written.clone());
    }
}
