//! Token authentication of operators and teams; the settings contain only the hashes of the tokens.

use std::str::FromStr;

use derive_more::{Display, Error};
use sha2::{Digest, Sha256};

/// Scheme of the `Authorization` header.
const BEARER: &str = "Bearer ";

/// Length of a SHA-256 hash in bytes.
const HASH_BYTES: usize = 32;

/// A name with the SHA-256 hash of its token, parsed from `NAME:SHA256`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Credential<N> {
    name: N,
    hash: [u8; HASH_BYTES],
}

/// Error of a text that does not parse as a credential.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("\"{text}\" is not NAME:SHA256, with a hash of 64 hexadecimal digits")]
pub struct CredentialError {
    text: String,
}

impl<N: FromStr> FromStr for Credential<N> {
    type Err = CredentialError;

    fn from_str(text: &str) -> Result<Self, CredentialError> {
        let parse = || {
            let (name, hash) = text.split_once(':')?;
            Some(Self {
                name: name.parse().ok()?,
                hash: parse_hash(hash)?,
            })
        };
        parse().ok_or_else(|| CredentialError {
            text: text.to_owned(),
        })
    }
}

fn parse_hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * i..2 * i + 2], 16).ok()?;
    }
    Some(hash)
}

/// Names that may sign in, each with the hash of its token.
#[derive(Debug, Clone)]
pub struct Credentials<N>(Vec<Credential<N>>);

impl<N: Copy> Credentials<N> {
    /// Wraps the credentials from the settings.
    pub fn new(credentials: Vec<Credential<N>>) -> Self {
        Self(credentials)
    }

    /// Whether no credential is configured.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Name that belongs to the token of an `Authorization` header; `None` if the header is absent,
    /// malformed or has an unknown token.
    ///
    /// Hashes are compared instead of tokens, so that the comparison time reveals nothing about a
    /// token.
    pub fn authenticate(&self, authorization: Option<&str>) -> Option<N> {
        let token = authorization?.strip_prefix(BEARER)?;
        let hash: [u8; HASH_BYTES] = Sha256::digest(token.as_bytes()).into();
        let mut credentials = self.0.iter();
        credentials
            .find(|credential| credential.hash == hash)
            .map(|credential| credential.name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use geraniumrelay_core::names::OperatorName;

    /// SHA-256 of "token".
    const HASH: &str = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

    #[test]
    fn only_a_known_token_authenticates() {
        let anna: Credential<OperatorName> = format!("anna:{HASH}").parse().unwrap();
        let credentials = Credentials::new(vec![anna]);
        let name = credentials.authenticate(Some("Bearer token"));
        assert_eq!(name, Some("anna".parse().unwrap()));
        for wrong in [None, Some("token"), Some("Bearer other"), Some("Bearer ")] {
            assert_eq!(credentials.authenticate(wrong), None);
        }
    }

    #[test]
    fn malformed_credentials_are_rejected() {
        for text in [
            "anna",
            "anna:12",
            "Anna:00",
            &format!("anna:{}", "é".repeat(32)),
        ] {
            assert!(text.parse::<Credential<OperatorName>>().is_err(), "{text}");
        }
    }
}
