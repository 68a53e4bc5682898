//! Settings of a site and of a process.
//!
//! What operators write is parsed into options and checked into settings; a
//! fault names the file, the line, the key and what to write instead. See
//! `docs/SETTINGS.md`.

pub mod process;
pub mod site;

use std::{fs, io, path::Path};

use skylarkwick_version::source::{Diagnostic, Source};

/// Why a user-written file was not loaded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file can't be read.
    #[error("{file}: cannot be read: {error}; check the path and its permissions")]
    Unreadable {
        /// The file.
        file: String,
        /// The system's error.
        #[source]
        error: io::Error,
    },
    /// The file is not valid.
    #[error(transparent)]
    Invalid(#[from] Diagnostic),
    /// The process's settings name an entry host that the site does not have.
    #[error("{file}: entry host {entry:?} does not exist in the site; write one of: {known}")]
    UnknownEntry {
        /// The file.
        file: String,
        /// The name in question.
        entry: String,
        /// The names that exist.
        known: String,
    },
}

/// Reads a user-written file.
///
/// # Errors
///
/// Returns the system's error with the name of the file.
pub fn read_source(path: &Path) -> Result<Source, Error> {
    let file = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok(Source::new(&file, &text)),
        Err(error) => Err(Error::Unreadable { file, error }),
    }
}
