//! What the commands share: the site, the platform and failures.

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

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Failed {
    #[error(transparent)]
    Settings(#[from] settings::Error),
    #[error(transparent)]
    File(#[from] source::Diagnostic),
    #[error(transparent)]
    Document(#[from] documents::Error),
    #[error(transparent)]
    Platform(#[from] platform::Error),
    #[error(transparent)]
    Name(#[from] name::Error),
    #[error(transparent)]
    Row(#[from] wire::Error),
    #[error("{0}")]
    Refused(String),
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
}

impl Failed {
    /// Returns the exit status that tells a refusal from a failure to ask.
    pub(crate) fn status(&self) -> ExitStatus {
        match self {
            Failed::File(_)
            | Failed::Refused(_)
            | Failed::Document(documents::Error::Invalid(_) | documents::Error::Conflict { .. }) => {
                ExitStatus::Failure
            }
            _ => ExitStatus::Error,
        }
    }
}

/// Loads the settings of the site that the arguments name.
pub(crate) fn site(arguments: &ArgMatches) -> Result<site::Settings, Failed> {
    let path = arguments.get_one::<PathBuf>("site").cloned().unwrap_or_default();
    Ok(site::Settings::load(&read_source(&path)?)?)
}

/// Connects to the platform of the site that the arguments name.
pub(crate) fn platform(arguments: &ArgMatches) -> Result<Platform, Failed> {
    let site = site(arguments)?;
    let operators = name::DataCentre::try_from("operators")?;
    Ok(Platform::new(site.platform, operators))
}

/// Returns a text argument.
pub(crate) fn text<'a>(arguments: &'a ArgMatches, name: &str) -> &'a str {
    arguments.get_one::<String>(name).map(String::as_str).unwrap_or_default()
}

/// Returns a new transaction's token.
pub(crate) fn token() -> Token {
    Token(rand::random())
}

/// Reads one row.
pub(crate) fn read_row(
    platform: &Platform,
    key: &skylarkwick_connection::platform::Key,
) -> Result<Row, Failed> {
    let rows = platform.read(std::slice::from_ref(key))?;
    rows.into_iter().next().ok_or_else(|| Failed::Refused(format!("no answer for row {key}")))
}

/// Commits a transaction and explains what stood in its way.
pub(crate) fn commit(platform: &Platform, transaction: &Transaction) -> Result<Revision, Failed> {
    match commit_with_retry(platform, transaction) {
        retry::Outcome::Applied(revision) => Ok(revision),
        retry::Outcome::Conflict(rows) => {
            let keys: Vec<String> = rows.iter().map(|row| row.key.to_string()).collect();
            let keys = keys.join(", ");
            Err(Failed::Refused(format!("another writer changed {keys} first; look and try again")))
        }
        retry::Outcome::NotWritten(fault) => Err(fault.into()),
        retry::Outcome::InDoubt => Err(Failed::Platform(platform::Error::Lost)),
    }
}

/// Reads every row under a prefix that has a value.
pub(crate) fn scan(platform: &Platform, prefix: &str) -> Result<Vec<Row>, Failed> {
    let rows = platform.scan(prefix, Revision::ABSENT)?.rows;
    Ok(rows.into_iter().filter(|row| row.value.is_some()).collect())
}

/// Reads and decodes every row under a prefix, with what follows it in the key.
pub(crate) fn decoded<W, T>(platform: &Platform, prefix: &str) -> Result<Vec<(String, T)>, Failed>
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
