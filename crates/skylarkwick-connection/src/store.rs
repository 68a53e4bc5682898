//! The platform's store of versioned rows, which holds all persistent state.
//!
//! A row is identified by its table, its partition and its key. Writes within a
//! partition are atomic and may be conditional on revisions. A write whose
//! response was lost may have taken effect, or may still take effect seconds
//! later if its conditions hold. See `docs/DESIGN.md`, section "Rows".

pub mod clock;
pub mod keyspace;
pub mod row;

use std::{collections::VecDeque, sync::Arc, time::Duration};

use skylarkwick_version::revision::Revision;

/// Identifies a row by its table, its partition and its key within the partition.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: Arc<str>,
    /// The partition; a transaction is limited to one.
    pub part: Arc<str>,
    /// The key within the partition.
    pub name: Arc<str>,
}

impl Key {
    /// Creates the key of row `name` in partition `part` of `table`.
    pub fn new(table: &str, part: &str, name: &str) -> Key {
        Key { table: Arc::from(table), part: Arc::from(part), name: Arc::from(name) }
    }
}

/// A row that was read: its key, its revision, and its value unless it is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Its key.
    pub key: Key,
    /// Revision of its last write, or [`Revision::ABSENT`].
    pub revision: Revision,
    /// Its value; `None` if the row is absent or removed.
    pub value: Option<Vec<u8>>,
}

/// Rows of one read, with the store's newest revision and clock at that time.
///
/// A page of [`read_partition`] or [`read_table`] is merged from several reads: its
/// revision is that of the first and its clock that of the last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether there are more rows in the range.
    pub has_more: bool,
    /// The newest revision of the store at the time of the read.
    pub revision: Revision,
    /// The store's monotonic clock at the time of the read, in milliseconds.
    pub now_ms: u64,
}

/// Writes and removals of rows of one partition that take effect together, provided that
/// every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Revisions that rows must have for the changes to take effect.
    pub conditions: Vec<(Key, Revision)>,
    /// New values.
    pub writes: Vec<(Key, Vec<u8>)>,
    /// Rows to remove.
    pub removals: Vec<Key>,
}

impl Transaction {
    /// Writes a row on condition that it has this revision; [`Revision::ABSENT`] stands
    /// for a row that was never written.
    pub fn replace(mut self, key: Key, revision: Revision, value: Vec<u8>) -> Transaction {
        self.conditions.push((key.clone(), revision));
        self.writes.push((key, value));
        self
    }

    /// Writes a row unconditionally.
    pub fn put(mut self, key: Key, value: Vec<u8>) -> Transaction {
        self.writes.push((key, value));
        self
    }

    /// Adds the condition that a row has this revision, without writing it.
    pub fn require(mut self, key: Key, revision: Revision) -> Transaction {
        self.conditions.push((key, revision));
        self
    }

    /// Removes a row unconditionally.
    pub fn remove(mut self, key: Key) -> Transaction {
        self.removals.push(key);
        self
    }
}

/// The store's response to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The changes took effect at this revision.
    Applied(Revision),
    /// Nothing was written; contains the current rows of the conditions.
    Conflict(Vec<Row>),
}

/// The result of waiting for changes: the changed rows, or a request to read the table
/// again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// These rows have changed; empty if the wait timed out.
    Changed(Page),
    /// The store has compacted the changes after that revision; the whole table
    /// must be read again.
    Compacted,
}

/// Why the store gave no usable response, or was not asked, and whether a write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The store did not execute the request, for this reason; nothing was written.
    #[error("the store did not execute the request: {0}")]
    NotDone(String),
    /// The response was lost, for this reason; a write may have taken effect, or may still
    /// do so.
    #[error("the store's response was lost: {0}")]
    Unknown(String),
    /// The store does not accept the transaction, for this reason. Nothing was written, and
    /// the same transaction would be refused again.
    #[error("the store rejected the transaction: {0}")]
    Rejected(String),
    /// A row is larger than the store accepts. Nothing was sent, and the same transaction
    /// would be refused again.
    #[error("row {name:?} of table {table:?} has {bytes} bytes, more than the store accepts")]
    TooLarge {
        /// Table of the row.
        table: Arc<str>,
        /// Key of the row within its partition.
        name: Arc<str>,
        /// Size of its value.
        bytes: usize,
    },
}

/// Access to the platform's store: transactions, reads, a feed of changes, and the
/// store's clock.
pub trait Store: Clone + Send + Sync + 'static {
    /// Applies a transaction if all of its conditions hold; otherwise writes nothing and
    /// returns the current rows of the conditions.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the changes may have taken effect or may
    /// still do so.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;

    /// Reads a row or a range of rows of a partition in the order of the keys. The store
    /// may return a range in part; see [`Page::has_more`].
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no usable response.
    fn read(&self, table: &str, part: &str, range: Range<'_>) -> Result<Page, Error>;

    /// Returns the names of the partitions of a table.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no usable response.
    fn parts(&self, table: &str) -> Result<Vec<Arc<str>>, Error>;

    /// Waits up to `wait` for changes of a table after a revision, and returns the rows
    /// that have changed since.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no usable response.
    fn feed(&self, table: &str, after: Revision, wait: Duration) -> Result<Feed, Error>;

    /// Returns the current time of the store's monotonic clock in milliseconds, estimated
    /// from its responses; zero before the first one.
    fn clock_ms(&self) -> u64;
}

/// The keys of a partition to read: one, or all after a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range<'a> {
    /// One key.
    One(&'a str),
    /// Every key after this one; the empty string sorts before every key.
    After(&'a str),
}

/// Reads one row; also returns the store's clock in milliseconds. An absent row is
/// returned with [`Revision::ABSENT`] and no value.
///
/// # Errors
///
/// Returns an error if the store gave no usable response.
pub fn read_one<S: Store>(store: &S, key: &Key) -> Result<(Row, u64), Error> {
    let page = store.read(&key.table, &key.part, Range::One(&key.name))?;
    let found = page.rows.into_iter().find(|row| row.key == *key);
    let absent = Row { key: key.clone(), revision: Revision::ABSENT, value: None };
    Ok((found.unwrap_or(absent), page.now_ms))
}

/// Reads every row of a partition, in as many reads as the store needs.
///
/// The page has the revision of the first read, so that a feed from that revision
/// misses no change.
///
/// # Errors
///
/// Returns an error if the store gave no usable response.
pub fn read_partition<S: Store>(store: &S, table: &str, part: &str) -> Result<Page, Error> {
    let mut merged = store.read(table, part, Range::After(""))?;
    while merged.has_more {
        let last = merged.rows.last().map(|row| Arc::clone(&row.key.name)).unwrap_or_default();
        let next = store.read(table, part, Range::After(&last))?;
        merged.has_more = next.has_more && !next.rows.is_empty();
        merged.rows.extend(next.rows);
        merged.now_ms = next.now_ms;
    }
    Ok(merged)
}

/// Reads every row of a table, as a [`TableReader`] does.
///
/// # Errors
///
/// Returns an error if the store gave no usable response.
pub fn read_table<S: Store>(store: &S, table: &str) -> Result<Page, Error> {
    let mut reader = TableReader::new(table);
    reader.read(store)?;
    Ok(reader.into_page())
}

/// A read of every row of a table, or of some of its partitions, one partition after the other. It keeps what it has
/// read when a read fails, so that a store that refuses some of many reads delays it but
/// does not make it start anew.
#[derive(Clone, Debug)]
pub struct TableReader {
    table: Arc<str>,
    /// End of the names of the partitions to read; empty for all.
    part_suffix: Arc<str>,
    /// What was read so far.
    page: Page,
    /// Whether the page has the revision from which later changes are to be followed.
    has_revision: bool,
    /// Partitions that are not read to their end; `None` until they are listed.
    parts: Option<VecDeque<Arc<str>>>,
    /// Key of the last row that was read of the first of these partitions.
    last_key: Arc<str>,
}

impl TableReader {
    /// Creates a reader of all partitions that has read nothing yet.
    pub fn new(table: &str) -> TableReader {
        TableReader::with_part_suffix(table, "")
    }

    /// Creates a reader of the partitions whose names end with `part_suffix`.
    pub fn with_part_suffix(table: &str, part_suffix: &str) -> TableReader {
        TableReader {
            table: Arc::from(table),
            part_suffix: Arc::from(part_suffix),
            page: Page::default(),
            has_revision: false,
            parts: None,
            last_key: Arc::from(""),
        }
    }

    /// Reads the rows that were not read yet.
    ///
    /// The page's revision is read before the partitions are listed, so that a feed
    /// from that revision misses no row of a new partition.
    ///
    /// # Errors
    ///
    /// Returns an error if the store gave no usable response; the next call continues
    /// with the read that failed.
    pub fn read<S: Store>(&mut self, store: &S) -> Result<(), Error> {
        if !self.has_revision {
            let first = store.read(&self.table, "", Range::One(""))?;
            self.page = Page { rows: Vec::new(), ..first };
            self.has_revision = true;
        }
        if self.parts.is_none() {
            let mut parts = store.parts(&self.table)?;
            parts.retain(|part| part.ends_with(&*self.part_suffix));
            self.parts = Some(parts.into());
        }
        while let Some(part) = self.parts.as_ref().and_then(VecDeque::front).cloned() {
            let next = store.read(&self.table, &part, Range::After(&self.last_key))?;
            self.add(next);
        }
        Ok(())
    }

    /// Adds rows of the first partition that is not read to its end, and goes on to the
    /// next one if there are no more.
    fn add(&mut self, next: Page) {
        let last_key = next.rows.last().map(|row| Arc::clone(&row.key.name));
        self.last_key = match (next.has_more, last_key) {
            (true, Some(last_key)) => last_key,
            _ => {
                self.parts.as_mut().and_then(VecDeque::pop_front);
                Arc::from("")
            }
        };
        self.page.rows.extend(next.rows);
        self.page.now_ms = next.now_ms;
    }

    /// Takes what was read so far.
    pub fn into_page(self) -> Page {
        self.page
    }

    /// Returns what was read so far.
    pub fn page(&self) -> &Page {
        &self.page
    }
}

/// Number of attempts at one transaction, without a delay between them, before its
/// outcome is reported as unknown.
const MAX_ATTEMPTS: u32 = 3;

/// The outcome of a transaction after all attempts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The changes took effect at this revision.
    Applied(Revision),
    /// Nothing was written; contains the current rows of the conditions.
    Conflict(Vec<Row>),
    /// Nothing was written, for this reason.
    NotDone(String),
    /// The changes may have taken effect, or may still do so; contains the last error.
    Unknown(String),
}

/// Commits a transaction that has a condition on each row it writes, and retries
/// it when a response is lost.
///
/// If the store did not execute the transaction, that is reported without a retry, unless
/// an earlier response was lost. The outcome is unknown once all attempts have failed.
///
/// If a retry conflicts and the rows hold exactly the values to be written, the
/// lost attempt took effect and the transaction is reported as applied.
pub fn commit_with_retry<S: Store>(store: &S, transaction: &Transaction) -> Outcome {
    let mut lost: Option<String> = None;
    for _ in 0..MAX_ATTEMPTS {
        match store.commit(transaction) {
            Ok(Commit::Applied(revision)) => return Outcome::Applied(revision),
            Ok(Commit::Conflict(rows)) if lost.is_some() => {
                return resolve_conflict(rows, transaction);
            }
            Ok(Commit::Conflict(rows)) => return Outcome::Conflict(rows),
            Err(Error::Unknown(error)) => lost = Some(error),
            Err(Error::NotDone(error)) if lost.is_none() => return Outcome::NotDone(error),
            Err(Error::NotDone(error)) => lost = Some(error),
            Err(error @ (Error::Rejected(_) | Error::TooLarge { .. })) => match lost {
                None => return Outcome::NotDone(error.to_string()),
                Some(_) => lost = Some(error.to_string()),
            },
        }
    }
    Outcome::Unknown(lost.unwrap_or_default())
}

/// Returns the outcome of a conflict after a lost response: applied, at the highest
/// revision of the rows, if they hold exactly the values to be written; a conflict
/// otherwise.
fn resolve_conflict(rows: Vec<Row>, transaction: &Transaction) -> Outcome {
    let is_own = transaction.writes.iter().all(|(key, value)| {
        rows.iter().any(|row| row.key == *key && row.value.as_ref() == Some(value))
    });
    match rows.iter().map(|row| row.revision).max() {
        Some(revision) if is_own => Outcome::Applied(revision),
        _ => Outcome::Conflict(rows),
    }
}
