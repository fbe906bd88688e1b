//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use crate::commands::config_check;
use crate::commands::journal::JournalArgs;

/// Operates geraniumrelay and applies configuration sheets.
#[derive(Debug, Parser)]
#[command(version, about, after_help = crate::exit::HELP)]
pub struct Cli {
    /// Entry VMs and credentials.
    #[command(flatten)]
    pub session: Session,

    /// Subcommand.
    #[command(subcommand)]
    pub action: Action,
}

/// Addresses of the entry VMs, credentials and output format.
#[derive(Debug, Clone, Args)]
pub struct Session {
    /// Operator addresses of entry VMs, as IP:PORT separated by commas; one that answers is enough.
    #[arg(
        long,
        env = "GERANIUMRELAY_ENTRIES",
        global = true,
        value_delimiter = ','
    )]
    pub entries: Vec<SocketAddr>,

    /// Token of the operator.
    #[arg(
        long,
        env = "GERANIUMRELAY_TOKEN",
        global = true,
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,

    /// Print the results of queries as JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Check a sheet and list all faults; needs no connection.
    Check {
        /// Sheet file (CSV).
        sheet: PathBuf,
    },
    /// Describe what a sheet would change, without changing anything.
    Plan {
        /// Sheet file (CSV).
        sheet: PathBuf,
    },
    /// Check and plan a sheet, ask for confirmation, apply it and wait until it is in force
    /// everywhere.
    Apply(ApplyArgs),
    /// Show all entry VMs with the revision in force at each.
    Status,
    /// Show the services in force.
    Services,
    /// Show the targets known to each entry VM.
    Targets,
    /// Show the jobs in flight at each entry VM, or the submissions in the journal.
    Jobs {
        /// Maximum number of jobs to list for each entry VM.
        #[arg(long, default_value_t = 100)]
        limit: usize,

        /// Journal filters.
        #[command(flatten)]
        journal: JournalArgs,
    },
    /// Show the audit trail of accepted changes.
    Audit {
        /// List only changes after this revision.
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Work with configurations of routes, services and limits; needs no connection.
    #[command(subcommand)]
    Config(ConfigAction),
    /// Create keys and certificates for entry processes, or renew them with an existing CA.
    Certs(CertsArgs),
    /// Create a token for an operator or a team, and the matching settings entry.
    Token {
        /// Name of the operator or team.
        name: String,
    },
}

/// Subcommands of `config`.
#[derive(Debug, Subcommand)]
pub enum ConfigAction {
    /// Check a configuration and list the findings, one per line.
    #[command(after_help = config_check::HELP)]
    Check(ConfigCheckArgs),
}

/// Arguments of `config check`.
#[derive(Debug, Clone, Args)]
pub struct ConfigCheckArgs {
    /// Configuration file (JSON, as the row op/config holds it).
    pub file: PathBuf,

    /// Configuration file to compare with, usually the one in force.
    #[arg(long, value_name = "FILE")]
    pub against: Option<PathBuf>,
}

/// Arguments of `apply`.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    /// Sheet file (CSV).
    pub sheet: PathBuf,

    /// Apply without asking for confirmation.
    #[arg(long)]
    pub yes: bool,

    /// Time-out for the sheet to be accepted, and again for it to be in force everywhere.
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// Arguments of `certs`.
#[derive(Debug, Clone, Args)]
pub struct CertsArgs {
    /// Output directory; created if it does not exist.
    #[arg(long)]
    pub out: PathBuf,

    /// Create NAME.pem and NAME-key.pem for each of these VMs; without VMs, create cert.pem and
    /// key.pem for all.
    #[arg(long, value_delimiter = ',')]
    pub vm: Vec<String>,

    /// Validity of the certificates in days.
    #[arg(long, default_value_t = 90)]
    pub days: u16,

    /// Validity of a new CA in days.
    #[arg(long, default_value_t = 1_825)]
    pub ca_days: u16,
}
