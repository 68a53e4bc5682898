//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to the record file; clones share it.
#[derive(Clone, Debug)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &str) -> Record {
        let file = File::create(path).expect("the record can be written");
        Record { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Writes a line.
    pub fn line(&self, line: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("not poisoned");
        let _ = writeln!(file, "{seconds:8.3} {line}");
    }
}
