//! Log events: the scheduler's decisions and their causes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use derive_more::Display;

use super::admission::Backlog;
use super::contention::Change;
use super::effect::JobOutcome;
use super::locality::Inputs;
use super::names::{EntryVm, FencingToken, JobId, SubmissionId, TaskName, WorkerName};
use super::report::EndKind;

/// What a scheduler does with a further copy of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum CopyHandling {
    /// It has the job; the copy changes nothing.
    #[display("job-known")]
    JobKnown,
    /// It has ended the job, and answers the copy with the outcome.
    #[display("outcome-repeated")]
    OutcomeRepeated,
    /// It takes the job as one that another scheduler may have started.
    #[display("job-added")]
    JobAdded,
}

/// Why a run was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopCause {
    /// The run makes no progress.
    #[display("stalled")]
    Stalled,
    /// The worker is slow, and the task can still end in time on another one.
    #[display("slow-worker")]
    SlowWorker,
    /// The worker has restarted: a start order that is still on its way must not be carried out.
    #[display("restarted")]
    Restarted,
    /// The start order was not answered, and a later poll did not list the run.
    #[display("order-unanswered")]
    OrderUnanswered,
    /// An earlier scheduler started the run, and no entry VM has claimed its job.
    #[display("orphan")]
    Unclaimed,
    /// This scheduler's claim to the cell of the durable job is no longer confirmed.
    #[display("epoch-unconfirmed")]
    EpochUnconfirmed,
}

/// Why a run counts as ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EndEvidence {
    /// The worker listed the end.
    #[display("listed")]
    Listed,
    /// A poll sent after the start or the stop was confirmed does not list the run.
    #[display("not-listed")]
    NotListed,
    /// The worker refused the start, or the order was never sent.
    #[display("not-started")]
    NotStarted,
    /// All leases given to the worker have lapsed.
    #[display("lease-lapsed")]
    LeaseLapsed,
    /// Another worker answers at the worker's address.
    #[display("other-instance")]
    OtherInstance,
}

/// Why no run of a job by another scheduler can be at work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NoRunsEvidence {
    /// All workers that the other schedulers may have used, as far as they are known, have reported their runs.
    #[display("reports")]
    Reports,
    /// The longest time that such a run may last has passed.
    #[display("bound")]
    Bound,
}

/// Why the jobs of an entry VM are dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum EntryLossCause {
    /// Its connection broke, and it has not submitted the jobs again.
    #[display("disconnected")]
    Disconnected,
    /// It has sent no heartbeat.
    #[display("silent")]
    Silent,
    /// It has not confirmed that callers wait for the jobs.
    #[display("unconfirmed")]
    Unconfirmed,
    /// It follows another scheduler.
    #[display("follows-other")]
    FollowsOther,
}

/// Message that named an instance of a worker other than the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum InstanceSource {
    /// The worker's entry in the platform's store.
    #[display("entry")]
    Entry,
    /// A reply to a poll.
    #[display("report")]
    Report,
    /// A call that was refused as meant for another instance.
    #[display("refused-call")]
    RefusedCall,
}

/// What tells whether a worker crashed whose leases lapsed while it was silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum SilenceCause {
    /// The worker has started again: it crashed.
    #[display("restarted")]
    Restarted,
    /// Another worker answers at the worker's address: it crashed.
    #[display("replaced")]
    Replaced,
    /// The platform has removed the worker's entry: it crashed, or is gone for good.
    #[display("entry-removed")]
    EntryRemoved,
    /// The same instance answers again: it was only out of reach.
    #[display("answers")]
    OutOfReach,
    /// The worker was draining, and has left.
    #[display("left")]
    Left,
}

impl SilenceCause {
    /// Whether the worker crashed.
    pub(super) fn is_crash(self) -> bool {
        match self {
            Self::Restarted | Self::Replaced | Self::EntryRemoved => true,
            Self::OutOfReach | Self::Left => false,
        }
    }
}

/// Condition of a worker, as observed by the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WorkerCondition {
    /// The worker answers again.
    #[display("answers")]
    Responsive,
    /// The worker has left calls in a row unanswered.
    #[display("silent")]
    Unresponsive,
    /// The worker is paused because its tasks fail or stall.
    #[display("faulty")]
    Faulty,
    /// The worker has restarted.
    #[display("new-life")]
    Restarted,
    /// The worker follows a scheduler with a higher fencing token.
    #[display("taken")]
    FollowsHigherToken,
    /// The worker lists ends of invalidated runs; its leases must lapse before these ends are
    /// acknowledged.
    #[display("void-ends")]
    StaleEnds,
}

/// An event for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A further copy of a submission has arrived.
    CopyReceived {
        /// Job of the submission.
        id: JobId,
        /// Entry VM that has sent the copy.
        origin: EntryVm,
        /// Name of the copy.
        submission: SubmissionId,
        /// What is done with it.
        handling: CopyHandling,
    },
    /// A job has ended.
    JobEnded {
        /// Job that ended.
        id: JobId,
        /// Entry VMs that are answered, and the last copies that have arrived from them.
        submissions: Vec<(EntryVm, SubmissionId)>,
        /// Outcome of the job.
        outcome: JobOutcome,
        /// Backlog when the job arrived, and the wait expected from it.
        admission: Option<(Backlog, Option<Duration>)>,
        /// Longest wait, on arrival, with which the job would still meet its objective.
        slack: Duration,
        /// Time from arrival to the first start; `None` if no task was started.
        waited: Option<Duration>,
        /// Time from arrival to the end.
        took: Duration,
        /// Time from arrival to the objective.
        objective: Duration,
        /// Runs beyond one for each task.
        reruns: u32,
    },
    /// Jobs end, or lose one of their entry VMs, as the entry VM is taken for gone.
    EntryJobsDropped {
        /// Entry VM concerned.
        vm: EntryVm,
        /// Number of its jobs.
        jobs: usize,
        /// Why its jobs are dropped.
        cause: EntryLossCause,
        /// Time since the connection broke, or since the last heartbeat.
        lost_for: Duration,
    },
    /// Tasks of a job were placed; their start orders are being sent.
    TasksStarted {
        /// Job of the tasks.
        id: JobId,
        /// Task, number of its run, and worker that the order goes to.
        starts: Vec<(TaskName, u32, WorkerName)>,
        /// Number of the tasks that prefer a rack and start there.
        near: usize,
        /// Number of the tasks that prefer a rack and start elsewhere.
        far: usize,
    },
    /// A task of a job waits for a place near its data, although another place is free.
    NearWaitBegun {
        /// Job that waits.
        id: JobId,
        /// Label of the rack of the data.
        rack: Arc<str>,
        /// What the decision depended on.
        inputs: Inputs,
        /// Until when the task waits at most.
        until: Instant,
    },
    /// No task of a job waits for a place near its data any more.
    NearWaitEnded {
        /// Job that waited.
        id: JobId,
        /// Time since the wait began.
        waited: Duration,
        /// Number of tasks that started near the data as the wait ended.
        near: usize,
        /// Number of tasks that started elsewhere as the wait ended.
        far: usize,
        /// Time left until the objective of the job.
        slack: Duration,
    },
    /// A poll listed a run that this scheduler does not know.
    RunUnclaimed {
        /// Task of the run.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerName,
    },
    /// The tasks of a job that other schedulers had wait no longer for runs there.
    EarlierRunsExcluded {
        /// Job concerned.
        id: JobId,
        /// Why no such run can be at work.
        evidence: NoRunsEvidence,
        /// Highest token of the other schedulers, 0 if none is known; the wait may be for another one of them.
        former: FencingToken,
        /// Time that the tasks have waited.
        waited: Duration,
        /// Number of known workers.
        workers: usize,
        /// How many of these have not reported what runs there.
        unreported: usize,
        /// Number of known workers whose entries were removed long ago.
        absent: usize,
    },
    /// A worker whose entry was removed is forgotten.
    WorkerDropped {
        /// Worker concerned.
        worker: WorkerName,
        /// Time since its entry was removed.
        departed_for: Duration,
        /// Whether it obeys this scheduler's token, as far as is known.
        has_reported: bool,
    },
    /// A message named an instance of a worker other than the known one.
    InstanceChanged {
        /// Worker concerned.
        worker: WorkerName,
        /// Message that named the other instance.
        source: InstanceSource,
        /// Start of the known instance, in Unix milliseconds; `None` if unknown.
        known_unix_ms: Option<u64>,
        /// Start of the other instance, in Unix milliseconds; `None` if unknown.
        seen_unix_ms: Option<u64>,
        /// Number of runs on the worker.
        runs: usize,
    },
    /// A reply to a poll was ignored: the poll had been given up, and a later one counts.
    PollReplyIgnored {
        /// Worker that was polled.
        worker: WorkerName,
        /// Time since the poll was sent.
        age: Duration,
    },
    /// A run has ended without success.
    RunEnded {
        /// Task of the run.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Worker that had the run.
        worker: WorkerName,
        /// Kind of the end.
        kind: EndKind,
        /// Why the run counts as ended.
        evidence: EndEvidence,
        /// Time since the start order was sent.
        took: Duration,
        /// Expected run time.
        expected: Duration,
        /// Last reported progress, 0 to 100.
        percent: u8,
    },
    /// Runs have ended together with their worker, which crashed or is out of reach.
    RunsLost {
        /// Worker that had the runs.
        worker: WorkerName,
        /// Why the runs count as ended.
        evidence: EndEvidence,
        /// Task and number of each run.
        runs: Vec<(TaskName, u32)>,
        /// Number of runs there that no entry VM had claimed.
        unclaimed: usize,
    },
    /// It is known why a worker was silent under which runs were lost.
    SilenceExplained {
        /// Worker concerned.
        worker: WorkerName,
        /// Why it was silent.
        cause: SilenceCause,
        /// Task and number of each run that was lost.
        runs: Vec<(TaskName, u32)>,
    },
    /// A task is given up, and its job fails, as it crashes its workers.
    TaskGivenUp {
        /// Task that is given up.
        task: TaskName,
        /// Number of its runs that were lost with their workers.
        lost_runs: usize,
        /// How many of these workers are known to have crashed.
        crashes: usize,
    },
    /// The tasks of a queue seem to crash workers: they run on a part of the workers only.
    QueueConfined {
        /// Queue concerned.
        queue: Arc<str>,
    },
    /// No worker has crashed lately under the tasks of a confined queue, which runs everywhere again.
    QueueReleased {
        /// Queue concerned.
        queue: Arc<str>,
    },
    /// The grace of an evacuation is over: nothing starts in the data centre any more.
    EvacuationInForce {
        /// Data centre concerned.
        data_centre: Arc<str>,
        /// Time for which the request has been known to any process.
        known_for: Duration,
        /// Number of runs that are still there.
        runs: usize,
    },
    /// Waiting jobs are ended, as nothing may start any more on the workers that could run them.
    JobsEvacuated {
        /// Number of the jobs.
        jobs: usize,
        /// All evacuated data centres.
        data_centres: Vec<Arc<str>>,
    },
    /// The speed factor of a label of workers has become certain to differ from 1, or has ceased to be.
    LabelSpeedChanged {
        /// Label concerned.
        label: Arc<str>,
        /// Present estimate of the factor.
        factor: f64,
        /// Standard deviation of the logarithm of the factor.
        deviation: f64,
        /// Number of the workers with the label.
        workers: usize,
        /// Whether the factor is certain now.
        is_certain: bool,
    },
    /// Workers have become certain to differ from the others of their labels, or have ceased to be.
    WorkerSpeedsChanged {
        /// Some of the workers, with their factors.
        workers: Vec<(WorkerName, f64)>,
        /// Number of further workers.
        others: usize,
        /// Whether their factors are certain now.
        is_certain: bool,
    },
    /// A queue exceeds its share of its service's capacity, or has returned to it.
    ShareChanged(Change),
    /// A run is being stopped.
    RunStopped {
        /// Task of the run.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerName,
        /// Cause of the stop.
        cause: StopCause,
    },
    /// The order to stop a run is sent again, as the worker has not answered.
    StopUnanswered {
        /// Task of the run.
        task: TaskName,
        /// Number of the task's run.
        run: u32,
        /// Worker that has the run.
        worker: WorkerName,
        /// Time since the first order without an answer.
        unanswered_for: Duration,
    },
    /// The condition of a worker has changed.
    WorkerConditionChanged {
        /// Worker concerned.
        worker: WorkerName,
        /// New condition.
        belief: WorkerCondition,
        /// Polls in a row that were not answered.
        misses: u32,
        /// Time for which the worker is paused.
        pause: Duration,
        /// Number of runs on the worker.
        runs: usize,
    },
}
