//! Columns of a sheet and validation of the header.

use serde::Deserialize;

use crate::collections::Map;
use crate::modules::sheet::fault::SheetFault;

/// Columns that a sheet must have, in their canonical order.
pub(super) const REQUIRED: [&str; 10] = [
    "service",
    "data_centre",
    "workers",
    "slots",
    "connections",
    "request_kind",
    "urgency",
    "idempotent",
    "deadline_ms",
    "state",
];

/// Columns that a sheet may have in addition.
pub(super) const OPTIONAL: [&str; 2] = ["team", "team_share"];

/// Line number of the header.
const HEADER_LINE: u64 = 1;

/// One row before its values are validated; an absent column is an empty string.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RawRow {
    pub(super) service: String,
    pub(super) data_centre: String,
    pub(super) workers: String,
    pub(super) slots: String,
    pub(super) connections: String,
    pub(super) request_kind: String,
    pub(super) urgency: String,
    pub(super) idempotent: String,
    pub(super) deadline_ms: String,
    pub(super) state: String,
    pub(super) team: String,
    pub(super) team_share: String,
}

/// Returns the faults of a header: unknown, repeated and missing columns.
pub(super) fn check_header(header: &csv::StringRecord) -> Vec<SheetFault> {
    let mut faults = Vec::new();
    let mut seen: Map<&str, usize> = Map::default();
    for name in header {
        let count = seen.entry(name).or_insert(0);
        *count += 1;
        if !REQUIRED.contains(&name) && !OPTIONAL.contains(&name) {
            faults.push(header_fault(name, &allowed_columns()));
        } else if *count == 2 {
            faults.push(header_fault(name, "each column is named once"));
        }
    }
    for name in REQUIRED {
        if !seen.contains_key(name) {
            let allowed = format!("the column {name} must be there");
            faults.push(SheetFault::new(HEADER_LINE, name, "", allowed));
        }
    }
    faults
}

fn header_fault(name: &str, allowed: &str) -> SheetFault {
    SheetFault::new(HEADER_LINE, name, name, allowed)
}

fn allowed_columns() -> String {
    format!(
        "columns are {}, and where wanted {}",
        REQUIRED.join(", "),
        OPTIONAL.join(", ")
    )
}
