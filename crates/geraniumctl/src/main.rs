//! Command line of operators.

use std::process::ExitCode;

use clap::Parser;
use geraniumctl::Cli;

fn main() -> ExitCode {
    geraniumctl::run(&Cli::parse())
}
