//! Reads request bodies as JSON, within limits of size, time and memory.

use std::time::Duration;

use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::intake::{self, Connection, Work};

/// Reason why a request body was not read or not parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Truncated,
    /// The body did not arrive within the time limit.
    TimedOut,
    /// The body was not read: clients' connections hold too much memory.
    Overloaded,
    /// The body is not valid JSON of the expected type; holds the parser's message.
    Malformed(String),
}

impl From<intake::BodyError> for BodyError {
    fn from(e: intake::BodyError) -> Self {
        match e {
            intake::BodyError::TooLarge => Self::TooLarge,
            intake::BodyError::Truncated => Self::Truncated,
            intake::BodyError::TimedOut => Self::TimedOut,
            intake::BodyError::NoMemory => Self::Overloaded,
        }
    }
}

/// Limits of a request body.
#[derive(Debug, Clone, Copy)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub max_bytes: usize,
    /// Maximum time for the body to arrive.
    pub timeout: Duration,
}

/// A request body that has not been read yet, on its client's connection.
#[derive(Debug)]
pub(super) struct UnreadBody<'a> {
    pub(super) body: Incoming,
    pub(super) connection: &'a Connection,
}

impl UnreadBody<'_> {
    /// Reads a JSON body.
    ///
    /// # Errors
    /// Any [`BodyError`]. A body whose declared length exceeds the limit is refused unread.
    pub(super) async fn read_json<T: DeserializeOwned>(
        self,
        limits: BodyLimits,
    ) -> Result<T, BodyError> {
        let (body, connection) = (self.body, self.connection);
        let read = intake::read_body(body, limits.max_bytes, limits.timeout, connection).await;
        let buf = read?;
        connection.begin_answer(Work::Command);
        serde_json::from_slice(&buf).map_err(|e| BodyError::Malformed(e.to_string()))
    }
}
