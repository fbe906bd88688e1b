//! What lasts of a job that must be kept.

use std::time::Duration;

use super::cells::CellName;
use super::names::TaskName;
use super::spec::JobSpec;

/// Time for which it is known of a kept job that it has ended; its state may be asked for two
/// minutes.
pub const ENDED_TTL: Duration = Duration::from_secs(150);

/// Where a kept job is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum RecordState {
    /// It has tasks that are not done.
    #[display("open")]
    Open,
    /// All its tasks are done.
    #[display("completed")]
    Completed,
    /// A task has failed as often as it may.
    #[display("failed")]
    Failed,
    /// Its caller has cancelled it.
    #[display("cancelled")]
    Cancelled,
}

/// What lasts of a task beside whether it is done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskProgress {
    /// Position of the task, in the order of steps and indexes.
    pub position: u32,
    /// Runs that ended as failed; by number, as a later scheduler may see their ends again.
    pub failed_runs: Vec<u32>,
    /// Lower runs count as lost: the task runs again, and their ends are ignored.
    pub first_valid_run: u32,
}

/// A kept job, as it is stored.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRecord {
    /// The job.
    pub spec: JobSpec,
    /// Cell whose scheduler runs it.
    pub cell: CellName,
    /// Positions of the tasks that are done, in the order of steps and indexes.
    pub done: Vec<u32>,
    /// What lasts of tasks beside, where there is anything.
    pub progress: Vec<TaskProgress>,
    /// Where it is.
    pub state: RecordState,
}

/// Tasks of a job some of whose runs count as lost, and the first run that does not.
pub(super) fn first_valid_runs(spec: &JobSpec, progress: &[TaskProgress]) -> Vec<(TaskName, u32)> {
    let names: Vec<TaskName> = spec.task_names().collect();
    let voided = progress.iter().filter(|p| p.first_valid_run > 0);
    let runs = voided.filter_map(|p| {
        let name = names.get(p.position as usize)?;
        Some((*name, p.first_valid_run))
    });
    runs.collect()
}

/// Reply of the store to a change of a record.
#[derive(Debug, Clone, PartialEq, derive_more::Display)]
pub enum RecordReply {
    /// It is stored.
    #[display("stored as {version}")]
    Stored {
        /// Version of the record now.
        version: u64,
    },
    /// Another version is stored, or none.
    #[display("conflict with {}", stored.as_ref().map_or(0, |s| s.1))]
    Conflict {
        /// What is stored, and its version.
        stored: Option<(JobRecord, u64)>,
    },
    /// The cell belongs to another scheduler, or was claimed anew; nothing was done.
    #[display("epoch over")]
    EpochOver,
    /// Refused; nothing was done.
    #[display("refused")]
    Refused,
    /// No answer; it may have been done, or may yet be.
    #[display("unanswered")]
    Unanswered,
}
