//! Faults of a sheet, worded for the person who exported it.

use std::fmt;

use derive_more::{Display, Error};

/// One fault of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("line {line}, column {column}: \"{value}\" is not allowed; {allowed}")]
pub struct SheetFault {
    /// Line of the file, from 1.
    pub line: u64,
    /// Column name, or `(line)` or `(sheet)` for a fault of a whole line or sheet.
    pub column: String,
    /// Value that is not allowed.
    pub value: String,
    /// Description of the allowed values.
    pub allowed: String,
}

impl SheetFault {
    /// Creates a fault; `line` counts from 1.
    pub fn new(
        line: u64,
        column: impl Into<String>,
        value: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            line,
            column: column.into(),
            value: value.into(),
            allowed: allowed.into(),
        }
    }
}

/// All faults of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct SheetError {
    /// The faults by line; at least one.
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
