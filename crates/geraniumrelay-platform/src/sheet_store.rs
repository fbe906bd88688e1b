//! The accepted sheet and its audit trail, as rows of the platform's table.
//!
//! A small head row names the revision, so that polling it once a second costs little; texts and
//! differences have rows of their own, of which the newest are kept. All are written in one
//! transaction.

use geraniumrelay_wire::{
    AuditEntry, SheetDelta, SheetHead, SheetText, TableCondition, TableRow, TableWrite, Transaction,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::client::PlatformClient;
use crate::error::PlatformError;

/// Row that names the accepted sheet.
pub const HEAD_KEY: &str = "sheet/head";

/// Prefix of the audit rows.
const AUDIT_PREFIX: &str = "audit/";

/// Prefix of the rows of differences.
const DELTA_PREFIX: &str = "sheet/delta/";

/// Revisions whose texts are kept.
const KEPT_TEXTS: u64 = 16;

/// Revisions whose differences are kept.
pub const RETAINED_DELTAS: u64 = 64;

/// Reads of a text that may find it replaced by newer ones.
const READ_ATTEMPTS: usize = 3;

/// Row of the audit entry of one acceptance.
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
    /// Number of the acceptance, from 1; 0 before the first.
    pub revision: u64,
    /// Id of the apply that made it.
    pub apply_id: String,
    /// The sheet in its CSV form.
    pub sheet: String,
}

/// Outcome of an apply that the platform has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// Accepted, by this call or by an earlier one with the same apply id.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// Another change came first; nothing of this one took effect.
    Conflict {
        /// The sheet accepted since.
        current: SheetRecord,
    },
}

/// Reads and changes the accepted sheet.
#[derive(Debug)]
pub struct SheetStore<'a> {
    client: &'a PlatformClient,
}

impl<'a> SheetStore<'a> {
    /// Works through `client`.
    pub fn new(client: &'a PlatformClient) -> Self {
        Self { client }
    }

    /// Reads which sheet is accepted; revision 0 before the first.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn head(&self) -> Result<SheetHead, PlatformError> {
        read_or_default(&self.client.row(HEAD_KEY)?)
    }

    /// Reads the accepted sheet; revision 0 before the first.
    ///
    /// # Errors
    /// Any [`PlatformError`].
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

    /// Reads the differences that lead from one revision to a later one; `None` where some are
    /// not kept.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn deltas(&self, from: u64, to: u64) -> Result<Option<Vec<SheetDelta>>, PlatformError> {
        let wanted = to.saturating_sub(from);
        if from == 0 || wanted > RETAINED_DELTAS {
            return Ok(None);
        }
        let limit = u32::try_from(wanted).unwrap_or(u32::MAX);
        let rows = self.client.rows(DELTA_PREFIX, &delta_key(from), limit)?;
        let deltas = rows.rows.iter().map(read::<SheetDelta>);
        let deltas = deltas.collect::<Result<Vec<_>, _>>()?;
        let revisions = deltas.iter().map(|delta| delta.revision);
        Ok(revisions.eq(from + 1..=to).then_some(deltas))
    }

    /// Reads up to `limit` audit entries of the revisions after `after`, oldest first.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn audit(&self, after: u64, limit: u32) -> Result<Vec<AuditEntry>, PlatformError> {
        let rows = self.client.rows(AUDIT_PREFIX, &audit_key(after), limit)?;
        rows.rows.iter().map(read).collect()
    }

    /// Accepts a sheet on top of `base`, together with its audit entry.
    ///
    /// # Errors
    /// [`PlatformError::Unknown`] where it may have taken effect: call it again with the same
    /// apply id.
    pub fn accept(
        &self,
        base: u64,
        record: &SheetRecord,
        audit: &AuditEntry,
    ) -> Result<AcceptOutcome, PlatformError> {
        self.accept_with_delta(base, record, audit, None)
    }

    /// The same, with the difference between both sheets for entry VMs that have `base`.
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
        // Condition and base come from one read: a change after it makes the commit fail.
        let row = self.client.row(HEAD_KEY)?;
        let head: SheetHead = read_or_default(&row)?;
        if head.revision == base {
            let transaction = acceptance(&row, record, audit, delta);
            if self.client.commit(&transaction)?.committed {
                return Ok(AcceptOutcome::Accepted {
                    revision: record.revision,
                });
            }
        }
        self.outcome(record)
    }

    /// Whose apply made the record's revision. The audit row tells it even after later changes.
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

/// The one transaction of an acceptance.
fn acceptance(
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
        revision.checked_sub(KEPT_TEXTS).map(text_key),
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
    // Strings and numbers always have a JSON form.
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
