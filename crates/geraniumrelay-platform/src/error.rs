//! Errors of platform calls, told apart by whether a write may have taken effect.

use derive_more::{Display, Error};

/// Why a platform call failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// No connection was made; nothing took effect.
    #[display("the platform can't be reached: {detail}")]
    Unreachable {
        /// What the connection attempt said.
        detail: String,
    },
    /// The call was sent and no whole reply came; a write may have taken effect.
    #[display("the platform did not answer; a write may have taken effect: {detail}")]
    Unknown {
        /// What broke.
        detail: String,
    },
    /// The platform answered with an error; nothing took effect.
    #[display("the platform refused with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// A row holds something else than this version understands.
    #[display("row {key} can't be read: {detail}")]
    BadRow {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
}

impl PlatformError {
    /// Whether a write may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}
