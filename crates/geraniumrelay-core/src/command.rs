//! Commands to the dispatcher: submissions, task ends, status of other processes and time.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use crate::collections::Set;
use crate::modules::handover::{HandOverMessage, HandOverReply};
use crate::modules::loans::{BorrowRequest, Grant, LoanId, TargetSlots};
use crate::modules::membership::PeerStatus;
use crate::modules::peer_digest::PeerDigest;
use crate::modules::sheet::Sheet;
use crate::modules::targets::{TargetInfo, TaskKey};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};
use crate::ticket::{Incarnation, Ticket};

/// Id of one waiting request, assigned by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub struct Waiter(pub u64);

/// Sender of a request to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller, through the balancer.
    Caller,
    /// Another entry VM; this VM does not forward the request again.
    Peer,
}

/// One task as submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// Input of the task, not interpreted by the dispatcher.
    pub payload: Arc<str>,
    /// Run time declared by the caller, in milliseconds; used as a hint only.
    pub expected_ms: Option<u64>,
}

/// One job as submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Request kind, which determines urgency and default deadline.
    pub kind: KindName,
    /// Team whose share the job counts towards; `None` if the caller named none.
    pub team: Option<TeamName>,
    /// Time the caller waits, in milliseconds from arrival; `None` uses the deadline of the request
    /// kind, which also is the upper limit.
    pub deadline_ms: Option<u64>,
    /// Tasks, which may run in parallel; results are returned in this order.
    pub tasks: Vec<TaskSpec>,
}

/// Outcome of one attempt to run a task on a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The target returned the task's output.
    Completed {
        /// Output of the task, not interpreted by the dispatcher.
        output: String,
    },
    /// The target ran the task and it failed.
    Failed,
    /// The task did not start: the target refused it, or it was never sent.
    NotStarted {
        /// Reason why the task did not start.
        cause: NotStartedCause,
    },
    /// The connection broke or the lease expired; the task may have run.
    Unknown,
}

/// Reason why a task did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStartedCause {
    /// The target has no free slot.
    Full,
    /// The target is shutting down.
    Leaving,
    /// No connection to the target could be opened.
    Unreachable,
    /// No dispatch thread of this VM was free; the target was not contacted.
    NotSent,
}

/// Input of the dispatcher.
#[derive(Debug)]
pub enum Command {
    /// Run a job under a ticket, or wait for the answer if the ticket was submitted before.
    Submit {
        /// Id of the submission.
        ticket: Ticket,
        /// Hash of the body; a resubmission must have the same hash.
        digest: u128,
        /// Service, request kind and tasks.
        job: JobSpec,
        /// Request that waits for the answer.
        waiter: Waiter,
        /// Sender of the request.
        origin: Origin,
    },
    /// Wait for the answer of a ticket without submitting a job.
    Watch {
        /// Id of the submission.
        ticket: Ticket,
        /// Maximum wait in milliseconds; the host enforces it.
        wait_ms: u64,
        /// Request that waits for the answer.
        waiter: Waiter,
        /// Sender of the request.
        origin: Origin,
    },
    /// Cancel a submission; a ticket whose submission has not arrived is marked as not run.
    Cancel {
        /// Id of the submission.
        ticket: Ticket,
        /// Request that waits for the outcome.
        waiter: Waiter,
        /// Sender of the request.
        origin: Origin,
    },
    /// Remove waiters whose connections have closed; their jobs continue.
    DropWaiters(Set<Waiter>),
    /// Process the end of a started task.
    EndTask {
        /// Key from [`crate::Effect::Start`].
        task: TaskKey,
        /// Outcome of the attempt.
        outcome: TaskOutcome,
    },
    /// Apply a sheet from the platform, if it is newer than the one in force.
    ApplySheet(Arc<Sheet>),
    /// Apply a sheet from a peer, if it is newer; the peer then receives a heartbeat with the new
    /// revision.
    ApplyPeerSheet {
        /// Sheet of the peer.
        sheet: Arc<Sheet>,
        /// Peer address of the sender.
        from: SocketAddr,
    },
    /// Replace the known targets by the platform's list.
    UpdateTargets(Vec<TargetInfo>),
    /// Replace the known targets by a peer's list, until the platform's list arrives.
    UpdateTargetsFromPeer(Vec<TargetInfo>),
    /// Update the known entry VMs from the platform's list.
    UpdatePeers(Vec<PeerStatus>),
    /// Record a heartbeat of another entry VM.
    RecordHeartbeat(PeerStatus),
    /// Lend slots to another entry VM.
    LendSlots {
        /// Service, number of slots and urgency.
        req: BorrowRequest,
        /// Request that waits for the grant.
        waiter: Waiter,
    },
    /// Record a lender's reply to a borrow request.
    ReceiveGrant {
        /// Service whose slots were requested.
        service: ServiceName,
        /// Peer address of the lender.
        lender: SocketAddr,
        /// Grant; `None` if the lender did not reply.
        grant: Option<Grant>,
    },
    /// Take back slots that a borrower returns.
    AcceptReturn {
        /// Loan that the slots belong to.
        loan: LoanId,
        /// Returned slots by target.
        slots: Vec<TargetSlots>,
    },
    /// Record the peer digest that the representative of another data centre sent.
    RecordPeerDigest {
        /// Data centre that the digest describes.
        data_centre: DataCentre,
        /// Status of the entry VMs there.
        digest: PeerDigest,
    },
    /// Process a message from another process that hands its claims over to this one.
    ReceiveHandOver {
        /// Part of the claim table.
        message: HandOverMessage,
        /// Request that waits for the reply.
        waiter: Waiter,
    },
    /// Process the successor's reply to a hand-over message from this process.
    ReceiveHandOverReply {
        /// Incarnation that owns the claim table.
        owner: Incarnation,
        /// Number of the message within the hand-over, from 0.
        number: u64,
        /// Reply of the successor.
        reply: HandOverReply,
    },
    /// Stop gracefully: accept no new submissions, hand the claims over and finish the running
    /// jobs.
    Drain,
    /// Process timers: deadlines, pauses, loans, heartbeats and hand-over messages.
    Tick,
}
