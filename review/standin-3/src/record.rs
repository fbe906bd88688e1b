//! The record of a case: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Mutex::new(File::create(path)?), started: Instant::now() })
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line, and returns its time.
    pub fn line(&self, text: &str) -> u64 {
        let at = self.now_ms();
        // A record that can't be written must not change the verdict.
        let _ = writeln!(self.file.lock().unwrap(), "{:8.3} {text}", at as f64 / 1_000.0);
        at
    }
}
