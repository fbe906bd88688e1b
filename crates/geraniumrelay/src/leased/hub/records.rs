//! Records of kept jobs.

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
use crate::leased::kept::{self, Records};

/// Pause before the records are read again that a new scheduler needs.
const READ_PAUSE: Duration = Duration::from_millis(200);

impl EventLoop {
    /// Stores a record, and tells the scheduler the reply.
    pub(super) fn store_record(
        &self,
        (cell, token): (&CellName, FencingToken),
        (record, attempt): (JobRecord, u32),
        expected: u64,
        epoch: u64,
    ) {
        let (kept, tx, cell) = (self.parts.kept.clone(), self.parts.tx.clone(), cell.clone());
        let (archive, metrics) = (self.parts.archive.clone(), Arc::clone(&self.parts.metrics));
        spawn_local(async move {
            let (id, sent) = (record.spec.id, Instant::now());
            let reply = kept.store(&record, expected, Some(epoch)).await;
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

    /// Claims a cell in the store for its scheduler here, and tells it the reply.
    pub(super) fn claim_epoch(&self, cell: &CellName, token: FencingToken) {
        let (kept, tx, cell) = (self.parts.kept.clone(), self.parts.tx.clone(), cell.clone());
        spawn_local(async move {
            let sent = Instant::now();
            let reply = kept.claim(&cell, token).await;
            let command = Command::EpochReplied { sent, reply };
            tx.reply(cell, token, command).await;
        });
    }

    /// Reads all records for a new scheduler.
    pub(super) fn read_records(&self, cell: &CellName, token: FencingToken) {
        let (kept, tx, cell) = (self.parts.kept.clone(), self.parts.tx.clone(), cell.clone());
        let archive = self.parts.archive.clone();
        spawn_local(async move {
            let records = loop {
                match kept.all().await {
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
        });
    }

    /// Takes records that have changed.
    pub(super) fn take_records(&mut self, rows: &[Change]) {
        // Only the newest change of each row holds.
        let newest: BTreeMap<&str, &Change> = rows.iter().map(|r| (r.key.as_str(), r)).collect();
        for (record, version) in newest.into_values().filter_map(kept::decode) {
            self.has_kept_jobs = true;
            let cell = record.cell.clone();
            // Cancelled by an entry VM; what the scheduler ends itself is moved once it is stored.
            if record.state == RecordState::Cancelled && self.own_token(&cell).is_some() {
                self.parts.archive.add(&record, version);
            }
            self.command(&cell, Command::RecordSeen { record, version });
        }
    }
}
