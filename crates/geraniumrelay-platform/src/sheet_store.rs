//! The accepted sheet and its audit trail, as rows of the platform's table.
//!
//! A small head row contains the revision, so that polling it once a second is cheap. Texts and
//! deltas have rows of their own, of which only the newest are retained. Accepting a sheet writes
//! all of them in one transaction.

use geraniumrelay_wire::{
    AuditEntry, SheetDelta, SheetHead, SheetText, TableCondition, TableRow, TableWrite, Transaction,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::PlatformClient;
use crate::error::PlatformError;

/// Key of the row that contains the revision of the accepted sheet.
pub const HEAD_KEY: &str = "sheet/head";

/// Key prefix of the audit rows.
const AUDIT_PREFIX: &str = "audit/";

/// Key prefix of the delta rows.
const DELTA_PREFIX: &str = "sheet/delta/";

/// Number of newest revisions whose texts are retained.
const RETAINED_TEXTS: u64 = 16;

/// Number of newest revisions whose deltas are retained.
pub const RETAINED_DELTAS: u64 = 64;

/// Maximum attempts to read the current text; newer revisions may replace it after the head row is
/// read.
const READ_ATTEMPTS: usize = 3;

/// Key of the audit row of a revision.
pub fn audit_key(revision: u64) -> String {
    format!("{AUDIT_PREFIX}{revision:012}")
}

fn text_key(revision: u64) -> String {
    format!("sheet/text/{revision:012}")
}

fn delta_key(revision: u64) -> String {
    format!("{DELTA_PREFIX}{revision:012}")
}

/// The accepted sheet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SheetRecord {
    /// Revision, from 1; 0 if no sheet has been accepted.
    pub revision: u64,
    /// Id of the apply request that created the revision.
    pub apply_id: String,
    /// Sheet as CSV.
    pub sheet: String,
}

/// Outcome of accepting a sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// Accepted, by this call or by an earlier one with the same apply id.
    Accepted {
        /// Revision of the accepted sheet.
        revision: u64,
    },
    /// Another sheet was accepted first; the apply took no effect.
    Conflict {
        /// Currently accepted sheet.
        current: SheetRecord,
    },
}

/// Access to the accepted sheet and its audit trail.
#[derive(Debug)]
pub struct SheetStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> SheetStore<'a> {
    /// Creates a store that uses `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Reads the revision and apply id of the accepted sheet; revision 0 if there is none.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn head(&self) -> Result<SheetHead, PlatformError> {
        read_or_default(&self.client.row(HEAD_KEY)?)
    }

    /// Reads the accepted sheet; revision 0 if there is none.
    ///
    /// # Errors
    /// Any [`PlatformError`]; [`PlatformError::BadRow`] also if the text row is missing.
    pub fn current(&self) -> Result<SheetRecord, PlatformError> {
        for _ in 0..READ_ATTEMPTS {
            let head = self.head()?;
            if head.revision == 0 {
                return Ok(SheetRecord::default());
            }
            let row = self.client.row(&text_key(head.revision))?;
            if row.version > 0 {
                let text: SheetText = read(&row)?;
                return Ok(SheetRecord {
                    revision: head.revision,
                    apply_id: head.apply_id,
                    sheet: text.sheet,
                });
            }
        }
        Err(PlatformError::BadRow {
            key: HEAD_KEY.to_owned(),
            detail: "the text of its revision is missing".to_owned(),
        })
    }

    /// Reads the deltas from one revision to a later one; `None` if any of them is no longer
    /// retained.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn deltas(&self, from: u64, to: u64) -> Result<Option<Vec<SheetDelta>>, PlatformError> {
        let count = to.saturating_sub(from);
        if from == 0 || count > RETAINED_DELTAS {
            return Ok(None);
        }
        let limit = u32::try_from(count).unwrap_or(u32::MAX);
        let rows = self.client.rows(DELTA_PREFIX, &delta_key(from), limit)?;
        let deltas = rows.rows.iter().map(read::<SheetDelta>);
        let deltas = deltas.collect::<Result<Vec<_>, _>>()?;
        let revisions = deltas.iter().map(|delta| delta.revision);
        Ok(revisions.eq(from + 1..=to).then_some(deltas))
    }

    /// Reads up to `limit` audit entries of revisions above `after`, in ascending order.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn audit(&self, after: u64, limit: u32) -> Result<Vec<AuditEntry>, PlatformError> {
        let rows = self.client.rows(AUDIT_PREFIX, &audit_key(after), limit)?;
        rows.rows.iter().map(read).collect()
    }

    /// Accepts a sheet if the accepted revision is `base`, and writes its audit entry.
    ///
    /// # Errors
    /// [`PlatformError::Unknown`] if the sheet may have been accepted: retry with the same apply
    /// id.
    pub fn accept(
        &self,
        base: u64,
        record: &SheetRecord,
        audit: &AuditEntry,
    ) -> Result<AcceptOutcome, PlatformError> {
        self.accept_with_delta(base, record, audit, None)
    }

    /// Like [`Self::accept`], and writes the delta from `base`, for entry VMs that have `base`.
    ///
    /// # Errors
    /// As [`Self::accept`].
    pub fn accept_with_delta(
        &self,
        base: u64,
        record: &SheetRecord,
        audit: &AuditEntry,
        delta: Option<&SheetDelta>,
    ) -> Result<AcceptOutcome, PlatformError> {
        // The base check and the commit condition use the same read, so that a concurrent change
        // fails the commit.
        let row = self.client.row(HEAD_KEY)?;
        let head: SheetHead = read_or_default(&row)?;
        if head.revision == base {
            let transaction = accept_transaction(&row, record, audit, delta);
            if self.client.commit(&transaction)?.committed {
                return Ok(AcceptOutcome::Accepted {
                    revision: record.revision,
                });
            }
        }
        self.outcome(record)
    }

    /// Finds out whether this apply created the record's revision. The audit row records the apply
    /// id and is not changed by later revisions.
    fn outcome(&self, record: &SheetRecord) -> Result<AcceptOutcome, PlatformError> {
        let row = self.client.row(&audit_key(record.revision))?;
        let entry: AuditEntry = read_or_default(&row)?;
        if row.version > 0 && entry.apply_id == record.apply_id {
            return Ok(AcceptOutcome::Accepted {
                revision: record.revision,
            });
        }
        Ok(AcceptOutcome::Conflict {
            current: self.current()?,
        })
    }
}

/// Transaction that accepts a sheet.
fn accept_transaction(
    head: &TableRow,
    record: &SheetRecord,
    audit: &AuditEntry,
    delta: Option<&SheetDelta>,
) -> Transaction {
    let revision = record.revision;
    let new_head = SheetHead {
        revision,
        apply_id: record.apply_id.clone(),
    };
    let text = SheetText {
        revision,
        sheet: record.sheet.clone(),
    };
    let mut writes = vec![
        write(HEAD_KEY.to_owned(), &new_head),
        write(text_key(revision), &text),
        write(audit_key(revision), audit),
    ];
    writes.extend(delta.map(|delta| write(delta_key(revision), delta)));
    let outdated = [
        revision.checked_sub(RETAINED_TEXTS).map(text_key),
        revision.checked_sub(RETAINED_DELTAS).map(delta_key),
    ];
    writes.extend(outdated.into_iter().flatten().map(deletion));
    Transaction {
        conditions: vec![
            condition(HEAD_KEY.to_owned(), head.version),
            condition(audit_key(revision), 0),
        ],
        writes,
    }
}

fn condition(key: String, version: u64) -> TableCondition {
    TableCondition { key, version }
}

fn write<T: Serialize>(key: String, value: &T) -> TableWrite {
    // Serialization can't fail: the values consist of strings and numbers.
    let value = serde_json::to_string(value).unwrap_or_default();
    TableWrite {
        key,
        value: Some(value),
    }
}

fn deletion(key: String) -> TableWrite {
    TableWrite { key, value: None }
}

fn read<T: DeserializeOwned>(row: &TableRow) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value).map_err(|e| PlatformError::BadRow {
        key: row.key.clone(),
        detail: e.to_string(),
    })
}

fn read_or_default<T: DeserializeOwned + Default>(row: &TableRow) -> Result<T, PlatformError> {
    if row.version == 0 {
        return Ok(T::default());
    }
    read(row)
}
