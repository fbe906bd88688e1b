//! Fake target: slots, true run times, faults, and a record of every start.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::TaskId;
use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_core::modules::targets::TaskKey;

/// Slots of each target.
pub const SLOTS: usize = 8;

/// Time in which a target that fails everything fails a task.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// One task to start, as it reaches a target.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// Entry VM that sent it.
    pub vm: usize,
    /// Key to end it with.
    pub key: TaskKey,
    /// Its name.
    pub id: TaskId,
    /// Its run time on a healthy target.
    pub run: Duration,
}

/// One fake target.
#[derive(Debug, Default)]
pub struct Target {
    /// Tasks that run now; the number tells apart the starts of one name.
    running: HashMap<TaskId, (u64, Start)>,
    starts: u64,
    /// Whether it fails every task at once.
    pub fails_all: bool,
    /// Factor on run times; 0 counts as 1.
    pub slowness: u32,
}

/// A task that a target has accepted.
#[derive(Debug, Clone, Copy)]
pub struct Accepted {
    /// Number of the start at its target.
    pub number: u64,
    /// Time until it ends.
    pub run: Duration,
}

impl Target {
    /// Starts a task, or refuses it.
    pub fn start(&mut self, start: Start) -> Result<Accepted, NotStartedCause> {
        if self.running.len() >= SLOTS {
            return Err(NotStartedCause::Full);
        }
        self.starts += 1;
        let number = self.starts;
        self.running.insert(start.id, (number, start));
        let run = if self.fails_all {
            FAIL_TIME
        } else {
            start.run * self.slowness.max(1)
        };
        Ok(Accepted { number, run })
    }

    /// Ends a start, unless a stop ended it before.
    pub fn end(&mut self, id: TaskId, number: u64) -> Option<Start> {
        let is_running = self.running.get(&id).is_some_and(|(n, _)| *n == number);
        if !is_running {
            return None;
        }
        self.running.remove(&id).map(|(_, start)| start)
    }

    /// Stops a task; `None` where it does not run.
    pub fn stop(&mut self, id: TaskId) -> Option<Start> {
        self.running.remove(&id).map(|(_, start)| start)
    }
}
