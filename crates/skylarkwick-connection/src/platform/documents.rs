//! Documents, which are changed by compare-and-swap and have a history.
//!
//! Each accepted change adds a row to the service's history in the same
//! transaction. That row is never overwritten, so a writer whose response was
//! lost can always determine whether its change was accepted.

use std::collections::{BTreeMap, BTreeSet};

use skylarkwick_version::{
    document::{self, Options},
    name,
    revision::{Revision, Token},
    source::{Diagnostic, Source},
};

use super::{
    Key, Table, Transaction,
    retry::{self, commit_with_retry},
    row::{self, DOCUMENT, Document, HISTORY},
};

/// An accepted change: the service, the number of the change and the new revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The service.
    pub service: name::Service,
    /// Number of the change within the service's history, from 1.
    pub change: u64,
    /// Revision of the document's row.
    pub revision: Revision,
}

/// Why a change was not accepted, or a document could not be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The document is invalid.
    #[error(transparent)]
    Invalid(#[from] Diagnostic),
    /// Another change was accepted first.
    #[error(
        "{service}: {operator} made change {change} first; these keys differ from yours: {keys}; \
         look at it with `skylarkwick show {service}` and apply yours again with --if-match {change}"
    )]
    Conflict {
        /// The service.
        service: name::Service,
        /// The operator who made that change.
        operator: String,
        /// Number of that change.
        change: u64,
        /// Keys whose values differ between the two documents.
        keys: String,
    },
    /// The platform gave no usable response, and nothing was written.
    #[error("nothing was changed: {0}; try again")]
    Platform(#[from] super::Error),
    /// The platform's response was lost, and the change may be in force.
    #[error("{0}: the change may be in force; look at it with `skylarkwick history {0}`")]
    InDoubt(name::Service),
    /// A row can't be decoded.
    #[error("{0}")]
    Row(String),
}

/// Validates a document and puts it in force: writes it and its history row in one
/// transaction, with the next number of the service's history.
///
/// `operator` is recorded as the author, and `token` identifies the transaction.
/// With `if_match`, the change is accepted only while the service's last change
/// has this number; 0 stands for a service without a document.
///
/// # Errors
///
/// Returns the first error of the document, the conflicting change, or why the platform
/// could not write it; after [`Error::InDoubt`], the change may be in force.
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
    if if_match.is_some_and(|expected| expected != last) {
        return Err(conflict_error(&service, current.as_ref(), source));
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
            Err(conflict_error(&service, current.as_ref(), source))
        }
        retry::Outcome::NotWritten(error) => Err(error.into()),
        retry::Outcome::InDoubt => Err(Error::InDoubt(service)),
    }
}

/// Reads a service's document and the revision of its row; without a document, the
/// revision is that of the absent or deleted row.
///
/// # Errors
///
/// Returns an error if the platform gave no usable response or the row is invalid.
pub fn read<T: Table>(
    table: &T,
    service: &name::Service,
) -> Result<(Revision, Option<Document>), Error> {
    let rows = table.read(&[row::key(DOCUMENT, service.as_str())])?;
    let Some(row) = rows.into_iter().next() else { return Ok((Revision::ABSENT, None)) };
    let document = row.value.as_deref().map(parse_document).transpose()?;
    Ok((row.revision, document))
}

/// Reads the accepted changes of a service, oldest first.
///
/// # Errors
///
/// Returns an error if the platform gave no usable response or a row is invalid.
pub fn history<T: Table>(table: &T, service: &name::Service) -> Result<Vec<Document>, Error> {
    let scan = table.scan(&format!("{HISTORY}{service}/"), Revision::ABSENT)?;
    scan.rows.iter().filter_map(|row| row.value.as_deref()).map(parse_document).collect()
}

/// Returns the keys whose values differ between the texts of two documents, those that
/// only one has included; a key in a section is written `section.key`. A text that is
/// not valid TOML counts as empty.
pub fn differing_keys(one: &str, other: &str) -> BTreeSet<String> {
    let (one, other) = (flatten(one), flatten(other));
    let keys: BTreeSet<&String> = one.keys().chain(other.keys()).collect();
    keys.into_iter().filter(|key| one.get(*key) != other.get(*key)).cloned().collect()
}

/// Decodes the value of a document's or history row.
fn parse_document(value: &str) -> Result<Document, Error> {
    serde_json::from_str(value).map_err(|error| Error::Row(error.to_string()))
}

/// Returns the key of the history row of a service's change.
fn history_key(service: &name::Service, change: u64) -> Key {
    // Zero-padded, so that the keys sort in the order of the changes.
    row::key(HISTORY, &format!("{service}/{change:010}"))
}

/// Returns the error for a submitted document that conflicts with the current one, with
/// the keys that differ between the two.
fn conflict_error(
    service: &name::Service,
    current: Option<&Document>,
    submitted: &Source,
) -> Error {
    let text = current.map(|document| document.text.as_str()).unwrap_or_default();
    let keys = differing_keys(text, submitted.text()).into_iter().collect::<Vec<_>>().join(", ");
    Error::Conflict {
        service: service.clone(),
        operator: current.map_or("nobody", |document| document.operator.as_str()).to_owned(),
        change: current.map_or(0, |document| document.change),
        keys: if keys.is_empty() { "none".to_owned() } else { keys },
    }
}

/// Returns the values of a TOML text by key; a key in a section is written `section.key`.
/// A text that is not valid TOML counts as empty.
fn flatten(text: &str) -> BTreeMap<String, toml::Value> {
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

/// Parses and validates the text of a stored document.
///
/// # Errors
///
/// Returns the first error of the document.
pub fn parse_settings(document: &Document) -> Result<document::Settings, Diagnostic> {
    Options::load(&Source::new("document", &document.text))
}
