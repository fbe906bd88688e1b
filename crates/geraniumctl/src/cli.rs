//! Flags and subcommands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use crate::commands::journal::JournalArgs;

/// Drives geraniumrelay from the morning sheet.
#[derive(Debug, Parser)]
#[command(version, about, after_help = crate::exit::HELP)]
pub struct Cli {
    /// Where and as whom.
    #[command(flatten)]
    pub session: Session,

    /// What to do.
    #[command(subcommand)]
    pub action: Action,
}

/// Where the entry VMs are, and who asks.
#[derive(Debug, Clone, Args)]
pub struct Session {
    /// Operators' addresses of entry VMs, IP:PORT, separated by commas; any that answers will do.
    #[arg(
        long,
        env = "GERANIUMRELAY_ENTRIES",
        global = true,
        value_delimiter = ','
    )]
    pub entries: Vec<SocketAddr>,

    /// Your token.
    #[arg(
        long,
        env = "GERANIUMRELAY_TOKEN",
        global = true,
        hide_env_values = true,
        default_value = ""
    )]
    pub token: String,

    /// Print JSON in place of tables, where the command is a query.
    #[arg(long, global = true)]
    pub json: bool,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Action {
    /// Check a sheet and name all of its faults; needs no connection.
    Check {
        /// The sheet, CSV.
        sheet: PathBuf,
    },
    /// Show in words what a sheet would change; changes nothing.
    Plan {
        /// The sheet, CSV.
        sheet: PathBuf,
    },
    /// Check and plan a sheet, ask, have it accepted and wait until it is in force everywhere.
    Apply(ApplyArgs),
    /// Show each entry VM with the revision in force there.
    Status,
    /// Show the services in force.
    Services,
    /// Show the targets that each entry VM knows.
    Targets,
    /// Show the jobs in flight at each entry VM, or those of the journal that may have run.
    Jobs {
        /// Most jobs to list for each entry VM.
        #[arg(long, default_value_t = 100)]
        limit: usize,

        /// What to take from the journal.
        #[command(flatten)]
        journal: JournalArgs,
    },
    /// Show who changed what, and when.
    Audit {
        /// Only changes after this revision.
        #[arg(long, default_value_t = 0)]
        after: u64,
    },
    /// Make keys and certificates for the entry processes, or renew them with the CA that is there.
    Certs(CertsArgs),
    /// Make a token for an operator or a team, and the line for the settings.
    Token {
        /// Name of the person or team.
        name: String,
    },
}

/// What `apply` needs.
#[derive(Debug, Clone, Args)]
pub struct ApplyArgs {
    /// The sheet, CSV.
    pub sheet: PathBuf,

    /// Don't ask before the change.
    #[arg(long)]
    pub yes: bool,

    /// Longest time to find out whether the sheet is accepted, and then to wait until it is in
    /// force.
    #[arg(long, default_value = "30s", value_parser = humantime::parse_duration)]
    pub timeout: Duration,
}

/// What `certs` needs.
#[derive(Debug, Clone, Args)]
pub struct CertsArgs {
    /// Directory for the files; made where it is absent.
    #[arg(long)]
    pub out: PathBuf,

    /// Make a certificate for each of these VMs, NAME.pem and NAME-key.pem; else one for all,
    /// cert.pem and key.pem.
    #[arg(long, value_delimiter = ',')]
    pub vm: Vec<String>,

    /// Days for which the certificates are valid.
    #[arg(long, default_value_t = 90)]
    pub days: u16,

    /// Days for which a new CA is valid.
    #[arg(long, default_value_t = 1_825)]
    pub ca_days: u16,
}
