//! Printed table of the runs and the check of their bounds.

use std::fs;

use crate::scenario::{Bound, Scenario};
use crate::tally::RunStats;

/// Prefix of the lines of KNOWN-RED.txt that name a failing check of this benchmark.
const KNOWN_RED_PREFIX: &str = "bench:";

/// Run of one scenario with one policy.
#[derive(Debug)]
pub struct Run {
    /// Name of the deployment in the printed table.
    pub deployment: &'static str,
    /// Scenario with the bounds to check.
    pub scenario: Scenario,
    /// Name of the policy in the printed table.
    pub policy: &'static str,
    /// Counters and response times.
    pub stats: RunStats,
    /// 99th percentile of the other teams in the reference scenario; infinite if not run before.
    pub reference_p99: f64,
}

/// Exceeded bound or broken invariant of a run.
#[derive(Debug, PartialEq)]
pub struct CheckFailure {
    /// Name of the check as listed in KNOWN-RED.txt.
    pub name: String,
    /// Observed value and the bound, or the first broken invariant.
    pub observed: String,
}

/// Prints the column titles of the table.
pub fn print_header() {
    println!(
        "{:9} {:9} {:8} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6}",
        "where",
        "scenario",
        "policy",
        "u.mean",
        "u.p99",
        "mean",
        "p99",
        "o.p99",
        "wasted",
        "control",
        "loans",
        "jobs",
        "refus",
        "failed",
        "starts"
    );
}

/// Prints a run as one line of the table.
pub fn print_run(run: &Run) {
    let stats = &run.stats;
    println!(
        "{:9} {:9} {:8} {:>6.3} {:>7.2} {:>6.3} {:>7.2} {:>7.2} {:>7.4} {:>7.4} {:>7.4} {:>7} {:>6} {:>6} {:>6}",
        run.deployment,
        run.scenario.name,
        run.policy,
        stats.urgent.mean(),
        stats.urgent.p99(),
        stats.all.mean(),
        stats.all.p99(),
        stats.other_teams.p99(),
        stats.wasted_messages_per_start(),
        stats.heartbeat_messages_per_start(),
        stats.loan_messages_per_start(),
        stats.jobs,
        stats.refused,
        stats.failed + stats.outcome_unknown,
        stats.max_starts(),
    );
}

/// Returns the failed checks of a run: each exceeded bound, and one entry for broken invariants.
pub fn check_failures(run: &Run) -> Vec<CheckFailure> {
    let mut failures: Vec<CheckFailure> = run
        .scenario
        .bounds
        .iter()
        .filter_map(|bound| check_bound(run, *bound))
        .collect();
    if let Some(first) = run.stats.violations.first() {
        let count = run.stats.violations.len();
        failures.push(CheckFailure {
            name: check_name(run, "truth"),
            observed: format!("{count} violations, the first: {first}"),
        });
    }
    failures
}

fn check_bound(run: &Run, bound: Bound) -> Option<CheckFailure> {
    let stats = &run.stats;
    let (what, observed, max) = match bound {
        Bound::UrgentMean(max) => ("urgent-mean", stats.urgent.mean(), max),
        Bound::UrgentP99(max) => ("urgent-p99", stats.urgent.p99(), max),
        Bound::AllMean(max) => ("all-mean", stats.all.mean(), max),
        Bound::WastedPerStart(max) => ("wasted", stats.wasted_messages_per_start(), max),
        Bound::UrgentFailedShare(max) => (
            "urgent-failed",
            stats.urgent_failed_share_after_fault(),
            max,
        ),
        Bound::OtherTeamsP99(max) => {
            let ratio = stats.other_teams.p99() / run.reference_p99;
            ("others-p99", ratio, max)
        }
    };
    (observed > max).then(|| CheckFailure {
        name: check_name(run, what),
        observed: format!("{observed:.4} where at most {max} is allowed"),
    })
}

fn check_name(run: &Run, what: &str) -> String {
    format!("policy/{}/{}/{what}", run.deployment, run.scenario.name)
}

/// Prints the failed checks; returns whether all of them are listed in KNOWN-RED.txt.
pub fn print_failures(failures: &[CheckFailure]) -> bool {
    let known = known_failures();
    let mut is_ok = true;
    for failure in failures {
        let is_known = known.contains(&failure.name);
        let label = if is_known { "known to fail" } else { "FAILED" };
        println!("{label}: {}: {}", failure.name, failure.observed);
        is_ok &= is_known;
    }
    is_ok
}

fn known_failures() -> Vec<String> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_RED_PREFIX));
    let names = lines.filter_map(|rest| rest.split_whitespace().next());
    names.map(str::to_owned).collect()
}
