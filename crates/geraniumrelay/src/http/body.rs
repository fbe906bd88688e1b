//! Reading request bodies within their bound.

use std::io::Read;

use rouille::Request;
use serde::de::DeserializeOwned;

/// Why a body can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off.
    Broken,
    /// It is not the JSON that is expected.
    Malformed(String),
}

/// Reads a JSON body of at most `max_bytes` bytes.
///
/// # Errors
/// Any [`BodyError`].
pub fn read_json<T: DeserializeOwned>(req: &Request, max_bytes: usize) -> Result<T, BodyError> {
    let data = req.data().ok_or(BodyError::Broken)?;
    let mut buf = Vec::new();
    let limit = u64::try_from(max_bytes)
        .unwrap_or(u64::MAX)
        .saturating_add(1);
    data.take(limit)
        .read_to_end(&mut buf)
        .map_err(|_| BodyError::Broken)?;
    if buf.len() > max_bytes {
        return Err(BodyError::TooLarge);
    }
    serde_json::from_slice(&buf).map_err(|e| BodyError::Malformed(e.to_string()))
}
