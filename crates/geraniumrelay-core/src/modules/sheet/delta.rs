//! Canonical text of a sheet, and line differences between two such texts.

use std::collections::BTreeSet;

use crate::modules::sheet::columns::{OPTIONAL, REQUIRED};
use crate::modules::sheet::row::SheetRow;

/// Line difference between a sheet and its predecessor.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SheetDelta {
    /// Revision of the sheet after the difference; the base is the revision before it.
    pub revision: u64,
    /// Lines to remove from the base.
    pub removed: Vec<String>,
    /// Lines to add to the base.
    pub added: Vec<String>,
}

impl SheetDelta {
    /// Difference from `old` to `new`, the text of `revision`; `None` if a text is empty or their
    /// headers differ.
    pub fn between(revision: u64, old: &str, new: &str) -> Option<Self> {
        let (old, new) = (Lines::new(old)?, Lines::new(new)?);
        if old.header != new.header {
            return None;
        }
        let lines_of = |a: &Lines<'_>, b: &Lines<'_>| {
            let lines = a.rows.difference(&b.rows);
            lines.map(|line| (*line).to_owned()).collect()
        };
        Some(Self {
            revision,
            removed: lines_of(&old, &new),
            added: lines_of(&new, &old),
        })
    }

    /// Applies the difference to `old`; `None` if `old` is not its base: a line to remove is missing
    /// or a line to add exists.
    pub fn apply(&self, old: &str) -> Option<String> {
        let mut lines = Lines::new(old)?;
        for line in &self.removed {
            if !lines.rows.remove(line.as_str()) {
                return None;
            }
        }
        for line in &self.added {
            if !lines.rows.insert(line) {
                return None;
            }
        }
        Some(lines.join())
    }

    /// Total size of the lines in bytes.
    pub fn len(&self) -> usize {
        let lines = self.removed.iter().chain(&self.added);
        lines.map(String::len).sum()
    }

    /// Whether the difference has no lines.
    pub fn is_empty(&self) -> bool {
        self.removed.is_empty() && self.added.is_empty()
    }
}

/// Canonical text of a sheet: fixed columns, sorted rows, one line per row.
///
/// The same rows give the same text, whichever program exported them.
pub fn canonical_text(rows: &[SheetRow]) -> String {
    let header: Vec<&str> = REQUIRED.into_iter().chain(OPTIONAL).collect();
    let header = header.join(",");
    let lines: Vec<String> = rows.iter().map(line_of).collect();
    let rows = lines.iter().map(String::as_str).collect();
    Lines {
        header: &header,
        rows,
    }
    .join()
}

/// Formats one row; names and numbers need no quotes.
fn line_of(row: &SheetRow) -> String {
    let team = row.team.map(|team| team.to_string()).unwrap_or_default();
    let share = row.team_share.map(|share| share.to_string());
    let share = share.unwrap_or_default();
    let idempotent = if row.is_idempotent { "yes" } else { "no" };
    format!(
        "{},{},{},{},{},{},{},{idempotent},{},{},{team},{share}",
        row.service,
        row.data_centre,
        row.workers,
        row.slots,
        row.connections,
        row.kind,
        row.urgency,
        row.deadline.as_millis(),
        row.state,
    )
}

#[derive(Debug)]
struct Lines<'a> {
    header: &'a str,
    rows: BTreeSet<&'a str>,
}

impl<'a> Lines<'a> {
    fn new(text: &'a str) -> Option<Self> {
        let mut lines = text.lines();
        Some(Self {
            header: lines.next()?,
            rows: lines.collect(),
        })
    }

    fn join(&self) -> String {
        let mut text = String::from(self.header);
        for row in &self.rows {
            text.push('\n');
            text.push_str(row);
        }
        text.push('\n');
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_applies_to_its_base_only() {
        let (old, new) = ("h\na\nb\n", "h\nb\nc\n");
        let delta = SheetDelta::between(2, old, new).unwrap();
        assert_eq!(delta.apply(old).as_deref(), Some(new));
        assert_eq!(delta.apply(new), None, "not the base");
        assert_eq!(SheetDelta::between(2, old, "other\na\n"), None);
    }
}
