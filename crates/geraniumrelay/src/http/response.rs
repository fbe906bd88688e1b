//! Responses of the intake.

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;

/// Media type of JSON.
const JSON: &str = "application/json";

/// Media type of plain text.
const TEXT: &str = "text/plain; charset=utf-8";

/// A whole response.
pub type Response = hyper::Response<Full<Bytes>>;

/// A response with a body of some media type.
pub fn with_body(status: StatusCode, media_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    res.headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(media_type));
    res
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    with_body(status, JSON, serde_json::to_vec(value).unwrap_or_default())
}

/// A response with a plain text.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response {
    with_body(status, TEXT, text.into())
}
