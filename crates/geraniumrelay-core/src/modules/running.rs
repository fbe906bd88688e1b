//! Tasks sent to targets, with the time of the next check of each task.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::modules::sheet::Urgency;
use crate::modules::targets::{TargetKey, TaskKey};
use crate::names::{KindName, ServiceName, TeamName};

/// One task sent to a target; kept until the task ends, also after its job was answered.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    /// Key of the target.
    pub target: TargetKey,
    /// Service of the target.
    pub service: ServiceName,
    /// Request kind of the task.
    pub kind: KindName,
    /// Team of the task; `None` if the submission names none.
    pub team: Option<TeamName>,
    /// Urgency class of the task.
    pub urgency: Urgency,
    /// Time at which the task was sent.
    pub started_at: Instant,
    /// Estimated run time; `None` without samples of the request kind.
    pub expected: Option<Duration>,
    /// Time from which the task counts as lost: the end of its lease plus a margin.
    pub lost_at: Instant,
    /// Time of the next check for an overdue or lost task.
    pub check_at: Instant,
}

/// All tasks that were sent to targets and whose end is not known.
#[derive(Debug, Default)]
pub struct RunningTasks {
    tasks: Map<TaskKey, Running>,
    checks: BTreeSet<(Instant, TaskKey)>,
}

impl RunningTasks {
    /// Adds a task with its first check.
    pub fn insert(&mut self, key: TaskKey, running: Running) {
        self.checks.insert((running.check_at, key));
        self.tasks.insert(key, running);
    }

    /// Removes a task with its pending check; `None` if the task is unknown.
    pub fn remove(&mut self, key: TaskKey) -> Option<Running> {
        let running = self.tasks.remove(&key)?;
        self.checks.remove(&(running.check_at, key));
        Some(running)
    }

    /// The next task that is due for a check; its next check is at `lost_at`.
    pub fn take_due(&mut self, now: Instant) -> Option<(TaskKey, Running)> {
        let (at, key) = self.checks.first().copied().filter(|(at, _)| *at <= now)?;
        self.checks.remove(&(at, key));
        let running = self.tasks.get_mut(&key)?;
        let due = *running;
        running.check_at = running.lost_at;
        if due.check_at < due.lost_at {
            self.checks.insert((running.lost_at, key));
        }
        Some((key, due))
    }

    /// Time of the next check; `None` if none is pending.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// Number of running tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether no task runs.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
