//! `geraniumctl config check`: lists what is wrong with a configuration, and what it changes.

use std::fs;
use std::io::Write;
use std::path::Path;

use anyhow::Context;
use serde::Serialize;

use super::print_json;
use crate::cli::ConfigCheckArgs;
use crate::configuration::{self, Configuration, Finding, Severity, Source};
use crate::exit::{Exit, Failure};

/// Example and exit codes for `--help`.
pub const HELP: &str = "\
Example:
  $ geraniumctl config check new.json --against in-force.json
  new.json: routes[0].timeout_ms: error: the time-out is below the objective of each job; value: 50; allowed: \
more than target_latency_ms (60)
  new.json: version: change: was 7; value: 8

Exit codes:
  0   no error and no warning; changes against the other file may be listed
  9   a file could not be read, or is not JSON
  10  warnings, but no error
  11  errors";

/// Result of a check as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    file: String,
    against: Option<String>,
    errors: usize,
    warnings: usize,
    changes: usize,
    findings: &'a [Finding],
}

/// Checks a configuration file and prints the findings, the most serious first.
///
/// # Errors
/// A file can't be read or is not JSON, or there are errors or warnings.
pub fn run(args: &ConfigCheckArgs, is_json: bool, out: &mut impl Write) -> Result<(), Failure> {
    let (cfg, mut findings) = read(&args.file, Source::Checked)?;
    if let Some(cfg) = &cfg {
        findings.extend(configuration::check(cfg));
    }
    if let Some(path) = &args.against {
        let (against, found) = read(path, Source::Against)?;
        findings.extend(found);
        if let (Some(cfg), Some(against)) = (&cfg, &against) {
            findings.extend(configuration::compare(cfg, against));
        }
    }
    findings.sort_by_key(|f| f.severity);
    let count = |severity| findings.iter().filter(|f| f.severity == severity).count();
    let file = args.file.display().to_string();
    let against = args.against.as_ref().map(|p| p.display().to_string());
    let report = Report {
        file,
        against,
        errors: count(Severity::Error),
        warnings: count(Severity::Warning),
        changes: count(Severity::Change),
        findings: &findings,
    };
    if is_json {
        print_json(out, &report)?;
    } else {
        print(out, &report)?;
    }
    conclude(&report)
}

/// Reads a configuration file; warns of unknown fields only in the file that is checked.
fn read(path: &Path, source: Source) -> Result<(Option<Configuration>, Vec<Finding>), Failure> {
    let text = fs::read(path).with_context(|| path.display().to_string())?;
    let (cfg, mut findings) = configuration::parse(&text, source)
        .with_context(|| format!("{} is not JSON", path.display()))?;
    if source == Source::Against {
        findings.retain(|f| f.severity == Severity::Error);
    }
    Ok((cfg, findings))
}

fn print(out: &mut impl Write, report: &Report<'_>) -> Result<(), Failure> {
    let Report { file, against, .. } = report;
    for finding in report.findings {
        let file = match finding.source {
            Source::Checked => file,
            Source::Against => against.as_ref().unwrap_or(file),
        };
        writeln!(out, "{file}: {finding}")?;
    }
    if report.findings.is_empty() {
        writeln!(out, "{file}: no findings")?;
    }
    Ok(())
}

fn conclude(report: &Report<'_>) -> Result<(), Failure> {
    let (errors, warnings) = (report.errors, report.warnings);
    let exit = match (errors, warnings) {
        (0, 0) => return Ok(()),
        (0, _) => Exit::Warnings,
        _ => Exit::BadConfiguration,
    };
    let message = format!("{}: errors: {errors}, warnings: {warnings}", report.file);
    Err(Failure::message(exit, message))
}
