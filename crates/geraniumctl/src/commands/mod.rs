//! Subcommands, one per module.

pub mod apply;
pub mod audit;
pub mod certs;
pub mod check;
pub mod config_check;
mod in_force;
pub mod jobs;
pub mod journal;
pub mod plan;
pub mod services;
pub mod status;
pub mod targets;
pub mod token;

use std::io::Write;

use serde::Serialize;

use crate::exit::Failure;

/// Prints the result of a query as JSON.
fn print_json<T: Serialize>(out: &mut impl Write, result: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(result).map_err(std::io::Error::from)?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// Formats a boolean as "yes" or "no".
fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
