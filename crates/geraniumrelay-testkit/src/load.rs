//! Open-loop load on running entry processes: arrivals keep their times, whatever the answers do.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use flume::Receiver;
use hdrhistogram::Histogram;

use crate::balancer::Balancer;
use crate::caller::{Caller, RequestOutcome};
use crate::workload::{PlannedJob, URGENT_KIND, Workload, is_own_and_whole};

/// Ratios of response to ideal are kept in thousandths.
pub const RATIO_SCALE: f64 = 1_000.0;

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Load to make.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Arrivals follow from it.
    pub seed: u64,
    /// Jobs a second.
    pub rate: f64,
    /// Tasks of each job.
    pub tasks: usize,
    /// Time in which jobs arrive.
    pub time: Duration,
    /// Mean run time of ordinary tasks.
    pub mean_run: Duration,
    /// Callers, each with one request at a time and a kept connection.
    pub callers: usize,
}

/// What came of the jobs.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Jobs that arrived.
    pub jobs: u64,
    /// Complete answers.
    pub complete: u64,
    /// Answers that a job failed.
    pub failed: u64,
    /// Refusals that are final: the job did not run.
    pub refused: u64,
    /// Refusals that leave open whether the job ran.
    pub may_have_run: u64,
    /// Requests without a reply.
    pub no_reply: u64,
    /// Answers that are partial or another submission's.
    pub invalid: u64,
    /// Tickets that were drawn by a request of their own.
    pub drawn_tickets: u64,
    /// Response over ideal of complete urgent jobs, in thousandths.
    pub urgent: Histogram<u64>,
    /// Response over ideal of all complete jobs, in thousandths.
    pub all: Histogram<u64>,
    /// Response of complete jobs beyond the ideal, in microseconds.
    pub excess_us: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let empty = || Histogram::new(DIGITS).expect("a histogram of 3 digits");
        Self {
            jobs: 0,
            complete: 0,
            failed: 0,
            refused: 0,
            may_have_run: 0,
            no_reply: 0,
            invalid: 0,
            drawn_tickets: 0,
            urgent: empty(),
            all: empty(),
            excess_us: empty(),
        }
    }
}

impl LoadReport {
    fn add(&mut self, other: &Self) {
        self.jobs += other.jobs;
        self.complete += other.complete;
        self.failed += other.failed;
        self.refused += other.refused;
        self.may_have_run += other.may_have_run;
        self.no_reply += other.no_reply;
        self.invalid += other.invalid;
        self.drawn_tickets += other.drawn_tickets;
        // Histograms of one shape that grow by themselves can always be added.
        let _ = self.urgent.add(&other.urgent);
        let _ = self.all.add(&other.all);
        let _ = self.excess_us.add(&other.excess_us);
    }

    fn count(&mut self, job: &PlannedJob, ticket: &str, told: &RequestOutcome, response: Duration) {
        self.jobs += 1;
        match told {
            RequestOutcome::Answer(answer)
                if !is_own_and_whole(answer, ticket, job.run_ms.len()) =>
            {
                self.invalid += 1;
            }
            RequestOutcome::Answer(_) if told.is_complete() => self.count_complete(job, response),
            RequestOutcome::Answer(_) => self.failed += 1,
            RequestOutcome::Problem(problem) if problem.verdict == "NotRun" => self.refused += 1,
            RequestOutcome::Problem(_) => self.may_have_run += 1,
            RequestOutcome::InFlight | RequestOutcome::NoReply(_) => self.no_reply += 1,
        }
    }

    fn count_complete(&mut self, job: &PlannedJob, response: Duration) {
        self.complete += 1;
        let ideal = job.ideal();
        let ratio = response.as_secs_f64() / ideal.as_secs_f64();
        let thousandths = to_whole(ratio * RATIO_SCALE);
        record(&mut self.all, thousandths);
        if job.kind == URGENT_KIND {
            record(&mut self.urgent, thousandths);
        }
        let beyond = response.saturating_sub(ideal).as_secs_f64();
        record(&mut self.excess_us, to_whole(beyond * 1_000_000.0));
    }
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    // A histogram that grows by itself takes any value.
    let _ = histogram.record(value);
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "responses are positive and far below the bounds of u64"
)]
fn to_whole(value: f64) -> u64 {
    value.round() as u64
}

#[derive(Debug)]
struct Arrival {
    at: Instant,
    job: PlannedJob,
}

/// Makes the load on entry processes behind a balancer and waits for every reply.
pub fn run(plan: &LoadPlan, balancer: &Balancer) -> LoadReport {
    let (tx, rx) = flume::unbounded();
    let callers: Vec<_> = (0..plan.callers)
        .map(|_| {
            let (entry, rx) = (balancer.pick(), rx.clone());
            thread::spawn(move || call(entry, &rx))
        })
        .collect();
    drop(rx);
    let mut workload = Workload::new(plan.seed, plan.mean_run);
    let started = Instant::now();
    let mut at = started + workload.gap(plan.rate);
    while at < started + plan.time {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let job = workload.job(plan.tasks);
        if tx.send(Arrival { at, job }).is_err() {
            break;
        }
        at += workload.gap(plan.rate);
    }
    drop(tx);
    let mut report = LoadReport::default();
    for caller in callers {
        report.add(&caller.join().expect("a caller ends"));
    }
    report
}

/// One caller: keeps its connection and its next ticket.
fn call(entry: SocketAddr, rx: &Receiver<Arrival>) -> LoadReport {
    let caller = Caller::new();
    let mut report = LoadReport::default();
    let mut next_ticket = String::new();
    while let Ok(Arrival { at, job }) = rx.recv() {
        if next_ticket.is_empty() {
            report.drawn_tickets += 1;
            next_ticket = caller.tickets(entry, 1).pop().unwrap_or_default();
        }
        let ticket = std::mem::take(&mut next_ticket);
        let told = caller.submit(entry, &ticket, &job.under(&ticket));
        report.count(&job, &ticket, &told, at.elapsed());
        next_ticket = match told {
            RequestOutcome::Answer(answer) => answer.next_ticket,
            RequestOutcome::Problem(problem) => problem.next_ticket,
            RequestOutcome::InFlight | RequestOutcome::NoReply(_) => String::new(),
        };
    }
    report
}
