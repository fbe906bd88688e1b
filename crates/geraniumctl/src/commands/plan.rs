//! `geraniumctl plan`: what a sheet would change, in words.

use std::io::Write;
use std::path::Path;

use geraniumrelay_core::modules::sheet::{Change, Sheet, parse_sheet, plan};
use geraniumrelay_wire::SheetText;

use crate::cli::Session;
use crate::client::{Client, RequestError};
use crate::commands::check;
use crate::exit::{Exit, Failure};

/// Path of the accepted sheet.
pub(super) const SHEET_PATH: &str = "/v1/operator/sheet";

/// A sheet with what it changes.
#[derive(Debug)]
pub(super) struct Planned {
    /// Revision that it was planned from.
    pub(super) base: u64,
    /// The sheet.
    pub(super) sheet: Sheet,
    /// The difference.
    pub(super) changes: Vec<Change>,
}

/// Shows what a sheet would change.
///
/// # Errors
/// Faults, changes that are not allowed, no connection.
pub fn run(session: &Session, path: &Path, out: &mut impl Write) -> Result<(), Failure> {
    let sheet = check::read(path)?;
    let planned = prepare(&Client::new(session)?, sheet)?;
    print(out, &planned)
}

/// Plans a sheet on top of the accepted one.
pub(super) fn prepare(client: &Client, sheet: Sheet) -> Result<Planned, Failure> {
    let current: SheetText = client.get_any(SHEET_PATH)?;
    let changes = difference(&current, &sheet)?;
    Ok(Planned {
        base: current.revision,
        sheet,
        changes,
    })
}

/// What a sheet changes on top of an accepted one.
pub(super) fn difference(current: &SheetText, sheet: &Sheet) -> Result<Vec<Change>, Failure> {
    let base = match current.revision {
        0 => None,
        revision => {
            Some(
                parse_sheet(revision, &current.sheet).map_err(|e| RequestError::Refused {
                    detail: format!("the accepted sheet can't be read: {e}"),
                })?,
            )
        }
    };
    plan(base.as_ref(), sheet).map_err(|e| Failure::new(Exit::BadSheet, e))
}

/// Prints the difference.
pub(super) fn print(out: &mut impl Write, planned: &Planned) -> Result<(), Failure> {
    let base = planned.base;
    if planned.changes.is_empty() {
        writeln!(out, "nothing changes; revision {base} has the same rows")?;
        return Ok(());
    }
    writeln!(out, "changes on top of revision {base}:")?;
    for change in &planned.changes {
        writeln!(out, "  {change}")?;
    }
    Ok(())
}
