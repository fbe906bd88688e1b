//! `geraniumctl services`: shows the services of the sheet in force.

use std::io::Write;

use geraniumrelay_wire::ServicesReport;

use crate::cli::Session;
use crate::client::Client;
use crate::commands::{print_json, yes_no};
use crate::exit::Failure;
use crate::table::Table;

/// Shows the services in force, with one row per request kind.
///
/// # Errors
/// No entry VM answers.
pub fn run(session: &Session, out: &mut impl Write) -> Result<(), Failure> {
    let report: ServicesReport = Client::new(session)?.get_any("/v1/operator/services")?;
    if session.json {
        return print_json(out, &report);
    }
    writeln!(out, "revision {}", report.revision)?;
    let mut table = Table::new(&[
        "service",
        "data centre",
        "state",
        "workers",
        "slots",
        "request kind",
        "urgency",
        "idempotent",
        "deadline ms",
    ]);
    for service in &report.services {
        for kind in &service.kinds {
            table.push([
                service.service.clone(),
                service.data_centre.clone(),
                service.state.clone(),
                service.workers.to_string(),
                service.slots.to_string(),
                kind.kind.clone(),
                kind.urgency.clone(),
                yes_no(kind.idempotent),
                kind.deadline_ms.to_string(),
            ]);
        }
    }
    write!(out, "{table}")?;
    Ok(())
}
