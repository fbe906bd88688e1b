//! Callers that resubmit after lost replies, send duplicates, and cancel; each request is recorded
//! for the audit.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Caller, RequestOutcome};
use crate::workload::{PlannedJob, URGENT_KIND};

/// Number of concurrent callers of a round.
const CALLERS: u64 = 10;

/// Maximum number of tasks of a job.
const MAX_TASKS: usize = 6;

/// Run times of tasks, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..200;

/// Deadline of a job, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// Maximum number of requests for a submission, not counting duplicates.
const MAX_ATTEMPTS: usize = 4;

/// Probability that a duplicate of a submission is sent while the first request is in flight.
const DUPLICATE_PROBABILITY: f64 = 0.1;

/// Pause of a caller between two jobs.
const JOB_PAUSE: Duration = Duration::from_millis(20);

/// A request and its outcome.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Ticket of the submission.
    pub ticket: String,
    /// Number of tasks of the job.
    pub tasks: usize,
    /// Outcome as the caller saw it.
    pub outcome: RequestOutcome,
}

/// A ticket and its job, kept so that the same request can be sent again.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Ticket of the submission.
    pub ticket: String,
    /// Job to submit under the ticket.
    pub job: PlannedJob,
}

#[derive(Debug, Default)]
struct RequestLog {
    attempts: Vec<Attempt>,
    in_flight: Vec<Submission>,
    finished: Vec<Submission>,
}

/// Callers of a round, with their request log and the list of entry processes; clones share both.
#[derive(Debug, Clone, Default)]
pub struct CallerPool {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    log: Arc<Mutex<RequestLog>>,
    is_stopped: Arc<AtomicBool>,
}

impl CallerPool {
    /// Sets the entry processes that callers choose from, as a balancer would.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Starts the callers; their choices are determined by `seed`.
    pub fn start(&self, seed: u64) -> Vec<JoinHandle<()>> {
        (0..CALLERS)
            .map(|n| {
                let pool = self.clone();
                let rng = StdRng::seed_from_u64(seed * CALLERS + n);
                thread::spawn(move || pool.run_caller(rng))
            })
            .collect()
    }

    /// Makes each caller end after its current job; does not wait.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }

    /// Cancels about half of the jobs in flight, each from a thread of its own.
    pub fn cancel_half(&self, seed: u64) -> Vec<JoinHandle<()>> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut in_flight = lock(&self.log).in_flight.clone();
        in_flight.retain(|_| rng.random());
        in_flight
            .into_iter()
            .map(|submission| {
                let (pool, entry) = (self.clone(), self.pick(&mut rng));
                thread::spawn(move || {
                    let outcome = Caller::new().cancel(entry, &submission.ticket);
                    pool.record(&submission, outcome);
                })
            })
            .collect()
    }

    /// Sends `count` duplicates of finished submissions, as a slow network would deliver them, or
    /// fewer if fewer submissions have finished. A submission may be chosen more than once.
    pub fn send_late_duplicates(&self, seed: u64, count: usize) {
        let mut rng = StdRng::seed_from_u64(seed);
        let finished = lock(&self.log).finished.clone();
        let caller = Caller::new();
        for _ in 0..count.min(finished.len()) {
            let submission = &finished[rng.random_range(0..finished.len())];
            let outcome = self.submit(&caller, submission, &mut rng);
            self.record(submission, outcome);
        }
    }

    /// All requests with an outcome so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.log).attempts.clone()
    }

    fn run_caller(&self, mut rng: StdRng) {
        let caller = Caller::new();
        while !self.is_stopped.load(Ordering::SeqCst) {
            let Some(ticket) = caller.tickets(self.pick(&mut rng), 1).pop() else {
                thread::sleep(JOB_PAUSE);
                continue;
            };
            let job = draw_job(&mut rng);
            self.submit_until_final(&caller, &Submission { ticket, job }, &mut rng);
            thread::sleep(JOB_PAUSE);
        }
    }

    /// Submits until the outcome is final or the maximum number of attempts is reached. An outcome
    /// is not final if there was no reply or the verdict is `MayHaveRun`.
    fn submit_until_final(&self, caller: &Caller, submission: &Submission, rng: &mut StdRng) {
        lock(&self.log).in_flight.push(submission.clone());
        let duplicate = rng.random_bool(DUPLICATE_PROBABILITY).then(|| {
            let (pool, submission) = (self.clone(), submission.clone());
            let mut rng = StdRng::seed_from_u64(rng.random());
            thread::spawn(move || {
                let outcome = pool.submit(&Caller::new(), &submission, &mut rng);
                pool.record(&submission, outcome);
            })
        });
        for _ in 0..MAX_ATTEMPTS {
            let outcome = self.submit(caller, submission, rng);
            let is_retryable =
                matches!(outcome, RequestOutcome::NoReply(_)) || outcome.verdict() == "MayHaveRun";
            self.record(submission, outcome);
            if !is_retryable {
                break;
            }
        }
        if let Some(duplicate) = duplicate {
            // If the thread panicked, its request would be missing from the audit; its calls never
            // panic.
            let _ = duplicate.join();
        }
        let mut log = lock(&self.log);
        log.in_flight
            .retain(|open| open.ticket != submission.ticket);
        log.finished.push(submission.clone());
    }

    fn submit(&self, caller: &Caller, submission: &Submission, rng: &mut StdRng) -> RequestOutcome {
        let mut job = submission.job.request(&submission.ticket);
        job.deadline_ms = Some(DEADLINE_MS);
        caller.submit(self.pick(rng), &submission.ticket, &job)
    }

    fn record(&self, submission: &Submission, outcome: RequestOutcome) {
        lock(&self.log).attempts.push(Attempt {
            ticket: submission.ticket.clone(),
            tasks: submission.job.run_ms.len(),
            outcome,
        });
    }

    fn pick(&self, rng: &mut StdRng) -> SocketAddr {
        let entries = lock(&self.entries);
        entries[rng.random_range(0..entries.len())]
    }
}

fn draw_job(rng: &mut StdRng) -> PlannedJob {
    let tasks = rng.random_range(1..=MAX_TASKS);
    PlannedJob {
        kind: URGENT_KIND,
        run_ms: (0..tasks).map(|_| rng.random_range(RUN_MS)).collect(),
    }
}

fn lock<T>(value: &Mutex<T>) -> MutexGuard<'_, T> {
    value.lock().unwrap_or_else(PoisonError::into_inner)
}
