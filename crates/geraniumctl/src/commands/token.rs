//! `geraniumctl token`: creates a token and its hash.

use std::fmt::Write as _;
use std::io::Write;

use geraniumrelay_core::names::OperatorName;
use sha2::{Digest, Sha256};

use crate::exit::{Exit, Failure};

/// Creates a random 256-bit token for an operator or team.
///
/// # Errors
/// The name is invalid.
pub fn run(name: &str, out: &mut impl Write) -> Result<(), Failure> {
    let name: OperatorName = name.parse().map_err(|e| Failure::new(Exit::Usage, e))?;
    let token = format!(
        "{:032x}{:032x}",
        rand::random::<u128>(),
        rand::random::<u128>()
    );
    let mut hash = String::new();
    for byte in Sha256::digest(&token) {
        // The result is ignored, as writing to a string can't fail.
        let _ = write!(hash, "{byte:02x}");
    }
    writeln!(out, "token, for {name} alone: {token}")?;
    writeln!(out, "for the settings of the entry VMs: {name}:{hash}")?;
    Ok(())
}
