//! Shared by the commands: errors, arguments, and access to the platform's rows.

use std::{io, path::PathBuf};

use clap::ArgMatches;
use skylarkwick_connection::platform::{
    self, Row, Table, Transaction, documents,
    http::Platform,
    retry::{self, commit_with_retry},
    row, wire,
};
use skylarkwick_process::{
    exit::ExitStatus,
    settings::{self, read_source, site},
};
use skylarkwick_version::{
    name,
    revision::{Revision, Token},
    source,
};

/// Reason why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The settings can't be read or are not valid.
    #[error(transparent)]
    Settings(#[from] settings::Error),
    /// A document is not valid.
    #[error(transparent)]
    File(#[from] source::Diagnostic),
    /// A document can't be read or changed.
    #[error(transparent)]
    Document(#[from] documents::Error),
    /// The platform gave no usable answer.
    #[error(
        "{0}; check that the platform is running and that platform.address in the site settings is \
         right"
    )]
    Platform(#[from] platform::Error),
    /// An argument is not a valid name.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The value of a row can't be decoded.
    #[error("{0}; use the skylarkwick command of the release that runs on the entry hosts")]
    Row(#[from] wire::Error),
    /// The command can't be carried out in the current state of the site.
    #[error("{0}")]
    Refused(String),
    /// A change was sent, but it is unknown whether it was applied.
    #[error(
        "the platform's answer was lost, so the change of {0} may be in force; check before you \
         repeat the command"
    )]
    InDoubt(String),
    /// Standard output can't be written to.
    #[error("cannot write to standard output: {0}")]
    Output(#[from] io::Error),
}

impl Error {
    /// Returns the exit status: `Failure` if the command was refused (an invalid
    /// document, a conflict, or a state that does not allow it), `Error` if it could
    /// not be carried out.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            Error::File(_)
            | Error::Refused(_)
            | Error::Document(documents::Error::Invalid(_) | documents::Error::Conflict { .. }) => {
                ExitStatus::Failure
            }
            _ => ExitStatus::Error,
        }
    }
}

/// Loads the site settings that the arguments name.
pub(crate) fn load_site(arguments: &ArgMatches) -> Result<site::Settings, Error> {
    let path = arguments.get_one::<PathBuf>("site").cloned().unwrap_or_default();
    Ok(site::Settings::load(&read_source(&path)?)?)
}

/// Returns a client for the platform of the site that the arguments name. Its requests
/// carry the origin `operators`, which is not a data centre.
pub(crate) fn platform_client(arguments: &ArgMatches) -> Result<Platform, Error> {
    let site = load_site(arguments)?;
    let operators = name::DataCentre::try_from("operators")?;
    Ok(Platform::new(site.platform, operators))
}

/// Returns the value of a text argument, or an empty text if it is not given.
pub(crate) fn text_argument<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

/// Returns a random token, by which a repeated transaction is recognized.
pub(crate) fn new_token() -> Token {
    Token(rand::random())
}

/// Reads one row; an absent row comes back without a value. Fails if the platform's
/// answer lacks the row.
pub(crate) fn read_row(
    platform: &Platform,
    key: &skylarkwick_connection::platform::Key,
) -> Result<Row, Error> {
    let rows = platform.read(std::slice::from_ref(key))?;
    rows.into_iter()
        .next()
        .ok_or_else(|| Error::Refused(format!("the platform's answer lacks row {key}; try again")))
}

/// Commits a transaction, repeating it if its answer is lost, and returns its revision.
/// A conflict is an [`Error::Refused`] that names the changed rows; [`Error::InDoubt`]
/// means that the change may be in force.
pub(crate) fn commit(platform: &Platform, transaction: &Transaction) -> Result<Revision, Error> {
    match commit_with_retry(platform, transaction) {
        retry::Outcome::Applied(revision) => Ok(revision),
        retry::Outcome::Conflict(rows) => {
            let keys: Vec<String> = rows.iter().map(|row| row.key.to_string()).collect();
            let keys = keys.join(", ");
            Err(Error::Refused(format!(
                "another writer changed {keys} first and nothing was written; try again"
            )))
        }
        retry::Outcome::NotWritten(error) => Err(error.into()),
        retry::Outcome::InDoubt => {
            let keys: Vec<String> = transaction.writes.keys().map(ToString::to_string).collect();
            Err(Error::InDoubt(keys.join(", ")))
        }
    }
}

/// Reads all rows under a prefix that have a value.
pub(crate) fn scan(platform: &Platform, prefix: &str) -> Result<Vec<Row>, Error> {
    let rows = platform.scan(prefix, Revision::ABSENT)?.rows;
    Ok(rows.into_iter().filter(|row| row.value.is_some()).collect())
}

/// Reads and decodes all rows under a prefix that have a value; returns each value with
/// the part of its key after the prefix. A row that can't be decoded fails the whole
/// read.
pub(crate) fn decode_rows<W, T>(
    platform: &Platform,
    prefix: &str,
) -> Result<Vec<(String, T)>, Error>
where
    W: serde::de::DeserializeOwned,
    T: TryFrom<W, Error = wire::Error>,
{
    let mut values = Vec::new();
    for row in scan(platform, prefix)? {
        let name = row.key.after(prefix).unwrap_or_default().to_owned();
        if let Some(value) = row::decode::<W, T>(&row)? {
            values.push((name, value));
        }
    }
    Ok(values)
}
