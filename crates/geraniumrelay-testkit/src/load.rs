//! Open-loop load on running entry processes: arrival times don't depend on the replies.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use flume::Receiver;
use hdrhistogram::Histogram;

use crate::balancer::Balancer;
use crate::caller::{Caller, RequestOutcome};
use crate::workload::{PlannedJob, URGENT_KIND, Workload, is_valid_answer};

/// Histogram units per 1.0 of the ratio of response time to ideal response time.
pub const RATIO_SCALE: f64 = 1_000.0;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Parameters of a load run.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Seed of the arrival times and jobs.
    pub seed: u64,
    /// Mean arrival rate in jobs a second.
    pub rate: f64,
    /// Number of tasks of each job.
    pub tasks: usize,
    /// Period in which jobs arrive.
    pub time: Duration,
    /// Mean run time of ordinary tasks, before it is clamped.
    pub mean_run: Duration,
    /// Number of callers, each with one request at a time on a kept connection.
    pub callers: usize,
}

/// Counts and response times of a load run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Submitted jobs.
    pub jobs: u64,
    /// Jobs with a valid complete answer.
    pub complete: u64,
    /// Jobs with a valid answer that reports a failure.
    pub failed: u64,
    /// Jobs refused with the verdict `NotRun`.
    pub refused: u64,
    /// Jobs refused with any other verdict, so that it is unknown whether they ran.
    pub may_have_run: u64,
    /// Jobs without a final reply: no readable reply, or still in flight.
    pub no_reply: u64,
    /// Answers that are partial or belong to another submission.
    pub invalid: u64,
    /// Ticket requests, made where the previous reply brought no next ticket.
    pub drawn_tickets: u64,
    /// Ratio of response time to ideal of complete urgent jobs, in thousandths.
    pub urgent: Histogram<u64>,
    /// Ratio of response time to ideal of all complete jobs, in thousandths.
    pub all: Histogram<u64>,
    /// Response time minus ideal of all complete jobs, in microseconds.
    pub excess_us: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let empty =
            || Histogram::new(SIGNIFICANT_DIGITS).expect("3 significant digits are in range");
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
        // Adding never fails for auto-resizing histograms.
        let _ = self.urgent.add(&other.urgent);
        let _ = self.all.add(&other.all);
        let _ = self.excess_us.add(&other.excess_us);
    }

    fn count(
        &mut self,
        job: &PlannedJob,
        ticket: &str,
        outcome: &RequestOutcome,
        response_time: Duration,
    ) {
        self.jobs += 1;
        match outcome {
            RequestOutcome::Answer(answer)
                if !is_valid_answer(answer, ticket, job.run_ms.len()) =>
            {
                self.invalid += 1;
            }
            RequestOutcome::Answer(_) if outcome.is_complete() => {
                self.count_complete(job, response_time);
            }
            RequestOutcome::Answer(_) => self.failed += 1,
            RequestOutcome::Problem(problem) if problem.verdict == "NotRun" => self.refused += 1,
            RequestOutcome::Problem(_) => self.may_have_run += 1,
            RequestOutcome::InFlight | RequestOutcome::NoReply(_) => self.no_reply += 1,
        }
    }

    fn count_complete(&mut self, job: &PlannedJob, response_time: Duration) {
        self.complete += 1;
        let ideal = job.ideal_response_time();
        let ratio = response_time.as_secs_f64() / ideal.as_secs_f64();
        let thousandths = round_to_u64(ratio * RATIO_SCALE);
        record(&mut self.all, thousandths);
        if job.kind == URGENT_KIND {
            record(&mut self.urgent, thousandths);
        }
        let excess_secs = response_time.saturating_sub(ideal).as_secs_f64();
        record(&mut self.excess_us, round_to_u64(excess_secs * 1_000_000.0));
    }
}

fn record(histogram: &mut Histogram<u64>, value: u64) {
    // Recording never fails in an auto-resizing histogram.
    let _ = histogram.record(value);
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "response times are positive and far below u64::MAX"
)]
fn round_to_u64(value: f64) -> u64 {
    value.round() as u64
}

#[derive(Debug)]
struct Arrival {
    scheduled_at: Instant,
    job: PlannedJob,
}

/// Submits the load to the entry processes behind `balancer` and waits for all replies.
///
/// Response times count from the scheduled arrival, so they include the wait for a free caller.
pub fn run(plan: &LoadPlan, balancer: &Balancer) -> LoadReport {
    let (tx, rx) = flume::unbounded();
    let callers: Vec<_> = (0..plan.callers)
        .map(|_| {
            let (entry, rx) = (balancer.pick(), rx.clone());
            thread::spawn(move || run_caller(entry, &rx))
        })
        .collect();
    drop(rx);
    let mut workload = Workload::new(plan.seed, plan.mean_run);
    let started = Instant::now();
    let mut scheduled_at = started + workload.next_gap(plan.rate);
    while scheduled_at < started + plan.time {
        thread::sleep(scheduled_at.saturating_duration_since(Instant::now()));
        let job = workload.next_job(plan.tasks);
        if tx.send(Arrival { scheduled_at, job }).is_err() {
            break;
        }
        scheduled_at += workload.next_gap(plan.rate);
    }
    drop(tx);
    let mut report = LoadReport::default();
    for caller in callers {
        report.add(&caller.join().expect("caller thread does not panic"));
    }
    report
}

/// Submits arrivals one after another on one connection, each with the ticket that the previous
/// reply brought.
fn run_caller(entry: SocketAddr, rx: &Receiver<Arrival>) -> LoadReport {
    let caller = Caller::new();
    let mut report = LoadReport::default();
    let mut next_ticket = String::new();
    while let Ok(Arrival { scheduled_at, job }) = rx.recv() {
        if next_ticket.is_empty() {
            report.drawn_tickets += 1;
            next_ticket = caller.tickets(entry, 1).pop().unwrap_or_default();
        }
        let ticket = std::mem::take(&mut next_ticket);
        let outcome = caller.submit(entry, &ticket, &job.request(&ticket));
        report.count(&job, &ticket, &outcome, scheduled_at.elapsed());
        next_ticket = match outcome {
            RequestOutcome::Answer(answer) => answer.next_ticket,
            RequestOutcome::Problem(problem) => problem.next_ticket,
            RequestOutcome::InFlight | RequestOutcome::NoReply(_) => String::new(),
        };
    }
    report
}
