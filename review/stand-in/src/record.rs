//! What was sent, answered and run, with the time since the start in milliseconds.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A record file; clones write to the same one.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { start: Instant::now(), file })
    }

    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn write(&self, line: &str) {
        let now_ms = self.now_ms();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{now_ms:>7} ms  {line}");
    }
}
