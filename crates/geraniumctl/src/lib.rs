//! `geraniumctl`, the command-line client for operators.

pub mod cli;
pub mod client;
pub mod commands;
pub mod configuration;
pub mod exit;
pub mod table;

use std::io::{self, Write};
use std::process::ExitCode;

pub use crate::cli::Cli;
use crate::cli::{Action, ConfigAction};
pub use crate::exit::{Exit, Failure};

/// Runs a command, with its output on standard output and its failure on standard error.
pub fn run(cli: &Cli) -> ExitCode {
    match execute(cli, &mut io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        // The reader closed the pipe early, as `head` does; this is not a failure.
        Err(failure) if failure.is_broken_pipe() => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit.into()
        }
    }
}

/// Runs a command and writes its output to `out`.
///
/// # Errors
/// Any [`Failure`].
pub fn execute(cli: &Cli, out: &mut impl Write) -> Result<(), Failure> {
    let session = &cli.session;
    match &cli.action {
        Action::Check { sheet } => commands::check::run(sheet, out),
        Action::Plan { sheet } => commands::plan::run(session, sheet, out),
        Action::Apply(args) => commands::apply::run(session, args, out),
        Action::Status => commands::status::run(session, out),
        Action::Services => commands::services::run(session, out),
        Action::Targets => commands::targets::run(session, out),
        Action::Jobs { limit, journal } => commands::jobs::run(session, *limit, journal, out),
        Action::Audit { after } => commands::audit::run(session, *after, out),
        Action::Config(ConfigAction::Check(args)) => {
            commands::config_check::run(args, session.json, out)
        }
        Action::Certs(args) => commands::certs::run(args, out),
        Action::Token { name } => commands::token::run(name, out),
    }
}
