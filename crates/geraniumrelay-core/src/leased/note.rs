//! What the scheduler decided and why, for the log.

use std::time::Duration;

use derive_more::Display;

use super::admission::Backlog;
use super::effect::JobOutcome;
use super::names::{JobId, TaskName, WorkerName};
use super::report::EndKind;

/// Why a run was stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum StopCause {
    /// It makes no progress.
    #[display("stalled")]
    Stalled,
    /// Its worker is slow, and it can still end in time elsewhere.
    #[display("slow-worker")]
    SlowWorker,
    /// Its order was not answered and a later look did not show it.
    #[display("order-unanswered")]
    OrderUnanswered,
    /// An earlier scheduler started it, and nobody has asked for it.
    #[display("orphan")]
    Unclaimed,
    /// It is not certain any more that this scheduler decides on its job.
    #[display("epoch-unconfirmed")]
    EpochUnconfirmed,
}

/// What is believed of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum WorkerCondition {
    /// It answers again.
    #[display("answers")]
    Responsive,
    /// It does not answer.
    #[display("silent")]
    Unresponsive,
    /// It is set aside for a while, as its tasks fail or stand still.
    #[display("faulty")]
    Faulty,
    /// It has started anew.
    #[display("new-life")]
    Restarted,
    /// It obeys a scheduler with a higher token.
    #[display("taken")]
    FollowsHigherToken,
    /// It lists ends of runs that count as lost; its leases must lapse before they are acknowledged.
    #[display("void-ends")]
    StaleEnds,
}

/// A line for the log.
#[derive(Debug, Clone, PartialEq)]
pub enum LogEvent {
    /// A job is over.
    JobEnded {
        /// The job.
        id: JobId,
        /// How it ended.
        outcome: JobOutcome,
        /// What waited before it when it came, and the wait that followed from that.
        admission: Option<(Backlog, Option<Duration>)>,
        /// Time for which it could wait when it came.
        slack: Duration,
        /// Time from its arrival to its first start.
        waited: Option<Duration>,
        /// Time from its arrival to its end.
        took: Duration,
        /// Time from its arrival to its objective.
        objective: Duration,
        /// Runs beyond one for each task.
        reruns: u32,
    },
    /// A run ended without success.
    RunEnded {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// Its worker.
        worker: WorkerName,
        /// How it ended.
        kind: EndKind,
        /// Time since it was ordered.
        took: Duration,
        /// Time that it was expected to take.
        expected: Duration,
        /// Its progress when last seen.
        percent: u8,
    },
    /// A run is being stopped.
    RunStopped {
        /// The task.
        task: TaskName,
        /// The run.
        run: u32,
        /// Its worker.
        worker: WorkerName,
        /// Why.
        cause: StopCause,
    },
    /// What is believed of a worker has changed.
    WorkerConditionChanged {
        /// The worker.
        worker: WorkerName,
        /// What is believed now.
        belief: WorkerCondition,
        /// Calls in a row that it did not answer.
        misses: u32,
        /// For how long it is set aside.
        pause: Duration,
        /// Tasks that it has.
        runs: usize,
    },
}
