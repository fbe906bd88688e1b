//! `geraniumctl check`: lists all faults of a sheet.

use std::fs;
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use geraniumrelay_core::modules::sheet::{Sheet, decode_sheet, parse_sheet};

use crate::exit::{Exit, Failure};

/// Checks a sheet.
///
/// # Errors
/// The file can't be read, or the sheet has faults, listed one per line.
pub fn run(path: &Path, out: &mut impl Write) -> Result<(), Failure> {
    let sheet = read(path)?;
    writeln!(
        out,
        "{}: {} rows, no faults",
        path.display(),
        sheet.rows.len()
    )?;
    Ok(())
}

/// Reads and parses a sheet file.
pub(super) fn read(path: &Path) -> Result<Sheet, Failure> {
    let bytes = fs::read(path).with_context(|| path.display().to_string())?;
    decode_sheet(&bytes)
        .and_then(|text| parse_sheet(0, text))
        .map_err(|e| Failure::new(Exit::BadSheet, e))
}
