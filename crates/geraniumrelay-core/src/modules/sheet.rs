//! The morning sheet: services, their data centres, capacity and request kinds.

use std::fmt;
use std::time::Duration;

use derive_more::{Display, Error, FromStr};
use serde::Deserialize;

use crate::collections::Map;
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// How soon a request kind is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Urgency {
    /// People stand and wait.
    Urgent,
    /// Soon.
    Normal,
    /// Whenever there is room; gives way first.
    Bulk,
}

impl Urgency {
    /// Number of classes.
    pub const COUNT: usize = 3;
}

/// Whether a service takes new work in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    Active,
    /// Finishes what it has.
    Draining,
    /// Has nothing left.
    Retired,
}

/// One row: a service, a data centre and a request kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetRow {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Targets of the service there.
    pub workers: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target allows.
    pub connections: u32,
    /// The request kind.
    pub kind: KindName,
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time callers wait when they name none.
    pub deadline: Duration,
    /// Whether new work is taken.
    pub state: ServiceState,
    /// Team that the share is of, where the row names one.
    pub team: Option<TeamName>,
    /// Share of the team among the teams of the service.
    pub team_share: Option<u32>,
}

/// A sheet as accepted under a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sheet {
    /// Number of the acceptance, from 1.
    pub revision: u64,
    /// The rows, in the sheet's order.
    pub rows: Vec<SheetRow>,
    /// The CSV text that the rows were read from.
    pub text: String,
}

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("line {line}, column {column}: \"{value}\" is not allowed; {allowed}")]
pub struct SheetFault {
    /// Line of the file, from 1.
    pub line: u64,
    /// Column name.
    pub column: &'static str,
    /// Offending value.
    pub value: String,
    /// What is allowed there.
    pub allowed: String,
}

/// All faults of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SheetError {
    /// The faults, in file order.
    pub faults: Vec<SheetFault>,
}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

#[derive(Debug, Deserialize)]
struct RawRow {
    service: String,
    data_centre: String,
    workers: String,
    slots: String,
    connections: String,
    request_kind: String,
    urgency: String,
    idempotent: String,
    deadline_ms: String,
    state: String,
    #[serde(default)]
    team: String,
    #[serde(default)]
    team_share: String,
}

/// Reads a sheet and names all of its faults at once.
///
/// # Errors
/// [`SheetError`] with every fault of every line.
pub fn parse_sheet(revision: u64, text: &str) -> Result<Sheet, SheetError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .from_reader(text.as_bytes());
    let mut faults = Vec::new();
    let mut rows = Vec::new();
    let mut line = 1;
    for raw in reader.deserialize::<RawRow>() {
        line += 1;
        match raw {
            Ok(raw) => rows.extend(
                RowReader {
                    line,
                    faults: &mut faults,
                }
                .read(&raw),
            ),
            Err(e) => faults.push(malformed(line, &e)),
        }
    }
    if rows.is_empty() && faults.is_empty() {
        faults.push(empty_sheet());
    }
    if faults.is_empty() {
        Ok(Sheet {
            revision,
            rows,
            text: text.to_owned(),
        })
    } else {
        Err(SheetError { faults })
    }
}

fn malformed(line: u64, e: &csv::Error) -> SheetFault {
    let line = e.position().map_or(line, csv::Position::line);
    let allowed = "each line has the columns of the header".to_owned();
    SheetFault {
        line,
        column: "(line)",
        value: e.to_string(),
        allowed,
    }
}

fn empty_sheet() -> SheetFault {
    let allowed = "a sheet has a header and at least one row".to_owned();
    SheetFault {
        line: 1,
        column: "(sheet)",
        value: String::new(),
        allowed,
    }
}

struct RowReader<'a> {
    line: u64,
    faults: &'a mut Vec<SheetFault>,
}

impl RowReader<'_> {
    fn read(&mut self, raw: &RawRow) -> Option<SheetRow> {
        let service = self.name("service", &raw.service);
        let data_centre = self.name("data_centre", &raw.data_centre);
        let workers = self.count("workers", &raw.workers, 0, 100_000);
        let slots = self.count("slots", &raw.slots, 1, 1_024);
        let connections = self.count("connections", &raw.connections, 1, 65_535);
        let kind = self.name("request_kind", &raw.request_kind);
        let urgency = self.value("urgency", &raw.urgency, "one of urgent, normal, bulk");
        let is_idempotent = self.yes_no("idempotent", &raw.idempotent);
        let deadline_ms = self.count("deadline_ms", &raw.deadline_ms, 1, 3_600_000);
        let state = self.value("state", &raw.state, "one of active, draining, retired");
        let (team, team_share) = self.team(raw);
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

    fn team(&mut self, raw: &RawRow) -> (Option<TeamName>, Option<u32>) {
        if raw.team.is_empty() && raw.team_share.is_empty() {
            return (None, None);
        }
        let team = self.name("team", &raw.team);
        let share = self.count("team_share", &raw.team_share, 1, 1_000_000);
        (team, share)
    }

    fn name<T: std::str::FromStr<Err = crate::names::NameError>>(
        &mut self,
        column: &'static str,
        text: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(name) => Some(name),
            Err(e) => self.fault(column, text, e.to_string()),
        }
    }

    fn count(&mut self, column: &'static str, text: &str, min: u32, max: u32) -> Option<u32> {
        match text.parse() {
            Ok(n) if (min..=max).contains(&n) => Some(n),
            _ => self.fault(column, text, format!("a whole number from {min} to {max}")),
        }
    }

    fn value<T: std::str::FromStr>(
        &mut self,
        column: &'static str,
        text: &str,
        allowed: &str,
    ) -> Option<T> {
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => self.fault(column, text, allowed.to_owned()),
        }
    }

    fn yes_no(&mut self, column: &'static str, text: &str) -> Option<bool> {
        match text {
            "yes" => Some(true),
            "no" => Some(false),
            _ => self.fault(column, text, "yes or no".to_owned()),
        }
    }

    fn fault<T>(&mut self, column: &'static str, value: &str, allowed: String) -> Option<T> {
        let value = value.to_owned();
        self.faults.push(SheetFault {
            line: self.line,
            column,
            value,
            allowed,
        });
        None
    }
}

/// What the sheet in force says of one request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindRule {
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time callers wait when they name none.
    pub deadline: Duration,
}

/// What the sheet in force says of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRule {
    /// Its request kinds.
    pub kinds: Map<KindName, KindRule>,
    /// Its state in each data centre.
    pub states: Map<DataCentre, ServiceState>,
    /// Slots of each of its targets, by data centre.
    pub slots: Map<DataCentre, u32>,
}

/// The sheet in force, arranged for look-ups.
#[derive(Debug, Clone, Default)]
pub struct SheetRules {
    /// Revision in force; 0 before the first.
    pub revision: u64,
    /// The services.
    pub services: Map<ServiceName, ServiceRule>,
}

impl SheetRules {
    /// Arranges a sheet.
    pub fn new(sheet: &Sheet) -> Self {
        let mut rules = Self {
            revision: sheet.revision,
            services: Map::default(),
        };
        for row in &sheet.rows {
            let service = rules.services.entry(row.service).or_default();
            let kind = KindRule {
                urgency: row.urgency,
                is_idempotent: row.is_idempotent,
                deadline: row.deadline,
            };
            service.kinds.insert(row.kind, kind);
            service.states.insert(row.data_centre, row.state);
            service.slots.insert(row.data_centre, row.slots);
        }
        rules
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const HEADER: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                          idempotent,deadline_ms,state,team,team_share\n";

    #[test]
    fn a_row_is_read() {
        let text = format!("{HEADER}kiallitas-pont,szeged,16,8,64,score,urgent,no,2000,active,,\n");
        let sheet = parse_sheet(1, &text).unwrap();
        assert_eq!(sheet.rows[0].urgency, Urgency::Urgent);
        assert!(!sheet.rows[0].is_idempotent);
    }

    #[test]
    fn all_faults_are_named_at_once() {
        let text = format!("{HEADER}Bad,szeged,x,8,64,score,soon,maybe,0,on,,\n");
        let faults = parse_sheet(1, &text).unwrap_err().faults;
        let columns: Vec<_> = faults.iter().map(|fault| fault.column).collect();
        assert_eq!(
            columns,
            [
                "service",
                "workers",
                "urgency",
                "idempotent",
                "deadline_ms",
                "state"
            ]
        );
    }

    #[test]
    fn an_empty_sheet_is_refused() {
        assert_eq!(parse_sheet(1, HEADER).unwrap_err().faults.len(), 1);
    }
}
