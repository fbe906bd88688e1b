//! Parameters in the query component of a URL.

use std::str::FromStr;

use hyper::Uri;

/// The parameter is present, but its value does not parse as the expected type.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidParam;

/// Parses the first parameter of the given name; `None` if it is absent.
///
/// # Errors
/// [`InvalidParam`].
pub fn parse_param<T: FromStr>(uri: &Uri, name: &str) -> Result<Option<T>, InvalidParam> {
    let query = uri.query().unwrap_or_default();
    let mut pairs = form_urlencoded::parse(query.as_bytes());
    let Some((_, value)) = pairs.find(|(key, _)| key == name) else {
        return Ok(None);
    };
    value.parse().map(Some).map_err(|_| InvalidParam)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_values_of_the_expected_type_parse() {
        let uri = Uri::from_static("/v1/tickets?count=3&wait_ms=x");
        assert_eq!(parse_param(&uri, "count"), Ok(Some(3)));
        assert_eq!(parse_param::<u64>(&uri, "wait_ms"), Err(InvalidParam));
        assert_eq!(parse_param::<u64>(&uri, "absent"), Ok(None));
    }
}
