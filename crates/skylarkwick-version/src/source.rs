//! User-written files and diagnostics about them.
//!
//! Every diagnostic names the file, the line, the key and what to write instead,
//! because its reader may be on call and new to the file.

use std::{fmt, ops::Range, sync::Arc};

/// Error in a user-written file: the file's name, the line counted from 1, the key, what
/// is wrong and how to fix it. Printed as `FILE:LINE: KEY: PROBLEM; FIX`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    file: Arc<str>,
    line: usize,
    key: String,
    problem: String,
    fix: String,
}

impl std::error::Error for Diagnostic {}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}: {}; {}", self.file, self.line, self.key, self.problem, self.fix)
    }
}

/// Name and text of a user-written file.
#[derive(Clone, Debug)]
pub struct Source {
    file: Arc<str>,
    text: Arc<str>,
}

impl Source {
    /// Creates the source of a file from its name, which diagnostics print, and its text;
    /// reads nothing.
    pub fn new(file: &str, text: &str) -> Source {
        Source { file: Arc::from(file), text: Arc::from(text) }
    }

    /// Returns the text of the file.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Deserializes the file from TOML.
    ///
    /// # Errors
    ///
    /// Returns the first syntax error, unknown key or value of the wrong type.
    pub fn parse<T: serde::de::DeserializeOwned>(&self) -> Result<T, Diagnostic> {
        toml::from_str(&self.text).map_err(|error| {
            let span = error.span().unwrap_or(0..0);
            let key = self.key_at(&span);
            let fix = "see docs/SETTINGS.md for the keys and their forms";
            self.diagnostic(&span, &key, error.message(), fix)
        })
    }

    /// Creates a diagnostic for a byte range of the file, on the line where it starts.
    ///
    /// `problem` says what is wrong with the value of `key`, and `fix` what to write
    /// instead.
    pub fn diagnostic(
        &self,
        span: &Range<usize>,
        key: &str,
        problem: &str,
        fix: &str,
    ) -> Diagnostic {
        let preceding = self.text.as_bytes().iter().take(span.start);
        Diagnostic {
            file: Arc::clone(&self.file),
            line: 1 + preceding.filter(|&&byte| byte == b'\n').count(),
            key: key.to_owned(),
            problem: problem.replace('\n', " "),
            fix: fix.to_owned(),
        }
    }

    /// Returns the text before the first `=` of the line where a byte range starts, which
    /// is the key on a line that sets one; `file` if that text is empty.
    fn key_at(&self, span: &Range<usize>) -> String {
        let start = self.text[..span.start.min(self.text.len())].rfind('\n').map_or(0, |at| at + 1);
        let line = self.text[start..].lines().next().unwrap_or_default();
        let key = line.split('=').next().unwrap_or_default().trim();
        if key.is_empty() { "file".to_owned() } else { key.to_owned() }
    }
}
