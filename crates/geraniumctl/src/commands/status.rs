//! `geraniumctl status`: each entry VM with the revision in force there.

use std::io::Write;
use std::time::Duration;

use geraniumrelay_wire::{EntryStatus, StatusReport};

use crate::cli::Session;
use crate::client::Client;
use crate::commands::print_json;
use crate::exit::Failure;
use crate::table::Table;

/// Path of the status.
pub(super) const STATUS_PATH: &str = "/v1/operator/status";

/// Silence of the platform after which it counts as away; polls come once a second.
const PLATFORM_SILENCE: Duration = Duration::from_secs(5);

/// Shows the status as the first entry VM that answers sees it.
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
        "as {} sees it: revision {} in force here",
        report.vm, report.revision
    )?;
    writeln!(out, "platform: {}", platform(report.platform_ms_ago))?;
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

fn platform(ms_ago: Option<u64>) -> String {
    let Some(ago) = ms_ago.map(Duration::from_millis) else {
        return "away; it has not answered since this process started".to_owned();
    };
    let seconds = ago.as_secs_f64();
    if ago > PLATFORM_SILENCE {
        format!("away; last answer {seconds:.1} s ago")
    } else {
        format!("answers; last answer {seconds:.1} s ago")
    }
}

fn table(entries: &[EntryStatus]) -> Table {
    let mut table = Table::new(&["data centre", "entry VM", "revision", "state", "heard"]);
    for entry in entries {
        let heard = entry.heard_ms_ago.map(Duration::from_millis);
        table.push([
            entry.data_centre.clone(),
            entry.vm.clone(),
            entry.revision.to_string(),
            state(entry).to_owned(),
            heard.map_or_else(
                || "never".to_owned(),
                |ago| format!("{:.1} s ago", ago.as_secs_f64()),
            ),
        ]);
    }
    table
}

fn state(entry: &EntryStatus) -> &'static str {
    match (entry.reached, entry.leaving) {
        (false, _) => "can't be reached",
        (true, true) => "leaving",
        (true, false) => "reached",
    }
}
