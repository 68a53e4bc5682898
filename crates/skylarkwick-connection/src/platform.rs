//! The platform: its table service, object store and list of hosts.

pub mod documents;
pub mod http;
pub mod retry;
pub mod row;
pub mod wire;

use std::{collections::BTreeMap, fmt, net::SocketAddr, sync::Arc};

use skylarkwick_version::{
    name,
    resources::Resources,
    revision::{Revision, Token},
};

/// Key of a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Arc<str>);

impl Key {
    /// Makes a key of a text.
    pub fn new(text: &str) -> Key {
        Key(Arc::from(text))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the part of the key that follows `prefix`.
    pub fn after(&self, prefix: &str) -> Option<&str> {
        self.0.strip_prefix(prefix)
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row as the table holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: Key,
    /// Revision of the last write, or [`Revision::ABSENT`].
    pub revision: Revision,
    /// Token of the transaction that wrote the row last.
    pub token: Option<Token>,
    /// The value, unless the row is absent or deleted.
    pub value: Option<Arc<str>>,
}

/// Rows under a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The rows that changed, deleted ones included.
    pub rows: Vec<Row>,
    /// Revision up to which the rows are complete.
    pub complete_through: Revision,
}

/// Writes that take effect together or not at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// Identity of the transaction.
    pub token: Token,
    /// Revisions that rows must still have.
    pub conditions: BTreeMap<Key, Revision>,
    /// New values; `None` deletes a row.
    pub writes: BTreeMap<Key, Option<String>>,
}

impl Transaction {
    /// Starts an empty transaction.
    pub fn new(token: Token) -> Transaction {
        Transaction { token, conditions: BTreeMap::new(), writes: BTreeMap::new() }
    }

    /// Adds the condition that a row has not changed since it was read.
    pub fn unchanged(mut self, key: Key, revision: Revision) -> Transaction {
        self.conditions.insert(key, revision);
        self
    }

    /// Replaces a row that has not changed since it was read.
    pub fn replace(self, key: Key, revision: Revision, value: String) -> Transaction {
        let mut next = self.unchanged(key.clone(), revision);
        next.writes.insert(key, Some(value));
        next
    }

    /// Deletes a row that has not changed since it was read.
    pub fn delete(self, key: Key, revision: Revision) -> Transaction {
        let mut next = self.unchanged(key.clone(), revision);
        next.writes.insert(key, None);
        next
    }
}

/// The platform's answer to a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The writes are in force, with this revision.
    Applied(Revision),
    /// These rows did not meet their conditions; nothing was written.
    Conflict(Vec<Row>),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request left.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The request was sent; a write may have taken effect.
    #[error("the platform's answer was lost")]
    Lost,
    /// The platform refused the request or its answer can't be read.
    #[error("the platform answered {0}")]
    Refused(String),
}

/// The platform's transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows; absent ones come back without a value.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, Error>;

    /// Reads the rows under a prefix that changed after a revision.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn scan(&self, prefix: &str, after: Revision) -> Result<Scan, Error>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lost`] when the writes may have taken effect; see
    /// [`retry::commit_with_retry`].
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;
}

/// Whether the platform takes a host to be alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The host is alive.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// A host in the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostRecord {
    /// The host.
    pub host: name::Host,
    /// Its data centre.
    pub data_centre: name::DataCentre,
    /// Its rack.
    pub rack: name::Rack,
    /// Address of its backend server.
    pub address: SocketAddr,
    /// Whether it is alive.
    pub liveness: Liveness,
    /// What it offers.
    pub size: Resources,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// The platform's lagging list of hosts.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Returns the hosts of a data centre, or all.
    ///
    /// # Errors
    ///
    /// Returns a fault when no answer came.
    fn hosts(&self, data_centre: Option<&name::DataCentre>) -> Result<Vec<HostRecord>, Error>;
}
