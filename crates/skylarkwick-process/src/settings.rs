//! Settings of a site and of a process.
//!
//! Files written by operators are parsed into options and validated into
//! settings. See `docs/SETTINGS.md`.

pub mod process;
pub mod site;

use std::{fs, io, path::Path};

use skylarkwick_version::source::{Diagnostic, Source};

/// Error returned when a user-written file cannot be loaded: it cannot be read, is invalid,
/// or names an unknown entry host.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read or isn't UTF-8 text.
    #[error("{file}: cannot be read: {error}; check the path and its permissions")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// The operating system's error.
        #[source]
        error: io::Error,
    },
    /// The file contains a syntax error or an invalid value.
    #[error(transparent)]
    Invalid(#[from] Diagnostic),
    /// The entry host of the process does not exist in the site.
    #[error("{file}: entry host {entry:?} does not exist in the site; write one of: {known}")]
    UnknownEntry {
        /// Path of the process's settings.
        file: String,
        /// The unknown name.
        entry: String,
        /// Entry hosts of the site, separated by commas.
        known: String,
    },
}

/// Reads a user-written file as UTF-8 text, without parsing it.
///
/// # Errors
///
/// Returns the operating system's error, with the path of the file.
pub fn read_source(path: &Path) -> Result<Source, Error> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok(Source::new(&file, &text)),
        Err(error) => Err(Error::Unreadable { file, error }),
    }
}
