//! Operators that every entry process of a test accepts, and calls of `geraniumctl` as an operator.

use std::fmt::Write;
use std::net::SocketAddr;

use clap::Parser;
use geraniumctl::cli::Session;
use geraniumctl::client::Client;
use geraniumctl::{Cli, Exit};
use sha2::{Digest, Sha256};

/// Names of the operators that tests sign in with.
pub const OPERATORS: [&str; 10] = [
    "anna", "bela", "csaba", "dora", "emil", "fanni", "gabor", "hanna", "imre", "judit",
];

/// Token of an operator: `token-of-` followed by the name.
pub fn token_of(name: &str) -> String {
    format!("token-of-{name}")
}

/// An operator's entry in the settings of entry processes: name and SHA-256 of the token in
/// hexadecimal digits.
pub fn credential(name: &str) -> String {
    let mut text = format!("{name}:");
    for byte in Sha256::digest(token_of(name)) {
        // Writing to a string never fails.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Value of the operators setting of entry processes, with all of [`OPERATORS`].
pub fn operators_setting() -> String {
    OPERATORS.map(credential).join(",")
}

/// Result of one `geraniumctl` command.
#[derive(Debug)]
pub struct CtlOutcome {
    /// Exit code of a failed command; `None` if the command succeeded.
    pub exit: Option<Exit>,
    /// Printed output, followed by the error text of a failed command.
    pub text: String,
}

/// Runs `geraniumctl` in this process, signed in as `operator`. An empty `entries` omits the
/// `--entries` flag.
///
/// # Panics
/// If the command line can't be parsed.
pub fn run_ctl(entries: &[SocketAddr], operator: &str, args: &[&str]) -> CtlOutcome {
    let entries: Vec<_> = entries.iter().map(ToString::to_string).collect();
    let (entries, token) = (entries.join(","), token_of(operator));
    let mut session = vec!["--token", &token];
    if !entries.is_empty() {
        session.extend(["--entries", &entries]);
    }
    let args = ["geraniumctl"].iter().chain(args).chain(&session);
    let cli = Cli::try_parse_from(args).expect("arguments of geraniumctl");
    let mut out = Vec::new();
    let outcome = geraniumctl::execute(&cli, &mut out);
    let mut text = String::from_utf8_lossy(&out).into_owned();
    let exit = outcome.err().map(|failure| {
        text.push_str(&failure.to_string());
        failure.exit
    });
    CtlOutcome { exit, text }
}

/// Client of the operators' interface of `entries`, signed in as `operator`.
///
/// # Panics
/// If `entries` is empty.
pub fn client(entries: &[SocketAddr], operator: &str) -> Client {
    let session = Session {
        entries: entries.to_vec(),
        token: token_of(operator),
        json: false,
    };
    Client::new(&session).expect("at least one entry process")
}
