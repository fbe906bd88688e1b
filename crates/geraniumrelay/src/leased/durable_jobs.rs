//! Records of durable jobs in the platform's store, written in batched conditional transactions.

use std::sync::Arc;

use geraniumrelay_adapter::{
    Change as Row, ExpectedRow, RowChange, StoreClient, StoreError, Table, WriteOutcome,
};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    EpochReply, FencingToken, JobId, JobRecord, RecordReply, RecordState,
};
use geraniumrelay_wire::leased::JobRecord as StoredRecord;
use log::{info, warn};
use prost::Message as _;
use tokio::sync::{Semaphore, oneshot};
use tokio::task::spawn_local;

use super::convert;

/// Maximum number of attempts at a cancellation that conflicts with writes of the scheduler.
const CANCEL_ATTEMPTS: u32 = 4;

/// Maximum number of records in one transaction; a new record takes 3 of the store's 100 entries.
const BATCH: usize = 32;

/// Payload bytes from which a transaction takes no further record; the store accepts 1 MB, and
/// encoding adds a third.
const BATCH_BYTES: usize = 512 * 1024;

/// Maximum number of callers' requests that read the store at a time, each on a connection of its own; the others wait.
const MAX_CALLER_READS: usize = 32;

/// Maximum number of queued changes; each scheduler has at most one change of a job in progress.
const QUEUE_CAPACITY: usize = 4_096;

/// A snapshot of all records of open jobs.
#[derive(Debug)]
pub(super) struct Records {
    /// Each record with the version of its row.
    pub(super) records: Vec<(JobRecord, u64)>,
    /// The version of the store at which the snapshot was read.
    pub(super) version: u64,
}

/// A change of a record that is queued for the writer task.
#[derive(Debug)]
struct RecordChange {
    record: JobRecord,
    expected: u64,
    /// Version that the cell's row must have; `None` where the change is not made by a scheduler.
    epoch: Option<u64>,
    reply: oneshot::Sender<RecordReply>,
}

/// Reads and writes the records of durable jobs.
#[derive(Debug, Clone)]
pub(super) struct DurableJobStore {
    store: StoreClient,
    tx: flume::Sender<RecordChange>,
    caller_reads: Arc<Semaphore>,
}

impl DurableJobStore {
    /// Starts the writer task: changes queued during one transaction are written by the next.
    pub(super) fn start(store: StoreClient) -> Self {
        let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
        let durable_jobs = Self {
            store,
            tx,
            caller_reads: Arc::new(Semaphore::new(MAX_CALLER_READS)),
        };
        let writer = durable_jobs.clone();
        spawn_local(async move {
            while let Ok(first) = rx.recv_async().await {
                let mut batch = vec![first];
                let mut bytes = 0;
                while batch.len() < BATCH && bytes < BATCH_BYTES {
                    let Ok(next) = rx.try_recv() else { break };
                    bytes += next.record.spec.payload.len();
                    // A transaction may contain a record only once.
                    let is_same = |c: &RecordChange| c.record.spec.id == next.record.spec.id;
                    if batch.iter().any(is_same) {
                        // The requester sends the change again after a refusal.
                        let _ = next.reply.send(RecordReply::Refused);
                        continue;
                    }
                    if !has_same_epoch(&batch[0], &next) {
                        writer.write(std::mem::take(&mut batch)).await;
                        bytes = 0;
                    }
                    batch.push(next);
                }
                writer.write(batch).await;
            }
        });
        durable_jobs
    }

    /// Stores a record if its row has the version `expected` (0 where there is none), and the
    /// cell's row has the version `epoch`, where one is given.
    pub(super) async fn store(
        &self,
        record: &JobRecord,
        expected: u64,
        epoch: Option<u64>,
    ) -> RecordReply {
        let (reply, receiver) = oneshot::channel();
        let change = RecordChange {
            record: record.clone(),
            expected,
            epoch,
            reply,
        };
        // The writer task ends only with the process, so the channel is open.
        let _ = self.tx.send_async(change).await;
        receiver.await.unwrap_or(RecordReply::Unanswered)
    }

    /// Writes changes in one transaction. Changes that conflict are removed, and the rest is
    /// retried, so that the cancellation of one job does not delay all other jobs.
    async fn write(&self, mut batch: Vec<RecordChange>) {
        while !batch.is_empty() {
            let epoch = batch.first().and_then(epoch_row);
            let rows = batch.iter().map(row).chain(epoch.clone());
            let rows: Vec<ExpectedRow> =
                rows.chain(batch.iter().filter_map(not_ended_row)).collect();
            let written = match self.store.put_if(&rows).await {
                Ok(WriteOutcome::Conflict { stored }) if is_epoch_over(epoch.as_ref(), &stored) => {
                    for change in batch.drain(..) {
                        // The send fails only where the scheduler has been replaced.
                        let _ = change.reply.send(RecordReply::EpochOver);
                    }
                    return;
                }
                Ok(WriteOutcome::Conflict { stored }) => {
                    let before = batch.len();
                    batch = reply_to_conflicts(batch, &stored);
                    if batch.len() < before {
                        continue;
                    }
                    // A conflict in which no row differs is not a valid response.
                    Err(StoreError::Unreadable)
                }
                Ok(WriteOutcome::Done { version }) => Ok(version),
                Err(e) => Err(e),
            };
            for change in batch.drain(..) {
                send_reply(change, written);
            }
        }
    }

    /// Claims a cell for the scheduler with `token`, unless its holder has a higher token.
    pub(super) async fn claim(&self, cell: &CellName, token: FencingToken) -> EpochReply {
        let claimed = self.try_claim(cell, token).await;
        claimed.unwrap_or_else(|e| {
            warn!(cell:% = cell, token:% = token, reason:% = e; "cell_not_claimed");
            EpochReply::Unanswered
        })
    }

    async fn try_claim(
        &self,
        cell: &CellName,
        token: FencingToken,
    ) -> Result<EpochReply, StoreError> {
        let stored = self.store.row(Table::Epochs, &cell.0).await?;
        let version = stored.as_ref().map_or(0, |r| r.version);
        match stored.as_ref().and_then(token_of) {
            Some(holder) if holder > token => {
                info!(cell:% = cell, token:% = token, holder:% = holder, version; "cell_taken");
                return Ok(EpochReply::HeldByOther { token: holder });
            }
            Some(holder) if holder == token => return Ok(EpochReply::Held { version }),
            _ => {}
        }
        let row = ExpectedRow {
            table: Table::Epochs,
            key: cell.to_string(),
            change: RowChange::Set(token.to_string().into_bytes()),
            expected: version,
        };
        match self.store.put_if(&[row]).await? {
            WriteOutcome::Done { version } => {
                info!(cell:% = cell, token:% = token, version; "cell_claimed");
                Ok(EpochReply::Held { version })
            }
            // Another scheduler wrote the row first; the next attempt reads its token.
            WriteOutcome::Conflict { .. } => Ok(EpochReply::Unanswered),
        }
    }

    /// A snapshot of the records of all open jobs.
    pub(super) async fn all(&self) -> Result<Records, StoreError> {
        let listing = self.store.list(Table::DurableJobs).await?;
        Ok(Records {
            records: listing.rows.iter().filter_map(decode).collect(),
            version: listing.revision,
        })
    }

    /// State of a job; `None` where the job was never accepted, or its record has expired.
    pub(super) async fn state(&self, id: JobId) -> Result<Option<RecordState>, StoreError> {
        // The semaphore is never closed.
        let _permit = self.caller_reads.acquire().await;
        self.read_state(id).await
    }

    async fn read_state(&self, id: JobId) -> Result<Option<RecordState>, StoreError> {
        let key = id.to_string();
        let mut row = self.store.row(Table::DurableJobs, &key).await?;
        if row.is_none() {
            row = self.store.row(Table::EndedJobs, &key).await?;
        }
        let record = row.as_ref().map(readable).transpose()?;
        Ok(record.map(|(record, _)| record.state))
    }

    /// Cancels a job; `false` where there is no record of it. A job that waits here and may not be stored yet is
    /// passed as `unstored`: its record is created as cancelled, so that no scheduler can store it as open.
    pub(super) async fn cancel(
        &self,
        id: JobId,
        unstored: Option<&JobRecord>,
    ) -> Result<bool, StoreError> {
        let _permit = self.caller_reads.acquire().await;
        let row = self.store.row(Table::DurableJobs, &id.to_string()).await?;
        let mut stored = row.as_ref().map(readable).transpose()?;
        for _ in 0..CANCEL_ATTEMPTS {
            let (mut record, version) = match (stored, unstored) {
                (Some((record, _)), _) if record.state != RecordState::Open => return Ok(true),
                (Some(stored), _) => stored,
                (None, Some(record)) => (record.clone(), 0),
                (None, None) => return Ok(self.read_state(id).await?.is_some()),
            };
            record.state = RecordState::Cancelled;
            match self.store(&record, version, None).await {
                RecordReply::Stored { version } => {
                    info!(id:% = id, version; "job_cancelled");
                    return Ok(true);
                }
                RecordReply::Conflict { stored: newer } => stored = newer,
                RecordReply::Refused | RecordReply::Unanswered | RecordReply::EpochOver => break,
            }
        }
        Err(StoreError::Unanswered)
    }
}

fn row(change: &RecordChange) -> ExpectedRow {
    ExpectedRow {
        table: Table::DurableJobs,
        key: change.record.spec.id.to_string(),
        change: RowChange::Set(convert::record_to_stored(&change.record).encode_to_vec()),
        expected: change.expected,
    }
}

/// The condition that a new job is not in the table of ended jobs; `None` for a known job.
fn not_ended_row(change: &RecordChange) -> Option<ExpectedRow> {
    (change.expected == 0).then(|| ExpectedRow {
        table: Table::EndedJobs,
        key: change.record.spec.id.to_string(),
        change: RowChange::CheckOnly,
        expected: 0,
    })
}

/// The condition that the scheduler still holds its cell; `None` without an epoch.
fn epoch_row(change: &RecordChange) -> Option<ExpectedRow> {
    Some(ExpectedRow {
        table: Table::Epochs,
        key: change.record.cell.to_string(),
        change: RowChange::CheckOnly,
        expected: change.epoch?,
    })
}

/// Whether two changes depend on the same version of the same cell's row.
fn has_same_epoch(one: &RecordChange, other: &RecordChange) -> bool {
    one.epoch == other.epoch && one.record.cell == other.record.cell
}

/// Whether another scheduler has claimed the cell since, by the rows of a conflict.
fn is_epoch_over(epoch: Option<&ExpectedRow>, stored: &[Row]) -> bool {
    epoch.is_some_and(|epoch| {
        let row = stored.iter().find(|r| r.key == epoch.key);
        row.map_or(0, |r| r.version) != epoch.expected
    })
}

/// The fencing token in a cell's row; `None` where the row is removed or unreadable.
fn token_of(row: &Row) -> Option<FencingToken> {
    let text = String::from_utf8_lossy(row.value.as_deref()?);
    text.parse().ok().map(FencingToken)
}

/// Replies to the changes that conflict with a stored row, and returns the others.
fn reply_to_conflicts(batch: Vec<RecordChange>, stored: &[Row]) -> Vec<RecordChange> {
    let mut others = Vec::new();
    for change in batch {
        let key = change.record.spec.id.to_string();
        let row = stored.iter().find(|r| r.key == key);
        if row.map_or(0, |r| r.version) == change.expected {
            others.push(change);
            continue;
        }
        let stored = row.and_then(decode);
        // The send fails only where the scheduler has been replaced.
        let _ = change.reply.send(RecordReply::Conflict { stored });
    }
    others
}

/// Replies to a change with the result of its transaction.
fn send_reply(change: RecordChange, written: Result<u64, StoreError>) {
    let id = change.record.spec.id;
    let reply = match written {
        Ok(version) => RecordReply::Stored { version },
        Err(e) => {
            warn!(id:% = id, expected = change.expected, reason:% = e; "record_not_stored");
            match e {
                StoreError::Unanswered | StoreError::Unreadable => RecordReply::Unanswered,
                _ => RecordReply::Refused,
            }
        }
    };
    // The send fails only where the scheduler has been replaced.
    let _ = change.reply.send(reply);
}

/// The record in a row that exists, with the row's version.
fn readable(row: &Row) -> Result<(JobRecord, u64), StoreError> {
    decode(row).ok_or(StoreError::Unreadable)
}

/// The record in a row, with the row's version; `None` where the row is removed or unreadable.
pub(super) fn decode(row: &Row) -> Option<(JobRecord, u64)> {
    let stored = StoredRecord::decode(row.value.as_deref()?);
    if let Ok(Some(record)) = stored.map(convert::record_from_stored) {
        return Some((record, row.version));
    }
    warn!(id = row.key.as_str(), version = row.version; "record_unreadable");
    None
}
