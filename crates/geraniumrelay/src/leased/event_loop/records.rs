//! Records of durable jobs: store requests of the schedulers, and changes read from the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_adapter::Change;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, FencingToken, JobRecord, RecordReply, RecordState};
use log::{info, warn};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::EventLoop;
use crate::leased::archive;
use crate::leased::durable_jobs::{self, Records};

/// Pause before a failed read of the records for a new scheduler is retried.
const READ_PAUSE: Duration = Duration::from_millis(200);

impl EventLoop {
    /// Stores a record, and passes the reply to the scheduler.
    pub(super) fn store_record(
        &self,
        (cell, token): (&CellName, FencingToken),
        (record, attempt): (JobRecord, u32),
        expected: u64,
        epoch: u64,
    ) {
        let (durable_jobs, tx, cell) = (
            self.components.durable_jobs.clone(),
            self.components.tx.clone(),
            cell.clone(),
        );
        let (archive, metrics) = (
            self.components.archive.clone(),
            Arc::clone(&self.components.metrics),
        );
        spawn_local(async move {
            let (id, sent) = (record.spec.id, Instant::now());
            let reply = durable_jobs.store(&record, expected, Some(epoch)).await;
            metrics.observe_commit(sent.elapsed());
            info!(
                cell:% = cell, id:% = id, state:% = record.state, done = record.done.len(),
                attempt, expected, epoch, reply:% = reply;
                "record_sent"
            );
            if let RecordReply::Stored { version } = reply
                && archive::is_ended(&record)
            {
                archive.add(&record, version);
            }
            let command = Command::RecordReplied { id, attempt, reply };
            tx.reply(cell, token, command).await;
        });
    }

    /// Claims a cell in the store for the scheduler here, and passes it the reply.
    pub(super) fn claim_epoch(&self, cell: &CellName, token: FencingToken) {
        let (durable_jobs, tx, cell) = (
            self.components.durable_jobs.clone(),
            self.components.tx.clone(),
            cell.clone(),
        );
        spawn_local(async move {
            let sent = Instant::now();
            let reply = durable_jobs.claim(&cell, token).await;
            let command = Command::EpochReplied { sent, reply };
            tx.reply(cell, token, command).await;
        });
    }

    /// Reads all records for a new scheduler; retried until the store answers or the scheduler ends.
    pub(super) fn read_records(&mut self, name: &CellName, token: FencingToken) {
        let (durable_jobs, tx, cell) = (
            self.components.durable_jobs.clone(),
            self.components.tx.clone(),
            name.clone(),
        );
        let archive = self.components.archive.clone();
        let read = async move {
            let records = loop {
                match durable_jobs.all().await {
                    Ok(records) => break records,
                    Err(e) => warn!(cell:% = cell, reason:% = e; "records_not_read"),
                }
                sleep(READ_PAUSE).await;
            };
            let Records { records, version } = records;
            for (record, version) in records.iter().filter(|r| archive::is_ended(&r.0)) {
                archive.add(record, *version);
            }
            info!(cell:% = cell, records = records.len(), version; "records_read");
            let listed = records
                .into_iter()
                .map(|(record, version)| Command::RecordListed { record, version });
            for command in listed.chain([Command::RecordsKnown { version }]) {
                tx.reply(cell.clone(), token, command).await;
            }
        };
        if let Some(cell) = self.cells.get_mut(name) {
            cell.start_record_read(read);
        }
    }

    /// Passes changed records to the schedulers here.
    pub(super) fn apply_record_rows(&mut self, rows: &[Change]) {
        // Only the newest change of each row is current.
        let newest: BTreeMap<&str, &Change> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        for (record, version) in newest.into_values().filter_map(durable_jobs::decode) {
            self.store_health.durable_job_seen();
            let cell = record.cell.clone();
            // An entry VM cancelled the job. Jobs that the scheduler ends are queued for the move
            // when their records have been stored.
            if record.state == RecordState::Cancelled && self.own_token(&cell).is_some() {
                self.components.archive.add(&record, version);
            }
            self.handle_command(&cell, Command::RecordSeen { record, version });
        }
    }
}
