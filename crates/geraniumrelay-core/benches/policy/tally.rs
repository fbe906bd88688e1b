//! Counters and response times of one simulation run.

use std::collections::HashMap;
use std::time::Duration;

use geraniumrelay_core::{TaskId, Verdict};
use hdrhistogram::Histogram;

/// Histogram value of a ratio of 1; the histogram holds integers only.
const RATIO_SCALE: f64 = 10_000.0;

/// Ratio recorded for an urgent job that was not completed.
const UNCOMPLETED_RATIO: f64 = 1_000.0;

/// Histogram of the response times of a group of jobs, as ratios to the ideal response time.
#[derive(Debug)]
pub struct ResponseRatios {
    histogram: Histogram<u64>,
}

impl ResponseRatios {
    /// Creates an empty histogram with three significant digits.
    pub fn new() -> Self {
        Self {
            histogram: Histogram::new(3).expect("three significant digits are valid"),
        }
    }

    /// Adds the ratio of one job.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "small and positive"
    )]
    pub fn add(&mut self, ratio: f64) {
        let scaled = (ratio * RATIO_SCALE) as u64;
        self.histogram
            .record(scaled)
            .expect("histogram resizes automatically");
    }

    /// Returns the mean ratio; 0 for an empty histogram.
    pub fn mean(&self) -> f64 {
        self.histogram.mean() / RATIO_SCALE
    }

    /// Returns the 99th percentile of the ratios.
    #[expect(
        clippy::cast_precision_loss,
        reason = "three significant digits are kept"
    )]
    pub fn p99(&self) -> f64 {
        self.histogram.value_at_quantile(0.99) as f64 / RATIO_SCALE
    }
}

/// Result of one job as its caller sees it.
#[derive(Debug, Clone, Copy)]
pub struct JobResult {
    /// Verdict of the first reply to the submission.
    pub verdict: Verdict,
    /// Whether the request kind is urgent.
    pub is_urgent: bool,
    /// Whether the job belongs to a team other than the first.
    pub is_other_team: bool,
    /// Whether the job arrived more than 2 s after the start of the fault.
    pub is_after_fault: bool,
    /// Time from the request to the reply at the caller.
    pub response_time: Duration,
    /// Response time without queueing: longest run time plus network delays.
    pub ideal_time: Duration,
}

/// Counters and response times of one run.
#[derive(Debug)]
pub struct RunStats {
    /// Urgent jobs; a job that was not completed counts with a ratio of 1,000.
    pub urgent: ResponseRatios,
    /// Completed jobs of all classes.
    pub all: ResponseRatios,
    /// Completed jobs of all teams but the first.
    pub other_teams: ResponseRatios,
    /// Number of starts of each task that targets accepted.
    pub starts: HashMap<TaskId, u32>,
    /// Messages without effect: refused starts, stops of ended tasks, refused borrow requests and
    /// requests to a crashed VM.
    pub wasted_messages: u64,
    /// Heartbeats between entry VMs, and the replies.
    pub heartbeat_messages: u64,
    /// Borrow requests, their replies, and returns of slots.
    pub loan_messages: u64,
    /// Measured jobs: arrived after the warm-up and not cancelled.
    pub jobs: u64,
    /// Measured jobs that did not run.
    pub refused: u64,
    /// Measured jobs that ran and failed.
    pub failed: u64,
    /// Measured jobs that may have run.
    pub outcome_unknown: u64,
    /// Urgent jobs that arrived more than 2 s after the start of the fault.
    pub urgent_after_fault: u64,
    /// Jobs of `urgent_after_fault` that were not completed.
    pub urgent_after_fault_failed: u64,
    /// Descriptions of broken invariants.
    pub violations: Vec<String>,
}

impl RunStats {
    /// Creates statistics with all counters at zero.
    pub fn new() -> Self {
        Self {
            urgent: ResponseRatios::new(),
            all: ResponseRatios::new(),
            other_teams: ResponseRatios::new(),
            starts: HashMap::new(),
            wasted_messages: 0,
            heartbeat_messages: 0,
            loan_messages: 0,
            jobs: 0,
            refused: 0,
            failed: 0,
            outcome_unknown: 0,
            urgent_after_fault: 0,
            urgent_after_fault_failed: 0,
            violations: Vec::new(),
        }
    }

    /// Adds the result of a job.
    pub fn add_job(&mut self, job_result: JobResult) {
        self.jobs += 1;
        let is_complete = job_result.verdict == Verdict::Completed;
        if job_result.is_urgent && job_result.is_after_fault {
            self.urgent_after_fault += 1;
            self.urgent_after_fault_failed += u64::from(!is_complete);
        }
        if is_complete {
            let ratio =
                job_result.response_time.as_secs_f64() / job_result.ideal_time.as_secs_f64();
            self.add_completed(job_result, ratio);
            return;
        }
        if job_result.is_urgent {
            self.urgent.add(UNCOMPLETED_RATIO);
        }
        match job_result.verdict {
            Verdict::NotRun => self.refused += 1,
            Verdict::MayHaveRun => self.outcome_unknown += 1,
            Verdict::Failed | Verdict::Completed => self.failed += 1,
        }
    }

    fn add_completed(&mut self, job_result: JobResult, ratio: f64) {
        self.all.add(ratio);
        if job_result.is_urgent {
            self.urgent.add(ratio);
        }
        if job_result.is_other_team {
            self.other_teams.add(ratio);
        }
    }

    /// Records a broken invariant, which fails the check of the run.
    pub fn add_violation(&mut self, description: String) {
        self.violations.push(description);
    }

    /// Messages without effect per started task.
    pub fn wasted_messages_per_start(&self) -> f64 {
        ratio_of(self.wasted_messages, self.starts.len())
    }

    /// Heartbeats and their replies per started task.
    pub fn heartbeat_messages_per_start(&self) -> f64 {
        ratio_of(self.heartbeat_messages, self.starts.len())
    }

    /// Borrow and return messages per started task.
    pub fn loan_messages_per_start(&self) -> f64 {
        ratio_of(self.loan_messages, self.starts.len())
    }

    /// Maximum number of accepted starts of one task; above 1 breaks an invariant.
    pub fn max_starts(&self) -> u32 {
        self.starts.values().copied().max().unwrap_or(0)
    }

    /// Fraction of the urgent jobs after the fault that were not completed.
    pub fn urgent_failed_share_after_fault(&self) -> f64 {
        let jobs = usize::try_from(self.urgent_after_fault).unwrap_or(usize::MAX);
        ratio_of(self.urgent_after_fault_failed, jobs)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn ratio_of(count: u64, of: usize) -> f64 {
    count as f64 / (of.max(1) as f64)
}
