//! The cases.

pub mod crashes;
pub mod growth;
mod idle;
pub mod resend;
pub mod starved;
pub mod taken;
