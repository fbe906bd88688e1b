//! The accepted sheet and its audit trail, as rows of the platform's table.

use geraniumrelay_wire::{TableCondition, TableWrite, Transaction};
use serde::{Deserialize, Serialize};

use crate::client::PlatformClient;
use crate::error::PlatformError;

/// Row that holds the accepted sheet.
pub const SHEET_KEY: &str = "sheet/current";

/// Row of the audit entry of one acceptance.
pub fn audit_key(revision: u64) -> String {
    format!("audit/{revision:012}")
}

/// The accepted sheet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SheetRecord {
    /// Number of the acceptance, from 1; 0 before the first.
    pub revision: u64,
    /// Id of the apply that made it.
    pub apply_id: String,
    /// The sheet in its CSV form.
    pub sheet: String,
}

/// Who changed what, and when.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Revision that the change made.
    pub revision: u64,
    /// Id of the apply.
    pub apply_id: String,
    /// The person.
    pub who: String,
    /// RFC 3339 time.
    pub at: String,
    /// The difference, one line each.
    pub changes: Vec<String>,
}

/// Outcome of an apply that the platform has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acceptance {
    /// Accepted, by this call or by an earlier one with the same apply id.
    Accepted {
        /// Its revision.
        revision: u64,
    },
    /// Another change came first; nothing of this one took effect.
    Overtaken {
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

    /// Reads the accepted sheet; revision 0 before the first.
    ///
    /// # Errors
    /// Any [`PlatformError`].
    pub fn current(&self) -> Result<SheetRecord, PlatformError> {
        let row = self.client.row(SHEET_KEY)?;
        if row.version == 0 {
            return Ok(SheetRecord::default());
        }
        serde_json::from_str(&row.value).map_err(|e| PlatformError::BadRow {
            key: row.key,
            detail: e.to_string(),
        })
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
    ) -> Result<Acceptance, PlatformError> {
        let row = self.client.row(SHEET_KEY)?;
        let current = self.current()?;
        if current.apply_id == record.apply_id {
            return Ok(Acceptance::Accepted {
                revision: current.revision,
            });
        }
        if current.revision != base {
            return Ok(Acceptance::Overtaken { current });
        }
        let audit_key = audit_key(record.revision);
        let transaction = Transaction {
            conditions: vec![
                TableCondition {
                    key: SHEET_KEY.to_owned(),
                    version: row.version,
                },
                TableCondition {
                    key: audit_key.clone(),
                    version: 0,
                },
            ],
            writes: vec![
                TableWrite {
                    key: SHEET_KEY.to_owned(),
                    value: Some(to_json(record)),
                },
                TableWrite {
                    key: audit_key,
                    value: Some(to_json(audit)),
                },
            ],
        };
        if self.client.commit(&transaction)?.committed {
            return Ok(Acceptance::Accepted {
                revision: record.revision,
            });
        }
        Ok(Acceptance::Overtaken {
            current: self.current()?,
        })
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
