//! Short `Copy` names of services, request kinds, teams, data centres, operators and VMs.

use std::str::FromStr;

use arrayvec::ArrayString;
use derive_more::{Display, Error};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 32;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
pub enum NameError {
    /// The text is empty.
    #[display("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[display("a name has at most {MAX_NAME_BYTES} bytes")]
    TooLong,
    /// The text contains a character that is not allowed in names.
    #[display("a name has only a-z, 0-9, '-' and '_'")]
    BadCharacter,
}

fn parse_name(text: &str) -> Result<ArrayString<MAX_NAME_BYTES>, NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_".contains(c);
    if !text.chars().all(is_allowed) {
        return Err(NameError::BadCharacter);
    }
    ArrayString::from(text).map_err(|_| NameError::TooLong)
}

macro_rules! name {
    ($(#[$doc:meta] $type:ident),+ $(,)?) => {$(
        #[$doc]
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
        pub struct $type(ArrayString<MAX_NAME_BYTES>);

        impl $type {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                parse_name(text).map(Self)
            }
        }
    )+};
}

name! {
    /// Name of a service.
    ServiceName,
    /// Name of a request kind of a service.
    KindName,
    /// Name of a team that has a share of a service.
    TeamName,
    /// Name of a data centre.
    DataCentre,
    /// Name of an operator of the system.
    OperatorName,
    /// Name of a VM.
    VmName,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn invalid_names_are_rejected() {
        assert_eq!(
            "kiallitas-pont".parse::<ServiceName>().unwrap().as_str(),
            "kiallitas-pont"
        );
        assert_eq!("".parse::<ServiceName>(), Err(NameError::Empty));
        assert_eq!("Győr".parse::<DataCentre>(), Err(NameError::BadCharacter));
        assert_eq!("x".repeat(33).parse::<VmName>(), Err(NameError::TooLong));
    }
}
