//! JSON values of table rows.

use geraniumrelay_wire::{TableRow, TableWrite};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::PlatformError;

/// Write that sets a row to a value.
pub(crate) fn write<T: Serialize>(key: String, value: &T) -> TableWrite {
    // The generated types have string keys and finite numbers only, so they always have a JSON
    // form.
    let value = serde_json::to_string(value).unwrap_or_default();
    TableWrite {
        key,
        value: Some(value),
    }
}

/// Write that deletes a row.
pub(crate) fn deletion(key: String) -> TableWrite {
    TableWrite { key, value: None }
}

/// Reads the value of a row.
///
/// # Errors
/// [`PlatformError::BadRow`].
pub(crate) fn read<T: DeserializeOwned>(row: &TableRow) -> Result<T, PlatformError> {
    serde_json::from_str(&row.value).map_err(|e| PlatformError::BadRow {
        key: row.key.clone(),
        detail: e.to_string(),
    })
}
