//! Plain-text tables with aligned columns.

use std::fmt;

/// Rows of text whose columns are aligned when printed.
#[derive(Debug, Clone)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header row.
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|name| (*name).to_owned());
        Self {
            rows: vec![header.collect()],
        }
    }

    /// Appends a row.
    pub fn push<const N: usize>(&mut self, row: [String; N]) {
        self.rows.push(row.into());
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let cells: Vec<_> = cells
                .map(|(cell, width)| format!("{cell:width$}"))
                .collect();
            writeln!(f, "{}", cells.join("  ").trim_end())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn columns_are_aligned() {
        let mut table = Table::new(&["vm", "revision"]);
        table.push(["szeged-e0".to_owned(), "7".to_owned()]);
        assert_eq!(table.to_string(), "vm         revision\nszeged-e0  7\n");
    }
}
