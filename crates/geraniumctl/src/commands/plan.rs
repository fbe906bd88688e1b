//! `geraniumctl plan`: describes what a sheet would change.

use std::io::Write;
use std::path::Path;

use geraniumrelay_core::modules::sheet::{Change, Sheet, parse_sheet, plan};
use geraniumrelay_wire::SheetText;

use crate::cli::Session;
use crate::client::{Client, RequestError};
use crate::commands::check;
use crate::exit::{Exit, Failure};

/// Path of the accepted sheet in the operator interface.
pub(super) const SHEET_PATH: &str = "/v1/operator/sheet";

/// A sheet and its changes to the accepted one.
#[derive(Debug)]
pub(super) struct SheetPlan {
    /// Revision that the changes are based on.
    pub(super) base: u64,
    /// Planned sheet.
    pub(super) sheet: Sheet,
    /// Changes from the sheet of `base`.
    pub(super) changes: Vec<Change>,
}

/// Prints the changes that a sheet would make.
///
/// # Errors
/// The sheet has faults or makes changes that are not allowed, or no entry VM answers.
pub fn run(session: &Session, path: &Path, out: &mut impl Write) -> Result<(), Failure> {
    let sheet = check::read(path)?;
    let plan = prepare(&Client::new(session)?, sheet)?;
    print(out, &plan)
}

/// Computes the changes from the accepted sheet.
pub(super) fn prepare(client: &Client, sheet: Sheet) -> Result<SheetPlan, Failure> {
    let current: SheetText = client.get_any(SHEET_PATH)?;
    let changes = difference(&current, &sheet)?;
    Ok(SheetPlan {
        base: current.revision,
        sheet,
        changes,
    })
}

/// Computes the changes from `current` to `sheet`.
pub(super) fn difference(current: &SheetText, sheet: &Sheet) -> Result<Vec<Change>, Failure> {
    let base = match current.revision {
        0 => None,
        revision => {
            Some(
                parse_sheet(revision, &current.sheet).map_err(|e| RequestError::Refused {
                    detail: format!("the accepted sheet can't be parsed: {e}"),
                })?,
            )
        }
    };
    plan(base.as_ref(), sheet).map_err(|e| Failure::new(Exit::BadSheet, e))
}

/// Prints the changes, one per line.
pub(super) fn print(out: &mut impl Write, plan: &SheetPlan) -> Result<(), Failure> {
    let base = plan.base;
    if plan.changes.is_empty() {
        writeln!(out, "nothing changes; revision {base} has the same rows")?;
        return Ok(());
    }
    writeln!(out, "changes on top of revision {base}:")?;
    for change in &plan.changes {
        writeln!(out, "  {change}")?;
    }
    Ok(())
}
