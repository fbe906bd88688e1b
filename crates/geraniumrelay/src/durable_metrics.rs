//! Metrics of what is kept in the platform's table.

use geraniumrelay_platform::KeyOutcome;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::registrar::Registrar;

/// Metrics of key bindings and deletions.
#[derive(Debug)]
pub struct DurableMetrics {
    keys: IntCounterVec,
    key_commits: IntCounter,
    rows_deleted: IntCounter,
    journal_rows: IntCounter,
    journal_commits: IntCounterVec,
    journal_bytes: IntGauge,
    journal_entries: IntGauge,
    journal_dropped: IntGauge,
}

impl DurableMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// A name that is registered twice.
    pub fn new(make: Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            keys: make.counters(
                "geraniumrelay_idempotency_keys_total",
                "Idempotency keys by outcome: bound, earlier, unknown",
                "outcome",
            )?,
            key_commits: make.counter(
                "geraniumrelay_idempotency_commits_total",
                "Group commits of idempotency keys",
            )?,
            rows_deleted: make.counter(
                "geraniumrelay_expired_rows_total",
                "Expired table rows that this VM deleted",
            )?,
            journal_rows: make.counter(
                "geraniumrelay_journal_rows_total",
                "Rows written to the journal",
            )?,
            journal_commits: make.counters(
                "geraniumrelay_journal_commits_total",
                "Group commits of the journal by outcome: committed, conflict, error",
                "outcome",
            )?,
            journal_bytes: make.gauge(
                "geraniumrelay_journal_waiting_bytes",
                "Bytes of journal entries that wait for the table",
            )?,
            journal_entries: make.gauge(
                "geraniumrelay_journal_waiting_entries",
                "Journal entries that wait for the table",
            )?,
            journal_dropped: make.gauge(
                "geraniumrelay_journal_dropped",
                "Submissions that are missing from the journal",
            )?,
        })
    }

    /// Counts what became of one key.
    pub fn count_key(&self, outcome: &KeyOutcome) {
        let label = match outcome {
            KeyOutcome::Bound => "bound",
            KeyOutcome::AlreadyBound(_) => "earlier",
            KeyOutcome::Unknown => "unknown",
        };
        self.keys.with_label_values(&[label]).inc();
    }

    /// Counts one group commit of keys.
    pub fn count_key_commit(&self) {
        self.key_commits.inc();
    }

    /// Counts one group commit of the journal that wrote `rows`.
    pub fn count_journal_commit(&self, outcome: &str, rows: usize) {
        self.journal_commits.with_label_values(&[outcome]).inc();
        self.journal_rows
            .inc_by(u64::try_from(rows).unwrap_or(u64::MAX));
    }

    /// Sets what waits for the journal and what is missing from it.
    pub fn set_journal(&self, entries: usize, bytes: usize, dropped: u64) {
        self.journal_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.journal_entries
            .set(i64::try_from(entries).unwrap_or(i64::MAX));
        self.journal_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
    }

    /// Counts deleted rows.
    pub fn count_deleted(&self, rows: usize) {
        self.rows_deleted
            .inc_by(u64::try_from(rows).unwrap_or(u64::MAX));
    }
}
