//! Table of the runs, and the check of their bounds.

use std::fs;

use crate::scenario::{Bound, Scenario};
use crate::tally::Tally;

/// List of what is known to fail; entries of the bench begin with this word.
const KNOWN_WORD: &str = "bench:";

/// One run.
#[derive(Debug)]
pub struct Run {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// What was run.
    pub scenario: Scenario,
    /// Name of the policy.
    pub policy: &'static str,
    /// What was counted.
    pub tally: Tally,
    /// 99th percentile of the other teams in the run without a flood.
    pub reference_p99: f64,
}

/// One bound that was missed.
#[derive(Debug, PartialEq)]
pub struct Miss {
    /// Name for the list of what is known to fail.
    pub name: String,
    /// What was seen.
    pub seen: String,
}

/// Prints the head of the table.
pub fn print_head() {
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
pub fn print(run: &Run) {
    let tally = &run.tally;
    println!(
        "{:9} {:9} {:8} {:>6.3} {:>7.2} {:>6.3} {:>7.2} {:>7.2} {:>7.4} {:>7.4} {:>7.4} {:>7} {:>6} {:>6} {:>6}",
        run.deployment,
        run.scenario.name,
        run.policy,
        tally.urgent.mean(),
        tally.urgent.p99(),
        tally.all.mean(),
        tally.all.p99(),
        tally.other_teams.p99(),
        tally.wasted_per_start(),
        tally.control_per_start(),
        tally.loans_per_start(),
        tally.jobs,
        tally.refused,
        tally.failed + tally.lost,
        tally.max_starts(),
    );
}

/// Bounds that a run missed.
pub fn misses(run: &Run) -> Vec<Miss> {
    let mut misses: Vec<Miss> = run
        .scenario
        .bounds
        .iter()
        .filter_map(|bound| miss(run, *bound))
        .collect();
    if let Some(first) = run.tally.violations.first() {
        let count = run.tally.violations.len();
        misses.push(Miss {
            name: name(run, "truth"),
            seen: format!("{count} violations, the first: {first}"),
        });
    }
    misses
}

fn miss(run: &Run, bound: Bound) -> Option<Miss> {
    let tally = &run.tally;
    let (what, seen, most) = match bound {
        Bound::UrgentMean(most) => ("urgent-mean", tally.urgent.mean(), most),
        Bound::UrgentP99(most) => ("urgent-p99", tally.urgent.p99(), most),
        Bound::AllMean(most) => ("all-mean", tally.all.mean(), most),
        Bound::Wasted(most) => ("wasted", tally.wasted_per_start(), most),
        Bound::UrgentFailed(most) => ("urgent-failed", tally.late_urgent_failed_share(), most),
        Bound::OthersP99(most) => {
            let ratio = tally.other_teams.p99() / run.reference_p99;
            ("others-p99", ratio, most)
        }
    };
    (seen > most).then(|| Miss {
        name: name(run, what),
        seen: format!("{seen:.4} where at most {most} is allowed"),
    })
}

fn name(run: &Run, what: &str) -> String {
    format!("policy/{}/{}/{what}", run.deployment, run.scenario.name)
}

/// Prints the missed bounds; returns whether all of them are known to fail.
pub fn print_misses(misses: &[Miss]) -> bool {
    let known = known_failures();
    let mut is_ok = true;
    for miss in misses {
        let is_known = known.contains(&miss.name);
        let note = if is_known { "known to fail" } else { "FAILED" };
        println!("{note}: {}: {}", miss.name, miss.seen);
        is_ok &= is_known;
    }
    is_ok
}

fn known_failures() -> Vec<String> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../KNOWN-RED.txt");
    let text = fs::read_to_string(path).unwrap_or_default();
    let lines = text
        .lines()
        .filter_map(|line| line.strip_prefix(KNOWN_WORD));
    let names = lines.filter_map(|rest| rest.split_whitespace().next());
    names.map(str::to_owned).collect()
}
