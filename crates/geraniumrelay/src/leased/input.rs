//! What reaches the hub.

use std::sync::Arc;
use std::time::Duration;

use flume::{Receiver, Sender};
use geraniumrelay_adapter::{Change, Table};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    Command, EntryVm, FencingToken, JobId, JobOutcome, JobSpec, JobState,
};
use geraniumrelay_wire::leased::peer_message::Body;
use log::warn;
use tokio::sync::oneshot;

use super::metrics::LeasedMetrics;

/// Inputs that wait at most: some seconds of the busiest entry VM.
const RING: usize = 8_192;

/// What reaches the hub.
#[derive(Debug)]
pub(super) enum Input {
    /// A caller's job.
    Job {
        spec: JobSpec,
        max_wait: Duration,
        reply: oneshot::Sender<JobOutcome>,
    },
    /// A caller went away before its answer.
    Abandoned { id: JobId },
    /// A caller wants a job to end.
    Cancel {
        id: JobId,
        reply: oneshot::Sender<bool>,
    },
    /// A caller asks where a job is.
    StateOf {
        id: JobId,
        reply: oneshot::Sender<Option<JobState>>,
    },
    /// A caller asks how many jobs of a queue wait; the reply is absent where that is not known.
    Pending {
        queue: Arc<str>,
        reply: oneshot::Sender<Option<u32>>,
    },
    /// Rows of a table: all of them, or those that changed.
    Rows {
        table: Table,
        is_whole: bool,
        rows: Vec<Change>,
        revision: u64,
    },
    /// Whether the store answers.
    StoreHealth { table: Table, is_healthy: bool },
    /// A message of another entry VM.
    Peer { from: EntryVm, body: Body },
    /// A new connection to another entry VM has been made.
    LinkUp { to: EntryVm },
    /// The connection from another entry VM has ended.
    LinkLost { from: EntryVm },
    /// A worker's reply to an order of the cell's scheduler with this token.
    Worker {
        cell: CellName,
        token: FencingToken,
        command: Command,
    },
    /// The process is to stop.
    Stop,
}

/// Sending end of the hub's ring.
#[derive(Debug, Clone)]
pub(super) struct InputTx {
    tx: Sender<Input>,
    metrics: Arc<LeasedMetrics>,
}

impl InputTx {
    /// Passes an input on; one that finds the ring full is dropped and counted.
    pub(super) fn try_send(&self, input: Input) -> bool {
        let is_taken = self.tx.try_send(input).is_ok();
        if !is_taken {
            self.metrics.count_dropped_input();
            warn!(size = RING; "hub_ring_full");
        }
        is_taken
    }

    /// Tells the scheduler of `cell` with `token` what it asked for.
    pub(super) async fn reply(&self, cell: CellName, token: FencingToken, command: Command) {
        let input = Input::Worker {
            cell,
            token,
            command,
        };
        self.send(input).await;
    }

    /// Passes an input on, and waits for room.
    pub(super) async fn send(&self, input: Input) {
        // The hub only ends with the process.
        let _ = self.tx.send_async(input).await;
    }
}

/// Makes the hub's ring.
pub(super) fn ring(metrics: Arc<LeasedMetrics>) -> (InputTx, Receiver<Input>) {
    let (tx, rx) = flume::bounded(RING);
    (InputTx { tx, metrics }, rx)
}
