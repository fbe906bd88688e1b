//! Why a job leaves the data centre of its entry VM.

use derive_more::Display;

/// Reason for which a job is sent to another data centre than the entry VM's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum CrossingReason {
    /// The job's data is there.
    #[display("data")]
    Data,
    /// No cell of the job's data centre has a scheduler and a usable worker, or it is evacuated.
    #[display("no-near-cell")]
    NoNearCell,
    /// The cells of the job's data centre have more jobs than capacity.
    #[display("excess")]
    Excess,
    /// The job would have to wait.
    #[display("declined")]
    Declined,
    /// A cell has refused the job because of overload.
    #[display("refused")]
    Refused,
}
