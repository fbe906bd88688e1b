//! The bounded input queue of the event loop, and the inputs it carries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    Command, EntryVm, FencingToken, JobId, JobOutcome, JobSpec, JobState,
};
use geraniumrelay_wire::leased::peer_message::Body;
use log::warn;
use tokio::sync::oneshot;

use super::cancellations::{Confirmation, WaitingJob};
use super::metrics::LeasedMetrics;

/// Maximum number of queued inputs: some seconds of load on the busiest entry VM.
const QUEUE_CAPACITY: usize = 8_192;

/// A connection from another entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct IncomingConnection {
    /// Number of the connection among those accepted here.
    pub(super) number: u64,
    /// Incarnation of the VM's process.
    pub(super) incarnation: u64,
}

/// An input of the event loop.
#[derive(Debug)]
pub(super) enum Input {
    /// A job that a caller submits; refused or timed out after `max_wait`.
    Job {
        spec: JobSpec,
        max_wait: Duration,
        reply: oneshot::Sender<JobOutcome>,
    },
    /// A caller closed its request before the answer.
    Abandoned { id: JobId },
    /// A caller cancels a job. The first reply is sent at once, the second when the schedulers have confirmed.
    Cancel {
        id: JobId,
        reply: oneshot::Sender<WaitingJob>,
        confirmed: oneshot::Sender<Confirmation>,
    },
    /// A caller asks for the state of a job; the reply is `None` where the job is unknown here.
    StateOf {
        id: JobId,
        reply: oneshot::Sender<Option<JobState>>,
    },
    /// Request for the number of pending jobs of a queue; the reply is `None` where the number is
    /// unknown.
    Pending {
        queue: Arc<str>,
        reply: oneshot::Sender<Option<u32>>,
    },
    /// Rows of a table: all rows of a snapshot, or the rows changed since the last read.
    Rows {
        /// When the read began.
        as_of: Instant,
        table: Table,
        is_snapshot: bool,
        rows: Vec<Change>,
        revision: u64,
    },
    /// Reads of a table have begun to fail, or succeed again.
    StoreHealth { table: Table, is_healthy: bool },
    /// A message from another entry VM.
    Peer {
        from: EntryVm,
        connection: IncomingConnection,
        body: Body,
    },
    /// A connection to another entry VM has been established.
    LinkUp { to: EntryVm },
    /// The connection from another entry VM has closed.
    LinkLost {
        from: EntryVm,
        connection: IncomingConnection,
    },
    /// A reply of a worker or of the store to the cell's scheduler with this fencing token.
    SchedulerReply {
        cell: CellName,
        token: FencingToken,
        command: Command,
    },
    /// The process has received the signal to stop.
    Stop,
}

/// Sending end of the event loop's input queue.
#[derive(Debug, Clone)]
pub(super) struct InputTx {
    tx: Sender<Input>,
    metrics: Arc<LeasedMetrics>,
}

impl InputTx {
    /// Queues an input without waiting; with a full queue the input is dropped and counted, and the
    /// result is `false`.
    pub(super) fn try_send(&self, input: Input) -> bool {
        let is_queued = self.tx.try_send(input).is_ok();
        if !is_queued {
            self.metrics.count_dropped_input();
            warn!(size = QUEUE_CAPACITY; "hub_ring_full");
        }
        is_queued
    }

    /// Metrics of the process.
    pub(super) fn metrics(&self) -> &Arc<LeasedMetrics> {
        &self.metrics
    }

    /// Queues the reply to a request of the scheduler of `cell` with `token`.
    pub(super) async fn reply(&self, cell: CellName, token: FencingToken, command: Command) {
        let input = Input::SchedulerReply {
            cell,
            token,
            command,
        };
        self.send(input).await;
    }

    /// Queues an input, and waits while the queue is full.
    pub(super) async fn send(&self, input: Input) {
        // The event loop ends only with the process, so the channel is never closed before.
        let _ = self.tx.send_async(input).await;
    }
}

/// Creates the event loop's input queue.
pub(super) fn channel(metrics: Arc<LeasedMetrics>) -> (InputTx, Receiver<Input>) {
    let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
    (InputTx { tx, metrics }, rx)
}
