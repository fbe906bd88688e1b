//! Binary of the operators' command-line client.

use std::process::ExitCode;

use clap::Parser;
use geraniumctl::Cli;

fn main() -> ExitCode {
    geraniumctl::run(&Cli::parse())
}
