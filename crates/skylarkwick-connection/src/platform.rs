//! The platform: its table service and its list of hosts.

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

/// Key of a row: a prefix that tells its kind, and a name; see [`row`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(Arc<str>);

impl Key {
    /// Creates a key from its text.
    pub fn new(text: &str) -> Key {
        Key(Arc::from(text))
    }

    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the rest of the key after `prefix`, or `None` if it doesn't begin with it.
    pub fn after(&self, prefix: &str) -> Option<&str> {
        self.0.strip_prefix(prefix)
    }
}

impl fmt::Display for Key {
    /// Writes the text of the key.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A row of the table: its key, the revision and token of its last write, and its value
/// unless it is absent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// The key.
    pub key: Key,
    /// Revision of the last write, or [`Revision::ABSENT`].
    pub revision: Revision,
    /// Token of the transaction that last wrote the row; `None` if the platform sent none.
    pub token: Option<Token>,
    /// The value; `None` if the row is absent or deleted.
    pub value: Option<Arc<str>>,
}

/// The result of scanning a prefix: the changed rows, and the revision after which the
/// next scan continues.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scan {
    /// The changed rows, including deleted ones.
    pub rows: Vec<Row>,
    /// Revision up to which the scan is complete.
    pub complete_through: Revision,
}

/// Writes that take effect together, provided that every row in the conditions still has
/// its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transaction {
    /// Identifier of the transaction; every attempt at it has the same.
    pub token: Token,
    /// Revisions that rows must have for the writes to take effect.
    pub conditions: BTreeMap<Key, Revision>,
    /// New values; `None` deletes a row.
    pub writes: BTreeMap<Key, Option<String>>,
}

impl Transaction {
    /// Creates a transaction without conditions and writes; `token` must be unique to it.
    pub fn new(token: Token) -> Transaction {
        Transaction { token, conditions: BTreeMap::new(), writes: BTreeMap::new() }
    }

    /// Adds the condition that a row still has the revision at which it was read, without
    /// writing it.
    pub fn unchanged(mut self, key: Key, revision: Revision) -> Transaction {
        self.conditions.insert(key, revision);
        self
    }

    /// Writes a row if it still has the revision at which it was read;
    /// [`Revision::ABSENT`] stands for a row that was never written.
    pub fn replace(self, key: Key, revision: Revision, value: String) -> Transaction {
        let mut next = self.unchanged(key.clone(), revision);
        next.writes.insert(key, Some(value));
        next
    }

    /// Deletes a row if it still has the revision at which it was read.
    pub fn delete(self, key: Key, revision: Revision) -> Transaction {
        let mut next = self.unchanged(key.clone(), revision);
        next.writes.insert(key, None);
        next
    }
}

/// The platform's response to a transaction: applied, or refused with the rows that did
/// not meet their conditions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Commit {
    /// The writes have taken effect at this revision.
    Applied(Revision),
    /// Nothing was written, because these rows did not meet their conditions.
    Conflict(Vec<Row>),
}

/// Why the platform gave no usable response, and whether a write may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No byte of the request was sent, or the platform is unavailable.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// The request was sent, but the response was lost; a write may have taken
    /// effect.
    #[error("the platform's response was lost")]
    Lost,
    /// The platform refused the request, or the request or its response can't be
    /// converted.
    #[error("the platform's response is not usable: {0}")]
    Refused(String),
}

/// The platform's transactional table service.
pub trait Table: Clone + Send + Sync + 'static {
    /// Reads rows; absent rows are returned without a value.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable response.
    fn read(&self, keys: &[Key]) -> Result<Vec<Row>, Error>;

    /// Reads the rows under a prefix that changed after a revision, deleted ones too;
    /// [`Revision::ABSENT`] reads all.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable response.
    fn scan(&self, prefix: &str, after: Revision) -> Result<Scan, Error>;

    /// Applies a transaction if all of its conditions hold; otherwise writes nothing and
    /// returns the rows that did not meet theirs.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Lost`] if the writes may have taken effect; see
    /// [`retry::commit_with_retry`].
    fn commit(&self, transaction: &Transaction) -> Result<Commit, Error>;
}

/// Liveness of a host according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// The host is alive.
    Live,
    /// The host is about to stop.
    Leaving,
}

/// An entry of the platform's list of hosts, which may be outdated: the host's place,
/// address, liveness and resources.
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
    /// Whether the host is alive.
    pub liveness: Liveness,
    /// Its resources.
    pub resources: Resources,
    /// Largest number of tasks that it runs at once.
    pub slots: u32,
}

/// The platform's list of hosts, which may be outdated.
pub trait Hosts: Clone + Send + Sync + 'static {
    /// Returns the hosts of a data centre; `None` stands for all data centres.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform gave no usable response.
    fn hosts(&self, data_centre: Option<&name::DataCentre>) -> Result<Vec<HostRecord>, Error>;
}
