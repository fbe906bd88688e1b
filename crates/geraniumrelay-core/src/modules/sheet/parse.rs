//! Parser of a sheet; reports all faults at once.

use std::str::FromStr;
use std::time::Duration;

use crate::modules::sheet::Sheet;
use crate::modules::sheet::columns::{RawRow, check_header};
use crate::modules::sheet::consistency::{NumberedRow, check_rows};
use crate::modules::sheet::fault::{SheetError, SheetFault};
use crate::modules::sheet::row::SheetRow;
use crate::modules::sheet::text::{LineFinder, strip_byte_order_mark};
use crate::names::{NameError, TeamName};

/// Maximum size of a sheet in bytes.
pub const MAX_SHEET_BYTES: usize = 4 << 20;

/// Maximum number of targets of a service in one data centre.
const MAX_WORKERS: u32 = 100_000;

/// Maximum number of slots of a target.
const MAX_SLOTS: u32 = 1_024;

/// Maximum number of connections of a target.
const MAX_CONNECTIONS: u32 = 65_535;

/// Maximum deadline of a request kind in milliseconds.
const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Maximum share of a team.
const MAX_TEAM_SHARE: u32 = 1_000_000;

/// Parses and validates a sheet.
///
/// A byte order mark, CRLF line ends and empty lines are accepted.
///
/// # Errors
/// [`SheetError`] with every fault of every line.
pub fn parse_sheet(revision: u64, text: &str) -> Result<Sheet, SheetError> {
    let mut faults = Vec::new();
    let rows = read_rows(text, &mut faults);
    if rows.is_empty() && faults.is_empty() {
        let allowed = "a sheet has a header and at least one row";
        faults.push(SheetFault::new(1, "(sheet)", "", allowed));
    }
    check_rows(&rows, &mut faults);
    if !faults.is_empty() {
        faults.sort_by_key(|fault| fault.line);
        return Err(SheetError { faults });
    }
    Ok(Sheet {
        revision,
        rows: rows.into_iter().map(|numbered| numbered.row).collect(),
        text: text.to_owned(),
    })
}

fn read_rows(text: &str, faults: &mut Vec<SheetFault>) -> Vec<NumberedRow> {
    if text.len() > MAX_SHEET_BYTES {
        let value = format!("{} bytes", text.len());
        let allowed = format!("a sheet has at most {MAX_SHEET_BYTES} bytes");
        faults.push(SheetFault::new(1, "(sheet)", value, allowed));
        return Vec::new();
    }
    let text = strip_byte_order_mark(text);
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(text.as_bytes());
    let Ok(header) = reader.headers().cloned() else {
        return Vec::new();
    };
    faults.extend(check_header(&header));
    if !faults.is_empty() {
        return Vec::new();
    }
    let mut lines = LineFinder::new(text);
    let mut rows = Vec::new();
    for record in reader.records().map_while(Result::ok) {
        let line = lines.line_of(record.position().map_or(0, csv::Position::byte));
        let mut row = RowReader { line, faults };
        rows.extend(row.read_record(&header, &record));
    }
    rows
}

struct RowReader<'a> {
    line: u64,
    faults: &'a mut Vec<SheetFault>,
}

impl RowReader<'_> {
    fn read_record(
        &mut self,
        header: &csv::StringRecord,
        record: &csv::StringRecord,
    ) -> Option<NumberedRow> {
        if record.len() != header.len() {
            let value = format!("{} fields", record.len());
            let allowed = format!("each line has the {} fields of the header", header.len());
            return self.fault("(line)", &value, allowed);
        }
        let raw = record.deserialize::<RawRow>(Some(header)).ok()?;
        let row = self.read(&raw)?;
        Some(NumberedRow {
            line: self.line,
            row,
        })
    }

    fn read(&mut self, raw: &RawRow) -> Option<SheetRow> {
        let service = self.name("service", &raw.service);
        let data_centre = self.name("data_centre", &raw.data_centre);
        let workers = self.count("workers", &raw.workers, 0, MAX_WORKERS);
        let slots = self.count("slots", &raw.slots, 1, MAX_SLOTS);
        let connections = self.count("connections", &raw.connections, 1, MAX_CONNECTIONS);
        let kind = self.name("request_kind", &raw.request_kind);
        let urgency = self.value("urgency", &raw.urgency, "one of urgent, normal, bulk");
        let is_idempotent = self.yes_no("idempotent", &raw.idempotent);
        let deadline_ms = self.count("deadline_ms", &raw.deadline_ms, 1, MAX_DEADLINE_MS);
        let state = self.value("state", &raw.state, "one of active, draining, retired");
        let (team, team_share) = self.team(raw)?;
        Some(SheetRow {
            service: service?,
            data_centre: data_centre?,
            workers: workers?,
            slots: slots?,
            connections: connections?,
            kind: kind?,
            urgency: urgency?,
            is_idempotent: is_idempotent?,
            deadline: Duration::from_millis(u64::from(deadline_ms?)),
            state: state?,
            team,
            team_share,
        })
    }

    /// Reads team and share, which must both be set or both be empty; `None` after a fault.
    fn team(&mut self, raw: &RawRow) -> Option<(Option<TeamName>, Option<u32>)> {
        if raw.team.is_empty() && raw.team_share.is_empty() {
            return Some((None, None));
        }
        let team = self.name("team", &raw.team);
        let share = self.count("team_share", &raw.team_share, 1, MAX_TEAM_SHARE);
        Some((Some(team?), Some(share?)))
    }

    fn name<T: FromStr<Err = NameError>>(&mut self, column: &str, text: &str) -> Option<T> {
        match text.parse() {
            Ok(name) => Some(name),
            Err(e) => self.fault(column, text, e.to_string()),
        }
    }

    fn count(&mut self, column: &str, text: &str, min: u32, max: u32) -> Option<u32> {
        match text.parse() {
            Ok(n) if (min..=max).contains(&n) => Some(n),
            _ => self.fault(column, text, format!("a whole number from {min} to {max}")),
        }
    }

    fn value<T: FromStr>(&mut self, column: &str, text: &str, allowed: &str) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.fault(column, text, allowed.to_owned()),
        }
    }

    fn yes_no(&mut self, column: &str, text: &str) -> Option<bool> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => self.fault(column, text, "yes or no".to_owned()),
        }
    }

    fn fault<T>(&mut self, column: &str, value: &str, allowed: String) -> Option<T> {
        self.faults
            .push(SheetFault::new(self.line, column, value, allowed));
        None
    }
}
