//! The journal as rows of the platform's table.
//!
//! Each incarnation has one writer row. Every commit is conditional on the version of this row and
//! increments it, so that a delayed commit can't overwrite a later one. After a lost reply, the
//! commit number in the writer row shows whether the commit took effect.

use std::time::SystemTime;

use geraniumrelay_wire::{JournalRow, JournalWriter, TableCondition, TableRow, Transaction};

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::{expiry, rows};

/// Key prefix of the submission rows.
const JOURNAL_PREFIX: &str = "journal/";

/// Key prefix of the writer rows.
const WRITER_PREFIX: &str = "journal-writer/";

/// Maximum number of rows per read.
const PAGE_ROWS: u32 = 500;

/// One group commit of one incarnation.
#[derive(Debug, Clone)]
pub struct JournalCommit {
    /// Writer row after the commit; its commit number identifies the commit.
    pub writer: JournalWriter,
    /// Version that the writer row must have before the commit; 0 if it must not exist.
    pub writer_version: u64,
    /// Submissions to write.
    pub rows: Vec<JournalRow>,
    /// Time after which the rows are deleted.
    pub expires: SystemTime,
}

/// Outcome of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The commit took effect, in this call or in an earlier one whose reply was lost.
    Committed {
        /// Current version of the writer row.
        writer_version: u64,
    },
    /// The writer row has another version; the commit took no effect.
    Conflict {
        /// Current version of the writer row.
        writer_version: u64,
    },
}

/// Access to the journal in the platform's table.
#[derive(Debug)]
pub struct JournalStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> JournalStore<'a> {
    /// Creates a store that uses `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Commits submission rows and writer row in one transaction.
    ///
    /// # Errors
    /// Any [`PlatformError`]; retry with the same commit, whether or not it may have taken effect.
    pub fn commit(&self, commit: &JournalCommit) -> Result<CommitOutcome, PlatformError> {
        let result = self.client.commit(&transaction(commit))?;
        if result.committed {
            let writer_version = commit.writer_version + 1;
            return Ok(CommitOutcome::Committed { writer_version });
        }
        let found = result.conflicts.first().cloned().unwrap_or_default();
        let writer_version = found.version;
        if is_own_commit(&found, &commit.writer) {
            return Ok(CommitOutcome::Committed { writer_version });
        }
        Ok(CommitOutcome::Conflict { writer_version })
    }

    /// Reads the row of one submission; `None` if there is none.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn row(&self, ticket: &str) -> Result<Option<JournalRow>, PlatformError> {
        let row = self.client.row(&row_key(ticket))?;
        if row.version == 0 {
            return Ok(None);
        }
        rows::read(&row).map(Some)
    }

    /// Reads the submissions of all incarnations, in key order.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn all(&self) -> Result<Vec<JournalRow>, PlatformError> {
        self.read_all(JOURNAL_PREFIX)
    }

    /// Reads the writer rows of all incarnations, in key order.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn writers(&self) -> Result<Vec<JournalWriter>, PlatformError> {
        self.read_all(WRITER_PREFIX)
    }

    fn read_all<T: serde::de::DeserializeOwned>(
        &self,
        prefix: &str,
    ) -> Result<Vec<T>, PlatformError> {
        let mut all = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.client.rows(prefix, &after, PAGE_ROWS)?.rows;
            let Some(last) = page.last() else {
                return Ok(all);
            };
            after.clone_from(&last.key);
            for row in &page {
                all.push(rows::read(row)?);
            }
        }
    }
}

fn transaction(commit: &JournalCommit) -> Transaction {
    let writer_key = format!("{WRITER_PREFIX}{:016x}", commit.writer.incarnation);
    let mut keys: Vec<String> = commit.rows.iter().map(|row| row_key(&row.ticket)).collect();
    let mut writes: Vec<_> = keys
        .iter()
        .zip(&commit.rows)
        .map(|(key, row)| rows::write(key.clone(), row))
        .collect();
    writes.push(rows::write(writer_key.clone(), &commit.writer));
    if commit.writer_version == 0 {
        keys.push(writer_key.clone());
    }
    if !keys.is_empty() {
        writes.push(expiry::batch_write(commit.expires, batch_id(commit), keys));
    }
    Transaction {
        conditions: vec![TableCondition {
            key: writer_key,
            version: commit.writer_version,
        }],
        writes,
    }
}

/// Id of the expiry batch, derived from the commit so that a retry writes no second batch.
fn batch_id(commit: &JournalCommit) -> u128 {
    u128::from(commit.writer.incarnation) << 64 | u128::from(commit.writer.commit)
}

fn is_own_commit(found: &TableRow, writer: &JournalWriter) -> bool {
    rows::read::<JournalWriter>(found).is_ok_and(|found| found.commit == writer.commit)
}

fn row_key(ticket: &str) -> String {
    format!("{JOURNAL_PREFIX}{ticket}")
}
