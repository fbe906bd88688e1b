//! Why a submission was refused or failed.

use derive_more::{Display, FromStr};

/// Cause of a refusal or failure, in the form callers see.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Reason {
    /// The sheet names no such service.
    UnknownService,
    /// The service has no such request kind.
    UnknownKind,
    /// The sheet gives the team no share of the service.
    UnknownTeam,
    /// The job has no tasks.
    NoTasks,
    /// The job has more tasks than a job may have.
    TooManyTasks,
    /// The service is draining or retired.
    ServiceLeaving,
    /// No target of the service is alive here.
    NoCapacity,
    /// The queue is full.
    QueueFull,
    /// The deadline can't be met.
    DeadlineUnreachable,
    /// The deadline passed.
    DeadlinePassed,
    /// The caller cancelled.
    Cancelled,
    /// A task failed on its target.
    TaskFailed,
    /// A target stopped answering; its task may have run.
    TargetLost,
    /// Targets refused the task until the retry budget was spent.
    RetriesSpent,
    /// This VM is stopping and takes nothing new.
    VmLeaving,
    /// The ticket is no ticket of this system.
    BadTicket,
    /// The ticket has not been submitted yet.
    UnknownTicket,
    /// The ticket was submitted before with another body.
    OtherBody,
    /// The ticket is older than what its owner remembers.
    TicketExpired,
    /// The incarnation that owns the ticket is gone.
    OwnerGone,
    /// The incarnation that owns the ticket can't be reached now.
    OwnerUnreachable,
    /// No sheet is in force yet.
    NoSheet,
    /// The answer is known to have existed but is no longer kept.
    AnswerDropped,
    /// This VM has more requests than it can take.
    Overloaded,
    /// Too many requests wait for the answer of this job.
    TooManyWaiters,
    /// The platform's table, which binds idempotency keys, can't be reached.
    StoreAway,
}
