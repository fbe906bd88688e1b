//! What failed reads say about the platform's store.
//!
//! Load pattern: the store drops its history, or one table fails or is slow, and all VMs notice it at
//! the same moment. If a scheduler handed over for each such failure, all cells would move at once.

use geraniumrelay_adapter::Table;
use geraniumrelay_core::collections::Set;

/// Tables whose reads fail, and whether this VM needs them to schedule.
#[derive(Debug, Default)]
pub(super) struct StoreHealth {
    failing: Set<Table>,
    has_durable_jobs: bool,
    has_read_records: bool,
}

impl StoreHealth {
    /// Records whether reads of a table succeed.
    pub(super) fn set(&mut self, table: Table, is_healthy: bool) {
        if is_healthy {
            self.failing.remove(&table);
        } else {
            self.failing.insert(table);
        }
    }

    /// Whether the last reads of a table failed.
    pub(super) fn is_failing(&self, table: Table) -> bool {
        self.failing.contains(&table)
    }

    /// Records that a durable job has been seen, here or by a peer.
    pub(super) fn durable_job_seen(&mut self) {
        self.has_durable_jobs = true;
    }

    /// Records that the records of durable jobs have been read.
    pub(super) fn records_read(&mut self) {
        self.has_read_records = true;
    }

    /// Whether there are durable jobs, as far as is known.
    pub(super) fn has_durable_jobs(&self) -> bool {
        self.has_durable_jobs
    }

    /// Whether there may be durable jobs.
    pub(super) fn may_have_durable_jobs(&self) -> bool {
        self.has_durable_jobs || !self.has_read_records
    }

    /// Whether the store answers the reads that this VM needs to schedule. It needs the records only
    /// if there may be durable jobs.
    pub(super) fn has_store(&self) -> bool {
        let is_needed =
            |&table: &Table| table != Table::DurableJobs || self.may_have_durable_jobs();
        !self.failing.iter().any(is_needed)
    }
}
