//! Reads request bodies within limits of size, time and memory.

use std::time::Duration;

use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use serde::de::DeserializeOwned;
use tokio::sync::{Semaphore, SemaphorePermit};

/// Maximum total size of the bodies that are read concurrently; bounds the memory they use.
const MAX_CONCURRENT_BYTES: usize = 128 << 20;

/// Bytes reserved by one permit of the semaphore.
const PERMIT_BYTES: usize = 1 << 10;

/// Reason why a request body was not read or not parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Truncated,
    /// The body did not arrive within the time limit.
    TimedOut,
    /// The body was not read: the bodies being read already reserve too much memory.
    Overloaded,
    /// The body is not valid JSON of the expected type; holds the parser's message.
    Malformed(String),
}

/// Reads request bodies within the configured limits.
#[derive(Debug)]
pub struct BodyReader {
    max_bytes: usize,
    timeout: Duration,
    permits: Semaphore,
}

impl BodyReader {
    /// Creates a reader of bodies of at most `max_bytes` bytes that arrive within `timeout`.
    pub fn new(max_bytes: usize, timeout: Duration) -> Self {
        let permits = MAX_CONCURRENT_BYTES.max(max_bytes).div_ceil(PERMIT_BYTES);
        Self {
            max_bytes,
            timeout,
            permits: Semaphore::new(permits),
        }
    }

    /// Reads a JSON body.
    ///
    /// # Errors
    /// Any [`BodyError`]. A body whose declared length exceeds the limit is refused unread.
    pub async fn read_json<T: DeserializeOwned>(&self, body: Incoming) -> Result<T, BodyError> {
        let _permit = self.reserve(&body)?;
        let collect = Limited::new(body, self.max_bytes).collect();
        let Ok(collected) = tokio::time::timeout(self.timeout, collect).await else {
            return Err(BodyError::TimedOut);
        };
        let buf = collected.map_err(|e| {
            if e.is::<LengthLimitError>() {
                BodyError::TooLarge
            } else {
                BodyError::Truncated
            }
        })?;
        serde_json::from_slice(&buf.to_bytes()).map_err(|e| BodyError::Malformed(e.to_string()))
    }

    /// Reserves memory for a body: its declared length, or the maximum size if it declares none.
    fn reserve(&self, body: &Incoming) -> Result<SemaphorePermit<'_>, BodyError> {
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
