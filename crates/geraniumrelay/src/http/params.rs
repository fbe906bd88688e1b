//! Parameters in the query part of a URL.

use std::str::FromStr;

use hyper::Uri;

/// A parameter is there, but is no value of the expected type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadParam;

/// Reads a parameter; `None` where it is absent.
///
/// # Errors
/// [`BadParam`].
pub fn param<T: FromStr>(uri: &Uri, name: &str) -> Result<Option<T>, BadParam> {
    let query = uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let Some((_, value)) = pairs.find(|(key, _)| key == name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| BadParam)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parameters_are_read_or_refused() {
        let uri = Uri::from_static("/v1/tickets?count=3&wait_ms=x");
        assert_eq!(param(&uri, "count"), Ok(Some(3)));
        assert_eq!(param::<u64>(&uri, "wait_ms"), Err(BadParam));
        assert_eq!(param::<u64>(&uri, "absent"), Ok(None));
    }
}
