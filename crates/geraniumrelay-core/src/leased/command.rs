//! What the scheduler is told.

use std::time::{Duration, Instant};

use super::epoch::EpochReply;
use super::names::{EntryVm, JobId, TaskName, WorkerName};
use super::record::{JobRecord, RecordReply};
use super::report::WorkerReport;
use super::spec::JobSpec;
use super::worker::{WorkerEntry, WorkerKey};
use super::worker_clock::WorkerTime;

/// A job, as an entry VM passes it on.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The job.
    pub spec: JobSpec,
    /// Entry VM that holds the caller's connection.
    pub origin: EntryVm,
    /// How long the caller has been waiting.
    pub waited: Duration,
    /// How much longer the caller waits.
    pub remaining_wait: Duration,
    /// Whether an earlier scheduler may have started tasks of it.
    pub may_have_started: bool,
}

/// Reply to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs there.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The worker has seen this run, or a later one, end.
    Outdated,
    /// The lease of the order had lapsed when it arrived.
    TooLate,
    /// The task does not fit.
    NoRoom,
    /// The worker refused it for a cause of its own; nothing was started.
    Refused,
    /// Another life of the worker answered; nothing was started.
    OtherInstance,
    /// The order was never sent.
    NotSent,
    /// No answer; it may be carried out, also later.
    Unanswered,
}

/// Reply to the order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is ending, or will never start there.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer that can be relied on.
    Unanswered,
}

/// Reply to a look at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollReply {
    /// What it says.
    Report(WorkerReport),
    /// The worker has seen a higher fencing token.
    Fenced,
    /// Another life of the worker answered.
    OtherInstance,
    /// No answer.
    Unanswered,
}

/// What the scheduler is told.
#[derive(Debug, Clone)]
pub enum Command {
    /// A job has come in.
    Submit(Submission),
    /// The caller behind an entry VM has gone away.
    Withdraw {
        /// The job.
        id: JobId,
        /// The entry VM.
        origin: EntryVm,
    },
    /// A caller wants the job to end.
    Cancel {
        /// The job.
        id: JobId,
    },
    /// The link of an entry VM has broken; it may connect again.
    EntryLost(EntryVm),
    /// An entry VM is silent, or has passed its jobs to another scheduler.
    EntryLeft(EntryVm),
    /// A worker's entry is new or has changed.
    WorkerSeen(WorkerEntry),
    /// A worker's entry is gone.
    WorkerGone(WorkerName),
    /// All workers have been told that are listed since this scheduler took over, and, where it is
    /// said so, those that had departed before.
    WorkersKnown {
        /// Whether the departed ones are known.
        knows_departed: bool,
    },
    /// A worker replied to a start.
    StartReplied {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The reply.
        reply: StartReply,
        /// Its clock, where the reply told it.
        clock: Option<WorkerTime>,
    },
    /// A worker replied to a stop.
    StopReplied {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// The reply.
        reply: StopReply,
    },
    /// A worker replied to a look.
    PollReplied {
        /// The worker.
        worker: WorkerKey,
        /// When the look was sent.
        sent: Instant,
        /// The reply.
        reply: PollReply,
    },
    /// The store replied to the claim of the cell.
    EpochReplied {
        /// When it was asked.
        sent: Instant,
        /// The reply.
        reply: EpochReply,
    },
    /// All other entry VMs follow this scheduler, and were heard at this time or later.
    Followed {
        /// The time.
        since: Instant,
    },
    /// The store replied to a change of a record.
    RecordReplied {
        /// The job.
        id: JobId,
        /// Number of the change.
        attempt: u32,
        /// The reply.
        reply: RecordReply,
    },
    /// A record that was stored when this scheduler took over.
    RecordListed {
        /// The record.
        record: JobRecord,
        /// Its version.
        version: u64,
    },
    /// A record has been stored since, by whomever.
    RecordSeen {
        /// The record.
        record: JobRecord,
        /// Its version.
        version: u64,
    },
    /// All records have been told that were stored at this version of the store.
    RecordsKnown {
        /// The version.
        version: u64,
    },
    /// Time has passed.
    Tick,
}
