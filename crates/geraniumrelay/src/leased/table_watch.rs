//! Watches the tables of the platform's store by long polls, and registers this VM there.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::{Change, Listing, NodeSettings, StoreClient, StoreError, Table};
use geraniumrelay_core::leased::cells::hash_of;
use log::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::input::{Input, InputTx};
use super::metrics::LeasedMetrics;

/// Maximum duration of a long poll for changes. A dead connection is noticed only at its end, so it
/// is shorter than the 2 s within which a configuration must be in force.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_500);

/// Same for the workers' entries on a VM that schedules a cell: they change all the time, so a read
/// without changes shows that the store does not answer.
const WORKERS_LONG_POLL_WAIT: Duration = Duration::from_millis(500);

/// Minimum pause between two reads of the workers' entries, which change with each heartbeat of a
/// worker; one eighth of the time limit after which a draining worker must get no more tasks.
const WORKERS_READ_PAUSE: Duration = Duration::from_millis(250);

/// Same for a VM that schedules no cell and only stands by for a takeover.
const WORKERS_STANDBY_READ_PAUSE: Duration = Duration::from_millis(1_200);

/// Minimum pause between two reads of the records of durable jobs by a scheduler; the records
/// change with each end of a task, and a cancellation must take effect within 3 s.
const RECORDS_READ_PAUSE: Duration = Duration::from_millis(500);

/// Same for a VM that schedules no cell and only needs to know whether there are durable jobs.
const RECORDS_STANDBY_READ_PAUSE: Duration = Duration::from_secs(4);

/// Pause after the first failure; doubles with each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Maximum pause after a failure.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Maximum time that a stopping process waits for the removal of its entry.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts one watch task for each table, and registers this VM's peer address.
pub(super) fn start(
    store: &StoreClient,
    settings: &NodeSettings,
    is_scheduler: &Rc<Cell<bool>>,
    tx: &InputTx,
) {
    for table in [
        Table::Configuration,
        Table::Workers,
        Table::EntryVms,
        Table::DurableJobs,
    ] {
        let watch = Watch {
            table,
            is_scheduler: Rc::clone(is_scheduler),
            standby_spread: standby_spread(&settings.vm),
        };
        spawn_local(watch.run(store.clone(), tx.clone()));
    }
    let address = settings.peer_listen().to_string();
    spawn_local(register(store.clone(), settings.vm.clone(), address));
}

/// Removes this VM's entry from the store; a failure is only logged.
pub(super) async fn deregister(store: &StoreClient, settings: &NodeSettings) {
    let address = settings.peer_listen().to_string();
    let removed = store.remove(Table::EntryVms, &settings.vm, address.as_bytes());
    match tokio::time::timeout(DEREGISTER_TIMEOUT, removed).await {
        Ok(Ok(())) => info!(vm = settings.vm.as_str(); "entry_removed"),
        Ok(Err(e)) => warn!(vm = settings.vm.as_str(), reason:% = e; "entry_not_removed"),
        Err(_) => warn!(vm = settings.vm.as_str(), reason = "timeout"; "entry_not_removed"),
    }
}

/// Stores this VM's entry, and retries until the store accepts it.
async fn register(store: StoreClient, vm: String, address: String) {
    let mut pause = FIRST_PAUSE;
    loop {
        match store.put(Table::EntryVms, &vm, address.as_bytes()).await {
            Ok(()) => {
                info!(vm = vm.as_str(), address = address.as_str(); "entry_set");
                return;
            }
            Err(e) => warn!(vm = vm.as_str(), reason:% = e; "entry_not_set"),
        }
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

/// Pause after a read of a table; longer on a VM that schedules no cell.
fn read_pause(table: Table, is_scheduler: bool) -> Duration {
    match (table, is_scheduler) {
        (Table::Workers, true) => WORKERS_READ_PAUSE,
        (Table::Workers, false) => WORKERS_STANDBY_READ_PAUSE,
        (Table::DurableJobs, true) => RECORDS_READ_PAUSE,
        (Table::DurableJobs, false) => RECORDS_STANDBY_READ_PAUSE,
        _ => Duration::ZERO,
    }
}

/// Wait of a read for changes of a table.
fn long_poll_wait(table: Table, is_scheduler: bool) -> Duration {
    match (table, is_scheduler) {
        (Table::Workers, true) => WORKERS_LONG_POLL_WAIT,
        _ => LONG_POLL_WAIT,
    }
}

/// Delay of this VM's snapshot of the workers after the store has lost its history, so that the VMs that
/// stand by do not all read it at once.
fn standby_spread(vm: &str) -> Duration {
    let percent = hash_of(vm.as_bytes()) % 100;
    WORKERS_STANDBY_READ_PAUSE * u32::try_from(percent).unwrap_or(0) / 100
}

/// A watched table.
pub(super) struct Watch {
    pub(super) table: Table,
    /// Whether this VM schedules a cell.
    pub(super) is_scheduler: Rc<Cell<bool>>,
    /// Delay of a snapshot of the workers on a VM that stands by, after a loss of the history.
    pub(super) standby_spread: Duration,
}

impl Watch {
    /// Reads a snapshot of the table, then its changes; a new snapshot where the store no longer has
    /// the history.
    ///
    /// A read that waits for changes and fails says little about the store, which ends such reads when
    /// it drops its history. So the table is read again at once without waiting, and only a failure of
    /// that read is reported.
    pub(super) async fn run(self, store: StoreClient, tx: InputTx) {
        let table = self.table;
        let mut revision = None;
        let mut pause = FIRST_PAUSE;
        let mut was_healthy = true;
        let mut may_wait = true;
        loop {
            let is_scheduler = self.is_scheduler.get();
            let wait = if may_wait {
                long_poll_wait(table, is_scheduler)
            } else {
                Duration::ZERO
            };
            let began = Instant::now();
            let read = match revision {
                None => store.list(table).await,
                Some(after) => store.changes(table, after, wait).await,
            };
            let took = began.elapsed();
            observe(tx.metrics(), table, &read, took);
            let is_answered = matches!(read, Ok(_) | Err(StoreError::HistoryGone));
            let has_waited = revision.is_some() && !wait.is_zero();
            let is_conclusive = is_answered || !has_waited;
            if is_conclusive && is_answered != was_healthy {
                was_healthy = is_answered;
                let is_healthy = is_answered;
                tx.send(Input::StoreHealth { table, is_healthy }).await;
            }
            may_wait = is_answered;
            match read {
                Ok(listing) => {
                    pause = FIRST_PAUSE;
                    let is_snapshot = revision.is_none();
                    revision = Some(listing.revision);
                    if is_snapshot || !listing.rows.is_empty() || table == Table::Workers {
                        tx.send(Input::Rows {
                            as_of: began,
                            table,
                            is_snapshot,
                            rows: listing.rows,
                            revision: listing.revision,
                        })
                        .await;
                    }
                    if !is_snapshot {
                        sleep(read_pause(table, self.is_scheduler.get())).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    info!(table:% = table, revision = revision.unwrap_or(0); "history_gone");
                    revision = None;
                    if table == Table::Workers && !is_scheduler {
                        sleep(self.standby_spread).await;
                    }
                }
                Err(e) => {
                    let took_ms = took.as_millis();
                    warn!(
                        table:% = table, reason:% = e, revision = revision.unwrap_or(0), took_ms,
                        waited_ms = wait.as_millis(); "store_read_failed"
                    );
                    if !has_waited {
                        sleep(pause).await;
                        pause = (pause * 2).min(MAX_PAUSE);
                    }
                }
            }
        }
    }
}

/// Counts a read with its time and the bytes of its rows.
fn observe(
    metrics: &LeasedMetrics,
    table: Table,
    read: &Result<Listing, StoreError>,
    took: Duration,
) {
    let (result, bytes) = match read {
        Ok(listing) if listing.rows.is_empty() => ("unchanged", 0),
        Ok(listing) => {
            let size = |c: &Change| c.key.len() + c.value.as_ref().map_or(0, Vec::len);
            ("rows", listing.rows.iter().map(size).sum())
        }
        Err(StoreError::HistoryGone) => ("history-gone", 0),
        Err(_) => ("failed", 0),
    };
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    metrics.observe_store_read(&table.to_string(), result, took, bytes);
}
