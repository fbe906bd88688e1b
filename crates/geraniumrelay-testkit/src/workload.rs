//! Seeded workload: arrival times, run times, and jobs whose task outputs identify the submission.

use std::time::Duration;

use geraniumrelay_wire::{JobAnswer, JobRequest, TaskRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Shortest run time of an ordinary task, in milliseconds.
const MIN_RUN_MS: u64 = 50;

/// Longest run time of an ordinary task, in milliseconds.
const MAX_RUN_MS: u64 = 1_000;

/// Run times of long tasks, in milliseconds.
const LONG_RUN_MS: std::ops::Range<u64> = 2_000..5_000;

/// Probability that a task is long.
const LONG_TASK_PROBABILITY: f64 = 0.02;

/// Probability that a job is urgent.
const URGENT_JOB_PROBABILITY: f64 = 0.2;

/// Service of the sample sheet.
const SERVICE: &str = "kiallitas-pont";

/// Urgent request kind of the sample sheet.
pub const URGENT_KIND: &str = "score";

/// Bulk request kind of the sample sheet.
pub const BULK_KIND: &str = "catalogue";

/// A job to submit, without its ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedJob {
    /// Request kind: [`URGENT_KIND`] or [`BULK_KIND`].
    pub kind: &'static str,
    /// Run time of each task, in milliseconds.
    pub run_ms: Vec<u64>,
}

impl PlannedJob {
    /// Request of the job under `ticket`; each task outputs the ticket and the task's index.
    pub fn request(&self, ticket: &str) -> JobRequest {
        let tasks = self.run_ms.iter().enumerate().map(|(i, ms)| TaskRequest {
            payload: format!("run:{ms}:{}", expected_output(ticket, i)),
            expected_ms: None,
        });
        JobRequest {
            service: SERVICE.to_owned(),
            kind: self.kind.to_owned(),
            team: None,
            deadline_ms: None,
            tasks: tasks.collect(),
        }
    }

    /// Response time on healthy idle targets: the longest run time of the tasks.
    pub fn ideal_response_time(&self) -> Duration {
        Duration::from_millis(self.run_ms.iter().copied().max().unwrap_or(0))
    }
}

fn expected_output(ticket: &str, index: usize) -> String {
    format!("{ticket}.{index}")
}

/// Whether `answer` belongs to `ticket` and reports every task. A complete answer must have the
/// output of each task; any other answer may leave outputs empty.
pub fn is_valid_answer(answer: &JobAnswer, ticket: &str, tasks: usize) -> bool {
    if answer.ticket != ticket || answer.tasks.len() != tasks {
        return false;
    }
    let is_complete = answer.status == "complete";
    answer.tasks.iter().enumerate().all(|(i, task)| {
        let is_own = task.output == expected_output(ticket, i);
        if is_complete {
            is_own && task.verdict == "Completed"
        } else {
            is_own || task.output.is_empty()
        }
    })
}

/// Generator of arrivals and jobs, determined by its seed.
#[derive(Debug)]
pub struct Workload {
    rng: StdRng,
    run_time: Exp<f64>,
}

impl Workload {
    /// Makes a workload whose ordinary run times are exponentially distributed with a mean of
    /// `mean_run`, before they are clamped.
    ///
    /// # Panics
    /// If `mean_run` is zero.
    pub fn new(seed: u64, mean_run: Duration) -> Self {
        let run_time = Exp::new(1.0 / mean_run.as_secs_f64()).expect("a mean run time above zero");
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, run_time }
    }

    /// Time to the next arrival of a Poisson process with `rate` arrivals a second.
    pub fn next_gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    /// Generates a job with `tasks` tasks.
    pub fn next_job(&mut self, tasks: usize) -> PlannedJob {
        let is_urgent = self.rng.random_bool(URGENT_JOB_PROBABILITY);
        let kind = if is_urgent { URGENT_KIND } else { BULK_KIND };
        let run_ms = (0..tasks).map(|_| self.next_run_ms()).collect();
        PlannedJob { kind, run_ms }
    }

    fn next_run_ms(&mut self) -> u64 {
        if self.rng.random_bool(LONG_TASK_PROBABILITY) {
            return self.rng.random_range(LONG_RUN_MS);
        }
        let run_time = Duration::from_secs_f64(self.run_time.sample(&mut self.rng));
        let ms = u64::try_from(run_time.as_millis()).unwrap_or(MAX_RUN_MS);
        ms.clamp(MIN_RUN_MS, MAX_RUN_MS)
    }
}
