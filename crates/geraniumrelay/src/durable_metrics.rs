//! Metrics of the reads and writes of rows in the platform's table.

use geraniumrelay_platform::KeyOutcome;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

use crate::registrar::Registrar;

/// Metrics of idempotency keys, of the journal and of the deletion of expired rows.
#[derive(Debug)]
pub struct DurableMetrics {
    keys: IntCounterVec,
    key_commits: IntCounter,
    deleted_rows: IntCounter,
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
    /// A metric of the same name is registered already.
    pub fn new(registrar: Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            keys: registrar.counters(
                "geraniumrelay_idempotency_keys_total",
                "Idempotency keys by outcome: bound, earlier, unknown",
                "outcome",
            )?,
            key_commits: registrar.counter(
                "geraniumrelay_idempotency_commits_total",
                "Group commits of idempotency keys",
            )?,
            deleted_rows: registrar.counter(
                "geraniumrelay_expired_rows_total",
                "Expired table rows that this VM deleted",
            )?,
            journal_rows: registrar.counter(
                "geraniumrelay_journal_rows_total",
                "Rows written to the journal",
            )?,
            journal_commits: registrar.counters(
                "geraniumrelay_journal_commits_total",
                "Group commits of the journal by outcome: committed, conflict, error",
                "outcome",
            )?,
            journal_bytes: registrar.gauge(
                "geraniumrelay_journal_waiting_bytes",
                "Bytes of journal entries that wait for the table",
            )?,
            journal_entries: registrar.gauge(
                "geraniumrelay_journal_waiting_entries",
                "Journal entries that wait for the table",
            )?,
            journal_dropped: registrar.gauge(
                "geraniumrelay_journal_dropped",
                "Submissions that are missing from the journal",
            )?,
        })
    }

    /// Counts one idempotency key under the label of its outcome.
    pub fn count_key(&self, outcome: &KeyOutcome) {
        let label = match outcome {
            KeyOutcome::Bound => "bound",
            KeyOutcome::AlreadyBound(_) => "earlier",
            KeyOutcome::Unknown => "unknown",
        };
        self.keys.with_label_values(&[label]).inc();
    }

    /// Counts one group commit of idempotency keys.
    pub fn count_key_commit(&self) {
        self.key_commits.inc();
    }

    /// Counts one group commit of the journal and the `rows` that it wrote; `outcome` is the label
    /// value `committed`, `conflict` or `error`.
    pub fn count_journal_commit(&self, outcome: &str, rows: usize) {
        self.journal_commits.with_label_values(&[outcome]).inc();
        self.journal_rows
            .inc_by(u64::try_from(rows).unwrap_or(u64::MAX));
    }

    /// Sets the backlog of the journal and the number of submissions that are missing from it.
    pub fn set_journal(&self, entries: usize, bytes: usize, dropped: u64) {
        self.journal_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
        self.journal_entries
            .set(i64::try_from(entries).unwrap_or(i64::MAX));
        self.journal_dropped
            .set(i64::try_from(dropped).unwrap_or(i64::MAX));
    }

    /// Counts expired rows deleted by this VM.
    pub fn count_deleted(&self, rows: usize) {
        self.deleted_rows
            .inc_by(u64::try_from(rows).unwrap_or(u64::MAX));
    }
}
