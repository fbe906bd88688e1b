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
        /// Only check the settings, and name every fault.
        #[arg(long)]
        check: bool,
    },
}

fn main() -> anyhow::Result<()> {
    let cli = Cli::parse();
    match (cli.mode, cli.settings) {
        (Some(Mode::Leased { check: true }), _) => geraniumrelay::check_leased(),
        (Some(Mode::Leased { check: false }), _) => geraniumrelay::run_leased(),
        (None, Some(settings)) => geraniumrelay::run(&settings),
        (None, None) => anyhow::bail!("settings are missing; see --help"),
    }
}
