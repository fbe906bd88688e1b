//! `geraniumctl jobs`: lists the jobs in flight at each entry VM.

use std::io::Write;

use geraniumrelay_wire::JobsReport;

use crate::cli::Session;
use crate::client::Client;
use crate::commands::journal::{self, JournalArgs};
use crate::commands::print_json;
use crate::exit::Failure;
use crate::table::Table;

/// Shows the jobs in flight at every entry VM of the session, or submissions from the journal.
///
/// # Errors
/// An entry VM does not answer, or the journal can't be read.
pub fn run(
    session: &Session,
    limit: usize,
    args: &JournalArgs,
    out: &mut impl Write,
) -> Result<(), Failure> {
    if args.is_journal_query() {
        return journal::run(session, args, out);
    }
    let client = Client::new(session)?;
    let path = format!("/v1/operator/jobs?limit={limit}");
    let mut reports: Vec<JobsReport> = Vec::new();
    for entry in client.entries() {
        reports.push(client.get(*entry, &path)?);
    }
    if session.json {
        return print_json(out, &reports);
    }
    let mut table = Table::new(&[
        "entry VM", "ticket", "service", "urgency", "queued", "running", "ended", "due in s",
    ]);
    for report in &reports {
        for job in &report.jobs {
            table.push([
                report.entry.clone(),
                job.ticket.clone(),
                job.service.clone(),
                job.urgency.clone(),
                job.queued.to_string(),
                job.running.to_string(),
                job.ended.to_string(),
                format!("{}.{:03}", job.due_in_ms / 1_000, job.due_in_ms % 1_000),
            ]);
        }
    }
    write!(out, "{table}")?;
    for report in &reports {
        writeln!(out, "{}: {} jobs in flight", report.entry, report.total)?;
    }
    Ok(())
}
