//! What a worker says of itself.

use super::names::TaskName;
use super::worker_clock::WorkerTime;

/// A task that runs on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Number of this run of it.
    pub run: u32,
    /// Progress, 0 to 100.
    pub percent: u8,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum EndKind {
    /// With success.
    Done,
    /// By its own fault or the worker's.
    Failed,
    /// By an order.
    Stopped,
    /// With its lease.
    Lapsed,
    /// Another member of its gang ended, or the others did not come in time.
    GangBroken,
}

/// A run that has ended on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndedRun {
    /// Position in the worker's list of ends, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// Number of this run of it.
    pub run: u32,
    /// How it ended.
    pub kind: EndKind,
}

/// A worker's answer to a look.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerReport {
    /// Start of this life of the worker, in Unix milliseconds.
    pub instance_started_unix_ms: Option<u64>,
    /// Its clock.
    pub clock: WorkerTime,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What ended and has not been acknowledged, in order.
    pub ended: Vec<EndedRun>,
}
