//! Reports of workers: running tasks and ended runs.

use super::names::TaskName;
use super::worker_clock::WorkerTime;

/// A running task, as its worker reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// Task of the run.
    pub task: TaskName,
    /// Number of the task's run.
    pub run: u32,
    /// Progress, 0 to 100.
    pub percent: u8,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum EndKind {
    /// The run succeeded.
    Done,
    /// The run failed by a fault of the task or the worker.
    Failed,
    /// The scheduler stopped the run, or the run has disappeared.
    Stopped,
    /// The run's lease lapsed.
    Lapsed,
    /// Another member of the run's gang ended, or some members did not start in time.
    GangBroken,
}

/// A run that has ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Sequence number among the ends of this instance of the worker, from 1.
    pub number: u64,
    /// Task of the run.
    pub task: TaskName,
    /// Number of the task's run.
    pub run: u32,
    /// Kind of the end.
    pub kind: EndKind,
}

/// A worker's reply to a poll.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start of this instance of the worker, in Unix milliseconds; `None` if not reported.
    pub instance_started_unix_ms: Option<u64>,
    /// The worker's clock when it replied.
    pub clock: WorkerTime,
    /// Runs in progress.
    pub running: Vec<RunningTask>,
    /// Ended runs that have not been acknowledged, in ascending order of their numbers.
    pub ended: Vec<EndedRun>,
    /// Whether the worker may have ended more runs than the report lists.
    pub has_more_ends: bool,
}

impl WorkerReport {
    /// Whether the report lists a run, in progress or ended, or may leave out its end.
    pub(super) fn may_list(&self, task: TaskName, run: u32) -> bool {
        let mut running = self.running.iter();
        let mut ended = self.ended.iter();
        self.has_more_ends
            || running.any(|r| r.task == task && r.run == run)
            || ended.any(|e| e.task == task && e.run == run)
    }
}
