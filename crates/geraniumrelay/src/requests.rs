//! What other threads send to the decision thread.

use std::time::Duration;

use flume::{Receiver, Sender};
use geraniumrelay_core::modules::digest::PeerDigest;
use geraniumrelay_core::modules::handover::HandOverMessage;
use geraniumrelay_core::modules::loans::BorrowRequest;
use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::names::DataCentre;
use geraniumrelay_core::{Command, JobSpec, Origin, Query, Reply, Report, ReportQuery, Ticket};

/// Most entries of the ring to the decision thread.
const CHANNEL_CAPACITY: usize = 16_384;

/// Entries beyond which callers' requests are turned away, so that ends of tasks still fit.
const MAX_QUEUED_REQUESTS: usize = CHANNEL_CAPACITY / 2;

/// A request with somebody who waits for the reply.
#[derive(Debug)]
pub enum Call {
    /// Run a job or join its earlier submission.
    Submit {
        /// Name of the submission.
        ticket: Ticket,
        /// Hash of the body.
        digest: u128,
        /// The job.
        job: JobSpec,
        /// Who passed it here.
        origin: Origin,
    },
    /// Wait for an answer.
    Watch {
        /// Name of the submission.
        ticket: Ticket,
        /// Longest wait.
        wait: Duration,
        /// Who passed it here.
        origin: Origin,
    },
    /// Cancel a submission.
    Cancel {
        /// Name of the submission.
        ticket: Ticket,
        /// Who passed it here.
        origin: Origin,
    },
}

impl Call {
    /// Name of the submission.
    pub fn ticket(&self) -> Ticket {
        match self {
            Self::Submit { ticket, .. }
            | Self::Watch { ticket, .. }
            | Self::Cancel { ticket, .. } => *ticket,
        }
    }

    /// Hash of the body, where there is one.
    pub fn digest(&self) -> Option<u128> {
        match self {
            Self::Submit { digest, .. } => Some(*digest),
            Self::Watch { .. } | Self::Cancel { .. } => None,
        }
    }
}

/// Who sent a heartbeat, as far as the reply depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Requester {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Hash of the digest that it has of the data centre here; 0 for none.
    pub known_digest: u64,
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnStatus {
    /// State of this VM.
    pub status: PeerStatus,
    /// What is said of this data centre to another one.
    pub digest: Option<PeerDigest>,
}

/// One entry of the ring to the decision thread.
#[derive(Debug)]
pub enum Input {
    /// A request with a waiter.
    Call {
        /// The request.
        call: Call,
        /// Where its one reply goes.
        tx: Sender<Reply>,
    },
    /// Another entry VM's wish for slots.
    LendSlots {
        /// The wish.
        req: BorrowRequest,
        /// Where the grant goes.
        tx: Sender<Reply>,
    },
    /// A message of another process that hands its claims over.
    HandOver {
        /// The message.
        message: HandOverMessage,
        /// Where the reply goes.
        tx: Sender<Reply>,
    },
    /// A command that nobody waits for.
    Command(Command),
    /// Targets that are known here.
    QueryTargets {
        /// Where the answer goes.
        tx: Sender<Vec<TargetInfo>>,
    },
    /// What this VM would reply to a heartbeat.
    QueryStatus {
        /// Who asks.
        requester: Requester,
        /// Where the answer goes.
        tx: Sender<OwnStatus>,
    },
    /// An operator's question.
    QueryReport {
        /// The question.
        query: ReportQuery,
        /// Where the answer goes.
        tx: Sender<Report>,
    },
    /// A question.
    Query {
        /// The question.
        query: Query,
        /// Where the answer goes.
        tx: Sender<Option<Reply>>,
    },
}

/// The ring to the decision thread is too full for callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overloaded;

/// Sending end of the ring to the decision thread.
#[derive(Debug, Clone)]
pub struct DecisionTx(Sender<Input>);

impl DecisionTx {
    /// Makes the ring.
    pub fn channel() -> (Self, Receiver<Input>) {
        let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
        (Self(tx), rx)
    }

    /// Sends a request; its reply comes through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`], with the request neither decided nor noted.
    pub fn call(&self, call: Call) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::Call { call, tx })?;
        Ok(rx)
    }

    /// Passes another entry VM's wish for slots on; the grant comes through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn lend(&self, req: BorrowRequest) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::LendSlots { req, tx })?;
        Ok(rx)
    }

    /// Sends a message of a hand-over; the reply comes through the receiver.
    ///
    /// # Errors
    /// [`Overloaded`], with the message neither decided nor noted.
    pub fn hand_over(&self, message: HandOverMessage) -> Result<Receiver<Reply>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::HandOver { message, tx })?;
        Ok(rx)
    }

    /// Asks a question.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query(&self, query: Query) -> Result<Receiver<Option<Reply>>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::Query { query, tx })?;
        Ok(rx)
    }

    /// Asks an operator's question.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_report(&self, query: ReportQuery) -> Result<Receiver<Report>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryReport { query, tx })?;
        Ok(rx)
    }

    /// Asks for the targets that are known here.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_targets(&self) -> Result<Receiver<Vec<TargetInfo>>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryTargets { tx })?;
        Ok(rx)
    }

    /// Asks for what this VM would reply to a heartbeat.
    ///
    /// # Errors
    /// [`Overloaded`].
    pub fn query_status(&self, requester: Requester) -> Result<Receiver<OwnStatus>, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        self.try_send(Input::QueryStatus { requester, tx })?;
        Ok(rx)
    }

    /// Sends a command that must not be lost; waits for room.
    pub fn send(&self, cmd: Command) {
        // The decision thread outlives all senders but at the process's end.
        let _ = self.0.send(Input::Command(cmd));
    }

    /// Sends a command from an asynchronous task; waits for room.
    pub async fn send_async(&self, cmd: Command) {
        // The decision thread outlives all senders but at the process's end.
        let _ = self.0.send_async(Input::Command(cmd)).await;
    }

    fn try_send(&self, input: Input) -> Result<(), Overloaded> {
        if self.0.len() >= MAX_QUEUED_REQUESTS {
            return Err(Overloaded);
        }
        self.0.try_send(input).map_err(|_| Overloaded)
    }
}
