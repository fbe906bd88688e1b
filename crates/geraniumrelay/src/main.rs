//! The entry process.

use clap::Parser;
use geraniumrelay::Settings;

/// Dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(version, about, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    mode: Option<Mode>,

    #[command(flatten)]
    settings: Option<Settings>,
}

#[derive(Debug, clap::Subcommand)]
enum Mode {
    /// Runs on VMs whose workers take tasks under leases; the settings stand in the file that
    /// `GERANIUMRELAY_BOOT` names.
    Leased {
        /// Take jobs that must be kept as well. Off, as a task of such a job may run again after a
        /// partition though it had ended; see docs/design/platform.md.
        #[arg(long, env = "GERANIUMRELAY_KEEP_JOBS")]
        keep_jobs: bool,

        /// Only check the settings, and name every fault.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    match (cli.mode, cli.settings) {
        (Some(Mode::Leased { check: true, .. }), _) => geraniumrelay::check_leased(),
        (Some(Mode::Leased { keep_jobs, .. }), _) => geraniumrelay::run_leased(keep_jobs),
        (None, Some(settings)) => geraniumrelay::run(&settings),
        (None, None) => anyhow::bail!("settings are missing; see --help"),
    }
}
