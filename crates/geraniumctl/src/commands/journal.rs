//! `geraniumctl jobs --unresolved`: lists journaled submissions, which must not run twice.

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

/// Age of a writer row after which its incarnation counts as ended; several times the interval at
/// which a live incarnation writes the row.
const WRITER_TIMEOUT: Duration = Duration::from_mins(1);

/// Filters for submissions in the journal.
#[derive(Debug, Clone, Args)]
pub struct JournalArgs {
    /// List only submissions in the journal that may have run and have no answer; needs --platform.
    #[arg(long, requires = "platform")]
    pub unresolved: bool,

    /// List only submissions in the journal to this service; needs --platform.
    #[arg(long, requires = "platform")]
    pub service: Option<String>,

    /// Base URL of the platform, which stores the journal.
    #[arg(long, env = "GERANIUMRELAY_PLATFORM")]
    pub platform: Option<String>,
}

impl JournalArgs {
    /// Whether the journal is queried instead of the entry VMs.
    pub fn is_journal_query(&self) -> bool {
        self.unresolved || self.service.is_some()
    }
}

/// State of a journaled submission; its kebab-case name is part of the JSON output.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JournalState {
    /// The incarnation that runs the submission is live and has not answered yet.
    InFlight,
    /// The answer shows whether the submission ran.
    Answered,
    /// The submission may have run: its incarnation ended without an answer, or the verdict is
    /// `MayHaveRun`.
    Unresolved,
}

/// Listed submission.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ListedJob {
    /// State of the submission.
    pub standing: JournalState,
    /// Ticket that identifies the submission.
    pub ticket: String,
    /// Name of the service.
    pub service: String,
    /// Name of the request kind.
    pub kind: String,
    /// Name of the team; empty if the caller named none.
    pub team: String,
    /// Number of tasks.
    pub tasks: u32,
    /// RFC 3339 time at which the owner accepted the submission.
    pub taken_in: String,
    /// Verdict of the answer; empty if there is no answer.
    pub verdict: String,
}

/// Incarnation with submissions that may be missing from the journal: it ended without closing its
/// writer row, or it dropped some.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Gap {
    /// VM of the incarnation.
    pub vm: String,
    /// Data centre of the incarnation.
    pub data_centre: String,
    /// RFC 3339 time after which accepted submissions may be missing from the list.
    pub complete_until: String,
    /// Number of submissions known to be missing.
    pub dropped: u64,
}

/// Submissions of the journal that match the filters.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct JobList {
    /// Matching submissions, oldest first.
    pub jobs: Vec<ListedJob>,
    /// Incarnations with possibly missing submissions.
    pub gaps: Vec<Gap>,
}

/// Prints the matching submissions.
///
/// # Errors
/// The platform can't be reached, or a row can't be decoded.
pub fn run(session: &Session, args: &JournalArgs, out: &mut impl Write) -> Result<(), Failure> {
    let platform = args.platform.clone().unwrap_or_default();
    let client = PlatformClient::new(PlatformConfig::new(platform));
    let store = JournalStore::new(&client);
    // Writers are read after the rows, so that the writer of a row that was just read does not
    // appear to have ended.
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

/// Filters, classifies and sorts the submissions.
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
    let matches_filters = |job: &ListedJob| {
        let has_service = args.service.as_ref().is_none_or(|s| *s == job.service);
        has_service && (!args.unresolved || job.standing == JournalState::Unresolved)
    };
    let jobs = rows.iter().map(|row| list_row(row, &live));
    let mut jobs: Vec<ListedJob> = jobs.filter(matches_filters).collect();
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
    !writer.closed && written + WRITER_TIMEOUT > now
}

fn list_row(row: &JournalRow, live: &Map<u64, bool>) -> ListedJob {
    ListedJob {
        standing: state_of(row, live),
        ticket: row.ticket.clone(),
        service: row.service.clone(),
        kind: row.kind.clone(),
        team: row.team.clone(),
        tasks: row.tasks,
        taken_in: row.taken_in.clone(),
        verdict: row.verdict.clone(),
    }
}

fn state_of(row: &JournalRow, live: &Map<u64, bool>) -> JournalState {
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
    // The results are ignored, as writing to a string can't fail.
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
            "{} in {}: submissions accepted after {} may be missing; {} are known to be missing",
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

    fn states_of(rows: &[JournalRow], writers: &[JournalWriter]) -> Vec<JournalState> {
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
    fn possibly_run_and_in_flight_submissions_are_distinguished() {
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
        assert_eq!(states_of(&rows, &writers), expected);
    }

    #[test]
    fn only_unclosed_writers_leave_gaps() {
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
