//! `geraniumctl audit`: shows the audit trail of accepted sheets.

use std::io::Write;

use geraniumrelay_wire::{AuditEntry, AuditTrail};

use crate::cli::Session;
use crate::client::Client;
use crate::commands::print_json;
use crate::exit::Failure;

/// Maximum number of entries per request.
const PAGE_ENTRIES: usize = 1_000;

/// Shows the audit entries of all revisions above `after`.
///
/// # Errors
/// No entry VM answers, or the platform is unavailable.
pub fn run(session: &Session, after: u64, out: &mut impl Write) -> Result<(), Failure> {
    let entries = read_all(&Client::new(session)?, after)?;
    if session.json {
        return print_json(out, &AuditTrail { entries });
    }
    for entry in &entries {
        writeln!(
            out,
            "revision {} (from {})  {}  {}  apply id {}",
            entry.revision, entry.base, entry.at, entry.who, entry.apply_id
        )?;
        for change in &entry.changes {
            writeln!(out, "  {change}")?;
        }
    }
    Ok(())
}

fn read_all(client: &Client, mut after: u64) -> Result<Vec<AuditEntry>, Failure> {
    let mut entries = Vec::new();
    loop {
        let path = format!("/v1/operator/audit?after={after}&limit={PAGE_ENTRIES}");
        let page: AuditTrail = client.get_any(&path)?;
        let count = page.entries.len();
        entries.extend(page.entries);
        let Some(last) = entries.last().filter(|_| count == PAGE_ENTRIES) else {
            return Ok(entries);
        };
        after = last.revision;
    }
}
