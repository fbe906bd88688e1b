//! `geraniumctl status`: shows all entry VMs with the revision in force at each.

use std::io::Write;
use std::time::Duration;

use geraniumrelay_wire::{EntryStatus, StatusReport};

use crate::cli::Session;
use crate::client::Client;
use crate::commands::print_json;
use crate::exit::Failure;
use crate::table::Table;

/// Path of the status report in the operator interface.
pub(super) const STATUS_PATH: &str = "/v1/operator/status";

/// Time since the last response after which the platform counts as unavailable; entry VMs poll it
/// once a second.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// Shows the status as observed by the first entry VM that answers.
///
/// # Errors
/// No entry VM answers.
pub fn run(session: &Session, out: &mut impl Write) -> Result<(), Failure> {
    let report: StatusReport = Client::new(session)?.get_any(STATUS_PATH)?;
    if session.json {
        return print_json(out, &report);
    }
    writeln!(
        out,
        "reported by {}: revision {} in force here",
        report.vm, report.revision
    )?;
    writeln!(out, "platform: {}", platform_state(report.platform_ms_ago))?;
    writeln!(
        out,
        "certificate of this entry VM expires: {}",
        report.certificate_expires
    )?;
    writeln!(
        out,
        "jobs in flight here: {}, targets known here: {}",
        report.jobs, report.targets
    )?;
    writeln!(out)?;
    write!(out, "{}", table(&report.entries))?;
    Ok(())
}

fn platform_state(ms_ago: Option<u64>) -> String {
    let Some(ago) = ms_ago.map(Duration::from_millis) else {
        return "unavailable; no response since the entry process started".to_owned();
    };
    let seconds = ago.as_secs_f64();
    if ago > PLATFORM_TIMEOUT {
        format!("unavailable; last response {seconds:.1} s ago")
    } else {
        format!("answers; last response {seconds:.1} s ago")
    }
}

fn table(entries: &[EntryStatus]) -> Table {
    let mut table = Table::new(&["data centre", "entry VM", "revision", "state", "heard"]);
    for entry in entries {
        let heartbeat_age = entry.heard_ms_ago.map(Duration::from_millis);
        table.push([
            entry.data_centre.clone(),
            entry.vm.clone(),
            entry.revision.to_string(),
            entry_state(entry).to_owned(),
            heartbeat_age.map_or_else(
                || "never".to_owned(),
                |ago| format!("{:.1} s ago", ago.as_secs_f64()),
            ),
        ]);
    }
    table
}

fn entry_state(entry: &EntryStatus) -> &'static str {
    match (entry.reached, entry.leaving) {
        (false, _) => "can't be reached",
        (true, true) => "leaving",
        (true, false) => "reached",
    }
}
