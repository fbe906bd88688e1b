//! Reading request bodies within their bounds of size, time and memory.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use serde::de::DeserializeOwned;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Bytes of all bodies that are read at once, however many callers send.
const MAX_OPEN_BYTES: usize = 128 << 20;

/// Bytes that one permit stands for.
const PERMIT_BYTES: usize = 1 << 10;

/// Why a body can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// It broke off.
    Broken,
    /// It did not come within the time allowed.
    TooSlow,
    /// Too many bodies are being read; it was not read.
    Overloaded,
    /// It is not the JSON that is expected.
    Malformed(String),
}

/// Bounds of bodies.
#[derive(Debug)]
pub struct BodyReader {
    max_bytes: usize,
    timeout: Duration,
    permits: Semaphore,
}

impl BodyReader {
    /// Reads bodies of at most `max_bytes` bytes that come within `timeout`.
    pub fn new(max_bytes: usize, timeout: Duration) -> Self {
        let permits = MAX_OPEN_BYTES.max(max_bytes).div_ceil(PERMIT_BYTES);
        Self {
            max_bytes,
            timeout,
            permits: Semaphore::new(permits),
        }
    }

    /// Reads a JSON body.
    ///
    /// # Errors
    /// Any [`BodyError`]. A body that says that it is too large is refused unread.
    pub async fn read_json<T: DeserializeOwned>(&self, body: Incoming) -> Result<T, BodyError> {
        let _permit = self.permit(&body)?;
        let collect = Limited::new(body, self.max_bytes).collect();
        let Ok(collected) = tokio::time::timeout(self.timeout, collect).await else {
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

    /// Room for a body of the length that its head declares, or of any length where it declares
    /// none.
    fn permit(&self, body: &Incoming) -> Result<SemaphorePermit<'_>, BodyError> {
        let max_bytes = u64::try_from(self.max_bytes).unwrap_or(u64::MAX);
        let declared = body.size_hint();
        if declared.lower() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        let bytes = declared.upper().unwrap_or(max_bytes);
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let permits = u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX);
        self.permits
            .try_acquire_many(permits)
            .map_err(|_| BodyError::Overloaded)
    }
}
