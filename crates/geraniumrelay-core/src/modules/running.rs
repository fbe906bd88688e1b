//! Tasks that were sent to targets, and when to look at each again.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::collections::Map;
use crate::modules::sheet::Urgency;
use crate::modules::targets::{TargetKey, TaskKey};
use crate::names::{KindName, ServiceName, TeamName};

/// One task that was sent to a target; outlives a job that was answered early.
#[derive(Debug, Clone, Copy)]
pub struct Running {
    /// The target.
    pub target: TargetKey,
    /// Its service.
    pub service: ServiceName,
    /// Its request kind.
    pub kind: KindName,
    /// Its team.
    pub team: Option<TeamName>,
    /// Its urgency class.
    pub urgency: Urgency,
    /// When it was sent.
    pub started_at: Instant,
    /// Run time that was expected; `None` where none was learnt.
    pub expected: Option<Duration>,
    /// Time after which its end can no longer be heard.
    pub lease_expires_at: Instant,
    /// When to look at it again.
    pub check_at: Instant,
}

/// All tasks that were sent to targets and have not ended.
#[derive(Debug, Default)]
pub struct RunningTasks {
    tasks: Map<TaskKey, Running>,
    checks: BTreeSet<(Instant, TaskKey)>,
}

impl RunningTasks {
    /// Adds a task.
    pub fn insert(&mut self, key: TaskKey, running: Running) {
        self.checks.insert((running.check_at, key));
        self.tasks.insert(key, running);
    }

    /// Takes a task out.
    pub fn remove(&mut self, key: TaskKey) -> Option<Running> {
        let running = self.tasks.remove(&key)?;
        self.checks.remove(&(running.check_at, key));
        Some(running)
    }

    /// Takes the next task that is due for a look; its next one is when its lease has lapsed.
    pub fn take_due(&mut self, now: Instant) -> Option<(TaskKey, Running)> {
        let (at, key) = self.checks.first().copied().filter(|(at, _)| *at <= now)?;
        self.checks.remove(&(at, key));
        let running = self.tasks.get_mut(&key)?;
        let due = *running;
        running.check_at = running.lease_expires_at;
        if due.check_at < due.lease_expires_at {
            self.checks.insert((running.lease_expires_at, key));
        }
        Some((key, due))
    }

    /// When the next task is due for a look.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|(at, _)| *at)
    }

    /// Number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Whether nothing runs.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }
}
