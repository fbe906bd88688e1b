//! Flags, subcommands and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::commands;

/// Drives geraniumrelay from the morning sheet.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Cli {
    /// Base URL of the platform.
    #[arg(
        long,
        env = "GERANIUMRELAY_PLATFORM",
        global = true,
        default_value = ""
    )]
    pub platform: String,

    /// Who you are, for the audit trail.
    #[arg(long, env = "GERANIUMRELAY_WHO", global = true, default_value = "")]
    pub who: String,

    /// What to do.
    #[command(subcommand)]
    pub action: Action,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Check a sheet and name all of its faults; needs no connection.
    Check {
        /// The sheet, CSV.
        sheet: PathBuf,
    },
    /// Check a sheet and accept it.
    Apply {
        /// The sheet, CSV.
        sheet: PathBuf,
    },
    /// List submissions of kinds that are not idempotent, from the journal.
    Jobs(commands::jobs::JobsArgs),
}

/// Runs a command; faults go to standard error.
pub fn run(cli: &Cli) -> ExitCode {
    let outcome = match &cli.action {
        Action::Check { sheet } => commands::check::run(sheet),
        Action::Apply { sheet } => commands::apply::run(cli, sheet),
        Action::Jobs(args) => commands::jobs::run(cli, args),
    };
    match outcome {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("{e:#}");
            ExitCode::FAILURE
        }
    }
}
