//! The sheet, exported every morning as CSV: services, their data centres, capacity and request
//! kinds.

mod change;
mod columns;
mod consistency;
mod delta;
mod fault;
mod outline;
mod parse;
mod plan;
mod row;
mod rules;
mod text;

pub use change::{Capacity, Change};
pub use delta::{SheetDelta, canonical_text};
pub use fault::{SheetError, SheetFault};
pub use parse::{MAX_SHEET_BYTES, parse_sheet};
pub use plan::{PlanError, Refusal, plan};
pub use row::{ServiceState, SheetRow, Urgency};
pub use rules::{KindRule, ServiceRule, SheetRules};
pub use text::decode_sheet;

/// A sheet as accepted under a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sheet {
    /// Revision number, from 1; each accepted sheet gets the next one.
    pub revision: u64,
    /// The rows, in the order of the file.
    pub rows: Vec<SheetRow>,
    /// The CSV text that the rows were read from.
    pub text: String,
}
