//! What a run of the bench counted.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::{TaskId, Verdict};
use hdrhistogram::Histogram;

/// Parts into which a ratio of one is divided.
const PARTS: f64 = 10_000.0;

/// Ratio at which an urgent job counts that was not completed.
const MISSED_RATIO: f64 = 1_000.0;

/// Response time over the ideal, of one group of jobs.
#[derive(Debug)]
pub struct Ratios {
    histogram: Histogram<u64>,
}

impl Ratios {
    /// Makes an empty group.
    pub fn new() -> Self {
        Self {
            histogram: Histogram::new(3).expect("three digits are allowed"),
        }
    }

    /// Adds a completed job.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small, positive"
    )]
    pub fn add(&mut self, ratio: f64) {
        let parts = (ratio * PARTS) as u64;
        self.histogram.record(parts).expect("it resizes itself");
    }

    /// Mean ratio.
    pub fn mean(&self) -> f64 {
        self.histogram.mean() / PARTS
    }

    /// Ratio that 99 of 100 jobs stay below.
    #[expect(clippy::cast_precision_loss, reason = "three digits are kept")]
    pub fn p99(&self) -> f64 {
        self.histogram.value_at_quantile(0.99) as f64 / PARTS
    }
}

/// How one job ended for its caller.
#[derive(Debug, Clone, Copy)]
pub struct Ending {
    /// Verdict of the reply.
    pub verdict: Verdict,
    /// Whether the job is urgent.
    pub is_urgent: bool,
    /// Whether it belongs to another team than the first.
    pub is_other_team: bool,
    /// Whether it arrived more than two seconds after the fault.
    pub is_late: bool,
    /// Time from request to reply.
    pub response: Duration,
    /// Time that it would have taken at best.
    pub ideal: Duration,
}

/// Counts of one run.
#[derive(Debug)]
pub struct Tally {
    /// Urgent jobs; one that was not completed counts as a very long one.
    pub urgent: Ratios,
    /// Completed jobs of all classes.
    pub all: Ratios,
    /// Completed jobs of all teams but the first.
    pub other_teams: Ratios,
    /// Starts that targets accepted.
    pub starts: HashMap<TaskId, u32>,
    /// Messages without effect.
    pub wasted: u64,
    /// Heartbeats and their replies.
    pub control: u64,
    /// Messages by which slots are borrowed and returned.
    pub loans: u64,
    /// Jobs that were measured.
    pub jobs: u64,
    /// Refused ones among them.
    pub refused: u64,
    /// Ones that ran and failed.
    pub failed: u64,
    /// Ones of which nobody knows whether they ran.
    pub lost: u64,
    /// Urgent jobs that arrived more than two seconds after the fault.
    pub late_urgent: u64,
    /// Ones among them that failed.
    pub late_urgent_failed: u64,
    /// What must not happen and did.
    pub violations: Vec<String>,
}

impl Tally {
    /// Makes empty counts.
    pub fn new() -> Self {
        Self {
            urgent: Ratios::new(),
            all: Ratios::new(),
            other_teams: Ratios::new(),
            starts: HashMap::new(),
            wasted: 0,
            control: 0,
            loans: 0,
            jobs: 0,
            refused: 0,
            failed: 0,
            lost: 0,
            late_urgent: 0,
            late_urgent_failed: 0,
            violations: Vec::new(),
        }
    }

    /// Counts the end of a job.
    pub fn end(&mut self, ending: Ending) {
        self.jobs += 1;
        let is_complete = ending.verdict == Verdict::Completed;
        if ending.is_urgent && ending.is_late {
            self.late_urgent += 1;
            self.late_urgent_failed += u64::from(!is_complete);
        }
        if is_complete {
            let ratio = ending.response.as_secs_f64() / ending.ideal.as_secs_f64();
            self.complete(ending, ratio);
            return;
        }
        if ending.is_urgent {
            self.urgent.add(MISSED_RATIO);
        }
        match ending.verdict {
            Verdict::NotRun => self.refused += 1,
            Verdict::MayHaveRun => self.lost += 1,
            Verdict::Failed | Verdict::Completed => self.failed += 1,
        }
    }

    fn complete(&mut self, ending: Ending, ratio: f64) {
        self.all.add(ratio);
        if ending.is_urgent {
            self.urgent.add(ratio);
        }
        if ending.is_other_team {
            self.other_teams.add(ratio);
        }
    }

    /// Notes something that must not happen.
    pub fn violate(&mut self, what: String) {
        self.violations.push(what);
    }

    /// Messages without effect for each start.
    pub fn wasted_per_start(&self) -> f64 {
        per(self.wasted, self.starts.len())
    }

    /// Heartbeats and their replies for each start.
    pub fn control_per_start(&self) -> f64 {
        per(self.control, self.starts.len())
    }

    /// Messages about loans for each start.
    pub fn loans_per_start(&self) -> f64 {
        per(self.loans, self.starts.len())
    }

    /// Most starts of one task.
    pub fn max_starts(&self) -> u32 {
        self.starts.values().copied().max().unwrap_or(0)
    }

    /// Share of late urgent jobs that did not complete.
    pub fn late_urgent_failed_share(&self) -> f64 {
        let jobs = usize::try_from(self.late_urgent).unwrap_or(usize::MAX);
        per(self.late_urgent_failed, jobs)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn per(count: u64, of: usize) -> f64 {
    count as f64 / (of.max(1) as f64)
}
