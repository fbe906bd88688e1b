//! Metrics of what is kept in the platform's table.

use geraniumrelay_platform::KeyOutcome;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

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
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let keys = IntCounterVec::new(
            Opts::new(
                "geraniumrelay_idempotency_keys_total",
                "Idempotency keys by outcome: bound, earlier, unknown",
            ),
            &["outcome"],
        )?;
        let key_commits = IntCounter::new(
            "geraniumrelay_idempotency_commits_total",
            "Group commits of idempotency keys",
        )?;
        let rows_deleted = IntCounter::new(
            "geraniumrelay_expired_rows_total",
            "Expired table rows that this VM deleted",
        )?;
        registry.register(Box::new(keys.clone()))?;
        registry.register(Box::new(key_commits.clone()))?;
        registry.register(Box::new(rows_deleted.clone()))?;
        let journal_rows = IntCounter::new(
            "geraniumrelay_journal_rows_total",
            "Rows written to the journal",
        )?;
        let journal_commits = IntCounterVec::new(
            Opts::new(
                "geraniumrelay_journal_commits_total",
                "Group commits of the journal by outcome: committed, conflict, error",
            ),
            &["outcome"],
        )?;
        let journal_bytes = IntGauge::new(
            "geraniumrelay_journal_waiting_bytes",
            "Bytes of journal entries that wait for the table",
        )?;
        let journal_entries = IntGauge::new(
            "geraniumrelay_journal_waiting_entries",
            "Journal entries that wait for the table",
        )?;
        let journal_dropped = IntGauge::new(
            "geraniumrelay_journal_dropped",
            "Submissions that are missing from the journal",
        )?;
        registry.register(Box::new(journal_rows.clone()))?;
        registry.register(Box::new(journal_commits.clone()))?;
        registry.register(Box::new(journal_bytes.clone()))?;
        registry.register(Box::new(journal_entries.clone()))?;
        registry.register(Box::new(journal_dropped.clone()))?;
        Ok(Self {
            keys,
            key_commits,
            rows_deleted,
            journal_rows,
            journal_commits,
            journal_bytes,
            journal_entries,
            journal_dropped,
        })
    }

    /// Counts what became of one key.
    pub fn count_key(&self, outcome: &KeyOutcome) {
        let label = match outcome {
            KeyOutcome::Bound => "bound",
            KeyOutcome::Earlier(_) => "earlier",
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
