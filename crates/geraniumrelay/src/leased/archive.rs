//! Ended kept jobs, in a table of their own.
//!
//! Load pattern: many more jobs have ended lately than are open. A new scheduler reads the open ones
//! alone; those that have ended are read one by one, when a caller asks for them or repeats them.

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

/// Jobs moved in one transaction at most; the store takes 100 entries, and each job is four.
const BATCH: usize = 24;

/// Rows removed in one transaction at most; each is two entries.
const REMOVE_BATCH: usize = 50;

/// Jobs that wait to be moved at most; what is left over is moved by the next scheduler.
const RING: usize = 16_384;

/// Pause between two moves: so many jobs share a transaction.
const MOVE_PAUSE: Duration = Duration::from_millis(500);

/// Pause before a move is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two pages of the search for jobs that ended long ago.
const PAGE_PAUSE: Duration = Duration::from_millis(400);

/// The same after the last page, and while this VM schedules nothing.
const SWEEP_PAUSE: Duration = Duration::from_secs(10);

/// An ended job whose record stands among the open ones.
#[derive(Debug)]
struct Ended {
    record: JobRecord,
    version: u64,
}

/// Moves ended jobs, and removes those that ended long ago.
#[derive(Debug, Clone)]
pub(super) struct Archive {
    tx: Sender<Ended>,
}

impl Archive {
    /// Starts the tasks that do it; `is_active` says whether this VM schedules.
    pub(super) fn start(store: StoreClient, is_active: impl Fn() -> bool + 'static) -> Self {
        let (tx, rx) = flume::bounded(RING);
        spawn_local(move_all(store.clone(), rx));
        spawn_local(sweep(store, is_active));
        Self { tx }
    }

    /// Has the record of an ended job moved.
    pub(super) fn add(&self, record: &JobRecord, version: u64) {
        let ended = Ended {
            record: record.clone(),
            version,
        };
        if self.tx.try_send(ended).is_err() {
            info!(id:% = record.spec.id, size = RING; "ended_job_left");
        }
    }
}

async fn move_all(store: StoreClient, rx: Receiver<Ended>) {
    while let Ok(first) = rx.recv_async().await {
        if rx.len() < BATCH {
            sleep(MOVE_PAUSE).await;
        }
        let mut batch = BTreeMap::from([(first.record.spec.id, first)]);
        let more = rx.try_iter().take(BATCH - 1);
        batch.extend(more.map(|e| (e.record.spec.id, e)));
        move_batch(&store, batch).await;
    }
}

/// Moves records in one transaction. Those that have been moved before are left out.
async fn move_batch(store: &StoreClient, mut batch: BTreeMap<JobId, Ended>) {
    while !batch.is_empty() {
        let now = SystemTime::now();
        let rows: Vec<ExpectedRow> = batch.values().flat_map(|e| rows(e, now)).collect();
        match store.put_if(&rows).await {
            Ok(WriteOutcome::Done { .. }) => return,
            Ok(WriteOutcome::Conflict { stored }) => {
                let count = batch.len();
                batch.retain(|_, e| is_open(e, &stored));
                if batch.len() == count {
                    warn!(jobs = count, reason = "no row differs"; "ended_jobs_not_moved");
                    return;
                }
            }
            Err(e) => {
                // Meanwhile they can be read where they are.
                warn!(jobs = batch.len(), reason:% = e; "ended_jobs_not_moved");
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn rows(ended: &Ended, now: SystemTime) -> [ExpectedRow; 2] {
    let key = ended.record.spec.id.to_string();
    let mut record = ended.record.clone();
    // Nobody starts its tasks any more.
    record.spec.payload = "".into();
    let stored = StoredRecord {
        ended_unix_ms: unix_ms(now),
        ..convert::record_to_stored(&record)
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

/// Whether a record stands as expected among the open ones, by the rows of a conflict.
fn is_open(ended: &Ended, stored: &[Change]) -> bool {
    let key = ended.record.spec.id.to_string();
    let mut rows = stored.iter().filter(|r| r.key == key);
    rows.next().is_some_and(|r| r.version == ended.version) && rows.next().is_none()
}

/// Removes jobs that ended long ago, a page of the table at a time.
async fn sweep(store: StoreClient, is_active: impl Fn() -> bool) {
    let mut after: Option<String> = None;
    loop {
        sleep(if after.is_some() {
            PAGE_PAUSE
        } else {
            SWEEP_PAUSE
        })
        .await;
        if !is_active() {
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
    let old: Vec<ExpectedRow> = page.rows.iter().filter_map(|r| removal(r, now)).collect();
    for rows in old.chunks(REMOVE_BATCH) {
        // A row that another VM has removed is in the way of the rest until the next time.
        store.put_if(rows).await?;
    }
    if !old.is_empty() {
        info!(rows = page.rows.len(), removed = old.len(); "ended_jobs_removed");
    }
    Ok(page.next_after)
}

/// The removal of a job that ended long ago; of one that can't be read, as nobody else can.
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
    // A clock before 1970 keeps all jobs.
    since.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

/// Whether a record is to be moved.
pub(super) fn is_ended(record: &JobRecord) -> bool {
    record.state != RecordState::Open
}
