//! Settings of the journal.

/// Bounds on what waits to be written and on one group commit.
#[derive(Debug, Clone)]
pub struct JournalConfig {
    /// Most bytes of entries that wait for the table.
    pub max_pending_bytes: usize,
    /// Largest answer that is written with its outputs, in bytes.
    pub max_answer_bytes: usize,
    /// Most rows in one commit.
    pub max_rows_per_commit: usize,
    /// Bytes after which a commit takes no further row.
    pub max_bytes_per_commit: usize,
}

impl Default for JournalConfig {
    fn default() -> Self {
        Self {
            max_pending_bytes: 8 << 20,
            max_answer_bytes: 64 << 10,
            max_rows_per_commit: 500,
            max_bytes_per_commit: 1 << 20,
        }
    }
}
