//! Exit codes and command failures.

use std::process::ExitCode;

use derive_more::Display;

/// Description of the exit codes for `--help`.
pub const HELP: &str = "\
Exit codes:
  0  done
  1  the sheet has faults, or makes a change that is not allowed; nothing changed
  2  wrong use of the command line; nothing changed
  3  somebody else's change came first; nothing of this sheet took effect
  4  accepted, but not in force everywhere within the time-out
  5  not known whether it was accepted; run apply again, which is harmless
  6  no entry VM or platform could be reached; nothing changed
  7  not signed in; nothing changed
  8  not confirmed; nothing changed
  9  a file could not be read or written
  10 the configuration has findings, all of them warnings
  11 the configuration has errors";

/// Exit code of a failed command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The sheet has faults or makes a change that is not allowed.
    BadSheet = 1,
    /// The command line is invalid.
    Usage = 2,
    /// Another change was accepted first.
    Conflict = 3,
    /// The sheet was accepted, but was not in force everywhere within the time-out.
    NotInForce = 4,
    /// It is not known whether the sheet was accepted.
    Unknown = 5,
    /// No entry VM or platform could be reached.
    Unreachable = 6,
    /// The token is missing or unknown.
    NotSignedIn = 7,
    /// The operator did not confirm the change.
    NotConfirmed = 8,
    /// A file could not be read or written.
    File = 9,
    /// The configuration has findings, all of them warnings.
    Warnings = 10,
    /// The configuration has errors.
    BadConfiguration = 11,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Failure of a command.
#[derive(Debug, Display)]
#[display("{error:#}")]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// Error to print on standard error.
    pub error: anyhow::Error,
}

impl Failure {
    /// Creates a failure from an error.
    pub fn new(exit: Exit, error: impl Into<anyhow::Error>) -> Self {
        Self {
            exit,
            error: error.into(),
        }
    }

    /// Whether the output could not be written because its reader has closed the pipe.
    pub fn is_broken_pipe(&self) -> bool {
        let e = self.error.downcast_ref::<std::io::Error>();
        e.is_some_and(|e| e.kind() == std::io::ErrorKind::BrokenPipe)
    }

    /// Creates a failure from a message.
    pub fn message(exit: Exit, message: impl Into<String>) -> Self {
        Self::new(exit, anyhow::Error::msg(message.into()))
    }
}

/// Converts a file error, whose context is already attached.
impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(Exit::File, error)
    }
}

/// Converts an error from writing the output.
impl From<std::io::Error> for Failure {
    fn from(e: std::io::Error) -> Self {
        Self::new(Exit::File, e)
    }
}
