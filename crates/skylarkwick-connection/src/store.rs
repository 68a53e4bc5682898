//! The platform's store of versioned rows, where everything lasts that must.
//!
//! A row has a table, a part and a key. Writes of one part are atomic and may
//! be conditional on revisions. A write whose answer was lost may have taken
//! effect, or may do so seconds later while its conditions still hold. See
//! `docs/DESIGN.md`, section "Rows".

pub mod row;

use std::{sync::Arc, time::Duration};

use skylarkwick_version::revision::Revision;

/// Where a row is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The table.
    pub table: Arc<str>,
    /// The part; a transaction stays within one.
    pub part: Arc<str>,
    /// The key within the part.
    pub name: Arc<str>,
}

impl Key {
    /// Makes a key.
    pub fn new(table: &str, part: &str, name: &str) -> Key {
        Key { table: Arc::from(table), part: Arc::from(part), name: Arc::from(name) }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Where it is.
    pub key: Key,
    /// Revision of its last write; [`Revision::ABSENT`] when there is none.
    pub revision: Revision,
    /// Its value, unless it does not exist or was removed.
    pub value: Option<Vec<u8>>,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// The rows.
    pub rows: Vec<Row>,
    /// Whether there are more rows in the range.
    pub has_more: bool,
    /// The newest revision of the store at that moment.
    pub revision: Revision,
    /// The store's steady clock at that moment, in milliseconds.
    pub now_ms: u64,
}

/// Rows of one part that change together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// Revisions that rows must have.
    pub conditions: Vec<(Key, Revision)>,
    /// New values.
    pub writes: Vec<(Key, Vec<u8>)>,
    /// Rows to remove.
    pub removals: Vec<Key>,
}

impl Transaction {
    /// Adds a row that has to have this revision and gets a new value.
    pub fn replace(mut self, key: Key, revision: Revision, value: Vec<u8>) -> Transaction {
        self.conditions.push((key.clone(), revision));
        self.writes.push((key, value));
        self
    }

    /// Adds a row that gets a new value whatever it was.
    pub fn put(mut self, key: Key, value: Vec<u8>) -> Transaction {
        self.writes.push((key, value));
        self
    }

    /// Adds a row that has to have this revision and is left as it is.
    pub fn require(mut self, key: Key, revision: Revision) -> Transaction {
        self.conditions.push((key, revision));
        self
    }

    /// Adds a row that is removed.
    pub fn remove(mut self, key: Key) -> Transaction {
        self.removals.push(key);
        self
    }
}

/// The store's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The rows have this revision now.
    Applied(Revision),
    /// Nothing was written; these are the rows of the conditions.
    Conflict(Vec<Row>),
}

/// What came of waiting for changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Feed {
    /// These rows have changed; none when the wait ended first.
    Changed(Page),
    /// The store no longer knows what changed since: the table has to be read.
    Compacted,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Nothing was done.
    #[error("the store did nothing: {0}")]
    NotDone(String),
    /// A write may have been done, or may be later.
    #[error("the store's answer was lost: {0}")]
    Unknown(String),
}

/// The platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Changes rows of one part.
    ///
    /// # Errors
    ///
    /// Tells whether the change may still take effect.
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;

    /// Reads the rows of a part from a key on.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn read(&self, table: &str, part: &str, range: Range<'_>) -> Result<Page, Error>;

    /// Returns the parts of a table.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn parts(&self, table: &str) -> Result<Vec<Arc<str>>, Error>;

    /// Waits for changes of a table after a revision.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn feed(&self, table: &str, after: Revision, wait: Duration) -> Result<Feed, Error>;

    /// Returns where the store's steady clock should stand, in milliseconds;
    /// zero before its first answer.
    fn clock_ms(&self) -> u64;
}

/// Keys to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range<'a> {
    /// One key.
    One(&'a str),
    /// Every key after this one; the empty text is before every key.
    After(&'a str),
}

/// Reads one row.
///
/// # Errors
///
/// Returns a fault when no answer came.
pub fn read_one<S: Store>(store: &S, key: &Key) -> Result<(Row, u64), Error> {
    let page = store.read(&key.table, &key.part, Range::One(&key.name))?;
    let found = page.rows.into_iter().find(|row| row.key == *key);
    let absent = Row { key: key.clone(), revision: Revision::ABSENT, value: None };
    Ok((found.unwrap_or(absent), page.now_ms))
}

/// Reads every row of a part; the page's revision is that of the first read, so
/// that a feed from there on misses nothing.
///
/// # Errors
///
/// Returns a fault when no answer came.
pub fn read_partition<S: Store>(store: &S, table: &str, part: &str) -> Result<Page, Error> {
    let mut whole = store.read(table, part, Range::After(""))?;
    while whole.has_more {
        let last = whole.rows.last().map(|row| Arc::clone(&row.key.name)).unwrap_or_default();
        let next = store.read(table, part, Range::After(&last))?;
        whole.has_more = next.has_more && !next.rows.is_empty();
        whole.rows.extend(next.rows);
        whole.now_ms = next.now_ms;
    }
    Ok(whole)
}

/// Reads every row of a table; the page's revision is from before the parts were
/// listed, so that a feed from there on misses no row of a new part.
///
/// # Errors
///
/// Returns a fault when no answer came.
pub fn read_table<S: Store>(store: &S, table: &str) -> Result<Page, Error> {
    let mut whole = store.read(table, "", Range::One(""))?;
    whole.rows.clear();
    for part in store.parts(table)? {
        let page = read_partition(store, table, &part)?;
        whole.rows.extend(page.rows);
        whole.now_ms = page.now_ms;
    }
    Ok(whole)
}

/// Attempts at one transaction before its outcome is left in doubt.
const MAX_ATTEMPTS: u32 = 3;

/// What is known of a transaction in the end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows have this revision.
    Applied(Revision),
    /// Nothing was written; these are the rows of the conditions.
    Conflict(Vec<Row>),
    /// Nothing was written.
    NotDone(String),
    /// It may have been written, or may be later.
    Unknown(String),
}

/// Commits a transaction that sets a condition on each row it writes, sending
/// it again when an answer is lost.
///
/// A conflict after a lost answer means that the lost attempt took effect when
/// the rows hold just what was to be written.
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
        }
    }
    Outcome::Unknown(lost.unwrap_or_default())
}

fn resolve_conflict(rows: Vec<Row>, transaction: &Transaction) -> Outcome {
    let is_own = transaction.writes.iter().all(|(key, value)| {
        rows.iter().any(|row| row.key == *key && row.value.as_ref() == Some(value))
    });
    match rows.iter().map(|row| row.revision).max() {
        Some(revision) if is_own => Outcome::Applied(revision),
        _ => Outcome::Conflict(rows),
    }
}
