//! Moves ended durable jobs into a table of their own, and removes them after `ENDED_TTL`.
//!
//! Load pattern: far more jobs have ended recently than are open. A new scheduler reads only the
//! open jobs; an ended job is read by its id when a caller queries it or submits it again.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use flume::{Receiver, Sender};
use geraniumrelay_adapter::{
    Change, ExpectedRow, RowChange, StoreClient, StoreError, Table, WriteOutcome,
};
use geraniumrelay_core::leased::{ENDED_TTL, JobId, JobRecord, RecordState};
use geraniumrelay_wire::leased::JobRecord as StoredRecord;
use log::{info, warn};
use prost::Message as _;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::convert;

/// Maximum number of jobs moved in one transaction; the store accepts 100 entries, a job takes 4.
const MOVE_BATCH: usize = 24;

/// Maximum number of rows removed in one transaction; a row takes 2 entries.
const REMOVE_BATCH: usize = 50;

/// Maximum number of jobs queued for the move; jobs beyond it are moved by the next scheduler.
const QUEUE_CAPACITY: usize = 16_384;

/// Pause before a move while less than a full batch is queued, so that jobs share a transaction.
const MOVE_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a failed move is retried.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two pages of the sweep for expired jobs.
const PAGE_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two sweeps, and between two checks while this VM schedules no cell.
const SWEEP_PAUSE: Duration = Duration::from_secs(10);

/// An ended job whose record is still in the table of open jobs, without its payload, and the version
/// of its row.
#[derive(Debug)]
struct EndedRecord {
    record: JobRecord,
    version: u64,
}

/// Queue of ended jobs for the task that moves them.
#[derive(Debug, Clone)]
pub(super) struct Archive {
    tx: Sender<EndedRecord>,
}

impl Archive {
    /// Starts the tasks that move ended jobs and remove expired ones; `is_scheduler` returns
    /// whether this VM schedules a cell.
    pub(super) fn start(store: StoreClient, is_scheduler: impl Fn() -> bool + 'static) -> Self {
        let (tx, rx) = flume::bounded(QUEUE_CAPACITY);
        spawn_local(move_records(store.clone(), rx));
        spawn_local(sweep(store, is_scheduler));
        Self { tx }
    }

    /// Queues the record of an ended job for the move; with a full queue the record stays.
    pub(super) fn add(&self, record: &JobRecord, version: u64) {
        let mut record = record.clone();
        let id = record.spec.id;
        // No task of an ended job is started again, so the payload is not needed.
        record.spec.payload = "".into();
        let ended = EndedRecord { record, version };
        if self.tx.try_send(ended).is_err() {
            info!(id:% = id, size = QUEUE_CAPACITY; "ended_job_left");
        }
    }
}

async fn move_records(store: StoreClient, rx: Receiver<EndedRecord>) {
    while let Ok(first) = rx.recv_async().await {
        if rx.len() < MOVE_BATCH {
            sleep(MOVE_PAUSE).await;
        }
        let mut batch = BTreeMap::from([(first.record.spec.id, first)]);
        let more = rx.try_iter().take(MOVE_BATCH - 1);
        batch.extend(more.map(|e| (e.record.spec.id, e)));
        move_batch(&store, batch).await;
    }
}

/// Moves records in one transaction. On a conflict the records that differ in the store, such as
/// those moved before, are left out, and the rest is retried.
async fn move_batch(store: &StoreClient, mut batch: BTreeMap<JobId, EndedRecord>) {
    while !batch.is_empty() {
        let now = SystemTime::now();
        let rows: Vec<ExpectedRow> = batch.values().flat_map(|e| move_rows(e, now)).collect();
        match store.put_if(&rows).await {
            Ok(WriteOutcome::Done { .. }) => return,
            Ok(WriteOutcome::Conflict { stored }) => {
                let count = batch.len();
                batch.retain(|_, e| is_unmoved(e, &stored));
                if batch.len() == count {
                    warn!(jobs = count, reason = "no row differs"; "ended_jobs_not_moved");
                    return;
                }
            }
            Err(e) => {
                // Until the retry succeeds, the records stay readable in the table of open jobs.
                warn!(jobs = batch.len(), reason:% = e; "ended_jobs_not_moved");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The two row changes that move a record.
fn move_rows(ended: &EndedRecord, now: SystemTime) -> [ExpectedRow; 2] {
    let key = ended.record.spec.id.to_string();
    let stored = StoredRecord {
        ended_unix_ms: unix_ms(now),
        ..convert::record_to_stored(&ended.record)
    };
    [
        ExpectedRow {
            table: Table::DurableJobs,
            key: key.clone(),
            change: RowChange::Remove,
            expected: ended.version,
        },
        ExpectedRow {
            table: Table::EndedJobs,
            key,
            change: RowChange::Set(stored.encode_to_vec()),
            expected: 0,
        },
    ]
}

/// Whether a record is unchanged in the table of open jobs and absent from the table of ended jobs,
/// by the rows of a conflict.
fn is_unmoved(ended: &EndedRecord, stored: &[Change]) -> bool {
    let key = ended.record.spec.id.to_string();
    let mut rows = stored.iter().filter(|r| r.key == key);
    rows.next().is_some_and(|r| r.version == ended.version) && rows.next().is_none()
}

/// Removes expired jobs, one page of the table at a time.
async fn sweep(store: StoreClient, is_scheduler: impl Fn() -> bool) {
    let mut after: Option<String> = None;
    loop {
        sleep(if after.is_some() {
            PAGE_PAUSE
        } else {
            SWEEP_PAUSE
        })
        .await;
        if !is_scheduler() {
            after = None;
            continue;
        }
        after = sweep_page(&store, after).await.unwrap_or_else(|e| {
            warn!(reason:% = e; "ended_jobs_not_read");
            None
        });
    }
}

async fn sweep_page(
    store: &StoreClient,
    after: Option<String>,
) -> Result<Option<String>, StoreError> {
    let page = store.page(Table::EndedJobs, after.as_deref()).await?;
    let now = SystemTime::now();
    let expired: Vec<ExpectedRow> = page.rows.iter().filter_map(|r| removal(r, now)).collect();
    for rows in expired.chunks(REMOVE_BATCH) {
        // If another VM has removed one of the rows, the transaction conflicts, and the other rows
        // of the chunk stay until the next sweep.
        store.put_if(rows).await?;
    }
    if !expired.is_empty() {
        info!(rows = page.rows.len(), removed = expired.len(); "ended_jobs_removed");
    }
    Ok(page.next_after)
}

/// The removal of an expired row; `None` before `ENDED_TTL` has passed since the end. An unreadable
/// row counts as expired, because no other process can read it either.
pub(super) fn removal(row: &Change, now: SystemTime) -> Option<ExpectedRow> {
    let stored = StoredRecord::decode(row.value.as_deref()?).unwrap_or_default();
    let age = unix_ms(now).saturating_sub(stored.ended_unix_ms);
    (Duration::from_millis(age) >= ENDED_TTL).then(|| ExpectedRow {
        table: Table::EndedJobs,
        key: row.key.clone(),
        change: RowChange::Remove,
        expected: row.version,
    })
}

fn unix_ms(time: SystemTime) -> u64 {
    let since = time.duration_since(SystemTime::UNIX_EPOCH);
    // With a clock before 1970, no job is old enough to be removed.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Whether a record has left the state `Open`, and belongs in the table of ended jobs.
pub(super) fn is_ended(record: &JobRecord) -> bool {
    record.state != RecordState::Open
}
