//! The subcommands, one module each.

pub mod apply;
pub mod audit;
pub mod certs;
pub mod check;
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

/// Prints the answer of a query as JSON.
fn print_json<T: Serialize>(out: &mut impl Write, answer: &T) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(answer).map_err(std::io::Error::from)?;
    writeln!(out, "{text}")?;
    Ok(())
}

/// "yes" or "no".
fn yes_no(value: bool) -> String {
    if value { "yes" } else { "no" }.to_owned()
}
