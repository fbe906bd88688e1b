//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<File>,
    /// Whether the disruption of the case is played.
    pub has_trouble: bool,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(dir: &Path) -> Self {
        let file = File::create(dir.join("record.txt")).expect("the record can be written");
        let has_trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        let record = Self { began: Instant::now(), file: Mutex::new(file), has_trouble };
        record.line(&format!("TROUBLE={}", u8::from(has_trouble)));
        record
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
