//! Responses to callers.

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;

/// Media type of JSON bodies.
const JSON: &str = "application/json";

/// Media type of plain-text bodies.
const TEXT: &str = "text/plain; charset=utf-8";

/// HTTP response whose whole body is in memory.
pub type Response = hyper::Response<Full<Bytes>>;

/// Builds a response with a body of the given media type.
pub fn with_body(status: StatusCode, media_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    res
}

/// Builds a response with `value` as its JSON body; the body is empty if that can't be encoded.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    with_body(status, JSON, serde_json::to_vec(value).unwrap_or_default())
}

/// Builds a response with a plain-text body.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    with_body(status, TEXT, text.into())
}
