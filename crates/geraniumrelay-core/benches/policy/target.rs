//! Fake target with slots, actual run times and faults.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::TaskId;
use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_core::modules::targets::TaskKey;

/// Number of slots of each target.
pub const SLOTS_PER_TARGET: usize = 8;

/// Time after which a target with `fails_all` fails a task.
const FAIL_TIME: Duration = Duration::from_millis(1);

/// Task start sent by an entry VM to a target.
#[derive(Debug, Clone, Copy)]
pub struct StartRequest {
    /// Index of the entry VM that sent the request.
    pub vm: usize,
    /// Key of the task at the entry VM, with which its end is reported.
    pub key: TaskKey,
    /// Id of the task; the same for every start of the task.
    pub id: TaskId,
    /// Run time on a healthy target.
    pub run_time: Duration,
}

/// Fake target with [`SLOTS_PER_TARGET`] slots.
#[derive(Debug, Default)]
pub struct Target {
    /// Running tasks; the start number distinguishes several starts of one task.
    running: HashMap<TaskId, (u64, StartRequest)>,
    start_count: u64,
    /// Whether every task fails after 1 ms.
    pub fails_all: bool,
    /// Factor on run times; 0 has the effect of 1.
    pub slowdown: u32,
}

/// Start that a target has accepted.
#[derive(Debug, Clone, Copy)]
pub struct AcceptedStart {
    /// Sequence number of the start at the target.
    pub start_number: u64,
    /// Time until the task ends.
    pub run_time: Duration,
}

impl Target {
    /// Starts a task; refuses it if all slots are in use.
    pub fn start(&mut self, start: StartRequest) -> Result<AcceptedStart, NotStartedCause> {
        if self.running.len() >= SLOTS_PER_TARGET {
            return Err(NotStartedCause::Full);
        }
        self.start_count += 1;
        let start_number = self.start_count;
        self.running.insert(start.id, (start_number, start));
        let run_time = if self.fails_all {
            FAIL_TIME
        } else {
            start.run_time * self.slowdown.max(1)
        };
        Ok(AcceptedStart {
            start_number,
            run_time,
        })
    }

    /// Ends a start; `None` if the task was stopped before.
    pub fn end(&mut self, id: TaskId, start_number: u64) -> Option<StartRequest> {
        let is_running = self
            .running
            .get(&id)
            .is_some_and(|(n, _)| *n == start_number);
        if !is_running {
            return None;
        }
        self.running.remove(&id).map(|(_, start)| start)
    }

    /// Stops a task; `None` if the task is not running.
    pub fn stop(&mut self, id: TaskId) -> Option<StartRequest> {
        self.running.remove(&id).map(|(_, start)| start)
    }
}
