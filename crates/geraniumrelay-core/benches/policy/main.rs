//! Policy bench: decisions under load and faults, in virtual time.
//!
//! One small data centre with the real dispatchers and fake targets. The same seed gives the same
//! table on any machine. With `--check` a missed bound makes it fail.

mod calls;
mod events;
mod faults;
mod report;
mod scenario;
mod tally;
mod target;
mod workload;
mod world;

use std::process::ExitCode;

use clap::Parser;

use crate::report::Run;

/// Runs the scenarios and prints a table.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Run only scenarios whose name contains this.
    #[arg(long, default_value = "")]
    only: String,

    /// Fail where a bound is missed.
    #[arg(long)]
    check: bool,

    /// Set by cargo; without effect.
    #[arg(long)]
    bench: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    report::print_head();
    let mut misses = Vec::new();
    for deployment in scenario::DEPLOYMENTS {
        let mut reference_p99 = 1.0;
        for scenario in scenario::scenarios() {
            if !scenario.name.contains(&args.only) {
                continue;
            }
            let tally = world::run(scenario, deployment, args.seed);
            let run = Run {
                deployment: deployment.name,
                scenario,
                policy: "today",
                tally,
                reference_p99,
            };
            if scenario.name == "load70" {
                reference_p99 = run.tally.other_teams.p99();
            }
            report::print(&run);
            misses.extend(report::misses(&run));
        }
    }
    let is_ok = report::print_misses(&misses);
    if args.check && !is_ok {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
