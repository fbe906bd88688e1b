//! Operators of a test, who may sign in at every entry process.

use std::fmt::Write;
use std::net::SocketAddr;

use clap::Parser;
use geraniumctl::cli::Session;
use geraniumctl::client::Client;
use geraniumctl::{Cli, Exit};
use sha2::{Digest, Sha256};

/// Names of the operators; the token of each is `token-of-` and the name.
pub const OPERATORS: [&str; 10] = [
    "anna", "bela", "csaba", "dora", "emil", "fanni", "gabor", "hanna", "imre", "judit",
];

/// Token of an operator.
pub fn token_of(name: &str) -> String {
    format!("token-of-{name}")
}

/// A name with the hash of its token, as the settings of entry processes have it.
pub fn credential(name: &str) -> String {
    let mut text = format!("{name}:");
    for byte in Sha256::digest(token_of(name)) {
        // Writing to a string does not fail.
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// All operators, as the settings of entry processes have them.
pub fn setting() -> String {
    OPERATORS.map(credential).join(",")
}

/// How a run of `geraniumctl` ended.
#[derive(Debug)]
pub struct CtlOutcome {
    /// Exit code; `None` where it succeeded.
    pub exit: Option<Exit>,
    /// All that it printed, the failure last.
    pub text: String,
}

/// Runs `geraniumctl` as an operator, within this process.
pub fn run_ctl(entries: &[SocketAddr], who: &str, args: &[&str]) -> CtlOutcome {
    let entries: Vec<_> = entries.iter().map(ToString::to_string).collect();
    let (entries, token) = (entries.join(","), token_of(who));
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

/// Client of some entry processes, signed in as an operator.
pub fn client(entries: &[SocketAddr], who: &str) -> Client {
    let session = Session {
        entries: entries.to_vec(),
        token: token_of(who),
        json: false,
    };
    Client::new(&session).expect("at least one entry process")
}
