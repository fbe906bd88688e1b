//! What all parts of a case share: the clock, the record, and the end of the case.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Something that a client, a worker or the platform has seen.
#[derive(Debug, Clone)]
pub struct Event {
    /// Milliseconds since the start of the case.
    pub at: u64,
    pub worker: String,
    /// `start`, `end`, `noted`, `refused`, `crash`, `up`.
    pub kind: &'static str,
    pub task: String,
    pub run: u64,
    /// Kind of the end, reason of the refusal, or labels of the worker.
    pub text: String,
}

pub struct World {
    started: Instant,
    events: Mutex<Vec<Event>>,
    record: Mutex<File>,
    /// Directory for settings and logs.
    pub temp: PathBuf,
}

impl World {
    pub fn new(record: &str) -> Arc<Self> {
        let temp = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&temp).expect("a temporary folder");
        let record = Mutex::new(File::create(record).expect("record.txt"));
        Arc::new(Self { started: Instant::now(), events: Mutex::default(), record, temp })
    }

    pub fn now(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap()
    }

    /// Writes a line to the record.
    pub fn note(&self, text: &str) {
        let at = self.now() as f64 / 1e3;
        let _ = writeln!(self.record.lock().unwrap(), "{at:8.3} {text}");
    }

    pub fn event(&self, worker: &str, kind: &'static str, (task, run): (&str, u64), text: &str) {
        let at = self.now();
        let event = Event {
            at,
            worker: worker.to_owned(),
            kind,
            task: task.to_owned(),
            run,
            text: text.to_owned(),
        };
        let mut events = self.events.lock().unwrap();
        self.note(&format!("{kind} {worker} {task} run {run} {text}"));
        events.push(event);
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.lock().unwrap().clone()
    }

    /// Events of the tasks of one job.
    pub fn events_of(&self, job: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        events.iter().filter(|e| e.task.starts_with(job)).cloned().collect()
    }

    /// Waits until `at`, in milliseconds since the start of the case.
    pub fn wait_until(&self, at: u64) {
        std::thread::sleep(Duration::from_millis(at.saturating_sub(self.now())));
    }

    /// Waits for a condition for at most `limit` ms; whether it came true.
    pub fn wait_for(&self, limit: u64, mut condition: impl FnMut() -> bool) -> bool {
        let until = self.now() + limit;
        while !condition() {
            if self.now() >= until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        true
    }
}

pub fn sleep(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
