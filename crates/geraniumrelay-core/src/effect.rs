//! Effects: output of the dispatcher that the host carries out.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::Display;

use crate::command::{JobSpec, Waiter};
use crate::modules::handover::{HandOverMessage, HandOverReply};
use crate::modules::journal::JournalEntry;
use crate::modules::loans::{BorrowRequest, Grant, SlotReturn};
use crate::modules::membership::{PeerChange, PeerStatus};
use crate::modules::targets::TaskKey;
use crate::names::VmName;
use crate::query::JobProgress;
use crate::reason::Reason;
use crate::ticket::{Incarnation, Ticket};
use crate::verdict::Verdict;

/// Id of a task as its target sees it; the same for every attempt to start the task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display("{ticket}.{index}")]
pub struct TaskId {
    /// Submission that the task belongs to.
    pub ticket: Ticket,
    /// Index within the job, from 0.
    pub index: u32,
}

/// Result of one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskResult {
    /// Whether the task ran.
    pub verdict: Verdict,
    /// Output of the task; empty unless the task completed.
    pub output: String,
}

/// Allocator overhead of one allocation in bytes.
const ALLOCATION_BYTES: usize = 16;

/// Final answer to one submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Whether the job ran: [`Verdict::Completed`] only if every task completed.
    pub verdict: Verdict,
    /// Reason of the failure; `None` if every task completed.
    pub reason: Option<Reason>,
    /// Results in the order of the job's tasks.
    pub tasks: Vec<TaskResult>,
}

impl Answer {
    /// Whether every task completed.
    pub fn is_complete(&self) -> bool {
        self.verdict == Verdict::Completed
    }

    /// Memory use of a stored answer in bytes, including the allocator overhead of each part.
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
    /// Reason of the refusal.
    pub reason: Reason,
    /// Time after which a retry may succeed; `None` if no retry is advised.
    pub retry_after: Option<Duration>,
}

impl Rejection {
    /// Creates the refusal of a submission that never ran and never will under its ticket.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Creates the refusal of a submission that may have run; this VM can't determine whether it
    /// did.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            verdict: Verdict::MayHaveRun,
            reason,
            retry_after: None,
        }
    }

    /// Returns the refusal with a time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Reply to one waiter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Final answer; the job has ended.
    Answer {
        /// Id of the submission.
        ticket: Ticket,
        /// Answer, shared by all waiters and the claim table.
        answer: Arc<Answer>,
    },
    /// The job has not ended; reply to [`crate::Query::Job`].
    Progress(JobProgress),
    /// The request is refused.
    Rejected(Rejection),
    /// Reply to a hand-over message.
    HandOver(HandOverReply),
    /// Reply to a borrow request; a grant without slots is a refusal.
    Lent(Grant),
}

/// Request that is forwarded to the owner of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerCall {
    /// Submit a job.
    Submit {
        /// Id of the submission.
        ticket: Ticket,
        /// Service, request kind and tasks.
        job: JobSpec,
    },
    /// Wait for the answer of a submission.
    Watch {
        /// Id of the submission.
        ticket: Ticket,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
    /// Cancel a submission.
    Cancel {
        /// Id of the submission.
        ticket: Ticket,
    },
}

impl PeerCall {
    /// Ticket whose owner receives the request.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Submit { ticket, .. } | Self::Watch { ticket, .. } | Self::Cancel { ticket } => {
                *ticket
            }
        }
    }
}

/// Stage of a hand-over, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display(rename_all = "kebab-case")]
pub enum HandOverStage {
    /// The successor is chosen.
    Begun,
    /// No other entry VM of the data centre can be the successor.
    #[display("no-heir")]
    NoSuccessor,
    /// The successor has the authority to start tickets that are not in the table.
    Acknowledged,
    /// The successor did not accept the table; tickets that are not in the table never start.
    Failed,
    /// Another process has handed its table over to this one.
    #[display("taken")]
    Received,
}

/// Action for the host to carry out.
#[derive(Debug)]
pub enum Effect {
    /// Start a task on a target.
    Start {
        /// Key for [`crate::Command::EndTask`].
        task: TaskKey,
        /// Id of the task as the target sees it.
        id: TaskId,
        /// Address of the target.
        address: SocketAddr,
        /// Input of the task, not interpreted by the dispatcher.
        payload: Arc<str>,
        /// Time after which the target stops the task.
        lease: Duration,
    },
    /// Stop a running task.
    Stop {
        /// Id of the task as the target sees it.
        id: TaskId,
        /// Address of the target.
        address: SocketAddr,
    },
    /// Reply to a waiter; each waiter gets one reply at most.
    Reply {
        /// Request that waits for the reply.
        waiter: Waiter,
        /// Answer, progress, refusal or grant.
        reply: Reply,
    },
    /// Append a submission or its answer to the journal.
    Journal(JournalEntry),
    /// Forward a request to the owner of its ticket, whose reply goes to the waiter.
    Forward {
        /// Request that waits for the reply.
        waiter: Waiter,
        /// Peer address of the owner or its successor.
        address: SocketAddr,
        /// Forwarded request.
        call: PeerCall,
        /// Maximum wait for the reply.
        timeout: Duration,
    },
    /// Send a hand-over message to the successor.
    HandOver {
        /// Peer address.
        address: SocketAddr,
        /// Part of the claim table.
        message: Arc<HandOverMessage>,
    },
    /// Log and count that a hand-over has reached a stage.
    ReportHandOver {
        /// Incarnation that owns the claim table.
        owner: Incarnation,
        /// Stage that the hand-over has reached.
        stage: HandOverStage,
    },
    /// Log that a peer has become reachable or unresponsive.
    ReportPeerChange(PeerChange),
    /// Send a heartbeat to another entry VM.
    Heartbeat {
        /// Peer address.
        address: SocketAddr,
        /// Status of this VM.
        status: PeerStatus,
        /// Hash of the last peer digest received from the data centre of the recipient; 0 if none.
        known_digest: u64,
    },
    /// Request the list of targets from a peer of the same data centre.
    FetchTargets {
        /// Peer address.
        address: SocketAddr,
    },
    /// Request the sheet of another entry VM, which is newer than the one in force here.
    FetchSheet {
        /// Peer address.
        address: SocketAddr,
    },
    /// Request slots from another entry VM; the reply arrives as [`crate::Command::ReceiveGrant`].
    Borrow {
        /// Peer address.
        address: SocketAddr,
        /// Service, number of slots and urgency.
        req: BorrowRequest,
    },
    /// Return borrowed slots to their lender.
    Return(SlotReturn),
    /// Log and count the ejection of a target: it gets trial tasks only, because it fails more
    /// often than the other targets of the service.
    TargetEjected {
        /// VM of the target.
        vm: VmName,
    },
    /// Log that a sheet is in force on this VM.
    SheetInForce {
        /// Revision of the sheet.
        revision: u64,
    },
    /// Tell the host that the graceful stop after [`crate::Command::Drain`] is complete: no job or
    /// task is left and the hand-over has ended.
    Drained,
}
