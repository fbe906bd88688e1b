//! What the dispatcher asks its host to do.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::command::{JobSpec, Waiter};
use crate::modules::handover::{HandOverMessage, HandOverReply};
use crate::modules::journal::JournalEntry;
use crate::modules::loans::{BorrowRequest, Grant, SlotReturn};
use crate::modules::membership::{PeerChange, PeerNews};
use crate::modules::targets::TaskKey;
use crate::names::VmName;
use crate::query::JobProgress;
use crate::reason::Reason;
use crate::ticket::{Incarnation, Ticket};
use crate::verdict::Verdict;

/// Name of a task towards its target: the same for every attempt to start it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{ticket}.{index}")]
pub struct TaskId {
    /// Submission of the task.
    pub ticket: Ticket,
    /// Position in the job, from 0.
    pub index: u32,
}

/// Result of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskResult {
    /// Whether it ran.
    pub verdict: Verdict,
    /// Its output; empty unless it completed.
    pub output: String,
}

/// Memory that an allocation takes beyond its content, in bytes.
const ALLOCATION_BYTES: usize = 16;

/// Whole answer to one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Whether the job ran: [`Verdict::Completed`] only if every task completed.
    pub verdict: Verdict,
    /// Why it failed; `None` for a complete job.
    pub reason: Option<Reason>,
    /// Results in the order of the job's tasks.
    pub tasks: Vec<TaskResult>,
}

impl Answer {
    /// Whether every task completed.
    pub fn is_complete(&self) -> bool {
        self.verdict == Verdict::Completed
    }

    /// Memory of a kept answer in bytes, with what the allocator adds to each of its parts.
    pub fn bytes(&self) -> usize {
        let of_task = |task: &TaskResult| task.output.len() + size_of_val(task) + ALLOCATION_BYTES;
        let tasks: usize = self.tasks.iter().map(of_task).sum();
        size_of_val(self) + 2 * ALLOCATION_BYTES + tasks
    }
}

/// Refusal of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Whether the submission may have run.
    pub verdict: Verdict,
    /// Why it is refused.
    pub reason: Reason,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Refusal of a submission that never ran and never will under its ticket.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Refusal of a submission of which nobody here knows whether it ran.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// The same refusal, with a time after which asking again may help.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Reply to one waiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The whole answer.
    Answer {
        /// Submission that it answers.
        ticket: Ticket,
        /// The answer, shared by all waiters and the claim table.
        answer: Arc<Answer>,
    },
    /// No answer yet.
    Progress(JobProgress),
    /// Refused.
    Rejected(Rejection),
    /// To a process that hands its claims over.
    HandOver(HandOverReply),
    /// Slots lent to another entry VM.
    Lent(Grant),
}

/// Request passed on to the owner of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Submit at the owner.
    Submit {
        /// Name of the submission.
        ticket: Ticket,
        /// The job.
        job: JobSpec,
    },
    /// Ask the owner for the answer.
    Watch {
        /// Name of the submission.
        ticket: Ticket,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Cancel at the owner.
    Cancel {
        /// Name of the submission.
        ticket: Ticket,
    },
}

impl PeerCall {
    /// Ticket that the request is about.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Submit { ticket, .. } | Self::Watch { ticket, .. } | Self::Cancel { ticket } => {
                *ticket
            }
        }
    }
}

/// How far a hand-over is, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum HandOverStage {
    /// The heir is named.
    Begun,
    /// No other entry VM of the data centre can be the heir.
    NoHeir,
    /// The heir has the authority.
    Acknowledged,
    /// The heir did not take it; unknown tickets never start.
    Failed,
    /// Another process has handed its table over to this one.
    Taken,
}

/// One thing for the host to do.
#[derive(Debug)]
pub enum Effect {
    /// Start a task on a target.
    Start {
        /// Key to end it with.
        task: TaskKey,
        /// Name towards the target.
        id: TaskId,
        /// Address of the target.
        address: SocketAddr,
        /// Input of the task.
        payload: Arc<str>,
        /// Time after which the target stops it.
        lease: Duration,
    },
    /// Stop a running task.
    Stop {
        /// Name towards the target.
        id: TaskId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Reply to a waiter, once.
    Reply {
        /// Who waits.
        waiter: Waiter,
        /// The reply.
        reply: Reply,
    },
    /// Note a submission or its answer in the journal.
    Journal(JournalEntry),
    /// Pass a request on to its owner, whose reply goes to the waiter.
    Forward {
        /// Who waits.
        waiter: Waiter,
        /// Peer address of the owner or its heir.
        address: SocketAddr,
        /// The request.
        call: PeerCall,
        /// Longest wait for the reply.
        timeout: Duration,
    },
    /// Send a message of a hand-over to the heir.
    HandOver {
        /// Peer address.
        address: SocketAddr,
        /// The message.
        message: Arc<HandOverMessage>,
    },
    /// Say that a hand-over has come to a stage.
    ReportHandOver {
        /// Incarnation whose table it is.
        owner: Incarnation,
        /// The stage.
        stage: HandOverStage,
    },
    /// Say that a peer has come or gone.
    ReportPeerChange(PeerChange),
    /// Send a heartbeat to another entry VM.
    Heartbeat {
        /// Peer address.
        address: SocketAddr,
        /// State of this VM.
        news: PeerNews,
        /// Hash of the digest of the peer's data centre that is known here; 0 for none.
        known_digest: u64,
    },
    /// Ask a peer of the own data centre for its list of targets.
    FetchTargets {
        /// Peer address.
        address: SocketAddr,
    },
    /// Ask another entry VM for its sheet, which is newer than the one in force here.
    FetchSheet {
        /// Peer address.
        address: SocketAddr,
    },
    /// Ask another entry VM for slots; the reply comes as [`crate::Command::ReceiveGrant`].
    Borrow {
        /// Peer address.
        address: SocketAddr,
        /// The wish.
        req: BorrowRequest,
    },
    /// Return slots to their lender.
    Return(SlotReturn),
    /// A target gets trials only, as it fails more than its peers.
    TargetEjected {
        /// Its VM.
        vm: VmName,
    },
    /// A sheet came into force here.
    SheetInForce {
        /// Its revision.
        revision: u64,
    },
    /// Everything that ran here has ended after [`crate::Command::Drain`].
    Drained,
}
