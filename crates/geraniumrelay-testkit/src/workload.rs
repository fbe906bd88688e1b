//! Seeded workload: arrivals, run times, jobs whose outputs name their submission.

use std::time::Duration;

use geraniumrelay_wire::{JobAnswer, JobRequest, TaskRequest};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};

/// Shortest run time of a task, in milliseconds.
const MIN_RUN_MS: u64 = 50;

/// Longest run time of an ordinary task, in milliseconds.
const MAX_RUN_MS: u64 = 1_000;

/// Run times of the few long tasks, in milliseconds.
const LONG_RUN_MS: std::ops::Range<u64> = 2_000..5_000;

/// Share of long tasks.
const LONG_SHARE: f64 = 0.02;

/// Share of urgent jobs.
const URGENT_SHARE: f64 = 0.2;

/// Service of the sample sheet.
const SERVICE: &str = "kiallitas-pont";

/// Urgent request kind of the sample sheet.
pub const URGENT_KIND: &str = "score";

/// Bulk request kind of the sample sheet.
pub const BULK_KIND: &str = "catalogue";

/// One job to submit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedJob {
    /// Its request kind.
    pub kind: &'static str,
    /// Run time of each task, in milliseconds.
    pub run_ms: Vec<u64>,
}

impl PlannedJob {
    /// The job under a ticket; each task outputs the ticket and its own index.
    pub fn under(&self, ticket: &str) -> JobRequest {
        let tasks = self.run_ms.iter().enumerate().map(|(i, ms)| TaskRequest {
            payload: format!("run:{ms}:{}", output(ticket, i)),
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

    /// Time of the job on healthy idle targets.
    pub fn ideal(&self) -> Duration {
        Duration::from_millis(self.run_ms.iter().copied().max().unwrap_or(0))
    }
}

fn output(ticket: &str, index: usize) -> String {
    format!("{ticket}.{index}")
}

/// Whether an answer is the one to this ticket, and complete only with the output of every task.
pub fn is_own_and_whole(answer: &JobAnswer, ticket: &str, tasks: usize) -> bool {
    if answer.ticket != ticket || answer.tasks.len() != tasks {
        return false;
    }
    let is_complete = answer.status == "complete";
    answer.tasks.iter().enumerate().all(|(i, task)| {
        let is_own = task.output == output(ticket, i);
        if is_complete {
            is_own && task.verdict == "Completed"
        } else {
            is_own || task.output.is_empty()
        }
    })
}

/// Source of arrivals and jobs that follows from its seed.
#[derive(Debug)]
pub struct Workload {
    rng: StdRng,
    run: Exp<f64>,
}

impl Workload {
    /// Makes a workload whose ordinary run times are exponential with a mean of `mean_run`.
    ///
    /// # Panics
    /// Where the mean is zero.
    pub fn new(seed: u64, mean_run: Duration) -> Self {
        let run = Exp::new(1.0 / mean_run.as_secs_f64()).expect("a mean above zero");
        let rng = StdRng::seed_from_u64(seed);
        Self { rng, run }
    }

    /// Time to the next arrival at `rate` arrivals a second.
    pub fn gap(&mut self, rate: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() / rate)
    }

    /// The next job, of `tasks` tasks.
    pub fn job(&mut self, tasks: usize) -> PlannedJob {
        let is_urgent = self.rng.random_bool(URGENT_SHARE);
        let kind = if is_urgent { URGENT_KIND } else { BULK_KIND };
        let run_ms = (0..tasks).map(|_| self.run_ms()).collect();
        PlannedJob { kind, run_ms }
    }

    fn run_ms(&mut self) -> u64 {
        if self.rng.random_bool(LONG_SHARE) {
            return self.rng.random_range(LONG_RUN_MS);
        }
        let run = Duration::from_secs_f64(self.run.sample(&mut self.rng));
        let ms = u64::try_from(run.as_millis()).unwrap_or(MAX_RUN_MS);
        ms.clamp(MIN_RUN_MS, MAX_RUN_MS)
    }
}
