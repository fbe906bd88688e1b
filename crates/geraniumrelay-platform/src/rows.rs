//! JSON encoding of table row values.

use geraniumrelay_wire::{TableRow, TableWrite};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::PlatformError;

/// Returns the write that sets a row to a value.
pub(crate) fn write<T: Serialize>(key: String, value: &T) -> TableWrite {
    // Serialization can't fail: the generated types have only string keys and finite numbers.
    let value = serde_json::to_string(value).unwrap_or_default();
    TableWrite {
        key,
        value: Some(value),
    }
}

/// Returns the write that deletes a row.
pub(crate) fn deletion(key: String) -> TableWrite {
    TableWrite { key, value: None }
}

/// Decodes the value of a row.
///
/// # Errors
/// [`PlatformError::BadRow`] if the value does not decode to `T`.
pub(crate) fn read<T: DeserializeOwned>(row: &TableRow) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value).map_err(|e| PlatformError::BadRow {
        key: row.key.clone(),
        detail: e.to_string(),
    })
}
