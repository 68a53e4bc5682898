//! Wire types of the platform's service.
//!
//! Field and variant names of the encoded types are on the wire (JSON).

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use skylarkwick_version::{
    name,
    resources::Resources,
    revision::{Revision, Token},
};

/// A wire value that can't be converted, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Error(pub String);

impl From<name::Error> for Error {
    /// Keeps the message of the name's error as the reason.
    fn from(error: name::Error) -> Error {
        Error(error.to_string())
    }
}

impl From<Error> for super::Error {
    /// Reports a value that can't be converted as [`super::Error::Refused`].
    fn from(error: Error) -> super::Error {
        super::Error::Refused(error.0)
    }
}

/// A row on the wire; see [`super::Row`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The key.
    pub key: String,
    /// Revision of the last write, 0 if the row is absent.
    pub revision: u64,
    /// Token of the last transaction, in hexadecimal.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// The value; omitted if the row is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<String>,
}

impl From<super::Row> for Row {
    fn from(row: super::Row) -> Row {
        Row {
            key: row.key.as_str().to_owned(),
            revision: row.revision.0,
            token: row.token.map(|token| token.to_string()),
            value: row.value.map(|value| value.as_ref().to_owned()),
        }
    }
}

impl TryFrom<Row> for super::Row {
    type Error = Error;

    /// Fails if the token is not hexadecimal.
    fn try_from(row: Row) -> Result<super::Row, Error> {
        Ok(super::Row {
            key: super::Key::new(&row.key),
            revision: Revision(row.revision),
            token: row.token.as_deref().map(parse_token).transpose()?,
            value: row.value.map(Arc::from),
        })
    }
}

/// Parses a transaction's token from hexadecimal digits.
fn parse_token(text: &str) -> Result<Token, Error> {
    u128::from_str_radix(text, 16)
        .map(Token)
        .map_err(|_| Error(format!("token {text:?} is not hexadecimal")))
}

/// The body of `POST /v1/rows/read`: the keys to read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Read {
    /// The keys to read.
    pub keys: Vec<String>,
}

/// The response to a read or a scan: the rows, and the revision up to which they are
/// complete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Revision up to which the rows are complete.
    pub through: u64,
}

impl TryFrom<Rows> for super::Scan {
    type Error = Error;

    /// Fails if the token of a row is not hexadecimal.
    fn try_from(rows: Rows) -> Result<super::Scan, Error> {
        let complete_through = Revision(rows.through);
        let rows = rows.rows.into_iter().map(super::Row::try_from).collect::<Result<_, _>>()?;
        Ok(super::Scan { rows, complete_through })
    }
}

/// The body of `POST /v1/transactions`: token, conditions and writes; see
/// [`super::Transaction`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifier of the transaction, in hexadecimal.
    pub token: String,
    /// Revisions that rows must have.
    pub conditions: Vec<(String, u64)>,
    /// New values; null deletes a row.
    pub writes: Vec<(String, Option<String>)>,
}

impl From<&super::Transaction> for Transaction {
    fn from(transaction: &super::Transaction) -> Transaction {
        Transaction {
            token: transaction.token.to_string(),
            conditions: transaction
                .conditions
                .iter()
                .map(|(key, revision)| (key.as_str().to_owned(), revision.0))
                .collect(),
            writes: transaction
                .writes
                .iter()
                .map(|(key, value)| (key.as_str().to_owned(), value.clone()))
                .collect(),
        }
    }
}

impl TryFrom<Transaction> for super::Transaction {
    type Error = Error;

    /// Fails if the token is not hexadecimal.
    fn try_from(transaction: Transaction) -> Result<super::Transaction, Error> {
        let conditions = transaction.conditions.into_iter();
        let writes = transaction.writes.into_iter();
        Ok(super::Transaction {
            token: parse_token(&transaction.token)?,
            conditions: conditions
                .map(|(key, revision)| (super::Key::new(&key), Revision(revision)))
                .collect(),
            writes: writes.map(|(key, value)| (super::Key::new(&key), value)).collect(),
        })
    }
}

/// The response to `POST /v1/transactions`; see [`super::Commit`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Commit {
    /// The writes have taken effect at this revision.
    Applied(u64),
    /// These rows did not meet their conditions.
    Conflict(Vec<Row>),
}

impl From<super::Commit> for Commit {
    fn from(commit: super::Commit) -> Commit {
        match commit {
            super::Commit::Applied(revision) => Commit::Applied(revision.0),
            super::Commit::Conflict(rows) => {
                Commit::Conflict(rows.into_iter().map(Row::from).collect())
            }
        }
    }
}

impl TryFrom<Commit> for super::Commit {
    type Error = Error;

    /// Fails if the token of a conflicting row is not hexadecimal.
    fn try_from(commit: Commit) -> Result<super::Commit, Error> {
        match commit {
            Commit::Applied(revision) => Ok(super::Commit::Applied(Revision(revision))),
            Commit::Conflict(rows) => rows
                .into_iter()
                .map(super::Row::try_from)
                .collect::<Result<_, _>>()
                .map(super::Commit::Conflict),
        }
    }
}

/// An entry of the response to `GET /v1/hosts`; see [`super::HostRecord`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its rack.
    pub rack: String,
    /// Address of its backend server.
    pub address: String,
    /// Whether the host is about to stop.
    pub leaving: bool,
    /// Thousandths of a core.
    pub millicores: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Accelerators.
    pub accelerators: u64,
    /// Largest number of tasks that it runs at once.
    pub slots: u32,
}

impl From<&super::HostRecord> for HostRecord {
    fn from(record: &super::HostRecord) -> HostRecord {
        HostRecord {
            host: record.host.to_string(),
            data_centre: record.data_centre.to_string(),
            rack: record.rack.to_string(),
            address: record.address.to_string(),
            leaving: record.liveness == super::Liveness::Leaving,
            millicores: record.resources.millicores,
            memory_mib: record.resources.memory_mib,
            accelerators: record.resources.accelerators,
            slots: record.slots,
        }
    }
}

impl TryFrom<HostRecord> for super::HostRecord {
    type Error = Error;

    /// Fails if a name or the address is invalid.
    fn try_from(record: HostRecord) -> Result<super::HostRecord, Error> {
        let address = record.address.parse();
        Ok(super::HostRecord {
            host: name::Host::try_from(record.host)?,
            data_centre: name::DataCentre::try_from(record.data_centre)?,
            rack: name::Rack::try_from(record.rack)?,
            address: address
                .map_err(|_| Error(format!("address {:?} is not valid", record.address)))?,
            liveness: match record.leaving {
                true => super::Liveness::Leaving,
                false => super::Liveness::Live,
            },
            resources: Resources {
                millicores: record.millicores,
                memory_mib: record.memory_mib,
                accelerators: record.accelerators,
            },
            slots: record.slots,
        })
    }
}
