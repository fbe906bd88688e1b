//! Stored records of durable jobs.

use std::time::Duration;

use super::cells::CellName;
use super::losses::LostRun;
use super::names::TaskName;
use super::spec::JobSpec;

/// Time for which the record of an ended durable job is retained; callers may query its state for
/// two minutes.
pub const ENDED_TTL: Duration = Duration::from_secs(150);

/// State of a durable job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RecordState {
    /// Some tasks have not succeeded yet.
    #[display("open")]
    Open,
    /// All tasks have succeeded.
    #[display("completed")]
    Completed,
    /// A task has reached its maximum number of failed runs.
    #[display("failed")]
    Failed,
    /// A caller has cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

/// Stored progress of a task that has not succeeded yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskProgress {
    /// Position of the task in the job, ordered by step and index.
    pub position: u32,
    /// Numbers of the failed runs. The numbers are stored because a later scheduler may read the ends
    /// of these runs again.
    pub failed_runs: Vec<u32>,
    /// Runs with a lower number are invalidated: the task runs again, and their ends are ignored.
    pub first_valid_run: u32,
    /// Runs that were lost with their workers.
    pub lost_runs: Vec<LostRun>,
}

/// Record of a durable job in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// Specification of the job.
    pub spec: JobSpec,
    /// Cell whose scheduler runs it.
    pub cell: CellName,
    /// Positions of the tasks that have succeeded, ordered by step and index.
    pub done: Vec<u32>,
    /// Progress of the tasks that have failed or invalidated runs.
    pub progress: Vec<TaskProgress>,
    /// State of the job.
    pub state: RecordState,
}

/// Tasks of a job with invalidated runs, each with the number of its first valid run.
pub(super) fn first_valid_runs(spec: &JobSpec, progress: &[TaskProgress]) -> Vec<(TaskName, u32)> {
    let names: Vec<TaskName> = spec.task_names().collect();
    let invalidated = progress.iter().filter(|p| p.first_valid_run > 0);
    let runs = invalidated.filter_map(|p| {
        let name = names.get(p.position as usize)?;
        Some((*name, p.first_valid_run))
    });
    runs.collect()
}

/// Reply of the store to a write of a record.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
pub enum RecordReply {
    /// The record is stored.
    #[display("stored as {version}")]
    Stored {
        /// New version of the record.
        version: u64,
    },
    /// The stored version is not the expected one, or no record is stored.
    #[display("conflict with {}", stored.as_ref().map_or(0, |s| s.1))]
    Conflict {
        /// The stored record and its version; `None` if no record is stored.
        stored: Option<(JobRecord, u64)>,
    },
    /// The cell's row has changed, as another scheduler or a new claim holds it; nothing was stored.
    #[display("epoch over")]
    EpochOver,
    /// The store refused the write; nothing was stored.
    #[display("refused")]
    Refused,
    /// The store did not answer; the record may have been stored, or may be stored later.
    #[display("unanswered")]
    Unanswered,
}
