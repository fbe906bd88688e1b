//! Command line of the entry process.

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
    /// Run with workers that hold tasks under leases; settings are read from the file named by
    /// `GERANIUMRELAY_BOOT`.
    Leased {
        /// Check the settings, report every fault and exit.
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
        (None, None) => anyhow::bail!("no settings given; see --help"),
    }
}
