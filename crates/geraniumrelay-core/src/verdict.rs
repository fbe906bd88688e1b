//! Says whether a request may have run.

use derive_more::{Display, FromStr};

/// Whether a submission or a task may have run.
///
/// Only [`Verdict::NotRun`] is ever retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Verdict {
    /// It ran to its end and its output is known.
    Completed,
    /// It ran and failed.
    Failed,
    /// It did not run and never will under this ticket.
    NotRun,
    /// It may have run; nobody here can know.
    MayHaveRun,
}

impl Verdict {
    /// Whether running it again could run it twice.
    pub fn may_have_run(self) -> bool {
        self != Self::NotRun
    }
}
