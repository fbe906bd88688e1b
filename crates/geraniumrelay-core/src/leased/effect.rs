//! What the scheduler wants done.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use super::names::{EntryVm, FencingToken, JobId, TaskName, WorkerName};
use super::note::LogEvent;
use super::record::JobRecord;
use super::worker::WorkerKey;
use super::worker_clock::WorkerTime;

/// Why a job was refused before any task of it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum RefusalReason {
    /// By the work that waits before it, it would end too late.
    #[display("overload")]
    Overload,
    /// No worker there is can take one of its tasks.
    #[display("no-worker-fits")]
    NoWorkerFits,
    /// It takes longer than its caller waits.
    #[display("too-long")]
    TooLong,
    /// It waited as long as it may.
    #[display("waited-too-long")]
    WaitedTooLong,
    /// There is no scheduler at present.
    #[display("no-scheduler")]
    NoScheduler,
    /// It asks for something that is not supported.
    #[display("unsupported")]
    Unsupported,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobOutcome {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// No task has started, and none will.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It has run in part, and the caller's time is over.
    TimedOut,
    /// It was cancelled.
    Cancelled,
    /// It is stored, and will run until it has ended.
    Accepted,
}

/// Order to start a task.
#[derive(Debug, Clone)]
pub struct StartCall {
    /// The worker.
    pub worker: WorkerKey,
    /// Its name.
    pub name: WorkerName,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Until when the lease lasts.
    pub lease_until: WorkerTime,
    /// The scheduler's rank.
    pub token: FencingToken,
}

/// Order to stop a run.
#[derive(Debug, Clone)]
pub struct StopCall {
    /// The worker.
    pub worker: WorkerKey,
    /// Its name.
    pub name: WorkerName,
    /// Its address.
    pub address: SocketAddr,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The scheduler's rank.
    pub token: FencingToken,
}

/// A look at a worker, which renews its leases.
#[derive(Debug, Clone)]
pub struct PollCall {
    /// The worker.
    pub worker: WorkerKey,
    /// Its name.
    pub name: WorkerName,
    /// Its address.
    pub address: SocketAddr,
    /// Until when the leases last; they are not renewed where absent.
    pub lease_until: Option<WorkerTime>,
    /// Ends up to this one are acknowledged.
    pub last_processed_end: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
    /// The scheduler's rank.
    pub token: FencingToken,
}

/// What the scheduler wants done.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Start a task.
    Start(StartCall),
    /// Stop a run.
    Stop(StopCall),
    /// Look at a worker.
    Poll(PollCall),
    /// Tell an entry VM how a job ended.
    Answer {
        /// The entry VM.
        origin: EntryVm,
        /// The job.
        id: JobId,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// Store a kept job, where the version that is given is the one that is stored.
    Record {
        /// Number of the change, among those of the job.
        attempt: u32,
        /// What to store.
        record: JobRecord,
        /// Version that must be stored now; 0 for none.
        expected: u64,
        /// Version of the cell's row that must be stored now.
        epoch: u64,
    },
    /// Claim the cell for this scheduler in the store, where no higher token has it, and read what
    /// the row says.
    ClaimEpoch,
    /// Another scheduler with this token has claimed the cell.
    EpochLost {
        /// Its token.
        token: FencingToken,
    },
    /// Read all records of the cell.
    ReadRecords,
    /// Say what was decided.
    LogEvent(LogEvent),
    /// A worker has seen a higher fencing token: another scheduler has taken over.
    Deposed {
        /// The worker.
        worker: WorkerName,
    },
}
