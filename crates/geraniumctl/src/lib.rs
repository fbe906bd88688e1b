//! Command line of operators: `geraniumctl`.

pub mod cli;
pub mod commands;

pub use cli::{Cli, run};
