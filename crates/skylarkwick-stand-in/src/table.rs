//! The platform's tables, in memory.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use skylarkwick_connection::platform::{Commit, Error, Key, Row, Scan, Table, Transaction};
use skylarkwick_version::revision::Revision;

use crate::fault::Switches;

/// An in-memory table with conditional transactions, injected faults and counters of
/// operations; clones share all of them.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    /// The injected faults.
    pub switches: Switches,
    rows: Arc<Mutex<Rows>>,
    counters: Arc<Counters>,
}

/// All rows by key, and the revision of the last accepted transaction.
#[derive(Debug, Default)]
struct Rows {
    revision: Revision,
    rows: BTreeMap<Key, Row>,
}

/// Numbers of reads and of accepted transactions.
#[derive(Debug, Default)]
struct Counters {
    reads: AtomicU64,
    writes: AtomicU64,
}

impl Memory {
    /// Returns the number of reads (single reads and scans) and of accepted
    /// transactions so far; operations that fail because the platform is unavailable do
    /// not count.
    pub fn operation_counts(&self) -> (u64, u64) {
        (self.counters.reads.load(Ordering::Relaxed), self.counters.writes.load(Ordering::Relaxed))
    }

    /// Returns the rows under a prefix, including deleted ones without a value;
    /// unaffected by injected faults and not counted as a read.
    pub fn peek(&self, prefix: &str) -> Vec<Row> {
        self.rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .with_prefix(prefix, Revision::ABSENT)
    }

    /// Sleeps for the injected delay; returns an error if the platform is unavailable.
    fn apply_faults(&self) -> Result<(), Error> {
        let faults = self.switches.get();
        if !faults.request_delay.is_zero() {
            std::thread::sleep(faults.request_delay);
        }
        match faults.is_unavailable {
            true => Err(Error::Unreachable),
            false => Ok(()),
        }
    }

    /// Returns whether the answer to the accepted transaction with this number, counted
    /// from 1, is to be lost.
    fn loses_answer(&self, accepted: u64) -> bool {
        let every = self.switches.get().lost_answer_every;
        every > 0 && accepted.is_multiple_of(every)
    }
}

impl Rows {
    /// Returns a row, or one without a value at [`Revision::ABSENT`] if the key was
    /// never written.
    fn get(&self, key: &Key) -> Row {
        self.rows.get(key).cloned().unwrap_or(Row {
            key: key.clone(),
            revision: Revision::ABSENT,
            token: None,
            value: None,
        })
    }

    /// Returns the rows whose full key starts with `prefix` and that changed after a
    /// revision, including deleted ones.
    fn with_prefix(&self, prefix: &str, after: Revision) -> Vec<Row> {
        self.rows
            .range(Key::new(prefix)..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .filter(|(_, row)| row.revision > after)
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Writes the rows of a transaction at the next revision; if any row differs from
    /// the revision that its condition requires, writes nothing and returns all such
    /// rows.
    fn commit(&mut self, transaction: &Transaction) -> Commit {
        let conflicting: Vec<Row> = transaction
            .conditions
            .iter()
            .map(|(key, revision)| (self.get(key), revision))
            .filter(|(row, revision)| row.revision != **revision)
            .map(|(row, _)| row)
            .collect();
        if !conflicting.is_empty() {
            return Commit::Conflict(conflicting);
        }
        self.revision = Revision(self.revision.0 + 1);
        for (key, value) in &transaction.writes {
            let row = Row {
                key: key.clone(),
                revision: self.revision,
                token: Some(transaction.token),
                value: value.as_deref().map(Arc::from),
            };
            self.rows.insert(key.clone(), row);
        }
        Commit::Applied(self.revision)
    }
}

impl Table for Memory {
    /// Reads rows and counts one read; fails while the platform is unavailable.
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, Error> {
        self.apply_faults()?;
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(keys.iter().map(|key| rows.get(key)).collect())
    }

    /// Reads the rows under a prefix and counts one read; fails while the platform is
    /// unavailable.
    fn scan(&self, prefix: &str, after: Revision) -> Result<Scan, Error> {
        self.apply_faults()?;
        self.counters.reads.fetch_add(1, Ordering::Relaxed);
        let rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(Scan { rows: rows.with_prefix(prefix, after), complete_through: rows.revision })
    }

    /// Commits a transaction and counts it if it is accepted; every n-th accepted one
    /// returns [`Error::Lost`] if that fault is injected.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error> {
        self.apply_faults()?;
        let commit = {
            let mut rows = self.rows.lock().unwrap_or_else(PoisonError::into_inner);
            rows.commit(transaction)
        };
        if let Commit::Conflict(_) = commit {
            return Ok(commit);
        }
        let accepted = 1 + self.counters.writes.fetch_add(1, Ordering::Relaxed);
        match self.loses_answer(accepted) {
            true => Err(Error::Lost),
            false => Ok(commit),
        }
    }
}
