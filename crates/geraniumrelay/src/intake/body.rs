//! Reads request bodies within limits of size and memory.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use tokio::select;
use tokio::time::timeout;

use super::connection::{Connection, NoMemory};

/// Smallest buffer of a body.
const MIN_BUFFER: usize = 1 << 10;

/// Reason why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body exceeds the size limit.
    TooLarge,
    /// The connection failed before the end of the body.
    Truncated,
    /// The body did not arrive within the time limit.
    TimedOut,
    /// There is no memory for the body.
    NoMemory,
}

impl From<NoMemory> for BodyError {
    fn from(_: NoMemory) -> Self {
        Self::NoMemory
    }
}

/// Reads a body of at most `max_bytes` bytes that arrives within `max_time`. Its buffer grows with what has arrived,
/// whatever length is declared, and the connection accounts for it until the request ends.
///
/// # Errors
/// Any [`BodyError`]. A body whose declared length exceeds the limit is refused unread.
pub(crate) async fn read_body(
    body: Incoming,
    max_bytes: usize,
    max_time: Duration,
    connection: &Connection,
) -> Result<Vec<u8>, BodyError> {
    let declared = body.size_hint().lower();
    if declared > u64::try_from(max_bytes).unwrap_or(u64::MAX) {
        return Err(BodyError::TooLarge);
    }
    let read = async {
        select! {
            read = collect(body, max_bytes, connection) => read,
            () = connection.evicted() => Err(BodyError::NoMemory),
        }
    };
    timeout(max_time, read)
        .await
        .unwrap_or(Err(BodyError::TimedOut))
}

async fn collect(
    mut body: Incoming,
    max_bytes: usize,
    connection: &Connection,
) -> Result<Vec<u8>, BodyError> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Truncated)?;
        // Trailers are of no use here.
        let Ok(data) = frame.into_data() else {
            continue;
        };
        append(&mut buf, data, max_bytes, connection).await?;
    }
    Ok(buf)
}

async fn append(
    buf: &mut Vec<u8>,
    data: Bytes,
    max_bytes: usize,
    connection: &Connection,
) -> Result<(), BodyError> {
    let needed = buf.len() + data.len();
    if needed > max_bytes {
        return Err(BodyError::TooLarge);
    }
    if needed > buf.capacity() {
        let doubled = (buf.capacity() * 2).clamp(MIN_BUFFER.min(max_bytes), max_bytes);
        let capacity = doubled.max(needed);
        connection.hold(capacity - buf.capacity()).await?;
        buf.reserve_exact(capacity - buf.len());
    }
    buf.extend_from_slice(&data);
    Ok(())
}
