//! Consistency rules between the rows of a sheet.

use std::fmt::Display;
use std::hash::Hash;

use crate::collections::Map;
use crate::modules::sheet::fault::SheetFault;
use crate::modules::sheet::row::SheetRow;

/// A row with its line number in the file, from 1.
#[derive(Debug)]
pub(super) struct NumberedRow {
    pub(super) line: u64,
    pub(super) row: SheetRow,
}

/// Adds a fault for every row that contradicts an earlier one.
pub(super) fn check_rows(rows: &[NumberedRow], faults: &mut Vec<SheetFault>) {
    check_duplicates(rows, faults);
    check_deployments(rows, faults);
    check_kinds(rows, faults);
    check_shares(rows, faults);
}

fn check_duplicates(rows: &[NumberedRow], faults: &mut Vec<SheetFault>) {
    let mut first_lines = Map::default();
    for NumberedRow { line, row } in rows {
        let key = (row.service, row.data_centre, row.kind, row.team);
        let first = *first_lines.entry(key).or_insert(*line);
        if first != *line {
            let allowed = format!(
                "a service, data centre, request kind and team have one row; line {first} is the same"
            );
            faults.push(SheetFault::new(
                *line,
                "request_kind",
                row.kind.as_str(),
                allowed,
            ));
        }
    }
}

/// Rows of one service and data centre must agree on its targets and its state.
fn check_deployments(rows: &[NumberedRow], faults: &mut Vec<SheetFault>) {
    let deployment = |row: &SheetRow| (row.service, row.data_centre);
    let scope = "a service and data centre";
    check_same(rows, faults, "workers", scope, deployment, |row| {
        row.workers
    });
    check_same(rows, faults, "slots", scope, deployment, |row| row.slots);
    check_same(rows, faults, "connections", scope, deployment, |row| {
        row.connections
    });
    check_same(rows, faults, "state", scope, deployment, |row| row.state);
}

/// Rows of one request kind must agree across data centres.
fn check_kinds(rows: &[NumberedRow], faults: &mut Vec<SheetFault>) {
    let kind = |row: &SheetRow| (row.service, row.kind);
    let scope = "a service and request kind";
    check_same(rows, faults, "urgency", scope, kind, |row| row.urgency);
    check_same(rows, faults, "idempotent", scope, kind, |row| {
        if row.is_idempotent { "yes" } else { "no" }
    });
    check_same(rows, faults, "deadline_ms", scope, kind, |row| {
        row.deadline.as_millis()
    });
}

/// A team must have the same share of a service on every row.
fn check_shares(rows: &[NumberedRow], faults: &mut Vec<SheetFault>) {
    let team = |row: &SheetRow| (row.service, row.team);
    check_same(
        rows,
        faults,
        "team_share",
        "a service and team",
        team,
        |row| row.team_share.unwrap_or(0),
    );
}

/// Adds a fault for every row whose value differs from that of the first row with the same key.
fn check_same<K: Eq + Hash, V: PartialEq + Display>(
    rows: &[NumberedRow],
    faults: &mut Vec<SheetFault>,
    column: &str,
    scope: &str,
    key_of: impl Fn(&SheetRow) -> K,
    value_of: impl Fn(&SheetRow) -> V,
) {
    let mut firsts = Map::default();
    for NumberedRow { line, row } in rows {
        let value = value_of(row);
        let (first_line, first) = firsts
            .entry(key_of(row))
            .or_insert_with(|| (*line, value_of(row)));
        if *first != value {
            let allowed = format!(
                "{scope} have the same value on every row; line {first_line} has \"{first}\""
            );
            faults.push(SheetFault::new(*line, column, value.to_string(), allowed));
        }
    }
}
