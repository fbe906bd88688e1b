//! What may be asked of the dispatcher without changing it.

use crate::ticket::Ticket;

/// One question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// How far a submission is.
    Job(Ticket),
}

/// How far a submission without an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProgress {
    /// Name of the submission.
    pub ticket: Ticket,
    /// Tasks that have not started.
    pub queued: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that have ended.
    pub ended: u32,
}
