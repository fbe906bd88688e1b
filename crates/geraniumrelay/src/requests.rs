//! Inputs of the decision thread, and the sending end of its channel.

use std::time::Duration;

use flume::{Receiver, Sender};
use geraniumrelay_core::modules::handover::HandOverMessage;
use geraniumrelay_core::modules::loans::BorrowRequest;
use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::peer_digest::PeerDigest;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::names::DataCentre;
use geraniumrelay_core::{Command, JobSpec, Origin, Query, Reply, Report, ReportQuery, Ticket};

/// Maximum number of inputs queued for the decision thread.
const CHANNEL_CAPACITY: usize = 16_384;

/// Queue length from which requests are refused, so that there is still room for the ends of tasks.
const MAX_QUEUED_REQUESTS: usize = CHANNEL_CAPACITY / 2;

/// Request for which a waiter expects a reply.
#[derive(Debug)]
pub enum Call {
    /// Run a job, or wait for it if the ticket was submitted before.
    Submit {
        /// Ticket of the submission.
        ticket: Ticket,
        /// Body digest, by which a ticket that is used for another body is detected.
        digest: u128,
        /// Job to run.
        job: JobSpec,
        /// Sender of the request.
        origin: Origin,
    },
    /// Wait for the answer of a submission.
    Watch {
        /// Ticket of the submission.
        ticket: Ticket,
        /// Maximum wait.
        wait: Duration,
        /// Sender of the request.
        origin: Origin,
    },
    /// Cancel a submission.
    Cancel {
        /// Ticket of the submission.
        ticket: Ticket,
        /// Sender of the request.
        origin: Origin,
    },
}

impl Call {
    /// Ticket of the submission.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Submit { ticket, .. }
            | Self::Watch { ticket, .. }
            | Self::Cancel { ticket, .. } => *ticket,
        }
    }

    /// Body digest; `None` for requests other than a submission.
    pub fn digest(&self) -> Option<u128> {
        match self {
            Self::Submit { digest, .. } => Some(*digest),
            Self::Watch { .. } | Self::Cancel { .. } => None,
        }
    }
}

/// Sender of a heartbeat, with the fields on which the reply depends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// Data centre of the sender; a peer digest goes only to another data centre.
    pub data_centre: DataCentre,
    /// Hash of the last peer digest that the sender received from this data centre; 0 if none.
    pub known_digest: u64,
}

/// Content of the reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnStatus {
    /// Status of this VM.
    pub status: PeerStatus,
    /// Digest of the entry VMs of this data centre; `None` for a sender in it.
    pub digest: Option<PeerDigest>,
}

/// Input of the decision thread.
#[derive(Debug)]
pub enum Input {
    /// Request with a waiter.
    Call {
        /// Request to handle.
        call: Call,
        /// Receiver of the single reply.
        tx: Sender<Reply>,
    },
    /// Borrow request of another entry VM.
    LendSlots {
        /// Service, number of slots and urgency.
        req: BorrowRequest,
        /// Receiver of the grant.
        tx: Sender<Reply>,
    },
    /// Message of another process that hands its claims over to this one.
    HandOver {
        /// Message to process.
        message: HandOverMessage,
        /// Receiver of the reply for the sender.
        tx: Sender<Reply>,
    },
    /// Command without a reply.
    Command(Command),
    /// Query of the targets known to this VM.
    QueryTargets {
        /// Receiver of the result.
        tx: Sender<Vec<TargetInfo>>,
    },
    /// Query of the content of a heartbeat reply.
    QueryStatus {
        /// Sender of the heartbeat.
        requester: Requester,
        /// Receiver of the result.
        tx: Sender<OwnStatus>,
    },
    /// Query of a report for operators.
    QueryReport {
        /// Report to create.
        query: ReportQuery,
        /// Receiver of the result.
        tx: Sender<Report>,
    },
    /// Query that changes no state.
    Query {
        /// Query to answer.
        query: Query,
        /// Receiver of the result.
        tx: Sender<Option<Reply>>,
    },
}

/// The channel to the decision thread has no room for further requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded;

/// Sending end of the channel to the decision thread.
#[derive(Debug, Clone)]
pub struct DecisionTx(Sender<Input>);

impl DecisionTx {
    /// Creates the bounded channel.
    pub fn channel() -> (Self, Receiver<Input>) {
        let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
        (Self(tx), rx)
    }

    /// Sends a request; the reply arrives through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`]; the request has had no effect.
    pub fn call(&self, call: Call) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::Call { call, tx })?;
        Ok(rx)
    }

    /// Sends a borrow request of another entry VM; the grant arrives through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn lend(&self, req: BorrowRequest) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::LendSlots { req, tx })?;
        Ok(rx)
    }

    /// Sends a hand-over message; the reply arrives through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`]; the message has had no effect.
    pub fn hand_over(&self, message: HandOverMessage) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::HandOver { message, tx })?;
        Ok(rx)
    }

    /// Sends a query; the result arrives through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query(&self, query: Query) -> Result<Receiver<Option<Reply>>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::Query { query, tx })?;
        Ok(rx)
    }

    /// Queries a report for operators.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_report(&self, query: ReportQuery) -> Result<Receiver<Report>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryReport { query, tx })?;
        Ok(rx)
    }

    /// Queries the targets known to this VM.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_targets(&self) -> Result<Receiver<Vec<TargetInfo>>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryTargets { tx })?;
        Ok(rx)
    }

    /// Queries the content of a heartbeat reply.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_status(&self, requester: Requester) -> Result<Receiver<OwnStatus>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryStatus { requester, tx })?;
        Ok(rx)
    }

    /// Sends a command that must not be lost; blocks while the channel is full.
    pub fn send(&self, cmd: Command) {
        // Sending fails only at the end of the process, when the decision thread has ended.
        let _ = self.0.send(Input::Command(cmd));
    }

    /// Sends a command from an asynchronous task; waits while the channel is full.
    pub async fn send_async(&self, cmd: Command) {
        // Sending fails only at the end of the process, when the decision thread has ended.
        let _ = self.0.send_async(Input::Command(cmd)).await;
    }

    fn try_send(&self, input: Input) -> Result<(), Overloaded> {
        if self.0.len() >= MAX_QUEUED_REQUESTS {
            return Err(Overloaded);
        }
        self.0.try_send(input).map_err(|_| Overloaded)
    }
}
