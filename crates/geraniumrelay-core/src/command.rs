//! What the dispatcher is told to do.

use std::net::SocketAddr;
use std::sync::Arc;

use derive_more::Display;

use crate::collections::Set;
use crate::modules::digest::PeerDigest;
use crate::modules::handover::{HandOverMessage, HandOverReply};
use crate::modules::loans::{BorrowRequest, Grant, LoanId, TargetSlots};
use crate::modules::membership::PeerNews;
use crate::modules::sheet::Sheet;
use crate::modules::targets::{TargetInfo, TaskKey};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};
use crate::ticket::{Incarnation, Ticket};

/// Name of one waiting caller, given by the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub struct Waiter(pub u64);

/// Who passed a request to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A caller, through the balancer.
    Caller,
    /// Another entry VM; never passed on again.
    Peer,
}

/// One task as submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSpec {
    /// Opaque input of the task.
    pub payload: Arc<str>,
    /// Declared run time in milliseconds; a hint only.
    pub expected_ms: Option<u64>,
}

/// One job as submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSpec {
    /// Service that runs the tasks.
    pub service: ServiceName,
    /// Request kind.
    pub kind: KindName,
    /// Team whose quota counts, where one was named.
    pub team: Option<TeamName>,
    /// Time the caller waits, in milliseconds from arrival; the sheet's where absent.
    pub deadline_ms: Option<u64>,
    /// The parallel tasks, in order.
    pub tasks: Vec<TaskSpec>,
}

/// How a task's start ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TaskOutcome {
    /// The target answered with the task's output.
    Completed {
        /// Output of the task.
        output: String,
    },
    /// The target ran the task and it failed.
    Failed,
    /// The task did not start: refused by the target, or no connection was made.
    NotStarted {
        /// What kept it from starting.
        cause: NotStartedCause,
    },
    /// The connection broke or the lease lapsed; the task may have run.
    Unknown,
}

/// What kept a task from starting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotStartedCause {
    /// The target has no free slot.
    Full,
    /// The target is leaving.
    Leaving,
    /// No connection to the target was made.
    Unreachable,
    /// This VM had no free dispatch thread.
    NotSent,
}

/// One command to the dispatcher.
#[derive(Debug)]
pub enum Command {
    /// Run a job under a ticket, or join its earlier submission.
    Submit {
        /// Name of the submission.
        ticket: Ticket,
        /// Hash of the body; a resubmission must bring the same.
        digest: u128,
        /// The job.
        job: JobSpec,
        /// Who waits for the answer.
        waiter: Waiter,
        /// Who passed it here.
        origin: Origin,
    },
    /// Wait for the answer of a ticket without submitting.
    Watch {
        /// Name of the submission.
        ticket: Ticket,
        /// Longest wait in milliseconds; the host ends it.
        wait_ms: u64,
        /// Who waits.
        waiter: Waiter,
        /// Who passed it here.
        origin: Origin,
    },
    /// Cancel a submission, or spend its ticket where it has not arrived.
    Cancel {
        /// Name of the submission.
        ticket: Ticket,
        /// Who waits for the outcome.
        waiter: Waiter,
        /// Who passed it here.
        origin: Origin,
    },
    /// These waiters have gone; what they asked for goes on without them.
    DropWaiters(Set<Waiter>),
    /// A started task has ended.
    EndTask {
        /// The task.
        task: TaskKey,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// Put a sheet in force, if it is newer than the one in force.
    ApplySheet(Arc<Sheet>),
    /// The same, for a sheet that a peer gave; the peer is told once it is in force.
    ApplyPeerSheet {
        /// The sheet.
        sheet: Arc<Sheet>,
        /// Peer address of the giver.
        from: SocketAddr,
    },
    /// Take over the platform's list of targets.
    UpdateTargets(Vec<TargetInfo>),
    /// Take over a peer's list of targets, where the platform has given none yet.
    UpdateTargetsFromPeer(Vec<TargetInfo>),
    /// Take over the platform's list of entry VMs.
    UpdatePeers(Vec<PeerNews>),
    /// Note a heartbeat of another entry VM.
    RecordHeartbeat(PeerNews),
    /// Lend slots to another entry VM.
    LendSlots {
        /// What it wishes for.
        req: BorrowRequest,
        /// Who waits for the grant.
        waiter: Waiter,
    },
    /// Take over the reply to a wish for slots.
    ReceiveGrant {
        /// Service whose slots were wished for.
        service: ServiceName,
        /// Peer address of the lender.
        lender: SocketAddr,
        /// Its reply, where there was one.
        grant: Option<Grant>,
    },
    /// Take lent slots back.
    AcceptReturn {
        /// The loan.
        loan: LoanId,
        /// Slots that come back.
        slots: Vec<TargetSlots>,
    },
    /// Note what a contact in another data centre says of the entry VMs there.
    RecordPeerDigest {
        /// The data centre.
        data_centre: DataCentre,
        /// Its entry VMs.
        digest: PeerDigest,
    },
    /// Take a message of another process that hands its claims over.
    ReceiveHandOver {
        /// The message.
        message: HandOverMessage,
        /// Who waits for the reply.
        waiter: Waiter,
    },
    /// The heir has replied to a message of the hand-over from here.
    ReceiveHandOverReply {
        /// Incarnation whose table it is.
        owner: Incarnation,
        /// Position of the message.
        number: u64,
        /// What the heir said.
        reply: HandOverReply,
    },
    /// Start nothing new, hand the claims over and let what runs finish.
    Drain,
    /// Let time pass: deadlines, retries, heartbeats.
    Tick,
}
