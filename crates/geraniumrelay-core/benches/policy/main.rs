//! Policy bench: decisions under load and faults, in virtual time.
//!
//! One small data centre with the real dispatchers and fake targets. The same seed gives the same
//! table on any machine. With `--check` a missed bound makes it fail.

mod baselines;
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
use crate::report::{Miss, Run};
use crate::scenario::Deployment;

/// Scenario that the others are compared with.
const REFERENCE: &str = "load70";

/// Runs the scenarios and prints a table.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of the arrivals.
    #[arg(long, default_value_t = 1)]
    seed: u64,

    /// Run only scenarios whose name contains this.
    #[arg(long, default_value = "")]
    only: String,

    /// Run the policies that were not chosen, too.
    #[arg(long)]
    all: bool,

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
        misses.extend(run_all::<Standard>(&args, deployment, "homes"));
        if args.all {
            run_all::<RandomChoice>(&args, deployment, "random");
            run_all::<TwoChoices>(&args, deployment, "two");
            run_all::<Fifo>(&args, deployment, "fifo");
            run_all::<Declared>(&args, deployment, "declared");
        }
    }
    let is_ok = report::print_misses(&misses);
    if args.check && !is_ok {
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs all scenarios with one set of policies; returns the bounds that were missed.
fn run_all<P: Policy>(args: &Args, deployment: Deployment, policy: &'static str) -> Vec<Miss> {
    let mut reference_p99 = f64::INFINITY;
    let mut misses = Vec::new();
    for scenario in scenario::scenarios() {
        if !scenario.name.contains(&args.only) {
            continue;
        }
        let tally = world::run::<P>(scenario, deployment, args.seed);
        let run = Run {
            deployment: deployment.name,
            scenario,
            policy,
            tally,
            reference_p99,
        };
        if scenario.name == REFERENCE {
            reference_p99 = run.tally.other_teams.p99();
        }
        report::print(&run);
        misses.extend(report::misses(&run));
    }
    misses
}
