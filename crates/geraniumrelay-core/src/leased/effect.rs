//! Effects: what the host of the scheduler has to carry out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use super::log_event::LogEvent;
use super::losses::LostRun;
use super::names::{EntryVm, FencingToken, JobId, SubmissionId, TaskName, WorkerName};
use super::record::JobRecord;
use super::worker::{PollNumber, WorkerKey};
use super::worker_clock::WorkerTime;

/// Why a job was refused before any of its tasks started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// The work queued ahead would make the job end too late.
    #[display("overload")]
    Overload,
    /// At least one task fits on no listed worker, even an empty one.
    #[display("no-worker-fits")]
    NoWorkerFits,
    /// The job's expected run time exceeds the caller's remaining wait.
    #[display("too-long")]
    TooLong,
    /// The job was queued for its maximum wait.
    #[display("waited-too-long")]
    WaitedTooLong,
    /// The data centres in which the job could run are evacuated.
    #[display("evacuated")]
    Evacuated,
    /// The cell has no scheduler at present.
    #[display("no-scheduler")]
    NoScheduler,
    /// The job uses an option that is not supported.
    #[display("unsupported")]
    Unsupported,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks succeeded.
    Completed,
    /// A task reached its maximum number of failed runs.
    Failed,
    /// No task was started, and none will be.
    Refused {
        /// Cause of the refusal.
        reason: RefusalReason,
        /// Time after which a new submission may succeed.
        retry_after: Duration,
    },
    /// The caller's wait ended after at least one task may have started.
    TimedOut,
    /// A caller cancelled the job.
    Cancelled,
    /// The job is stored and runs to its end without its caller.
    Accepted,
}

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// Worker that is to run the task.
    pub worker: WorkerKey,
    /// Name of the worker, which refuses an order for another one.
    pub name: WorkerName,
    /// Address at which the worker takes orders.
    pub address: SocketAddr,
    /// Task to start.
    pub task: TaskName,
    /// Number of the task's run.
    pub run: u32,
    /// Input of the task, opaque.
    pub payload: Arc<str>,
    /// New end of the leases of all runs on the worker, on the worker's clock.
    pub lease_until: WorkerTime,
    /// Fencing token of the scheduler.
    pub token: FencingToken,
}

/// Order to stop a run.
#[derive(Debug, Clone)]
pub struct StopCall {
    /// Worker that has the run.
    pub worker: WorkerKey,
    /// Name of the worker, which refuses an order for another one.
    pub name: WorkerName,
    /// Address at which the worker takes orders.
    pub address: SocketAddr,
    /// Task to stop.
    pub task: TaskName,
    /// Number of the task's run.
    pub run: u32,
    /// Fencing token of the scheduler.
    pub token: FencingToken,
}

/// Poll of a worker: renews leases, reads progress and acknowledges ends.
#[derive(Debug, Clone)]
pub struct PollCall {
    /// Worker to poll.
    pub worker: WorkerKey,
    /// Name of the worker, which refuses a poll for another one.
    pub name: WorkerName,
    /// Address at which the worker takes orders.
    pub address: SocketAddr,
    /// New end of the leases of all runs on the worker, on the worker's clock; `None` leaves the
    /// leases as they are.
    pub lease_until: Option<WorkerTime>,
    /// Highest end that is acknowledged; the worker drops its ends up to this number. 0 acknowledges
    /// none.
    pub last_processed_end: u64,
    /// Number of the poll, which its reply repeats.
    pub number: PollNumber,
    /// Time for which the worker may hold back its reply until a run ends.
    pub wait: Duration,
    /// Fencing token of the scheduler.
    pub token: FencingToken,
}

/// An action for the host of the scheduler.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Send a start order.
    Start(StartCall),
    /// Send a stop order.
    Stop(StopCall),
    /// Send a poll.
    Poll(PollCall),
    /// Send the outcome of a job to an entry VM.
    Answer {
        /// Entry VM that holds a caller's connection.
        origin: EntryVm,
        /// Job that the caller waits for.
        id: JobId,
        /// Last copy of the submission that has arrived from the entry VM, as far as it is named.
        submission: Option<SubmissionId>,
        /// Outcome for the caller.
        outcome: JobOutcome,
    },
    /// Tell an entry VM which runs of a job were lost with their workers.
    Losses {
        /// Entry VM that holds a caller's connection.
        origin: EntryVm,
        /// Job that the caller waits for.
        id: JobId,
        /// All lost runs of the job that are known.
        losses: Vec<(TaskName, Vec<LostRun>)>,
    },
    /// Store the record of a durable job, provided that both expected versions still match.
    Record {
        /// Number of the write among those of the job's record, from 1.
        attempt: u32,
        /// New content of the record.
        record: JobRecord,
        /// Expected version of the record; 0 if no record is stored.
        expected: u64,
        /// Expected version of the cell's row.
        epoch: u64,
    },
    /// Claim the cell for this scheduler in the store, unless a scheduler with a higher token holds
    /// it, and read the row.
    ClaimEpoch,
    /// Another scheduler has claimed the cell.
    EpochLost {
        /// Fencing token of the other scheduler.
        token: FencingToken,
    },
    /// Read all records of the cell.
    ReadRecords,
    /// Write a log line.
    LogEvent(LogEvent),
    /// Another scheduler has taken over: a worker has received a higher fencing token.
    Deposed {
        /// Worker that refused this scheduler's token.
        worker: WorkerName,
    },
}
