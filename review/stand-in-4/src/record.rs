//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fmt::Write as _,
    fs, io,
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    /// Creates an empty record that starts now.
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn add(&self, line: impl AsRef<str>) {
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(lines, "{:>7} ms  {}", self.now_ms(), line.as_ref());
    }

    /// Writes the record to a file.
    pub fn save(&self, path: &Path) -> io::Result<()> {
        fs::write(path, &*self.lines.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
