//! Longer runs of seeded fault schedules over real entry processes. Exits with 0 only if no audit
//! finds a violation.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Parser;
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::faults::{Audit, Schedule, run_round};

/// Runs rounds of faults, one seed after the other, and audits each.
#[derive(Debug, Parser)]
struct Args {
    /// Seed of the first round.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Minutes in which new rounds start.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(0..=240))]
    minutes: u64,
    /// Maximum number of rounds.
    #[arg(long, default_value_t = u64::MAX)]
    rounds: u64,
}

fn main() -> ExitCode {
    run_if_entry();
    let args = Args::parse();
    let until = Instant::now() + Duration::from_mins(args.minutes);
    let mut total = Audit::default();
    let mut rounds = 0;
    while rounds < args.rounds && (rounds == 0 || Instant::now() < until) {
        let report = run_round(Schedule::new(args.seed + rounds));
        rounds += 1;
        let faults: Vec<_> = report
            .schedule
            .faults
            .iter()
            .map(ToString::to_string)
            .collect();
        println!(
            "seed {} {}: {}",
            report.schedule.seed,
            faults.join("+"),
            summary(&report.audit)
        );
        for violation in &report.audit.violations {
            println!("  VIOLATION {violation}");
        }
        total.add(report.audit);
    }
    let reasons = total.reasons.iter();
    let reasons: Vec<_> = reasons.map(|(reason, n)| format!("{reason} {n}")).collect();
    println!("reasons: {}", reasons.join(", "));
    println!(
        "{rounds} rounds from seed {}: {}",
        args.seed,
        summary(&total)
    );
    if total.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn summary(audit: &Audit) -> String {
    format!(
        "requests {} submissions {} complete {} failed {} not-run {} may-have-run {} lost {} \
         starts {} violations {}",
        audit.requests,
        audit.submissions,
        audit.complete,
        audit.failed,
        audit.not_run,
        audit.may_have_run,
        audit.no_reply,
        audit.starts,
        audit.violations.len(),
    )
}
