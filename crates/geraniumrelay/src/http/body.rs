//! Reading request bodies within their bounds of size and time.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

/// Longest time that a caller may take to send a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a body can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off.
    Broken,
    /// It did not come within the time allowed.
    TooSlow,
    /// It is not the JSON that is expected.
    Malformed(String),
}

/// Reads a JSON body of at most `max_bytes` bytes.
///
/// # Errors
/// Any [`BodyError`].
pub async fn read_json<T: DeserializeOwned>(
    body: Incoming,
    max_bytes: usize,
) -> Result<T, BodyError> {
    let collect = Limited::new(body, max_bytes).collect();
    let Ok(collected) = tokio::time::timeout(BODY_TIMEOUT, collect).await else {
        return Err(BodyError::TooSlow);
    };
    let buf = collected.map_err(|e| {
        if e.is::<LengthLimitError>() {
            BodyError::TooLarge
        } else {
            BodyError::Broken
        }
    })?;
    serde_json::from_slice(&buf.to_bytes()).map_err(|e| BodyError::Malformed(e.to_string()))
}
