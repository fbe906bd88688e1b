//! The cases.

pub mod chained;
pub mod crashes;
mod idle;
pub mod resend;
pub mod starved;
pub mod taken;
