//! Changing documents: by compare-and-swap, with a history.
//!
//! Each accepted change adds a row to the service's history in the same
//! transaction. That row is never overwritten, so a writer whose answer was lost
//! can always tell whether its change was accepted.

use std::collections::{BTreeMap, BTreeSet};

use skylarkwick_version::{
    document::{self, Options},
    name,
    revision::{Revision, Token},
    source::{Diagnostic as Invalid, Source},
};

use super::{
    Key, Table, Transaction,
    retry::{self, commit_with_retry},
    row::{self, DOCUMENT, Document, HISTORY},
};

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The service.
    pub service: name::Service,
    /// Number of the change within the service's history.
    pub change: u64,
    /// Revision of the document's row.
    pub revision: Revision,
}

/// Why a change was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The document is not valid.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// Another change came first.
    #[error(
        "{service}: {operator} made change {change} first; these keys differ from yours: {keys}; \
         look at it with `skylarkwick show {service}` and apply yours again with --if-match {change}"
    )]
    Conflict {
        /// The service.
        service: name::Service,
        /// Who made the change that came first.
        operator: String,
        /// Its number.
        change: u64,
        /// Keys whose values differ between the two documents.
        keys: String,
    },
    /// The platform gave no answer and nothing was written.
    #[error("nothing was changed: {0}; try again")]
    Platform(#[from] super::Error),
    /// The platform gave no answer and the change may be in force.
    #[error("{0}: the change may be in force; look at it with `skylarkwick history {0}`")]
    InDoubt(name::Service),
    /// A row can't be read.
    #[error("{0}")]
    Row(String),
}

/// Checks a document and puts it in force.
///
/// With `if_match`, the change is accepted only while the service's last change
/// has this number; 0 stands for a service without a document.
///
/// # Errors
///
/// Returns the first fault of the document, or the change that came first.
pub fn apply<T: Table>(
    table: &T,
    source: &Source,
    operator: &str,
    if_match: Option<u64>,
    token: Token,
) -> Result<Applied, Error> {
    let settings = Options::load(source)?;
    let service = settings.service;
    let (revision, current) = read(table, &service)?;
    let last = current.as_ref().map_or(0, |document| document.change);
    if if_match.is_some_and(|wanted| wanted != last) {
        return Err(conflict(&service, current.as_ref(), source));
    }
    let change = last + 1;
    let document =
        Document { text: source.text().to_owned(), operator: operator.to_owned(), change };
    let value = row::encode(&document);
    let transaction = Transaction::new(token)
        .replace(row::key(DOCUMENT, service.as_str()), revision, value.clone())
        .replace(history_key(&service, change), Revision::ABSENT, value);
    match commit_with_retry(table, &transaction) {
        retry::Outcome::Applied(revision) => Ok(Applied { service, change, revision }),
        retry::Outcome::Conflict(_) => {
            let (_, current) = read(table, &service)?;
            Err(conflict(&service, current.as_ref(), source))
        }
        retry::Outcome::NotWritten(fault) => Err(fault.into()),
        retry::Outcome::InDoubt => Err(Error::InDoubt(service)),
    }
}

/// Reads a service's document and its revision.
///
/// # Errors
///
/// Returns the platform's fault, or what is wrong with the row.
pub fn read<T: Table>(
    table: &T,
    service: &name::Service,
) -> Result<(Revision, Option<Document>), Error> {
    let rows = table.read(&[row::key(DOCUMENT, service.as_str())])?;
    let Some(row) = rows.into_iter().next() else { return Ok((Revision::ABSENT, None)) };
    let document = row.value.as_deref().map(parse).transpose()?;
    Ok((row.revision, document))
}

/// Reads the accepted changes of a service, oldest first.
///
/// # Errors
///
/// Returns the platform's fault, or what is wrong with a row.
pub fn history<T: Table>(table: &T, service: &name::Service) -> Result<Vec<Document>, Error> {
    let scan = table.scan(&format!("{HISTORY}{service}/"), Revision::ABSENT)?;
    scan.rows.iter().filter_map(|row| row.value.as_deref()).map(parse).collect()
}

/// Returns the keys whose values differ between two documents.
pub fn differing(one: &str, other: &str) -> BTreeSet<String> {
    let (one, other) = (flattened(one), flattened(other));
    let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    keys.into_iter().filter(|key| one.get(*key) != other.get(*key)).cloned().collect()
}

fn parse(value: &str) -> Result<Document, Error> {
    serde_json::from_str(value).map_err(|error| Error::Row(error.to_string()))
}

fn history_key(service: &name::Service, change: u64) -> Key {
    // Padded, so that the order of the keys is the order of the changes.
    row::key(HISTORY, &format!("{service}/{change:010}"))
}

fn conflict(service: &name::Service, current: Option<&Document>, mine: &Source) -> Error {
    let text = current.map(|document| document.text.as_str()).unwrap_or_default();
    let keys = differing(text, mine.text()).into_iter().collect::<Vec<_>>().join(", ");
    Error::Conflict {
        service: service.clone(),
        operator: current.map_or("nobody", |document| document.operator.as_str()).to_owned(),
        change: current.map_or(0, |document| document.change),
        keys: if keys.is_empty() { "none".to_owned() } else { keys },
    }
}

fn flattened(text: &str) -> BTreeMap<String, toml::Value> {
    let mut flat = BTreeMap::new();
    let table: toml::Table = toml::from_str(text).unwrap_or_default();
    for (key, value) in table {
        match value {
            toml::Value::Table(inner) => {
                flat.extend(inner.into_iter().map(|(sub, value)| (format!("{key}.{sub}"), value)));
            }
            value => drop(flat.insert(key, value)),
        }
    }
    flat
}

/// Decodes a document's row into the form that decisions accept.
///
/// # Errors
///
/// Returns the first fault of the document.
pub fn checked(document: &Document) -> Result<document::Settings, Invalid> {
    Options::load(&Source::new("document", &document.text))
}
