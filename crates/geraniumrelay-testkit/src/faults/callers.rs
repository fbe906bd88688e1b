//! Callers that resubmit what they believe lost, send copies, and cancel; every request is noted.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::caller::{Caller, RequestOutcome};
use crate::workload::{PlannedJob, URGENT_KIND};

/// Callers at work in a round.
const CALLERS: u64 = 10;

/// Most tasks of a job.
const MAX_TASKS: usize = 6;

/// Run times of tasks, in milliseconds.
const RUN_MS: std::ops::Range<u64> = 20..200;

/// Time a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 4_000;

/// Times that a submission is sent at most.
const MAX_ATTEMPTS: usize = 4;

/// Share of submissions that are sent a second time while the first is in flight.
const COPY_SHARE: f64 = 0.1;

/// Rest of a caller between two jobs.
const REST: Duration = Duration::from_millis(20);

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Name of the submission.
    pub ticket: String,
    /// Tasks of its job.
    pub tasks: usize,
    /// What the caller learned.
    pub told: RequestOutcome,
}

/// A submission, kept so that it can be sent again.
#[derive(Debug, Clone)]
pub struct Submission {
    /// Its ticket.
    pub ticket: String,
    /// Its job.
    pub job: PlannedJob,
}

#[derive(Debug, Default)]
struct Notes {
    attempts: Vec<Attempt>,
    in_flight: Vec<Submission>,
    sent: Vec<Submission>,
}

/// What the callers of a round share.
#[derive(Debug, Clone, Default)]
pub struct Desk {
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    notes: Arc<Mutex<Notes>>,
    is_over: Arc<AtomicBool>,
}

impl Desk {
    /// Sets the entry processes that the balancer offers.
    pub fn offer(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Starts the callers of a round.
    pub fn open(&self, seed: u64) -> Vec<JoinHandle<()>> {
        (0..CALLERS)
            .map(|n| {
                let desk = self.clone();
                let rng = StdRng::seed_from_u64(seed * CALLERS + n);
                thread::spawn(move || desk.call(rng))
            })
            .collect()
    }

    /// Lets the callers end after the job they are at.
    pub fn close(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Cancels about half of the jobs in flight, each by a caller of its own.
    pub fn cancel_half(&self, seed: u64) -> Vec<JoinHandle<()>> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut in_flight = lock(&self.notes).in_flight.clone();
        in_flight.retain(|_| rng.random());
        in_flight
            .into_iter()
            .map(|submission| {
                let (desk, entry) = (self.clone(), self.pick(&mut rng));
                thread::spawn(move || {
                    let told = Caller::new().cancel(entry, &submission.ticket);
                    desk.note(&submission, told);
                })
            })
            .collect()
    }

    /// Sends late copies of some submissions, as a slow network would.
    pub fn send_late_copies(&self, seed: u64, count: usize) {
        let mut rng = StdRng::seed_from_u64(seed);
        let sent = lock(&self.notes).sent.clone();
        let caller = Caller::new();
        for _ in 0..count.min(sent.len()) {
            let submission = &sent[rng.random_range(0..sent.len())];
            let told = self.submit(&caller, submission, &mut rng);
            self.note(submission, told);
        }
    }

    /// Every request so far.
    pub fn attempts(&self) -> Vec<Attempt> {
        lock(&self.notes).attempts.clone()
    }

    fn call(&self, mut rng: StdRng) {
        let caller = Caller::new();
        while !self.is_over.load(Ordering::SeqCst) {
            let Some(ticket) = caller.tickets(self.pick(&mut rng), 1).pop() else {
                thread::sleep(REST);
                continue;
            };
            let job = draw_job(&mut rng);
            self.see_through(&caller, &Submission { ticket, job }, &mut rng);
            thread::sleep(REST);
        }
    }

    /// Submits until there is an answer or a final refusal, or the attempts are used up.
    fn see_through(&self, caller: &Caller, submission: &Submission, rng: &mut StdRng) {
        lock(&self.notes).in_flight.push(submission.clone());
        let copy = rng.random_bool(COPY_SHARE).then(|| {
            let (desk, submission) = (self.clone(), submission.clone());
            let mut rng = StdRng::seed_from_u64(rng.random());
            thread::spawn(move || {
                let told = desk.submit(&Caller::new(), &submission, &mut rng);
                desk.note(&submission, told);
            })
        });
        for _ in 0..MAX_ATTEMPTS {
            let told = self.submit(caller, submission, rng);
            let is_open =
                matches!(told, RequestOutcome::NoReply(_)) || told.verdict() == "MayHaveRun";
            self.note(submission, told);
            if !is_open {
                break;
            }
        }
        if let Some(copy) = copy {
            // A copy that panics leaves no note, which the audit would miss; its calls never do.
            let _ = copy.join();
        }
        let mut notes = lock(&self.notes);
        notes
            .in_flight
            .retain(|open| open.ticket != submission.ticket);
        notes.sent.push(submission.clone());
    }

    fn submit(&self, caller: &Caller, submission: &Submission, rng: &mut StdRng) -> RequestOutcome {
        let mut job = submission.job.under(&submission.ticket);
        job.deadline_ms = Some(DEADLINE_MS);
        caller.submit(self.pick(rng), &submission.ticket, &job)
    }

    fn note(&self, submission: &Submission, told: RequestOutcome) {
        lock(&self.notes).attempts.push(Attempt {
            ticket: submission.ticket.clone(),
            tasks: submission.job.run_ms.len(),
            told,
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
