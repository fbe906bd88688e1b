//! Follows the tables of the platform's store.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use geraniumrelay_adapter::{NodeSettings, StoreClient, StoreError, Table};
use log::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::input::{Input, InputTx};

/// Longest wait for changes. A connection that has gone silent shows when it is over, so it is
/// shorter than the two seconds in which a configuration must be in force.
const WAIT: Duration = Duration::from_millis(1_500);

/// Shortest time between two reads of the workers' entries, whose heartbeats change them all the
/// time; an eighth of the time in which a draining worker must be left alone.
const WORKERS_GAP: Duration = Duration::from_millis(250);

/// The same for a VM that does not schedule, and only has to be ready to.
const WORKERS_STANDBY_GAP: Duration = Duration::from_millis(1_200);

/// Shortest time between two reads of the records of kept jobs by a scheduler, which change with
/// each end; a cancel is acted on within three seconds.
const RECORDS_GAP: Duration = Duration::from_millis(500);

/// The same for a VM that does not schedule, and only has to know whether there are any.
const RECORDS_STANDBY_GAP: Duration = Duration::from_secs(4);

/// First pause after a failure; doubles each time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest pause after a failure.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Longest time that a stopping process spends on removing its entry.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(500);

/// Starts to follow all tables, and enters this VM.
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
        let is_scheduler = Rc::clone(is_scheduler);
        spawn_local(follow(store.clone(), table, is_scheduler, tx.clone()));
    }
    let address = settings.peer_listen().to_string();
    spawn_local(enter(store.clone(), settings.vm.clone(), address));
}

/// Removes this VM's entry.
pub(super) async fn deregister(store: &StoreClient, settings: &NodeSettings) {
    let removed = store.remove(Table::EntryVms, &settings.vm);
    match tokio::time::timeout(LEAVE_TIMEOUT, removed).await {
        Ok(Ok(())) => info!(vm = settings.vm.as_str(); "entry_removed"),
        Ok(Err(e)) => warn!(vm = settings.vm.as_str(), reason:% = e; "entry_not_removed"),
        Err(_) => warn!(vm = settings.vm.as_str(), reason = "timeout"; "entry_not_removed"),
    }
}

async fn enter(store: StoreClient, vm: String, address: String) {
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

/// Pause after a read of a table.
fn gap(table: Table, is_scheduler: bool) -> Duration {
    match (table, is_scheduler) {
        (Table::Workers, true) => WORKERS_GAP,
        (Table::Workers, false) => WORKERS_STANDBY_GAP,
        (Table::DurableJobs, true) => RECORDS_GAP,
        (Table::DurableJobs, false) => RECORDS_STANDBY_GAP,
        _ => Duration::ZERO,
    }
}

/// Reads a table whole, then what changes; whole again where history is missing.
async fn follow(store: StoreClient, table: Table, is_scheduler: Rc<Cell<bool>>, tx: InputTx) {
    let mut revision = None;
    let mut pause = FIRST_PAUSE;
    let mut was_healthy = true;
    loop {
        let read = match revision {
            None => store.list(table).await,
            Some(after) => store.changes(table, after, WAIT).await,
        };
        let is_healthy = matches!(read, Ok(_) | Err(StoreError::HistoryGone));
        if is_healthy != was_healthy {
            was_healthy = is_healthy;
            tx.send(Input::StoreHealth { table, is_healthy }).await;
        }
        match read {
            Ok(listing) => {
                pause = FIRST_PAUSE;
                let is_whole = revision.is_none();
                revision = Some(listing.revision);
                if is_whole || !listing.rows.is_empty() {
                    tx.send(Input::Rows {
                        table,
                        is_whole,
                        rows: listing.rows,
                        revision: listing.revision,
                    })
                    .await;
                }
                if !is_whole {
                    sleep(gap(table, is_scheduler.get())).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                info!(table:% = table, revision = revision.unwrap_or(0); "history_gone");
                revision = None;
            }
            Err(e) => {
                warn!(table:% = table, reason:% = e, revision = revision.unwrap_or(0); "store_read_failed");
                sleep(pause).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}
