//! The subcommands, one module each.

pub mod apply;
pub mod check;
pub mod jobs;
