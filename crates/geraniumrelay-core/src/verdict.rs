//! Verdicts: whether a request may have run.

use derive_more::{Display, FromStr};

/// Whether a submission or a task may have run.
///
/// Only [`Verdict::NotRun`] permits a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
pub enum Verdict {
    /// The request ran to its end and the output is known.
    Completed,
    /// The request ran and failed.
    Failed,
    /// The request did not run and never will under this ticket.
    NotRun,
    /// The request may have run; this VM can't determine whether it did.
    MayHaveRun,
}

impl Verdict {
    /// Whether a retry could run the request twice.
    pub fn may_have_run(self) -> bool {
        self != Self::NotRun
    }
}
