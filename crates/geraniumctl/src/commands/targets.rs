//! `geraniumctl targets`: shows the targets known to each entry VM.

use std::io::Write;

use geraniumrelay_wire::TargetsReport;

use crate::cli::Session;
use crate::client::Client;
use crate::commands::print_json;
use crate::exit::Failure;
use crate::table::Table;

/// Shows the targets known to every entry VM of the session.
///
/// # Errors
/// An entry VM does not answer.
pub fn run(session: &Session, out: &mut impl Write) -> Result<(), Failure> {
    let client = Client::new(session)?;
    let mut reports: Vec<TargetsReport> = Vec::new();
    for entry in client.entries() {
        reports.push(client.get(*entry, "/v1/operator/targets")?);
    }
    if session.json {
        return print_json(out, &reports);
    }
    let mut table = Table::new(&[
        "entry VM", "target", "service", "address", "state", "running",
    ]);
    for report in &reports {
        for target in &report.targets {
            table.push([
                report.entry.clone(),
                target.vm.clone(),
                target.service.clone(),
                target.address.clone(),
                target.state.clone(),
                target.running.to_string(),
            ]);
        }
    }
    write!(out, "{table}")?;
    Ok(())
}
