//! Exit codes, and the failures that lead to them.

use std::process::ExitCode;

use derive_more::Display;

/// Exit codes, for `--help`.
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
  9  a file could not be read or written";

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The sheet has faults or makes a change that is not allowed.
    BadSheet = 1,
    /// Wrong use of the command line.
    Usage = 2,
    /// Somebody else's change came first.
    Overtaken = 3,
    /// Accepted, but not in force everywhere in time.
    NotInForce = 4,
    /// It is not known whether the sheet was accepted.
    Unknown = 5,
    /// No entry VM or platform could be reached.
    Unreachable = 6,
    /// The token is missing or not known.
    NotSignedIn = 7,
    /// The person did not say yes.
    NotConfirmed = 8,
    /// A file could not be read or written.
    File = 9,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A command that failed.
#[derive(Debug, Display)]
#[display("{error:#}")]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// What to tell the person.
    pub error: anyhow::Error,
}

impl Failure {
    /// Makes a failure.
    pub fn new(exit: Exit, error: impl Into<anyhow::Error>) -> Self {
        Self {
            exit,
            error: error.into(),
        }
    }

    /// Whether nobody reads the output any more.
    pub fn is_broken_pipe(&self) -> bool {
        let e = self.error.downcast_ref::<std::io::Error>();
        e.is_some_and(|e| e.kind() == std::io::ErrorKind::BrokenPipe)
    }

    /// Makes a failure of a message.
    pub fn message(exit: Exit, message: impl Into<String>) -> Self {
        Self::new(exit, anyhow::Error::msg(message.into()))
    }
}

/// A failure of a file, with its context already in the error.
impl From<anyhow::Error> for Failure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(Exit::File, error)
    }
}

/// A failure to print.
impl From<std::io::Error> for Failure {
    fn from(e: std::io::Error) -> Self {
        Self::new(Exit::File, e)
    }
}
