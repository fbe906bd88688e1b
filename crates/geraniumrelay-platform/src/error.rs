//! Errors of platform calls, distinguished by whether a write may have taken effect.

use derive_more::{Display, Error};

/// Error of a platform call.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PlatformError {
    /// The connection failed; no write took effect.
    #[display("the platform can't be reached: {detail}")]
    Unreachable {
        /// Text of the connection error.
        detail: String,
    },
    /// The request was sent, but no complete response arrived, or only that of a failure on the way;
    /// a write may have taken effect.
    #[display("the platform did not answer; a write may have taken effect: {detail}")]
    Unknown {
        /// Text of the transport or decoding error.
        detail: String,
    },
    /// The platform declined the request; no write took effect.
    #[display("the platform refused with status {status}")]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The value of a row can't be decoded by this version.
    #[display("row {key} can't be read: {detail}")]
    BadRow {
        /// Key of the row.
        key: String,
        /// Text of the decoding error.
        detail: String,
    },
}

impl PlatformError {
    /// Whether a write may have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}
