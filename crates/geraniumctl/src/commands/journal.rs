//! `geraniumctl jobs --unresolved`: what the journal knows of submissions that must not run twice.

use std::fmt::Write as _;
use std::io::Write;
use std::time::{Duration, SystemTime};

use clap::Args;
use geraniumrelay_core::Verdict;
use geraniumrelay_core::collections::Map;
use geraniumrelay_platform::{JournalStore, PlatformClient, PlatformConfig};
use geraniumrelay_wire::{JournalRow, JournalWriter};
use serde::Serialize;

use crate::cli::Session;
use crate::commands::print_json;
use crate::exit::{Exit, Failure};

/// Age of a writer row beyond which its incarnation counts as ended; several times the interval at
/// which a live one writes it.
const WRITER_SILENCE: Duration = Duration::from_mins(1);

/// Which submissions to list.
#[derive(Debug, Clone, Args)]
pub struct JournalArgs {
    /// Only those that may have run and have no answer, from the journal; needs --platform.
    #[arg(long, requires = "platform")]
    pub unresolved: bool,

    /// Only those of one service, from the journal; needs --platform.
    #[arg(long, requires = "platform")]
    pub service: Option<String>,

    /// Base URL of the platform, which keeps the journal.
    #[arg(long, env = "GERANIUMRELAY_PLATFORM")]
    pub platform: Option<String>,
}

impl JournalArgs {
    /// Whether the journal is asked in place of the entry VMs.
    pub fn is_wanted(&self) -> bool {
        self.unresolved || self.service.is_some()
    }
}

/// Where a submission stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalState {
    /// Its owner lives and has not answered yet.
    InFlight,
    /// It has an answer that says whether it ran.
    Answered,
    /// It may have run: its owner ended without an answer, or the answer says so.
    Unresolved,
}

/// One submission of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ListedJob {
    /// Where it stands.
    pub standing: JournalState,
    /// Its name.
    pub ticket: String,
    /// Service.
    pub service: String,
    /// Request kind.
    pub kind: String,
    /// Team; empty where none was named.
    pub team: String,
    /// Number of its tasks.
    pub tasks: u32,
    /// RFC 3339 time at which its owner took it in.
    pub taken_in: String,
    /// Verdict of its answer; empty where there is none.
    pub verdict: String,
}

/// An incarnation that ended without having closed its journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// VM of the incarnation.
    pub vm: String,
    /// Its data centre.
    pub data_centre: String,
    /// RFC 3339 time after which submissions may be missing from the list.
    pub complete_until: String,
    /// Submissions that are known to be missing.
    pub dropped: u64,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JobList {
    /// The submissions, oldest first.
    pub jobs: Vec<ListedJob>,
    /// Where the list may lack some.
    pub gaps: Vec<Gap>,
}

/// Lists submissions.
///
/// # Errors
/// A platform that can't be reached, or rows that can't be read.
pub fn run(session: &Session, args: &JournalArgs, out: &mut impl Write) -> Result<(), Failure> {
    let platform = args.platform.clone().unwrap_or_default();
    let client = PlatformClient::new(PlatformConfig::new(platform));
    let store = JournalStore::new(&client);
    // Writers are read last, so that none seems to have ended before it wrote a row.
    let rows = store
        .all()
        .map_err(|e| Failure::new(Exit::Unreachable, e))?;
    let writers = store
        .writers()
        .map_err(|e| Failure::new(Exit::Unreachable, e))?;
    let list = list_jobs(&rows, &writers, SystemTime::now(), args);
    if session.json {
        return print_json(out, &list);
    }
    writeln!(out, "{}", table(&list))?;
    Ok(())
}

/// Chooses and arranges what to list.
pub fn list_jobs(
    rows: &[JournalRow],
    writers: &[JournalWriter],
    now: SystemTime,
    args: &JournalArgs,
) -> JobList {
    let live: Map<u64, bool> = writers
        .iter()
        .map(|writer| (writer.incarnation, is_live(writer, now)))
        .collect();
    let is_wanted = |job: &ListedJob| {
        let is_service = args.service.as_ref().is_none_or(|s| *s == job.service);
        is_service && (!args.unresolved || job.standing == JournalState::Unresolved)
    };
    let jobs = rows.iter().map(|row| listed(row, &live));
    let mut jobs: Vec<ListedJob> = jobs.filter(is_wanted).collect();
    jobs.sort_by(|a, b| a.taken_in.cmp(&b.taken_in));
    let is_gap =
        |writer: &&JournalWriter| writer.dropped > 0 || !writer.closed && !is_live(writer, now);
    let gaps = writers.iter().filter(is_gap).map(gap_of).collect();
    JobList { jobs, gaps }
}

fn is_live(writer: &JournalWriter, now: SystemTime) -> bool {
    let Ok(written) = humantime::parse_rfc3339(&writer.written_at) else {
        return false;
    };
    !writer.closed && written + WRITER_SILENCE > now
}

fn listed(row: &JournalRow, live: &Map<u64, bool>) -> ListedJob {
    ListedJob {
        standing: standing_of(row, live),
        ticket: row.ticket.clone(),
        service: row.service.clone(),
        kind: row.kind.clone(),
        team: row.team.clone(),
        tasks: row.tasks,
        taken_in: row.taken_in.clone(),
        verdict: row.verdict.clone(),
    }
}

fn standing_of(row: &JournalRow, live: &Map<u64, bool>) -> JournalState {
    match row.verdict.parse() {
        Ok(Verdict::Completed | Verdict::Failed | Verdict::NotRun) => {
            return JournalState::Answered;
        }
        Ok(Verdict::MayHaveRun) => return JournalState::Unresolved,
        Err(_) => {}
    }
    if live.get(&row.writer) == Some(&true) {
        JournalState::InFlight
    } else {
        JournalState::Unresolved
    }
}

fn gap_of(writer: &JournalWriter) -> Gap {
    Gap {
        vm: writer.vm.clone(),
        data_centre: writer.data_centre.clone(),
        complete_until: writer.complete_until.clone(),
        dropped: writer.dropped,
    }
}

fn table(list: &JobList) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    for job in &list.jobs {
        let standing = match job.standing {
            JournalState::InFlight => "in flight",
            JournalState::Answered => job.verdict.as_str(),
            JournalState::Unresolved => "may have run",
        };
        let _ = writeln!(
            text,
            "{standing:<12}  {:<24}  {:<20}  {:<16}  {:<12}  {:>3} tasks  {}",
            job.taken_in, job.service, job.kind, job.team, job.tasks, job.ticket
        );
    }
    let _ = writeln!(text, "{} submissions", list.jobs.len());
    for gap in &list.gaps {
        let _ = writeln!(
            text,
            "{} in {}: the list may lack what it took in after {}; {} are known to be missing",
            gap.vm, gap.data_centre, gap.complete_until, gap.dropped
        );
    }
    text.trim_end().to_owned()
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: &str = "2026-12-03T12:00:00Z";

    fn writer(incarnation: u64, written_at: &str, closed: bool) -> JournalWriter {
        JournalWriter {
            incarnation,
            written_at: written_at.to_owned(),
            closed,
            ..JournalWriter::default()
        }
    }

    fn row(incarnation: u64, verdict: &str) -> JournalRow {
        JournalRow {
            writer: incarnation,
            verdict: verdict.to_owned(),
            ..JournalRow::default()
        }
    }

    fn standings(rows: &[JournalRow], writers: &[JournalWriter]) -> Vec<JournalState> {
        let args = JournalArgs {
            unresolved: false,
            service: None,
            platform: None,
        };
        let now = humantime::parse_rfc3339(NOW).unwrap();
        let list = list_jobs(rows, writers, now, &args);
        list.jobs.iter().map(|job| job.standing).collect()
    }

    #[test]
    fn what_may_have_run_is_told_from_what_runs() {
        let writers = [
            writer(1, "2026-12-03T11:59:50Z", false),
            writer(2, "2026-12-03T11:00:00Z", false),
        ];
        let rows = [
            row(1, ""),
            row(2, ""),
            row(3, ""),
            row(2, "Completed"),
            row(1, "MayHaveRun"),
        ];
        let expected = [
            JournalState::InFlight,
            JournalState::Unresolved,
            JournalState::Unresolved,
            JournalState::Answered,
            JournalState::Unresolved,
        ];
        assert_eq!(standings(&rows, &writers), expected);
    }

    #[test]
    fn only_writers_that_did_not_close_leave_gaps() {
        let args = JournalArgs {
            unresolved: true,
            service: None,
            platform: None,
        };
        let writers = [
            writer(1, "2026-12-03T11:59:50Z", false),
            writer(2, "2026-12-03T11:00:00Z", true),
            writer(3, "2026-12-03T11:00:00Z", false),
        ];
        let now = humantime::parse_rfc3339(NOW).unwrap();
        assert_eq!(list_jobs(&[], &writers, now, &args).gaps.len(), 1);
    }
}
