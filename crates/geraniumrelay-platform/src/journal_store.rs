//! The journal as rows of the platform's table.
//!
//! Each incarnation has one writer row, whose version every commit requires and raises. A commit
//! that is delayed on its way can so never undo a later one, and a lost reply is read back from
//! the number of the last commit in that row.

use std::time::SystemTime;

use geraniumrelay_wire::{JournalRow, JournalWriter, TableCondition, TableRow, Transaction};

use crate::client::PlatformClient;
use crate::error::PlatformError;
use crate::{expiry, rows};

/// Prefix of the submissions' rows.
const JOURNAL_PREFIX: &str = "journal/";

/// Prefix of the writers' rows.
const WRITER_PREFIX: &str = "journal-writer/";

/// Most rows read in one call.
const PAGE_ROWS: u32 = 500;

/// One group commit of one incarnation.
#[derive(Debug, Clone)]
pub struct JournalCommit {
    /// Writer row after the commit; its commit number tells this commit from others.
    pub writer: JournalWriter,
    /// Version of the writer row that the commit requires.
    pub writer_version: u64,
    /// Submissions to write.
    pub rows: Vec<JournalRow>,
    /// When the rows are deleted.
    pub expires: SystemTime,
}

/// What became of a commit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect, by this call or by an earlier one whose reply was lost.
    Committed {
        /// Version of the writer row now.
        writer_version: u64,
    },
    /// The writer row is at another version; nothing took effect.
    Conflict {
        /// Version of the writer row now.
        writer_version: u64,
    },
}

/// Reads and writes the journal.
#[derive(Debug)]
pub struct JournalStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> JournalStore<'a> {
    /// Works through `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Commits rows and writer row.
    ///
    /// # Errors
    /// Any [`PlatformError`]; call it again with the same commit, whether or not it may have
    /// taken effect.
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

    /// Reads the row of one submission.
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

    /// Reads all submissions of the journal.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn all(&self) -> Result<Vec<JournalRow>, PlatformError> {
        self.read_all(JOURNAL_PREFIX)
    }

    /// Reads all writers of the journal.
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

/// Names the batch after its commit, so that a repeat writes no second one.
fn batch_id(commit: &JournalCommit) -> u128 {
    u128::from(commit.writer.incarnation) << 64 | u128::from(commit.writer.commit)
}

fn is_own_commit(found: &TableRow, writer: &JournalWriter) -> bool {
    rows::read::<JournalWriter>(found).is_ok_and(|found| found.commit == writer.commit)
}

fn row_key(ticket: &str) -> String {
    format!("{JOURNAL_PREFIX}{ticket}")
}
