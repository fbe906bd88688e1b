//! Journal settings.

/// Limits of the write buffer and of one group commit.
#[derive(Debug, Clone)]
pub struct JournalConfig {
    /// Maximum bytes of entries that wait to be written.
    pub max_pending_bytes: usize,
    /// Maximum size in bytes of an answer that is written with its outputs.
    pub max_answer_bytes: usize,
    /// Maximum number of rows in one commit.
    pub max_rows_per_commit: usize,
    /// Bytes after which no further row is added to a commit.
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
