//! Writes the rows of several submissions of a partition in one transaction.
//!
//! While the store is slow or refuses many writes, it takes one write of many rows where it would
//! not take a write for each. See `docs/design/submissions.md`.

use std::{collections::BTreeMap, io, sync::Arc, time::Duration};

use skylarkwick_connection::store::{self, Commit, Key, Row, Store, Transaction};
use skylarkwick_process::{
    duty::{Duty, StopSignal},
    ring,
};
use skylarkwick_version::revision::Revision;

/// Rows that wait to be written.
const RING_CAPACITY: usize = 256;
/// Most rows of one transaction; the platform accepts 100 entries, and a row takes two.
const MAX_ROWS: usize = 48;
/// Most bytes of rows of one transaction; the platform accepts 1 MB with their encoding.
const MAX_BYTES: usize = 400_000;
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

/// A new row to write, and the ring for the result.
#[derive(Debug)]
struct Item {
    key: Key,
    value: Vec<u8>,
    result: ring::Sender<Written>,
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
        Duty::spawn("group-writer", move || {
            loop {
                match input.receive_timeout(IDLE_WAIT) {
                    Ok(first) => {
                        let rest = std::iter::from_fn(|| input.try_receive());
                        write_all(&store, std::iter::once(first).chain(rest).collect());
                    }
                    Err(ring::ReceiveError::TimedOut) if !stop.is_requested() => {}
                    Err(_) => return,
                }
            }
        })?;
        Ok(Writer { items })
    }

    /// Writes a new row, together with those that others write at the same time, and waits for
    /// the result, for at most `timeout`.
    pub(super) fn write(&self, key: Key, value: Vec<u8>, timeout: Duration) -> Written {
        let (result, results) = ring::bounded(1);
        match self.items.try_send(Item { key, value, result }) {
            Err(_) => Written::Refused,
            Ok(()) => results.receive_timeout(timeout).unwrap_or(Written::Unanswered),
        }
    }
}

/// Writes rows, those of each partition together.
fn write_all<S: Store>(store: &S, items: Vec<Item>) {
    let mut by_part: BTreeMap<Arc<str>, Vec<Item>> = BTreeMap::new();
    for item in items {
        by_part.entry(Arc::clone(&item.key.part)).or_default().push(item);
    }
    for items in by_part.into_values() {
        let mut group: Vec<Item> = Vec::new();
        let mut bytes = 0;
        for item in items {
            if group.len() == MAX_ROWS || bytes + item.value.len() > MAX_BYTES {
                write_group(store, std::mem::take(&mut group));
                bytes = 0;
            }
            bytes += item.value.len();
            group.push(item);
        }
        write_group(store, group);
    }
}

/// Writes rows of one partition in one transaction, without those that exist already. A
/// transaction that the store does not accept is split, so that one row can't keep others out.
fn write_group<S: Store>(store: &S, mut group: Vec<Item>) {
    while !group.is_empty() {
        let transaction = group.iter().fold(Transaction::default(), |transaction, item| {
            transaction.replace(item.key.clone(), Revision::ABSENT, item.value.clone())
        });
        match store.commit(&transaction) {
            Ok(Commit::Applied(_)) => return answer(group, &Written::Stored),
            Ok(Commit::Conflict(rows)) => {
                let before = group.len();
                group = without_existing(group, &rows);
                if group.len() == before {
                    return answer(group, &Written::Refused);
                }
            }
            Err(store::Error::Unknown(_)) => return answer(group, &Written::Unanswered),
            Err(store::Error::NotDone(_)) => return answer(group, &Written::Refused),
            Err(store::Error::Rejected(_) | store::Error::TooLarge { .. }) => {
                if group.len() == 1 {
                    return answer(group, &Written::Rejected);
                }
                let rest = group.split_off(group.len() / 2);
                write_group(store, rest);
            }
        }
    }
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
