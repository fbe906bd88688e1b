//! Benchmark of scheduling policies under load and faults, as a simulation in virtual time.
//!
//! Simulates one small data centre with real dispatchers and fake targets. The same seed gives the
//! same table on any machine. With `--check` the process fails if a bound is exceeded or an
//! invariant is broken.

mod baselines;
mod borrowing;
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
use geraniumrelay_core::modules::policy::{Policy, Standard};

use crate::baselines::{Declared, Fifo, RandomChoice, TwoChoices};
use crate::report::{CheckFailure, Run};
use crate::scenario::Deployment;

/// Scenario whose p99 of the other teams is the reference for [`scenario::Bound::OtherTeamsP99`].
const REFERENCE_SCENARIO: &str = "load70";

/// Runs the scenarios and prints a table of the results.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of arrivals, of the choice of entry VMs and of cancellations.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Run only scenarios whose name contains this text.
    #[arg(long, default_value = "")]
    only: String,

    /// Also run the baseline policies.
    #[arg(long)]
    all: bool,

    /// Exit with an error if a check fails that is not listed in KNOWN-RED.txt.
    #[arg(long)]
    check: bool,

    /// Passed by `cargo bench`; ignored.
    #[arg(long)]
    bench: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    report::print_header();
    let mut failures = Vec::new();
    for deployment in scenario::DEPLOYMENTS {
        failures.extend(run_scenarios::<Standard>(&args, deployment, "homes"));
        if args.all {
            run_scenarios::<RandomChoice>(&args, deployment, "random");
            run_scenarios::<TwoChoices>(&args, deployment, "two");
            run_scenarios::<Fifo>(&args, deployment, "fifo");
            run_scenarios::<Declared>(&args, deployment, "declared");
        }
    }
    let is_ok = report::print_failures(&failures);
    if args.check && !is_ok {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs all selected scenarios with one policy and returns the checks that failed.
fn run_scenarios<P: Policy>(
    args: &Args,
    deployment: Deployment,
    policy: &'static str,
) -> Vec<CheckFailure> {
    let mut reference_p99 = f64::INFINITY;
    let mut failures = Vec::new();
    for scenario in scenario::scenarios() {
        if !scenario.name.contains(&args.only) {
            continue;
        }
        let stats = world::run::<P>(scenario, deployment, args.seed);
        let run = Run {
            deployment: deployment.name,
            scenario,
            policy,
            stats,
            reference_p99,
        };
        if scenario.name == REFERENCE_SCENARIO {
            reference_p99 = run.stats.other_teams.p99();
        }
        report::print_run(&run);
        failures.extend(report::check_failures(&run));
    }
    failures
}
