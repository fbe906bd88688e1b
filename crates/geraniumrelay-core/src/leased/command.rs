//! Commands: the inputs of the scheduler.

use std::time::{Duration, Instant};

use super::epoch::EpochReply;
use super::evacuation::EvacuatedSince;
use super::losses::LostRun;
use super::names::{EntryVm, FencingToken, JobId, SubmissionId, TaskName, WorkerName};
use super::record::{JobRecord, RecordReply};
use super::report::WorkerReport;
use super::spec::JobSpec;
use super::worker::{PollNumber, WorkerEntry, WorkerKey};
use super::worker_clock::WorkerTime;

/// A job, as an entry VM passes it to the scheduler.
#[derive(Debug, Clone)]
pub struct Submission {
    /// The job that the caller asked for.
    pub spec: JobSpec,
    /// Entry VM that holds the caller's connection.
    pub origin: EntryVm,
    /// Name of this copy, which its answer repeats. `None` if the entry VM's version does not tell.
    pub name: Option<SubmissionId>,
    /// Time since the caller's request arrived.
    pub waited: Duration,
    /// Time for which the caller still waits for the answer.
    pub remaining_wait: Duration,
    /// When this scheduler sent the last heartbeat that the entry VM had received when it passed the
    /// job on. `None` if both are one VM, or if the entry VM's version does not tell.
    pub as_of: Option<Instant>,
    /// Whether an earlier scheduler may have started tasks of the job.
    pub may_have_started: bool,
    /// Tokens of the other schedulers to which the entry VM has sent the job.
    pub former_tokens: Vec<FencingToken>,
    /// Whether another cell has room by its last report, so that the job need not wait in this one.
    pub has_alternative: bool,
    /// Runs of the job that were lost with their workers, as earlier schedulers have told.
    pub losses: Vec<(TaskName, Vec<LostRun>)>,
}

/// Reply to the order to start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum StartReply {
    /// The worker runs the task.
    Accepted,
    /// The worker has received a higher fencing token.
    Fenced,
    /// This run, or a later one of the task, has already ended on the worker.
    Outdated,
    /// The lease in the order had lapsed when the order arrived.
    TooLate,
    /// The worker has too few free resources.
    NoRoom,
    /// The worker refused the order for another reason; nothing was started.
    Refused,
    /// Another instance of the worker answered; nothing was started.
    #[display("OtherLife")]
    OtherInstance,
    /// The order was never sent.
    NotSent,
    /// The call was not answered; the worker may carry out the order, also later.
    Unanswered,
}

/// Reply to the order to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReply {
    /// The run is ending, or will never start on the worker.
    Accepted,
    /// The worker has received a higher fencing token.
    Fenced,
    /// The call was not answered, or not with a usable reply.
    Unanswered,
}

/// Reply to a poll of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PollReply {
    /// The worker's state.
    Report(WorkerReport),
    /// The worker has received a higher fencing token.
    Fenced,
    /// Another instance of the worker answered.
    OtherInstance,
    /// The call was not answered.
    Unanswered,
}

/// Which workers are known whose entries were removed before a scheduler's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeparturesKnown {
    /// There may be any that are not known.
    None,
    /// Those of the last `departed_ttl`.
    Recent,
    /// All that may still run a task.
    All,
}

/// An input of the scheduler.
#[derive(Debug, Clone)]
pub enum Command {
    /// An entry VM passes on a job, possibly for the second time.
    Submit(Submission),
    /// The caller behind an entry VM has disconnected.
    Withdraw {
        /// Job that the caller was waiting for.
        id: JobId,
        /// Entry VM that held the caller's connection.
        origin: EntryVm,
    },
    /// An entry VM confirms for which of the jobs that it has passed on callers still wait.
    Confirm {
        /// Entry VM that holds the callers' connections.
        origin: EntryVm,
        /// When this scheduler sent the last heartbeat that the entry VM had received.
        as_of: Instant,
        /// All jobs of the entry VM in the cell for which callers wait.
        jobs: Vec<JobId>,
    },
    /// A caller has asked to cancel a job.
    Cancel {
        /// Job to cancel.
        id: JobId,
    },
    /// The connection to an entry VM has broken; the VM may connect again.
    EntryLost(EntryVm),
    /// An entry VM follows another scheduler.
    EntryLeft(EntryVm),
    /// An entry VM has timed out.
    EntrySilent {
        /// Entry VM concerned.
        vm: EntryVm,
        /// When its last heartbeat arrived.
        since: Instant,
    },
    /// A worker's entry was added or changed.
    WorkerSeen(WorkerEntry),
    /// A worker's entry was removed.
    WorkerGone(WorkerName),
    /// All changes of the workers' entries up to a time after the scheduler's start have been passed on.
    WorkersListed {
        /// When the read of the entries began.
        as_of: Instant,
        /// Which workers were passed on that had departed before.
        departures: DeparturesKnown,
    },
    /// A worker's entry was removed before the scheduler's start.
    WorkerDeparted {
        /// The entry as it was.
        entry: WorkerEntry,
        /// When it was removed.
        at: Instant,
    },
    /// A worker replied to a start order.
    StartReplied {
        /// Worker that the order went to.
        worker: WorkerKey,
        /// Task of the order.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Outcome of the order.
        reply: StartReply,
        /// The worker's clock, if the reply carried it.
        clock: Option<WorkerTime>,
    },
    /// A worker replied to a stop order.
    StopReplied {
        /// Worker that the order went to.
        worker: WorkerKey,
        /// Task of the order.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Outcome of the order.
        reply: StopReply,
    },
    /// A worker replied to a poll.
    PollReplied {
        /// Worker that was polled.
        worker: WorkerKey,
        /// Number of the poll.
        number: PollNumber,
        /// When the poll was sent.
        sent: Instant,
        /// Outcome of the poll.
        reply: PollReply,
    },
    /// The evacuated data centres have changed, or the scheduler has just started.
    Evacuated(EvacuatedSince),
    /// The store replied to the claim of the cell.
    EpochReplied {
        /// When the claim was sent.
        sent: Instant,
        /// Outcome of the claim.
        reply: EpochReply,
    },
    /// All other entry VMs follow this scheduler.
    Followed {
        /// Arrival of the oldest of the heartbeats that show this.
        since: Instant,
    },
    /// The store replied to the write of a record.
    RecordReplied {
        /// Job of the record.
        id: JobId,
        /// Number of the write, as in [`Effect::Record`](super::Effect::Record).
        attempt: u32,
        /// Outcome of the write.
        reply: RecordReply,
    },
    /// A record that was stored when the scheduler started.
    RecordListed {
        /// The record as stored.
        record: JobRecord,
        /// Version of the record.
        version: u64,
    },
    /// A record that this scheduler or another process has stored since its start.
    RecordSeen {
        /// The record as stored.
        record: JobRecord,
        /// Version of the record.
        version: u64,
    },
    /// All records that were stored at this version of the store have been passed on.
    RecordsKnown {
        /// Version of the store.
        version: u64,
    },
    /// Time has passed; the scheduler checks deadlines, leases and pending calls.
    Tick,
}
