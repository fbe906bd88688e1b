//! Records of kept jobs in the platform's store.

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
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::convert;

/// Attempts at a cancel that meets changes of the scheduler.
const CANCEL_ATTEMPTS: u32 = 4;

/// Records of one transaction at most; the store takes 100 entries, and a new record is three.
const BATCH: usize = 32;

/// Bytes of one transaction at most; the store takes 1 MB, and encoding adds a third.
const BATCH_BYTES: usize = 512 * 1024;

/// Records that wait for the store at most; each scheduler has one change of a job under way.
const RING: usize = 4_096;

/// All records, as of a version of the store.
#[derive(Debug)]
pub(super) struct Records {
    /// The records with their versions.
    pub(super) records: Vec<(JobRecord, u64)>,
    /// The version of the store.
    pub(super) version: u64,
}

/// A change that waits for the store.
#[derive(Debug)]
struct Change {
    record: JobRecord,
    expected: u64,
    /// Version of the cell's row that must be stored, where a scheduler makes the change.
    epoch: Option<u64>,
    reply: oneshot::Sender<RecordReply>,
}

/// Records in the store.
#[derive(Debug, Clone)]
pub(super) struct KeptJobs {
    store: StoreClient,
    tx: flume::Sender<Change>,
}

impl KeptJobs {
    /// Starts the task that writes the records: what comes while one transaction is under way goes
    /// into the next.
    pub(super) fn start(store: StoreClient) -> Self {
        let (tx, rx) = flume::bounded(RING);
        let kept = Self { store, tx };
        let writer = kept.clone();
        spawn_local(async move {
            while let Ok(first) = rx.recv_async().await {
                let mut batch = vec![first];
                let mut bytes = 0;
                while batch.len() < BATCH && bytes < BATCH_BYTES {
                    let Ok(next) = rx.try_recv() else { break };
                    bytes += next.record.spec.payload.len();
                    // A record stands once in a transaction.
                    let is_same = |c: &Change| c.record.spec.id == next.record.spec.id;
                    if batch.iter().any(is_same) {
                        // Whoever asked sends it again.
                        let _ = next.reply.send(RecordReply::Refused);
                        continue;
                    }
                    if !is_of_epoch(&batch[0], &next) {
                        writer.write(std::mem::take(&mut batch)).await;
                        bytes = 0;
                    }
                    batch.push(next);
                }
                writer.write(batch).await;
            }
        });
        kept
    }

    /// Stores a record where the version `expected` is stored, and the cell's row has the version
    /// `epoch`, where one is given.
    pub(super) async fn store(
        &self,
        record: &JobRecord,
        expected: u64,
        epoch: Option<u64>,
    ) -> RecordReply {
        let (reply, replied) = oneshot::channel();
        let change = Change {
            record: record.clone(),
            expected,
            epoch,
            reply,
        };
        // The writer only ends with the process.
        let _ = self.tx.send_async(change).await;
        replied.await.unwrap_or(RecordReply::Unanswered)
    }

    /// Writes changes in one transaction. Those that meet another version are taken out, and the
    /// rest is tried again: a cancel of an entry VM must not hold up all other jobs.
    async fn write(&self, mut batch: Vec<Change>) {
        while !batch.is_empty() {
            let epoch = batch.first().and_then(epoch_row);
            let rows = batch.iter().map(row).chain(epoch.clone());
            let rows: Vec<ExpectedRow> = rows.chain(batch.iter().filter_map(absent_end)).collect();
            let written = match self.store.put_if(&rows).await {
                Ok(WriteOutcome::Conflict { stored }) if is_over(epoch.as_ref(), &stored) => {
                    for change in batch.drain(..) {
                        // A scheduler that was replaced does not wait any more.
                        let _ = change.reply.send(RecordReply::EpochOver);
                    }
                    return;
                }
                Ok(WriteOutcome::Conflict { stored }) => {
                    let before = batch.len();
                    batch = take_conflicts(batch, &stored);
                    if batch.len() < before {
                        continue;
                    }
                    // The store names no row that differs.
                    Err(StoreError::Unreadable)
                }
                Ok(WriteOutcome::Done { version }) => Ok(version),
                Err(e) => Err(e),
            };
            for change in batch.drain(..) {
                answer(change, written);
            }
        }
    }

    /// Claims a cell for the scheduler with `token`, where no higher one has it.
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
            // Another one was faster; the next attempt shows which.
            WriteOutcome::Conflict { .. } => Ok(EpochReply::Unanswered),
        }
    }

    /// All records.
    pub(super) async fn all(&self) -> Result<Records, StoreError> {
        let listing = self.store.list(Table::KeptJobs).await?;
        Ok(Records {
            records: listing.rows.iter().filter_map(decode).collect(),
            version: listing.revision,
        })
    }

    /// Where a job is; `None` where it was never accepted, or ended long ago.
    pub(super) async fn state(&self, id: JobId) -> Result<Option<RecordState>, StoreError> {
        let key = id.to_string();
        let mut row = self.store.row(Table::KeptJobs, &key).await?;
        if row.is_none() {
            row = self.store.row(Table::EndedJobs, &key).await?;
        }
        let record = row.as_ref().and_then(decode);
        Ok(record.map(|(record, _)| record.state))
    }

    /// Cancels a job; `false` where there is none.
    pub(super) async fn cancel(&self, id: JobId) -> Result<bool, StoreError> {
        let row = self.store.row(Table::KeptJobs, &id.to_string()).await?;
        let mut stored = row.as_ref().and_then(decode);
        for _ in 0..CANCEL_ATTEMPTS {
            let Some((mut record, version)) = stored else {
                return Ok(self.state(id).await?.is_some());
            };
            if record.state != RecordState::Open {
                return Ok(true);
            }
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

fn row(change: &Change) -> ExpectedRow {
    ExpectedRow {
        table: Table::KeptJobs,
        key: change.record.spec.id.to_string(),
        change: RowChange::Set(convert::record_to_stored(&change.record).encode_to_vec()),
        expected: change.expected,
    }
}

/// The condition that a new job has not ended before.
fn absent_end(change: &Change) -> Option<ExpectedRow> {
    (change.expected == 0).then(|| ExpectedRow {
        table: Table::EndedJobs,
        key: change.record.spec.id.to_string(),
        change: RowChange::CheckOnly,
        expected: 0,
    })
}

/// The condition that a scheduler's cell is still its own.
fn epoch_row(change: &Change) -> Option<ExpectedRow> {
    Some(ExpectedRow {
        table: Table::Epochs,
        key: change.record.cell.to_string(),
        change: RowChange::CheckOnly,
        expected: change.epoch?,
    })
}

/// Whether two changes stand under the same condition.
fn is_of_epoch(one: &Change, other: &Change) -> bool {
    one.epoch == other.epoch && one.record.cell == other.record.cell
}

/// Whether the cell has been claimed anew.
fn is_over(epoch: Option<&ExpectedRow>, stored: &[Row]) -> bool {
    epoch.is_some_and(|epoch| {
        let row = stored.iter().find(|r| r.key == epoch.key);
        row.map_or(0, |r| r.version) != epoch.expected
    })
}

/// The token in a cell's row.
fn token_of(row: &Row) -> Option<FencingToken> {
    let text = String::from_utf8_lossy(row.value.as_deref()?);
    text.parse().ok().map(FencingToken)
}

/// Answers the changes that met another version, and returns the others.
fn take_conflicts(batch: Vec<Change>, stored: &[Row]) -> Vec<Change> {
    let mut others = Vec::new();
    for change in batch {
        let key = change.record.spec.id.to_string();
        let row = stored.iter().find(|r| r.key == key);
        if row.map_or(0, |r| r.version) == change.expected {
            others.push(change);
            continue;
        }
        let stored = row.and_then(decode);
        // A scheduler that was replaced does not wait any more.
        let _ = change.reply.send(RecordReply::Conflict { stored });
    }
    others
}

fn answer(change: Change, written: Result<u64, StoreError>) {
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
    // A scheduler that was replaced does not wait any more.
    let _ = change.reply.send(reply);
}

/// The record in a row; one that can't be read is left out.
pub(super) fn decode(row: &Row) -> Option<(JobRecord, u64)> {
    let stored = StoredRecord::decode(row.value.as_deref()?);
    if let Ok(Some(record)) = stored.map(convert::record_from_stored) {
        return Some((record, row.version));
    }
    warn!(id = row.key.as_str(), version = row.version; "record_unreadable");
    None
}
