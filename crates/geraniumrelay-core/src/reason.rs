//! Reasons for which a submission is refused or fails.

use derive_more::{Display, FromStr};

/// Cause of a refusal or failure; callers receive its kebab-case name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "kebab-case")]
#[from_str(rename_all = "kebab-case")]
pub enum Reason {
    /// The sheet does not list the service.
    UnknownService,
    /// The sheet does not list the request kind for the service.
    UnknownKind,
    /// The sheet does not assign the team a share of the service.
    UnknownTeam,
    /// The job has no tasks.
    NoTasks,
    /// The job has more tasks than `admission.max_tasks_per_job`.
    TooManyTasks,
    /// The service is not active in this data centre: draining, retired or not listed there.
    ServiceLeaving,
    /// This VM knows no target of the service that accepts new tasks.
    NoCapacity,
    /// The queue of the service is full.
    QueueFull,
    /// The deadline can't be met, according to the estimated run time and the queued work.
    DeadlineUnreachable,
    /// The deadline passed before every task ended.
    DeadlinePassed,
    /// The caller cancelled the submission.
    Cancelled,
    /// A task failed on its target.
    TaskFailed,
    /// A target stopped responding; its task may have run.
    TargetLost,
    /// The task could not be started within the allowed attempts or the retry budget.
    RetriesSpent,
    /// This VM is stopping and accepts no new submissions.
    VmLeaving,
    /// The ticket was not issued by this system: its keyed hash does not match.
    BadTicket,
    /// No submission with the ticket has arrived.
    UnknownTicket,
    /// The ticket was submitted earlier with a different body.
    OtherBody,
    /// The ticket is below the low watermark of its owner's claim table.
    TicketExpired,
    /// The incarnation that owns the ticket has ended, or no longer decides on the ticket.
    OwnerGone,
    /// The incarnation that owns the ticket is currently unreachable.
    OwnerUnreachable,
    /// No sheet is in force yet.
    NoSheet,
    /// The job was answered, but the answer was dropped to bound memory.
    AnswerDropped,
    /// This VM has more requests than it can process.
    Overloaded,
    /// Too many requests are already waiting for the answer of this job.
    TooManyWaiters,
    /// The platform's table that binds idempotency keys is unreachable.
    StoreAway,
}
