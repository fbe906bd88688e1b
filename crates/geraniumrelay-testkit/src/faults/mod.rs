//! Seeded fault schedules on real entry processes, and an audit of each round's results.

pub mod audit;
pub mod callers;
pub mod fault;
pub mod round;

pub use audit::{Audit, Violation};
pub use fault::{Fault, Schedule};
pub use round::{RoundReport, run_round};
