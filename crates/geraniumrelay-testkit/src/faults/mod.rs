//! Seeded schedules of faults over real entry processes, and the audit of what came of them.

pub mod audit;
pub mod callers;
pub mod fault;
pub mod round;

pub use audit::{Audit, Violation};
pub use fault::{Fault, Schedule};
pub use round::{RoundReport, run_round};
