//! Metrics of what is kept in the platform's table.

use geraniumrelay_platform::KeyOutcome;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Metrics of key bindings and deletions.
#[derive(Debug)]
pub struct DurableMetrics {
    keys: IntCounterVec,
    key_commits: IntCounter,
    rows_deleted: IntCounter,
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
        Ok(Self {
            keys,
            key_commits,
            rows_deleted,
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

    /// Counts deleted rows.
    pub fn count_deleted(&self, rows: usize) {
        self.rows_deleted
            .inc_by(u64::try_from(rows).unwrap_or(u64::MAX));
    }
}
