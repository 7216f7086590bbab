//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            start: Instant::now(),
            file: Mutex::new(File::create(path).expect("a record file")),
        }
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, line: impl AsRef<str>) {
        let text = format!("{:>8} ms  {}\n", self.now_ms(), line.as_ref());
        let _ = self.file.lock().unwrap().write_all(text.as_bytes());
    }
}
