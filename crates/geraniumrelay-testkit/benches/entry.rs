//! One entry process on loopback: overhead of a task at a steady rate, and the highest rate.
//!
//! Overhead is the response time less the longest task time of the job.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, RequestOutcome, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Cluster, ClusterPlan};
use hdrhistogram::Histogram;

/// Starts a second of the steady part.
const STEADY_STARTS_PER_S: u64 = 500;

/// Tasks of each job of the steady part.
const STEADY_TASKS: usize = 2;

/// Run time of its tasks, in milliseconds.
const STEADY_RUN_MS: u64 = 50;

/// Callers that share the steady rate.
const STEADY_CALLERS: u64 = 50;

/// Tasks of each job of the highest-rate part.
const PEAK_TASKS: usize = 10;

/// Run time of its tasks, in milliseconds.
const PEAK_RUN_MS: u64 = 20;

/// Callers of the highest-rate part, each with one job in flight.
const PEAK_CALLERS: usize = 64;

/// Time that each part is measured.
const PART_TIME: Duration = Duration::from_secs(8);

/// Time before each part that is not measured.
const WARM_UP: Duration = Duration::from_secs(2);

/// Largest time that the histograms hold, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Targets behind the entry process.
const TARGETS: usize = 16;

/// Slots of each target.
const SLOTS: u32 = 64;

fn main() {
    run_if_entry();
    let cluster = Cluster::start(plan());
    let entry = cluster.entries[0].address;
    report_steady(&steady(entry));
    report_peak(entry);
}

fn plan() -> ClusterPlan {
    let header = "service,data_centre,workers,slots,connections,request_kind,urgency,idempotent,\
                  deadline_ms,state,team,team_share";
    let row =
        format!("kiallitas-pont,szeged,{TARGETS},{SLOTS},{SLOTS},score,urgent,no,10000,active,,");
    let mut plan = ClusterPlan::new(1, TARGETS);
    plan.slots = SLOTS;
    plan.sheet = format!("{header}\n{row}\n");
    plan
}

/// Overheads in microseconds at a steady rate of arrivals.
fn steady(entry: SocketAddr) -> Histogram<u64> {
    let jobs_per_s = STEADY_STARTS_PER_S / STEADY_TASKS as u64;
    let interval = Duration::from_secs(1) * u32::try_from(STEADY_CALLERS).unwrap_or(1)
        / u32::try_from(jobs_per_s).unwrap_or(1);
    let start = Instant::now();
    let callers: Vec<_> = (0..STEADY_CALLERS)
        .map(|n| {
            let first = start
                + interval * u32::try_from(n).unwrap_or(0)
                    / u32::try_from(STEADY_CALLERS).unwrap_or(1);
            thread::spawn(move || steady_caller(entry, first, interval))
        })
        .collect();
    let mut all = histogram();
    for caller in callers {
        all.add(caller.join().expect("caller"))
            .expect("same bounds");
    }
    all
}

/// One caller whose jobs are due at fixed times, whether or not earlier answers were late.
fn steady_caller(entry: SocketAddr, first: Instant, interval: Duration) -> Histogram<u64> {
    let caller = Caller::new();
    let job = job_of("kiallitas-pont", "score", &[STEADY_RUN_MS; STEADY_TASKS]);
    let ideal = Duration::from_millis(STEADY_RUN_MS);
    let mut overheads = histogram();
    let mut due = first;
    let mut ticket = String::new();
    while due < first + WARM_UP + PART_TIME {
        if ticket.is_empty() {
            ticket = caller.tickets(entry, 1).remove(0);
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let RequestOutcome::Answer(answer) = caller.submit(entry, &ticket, &job) else {
            panic!("the steady rate is served");
        };
        let overhead = due.elapsed().saturating_sub(ideal);
        if due >= first + WARM_UP {
            overheads.saturating_record(micros(overhead));
        }
        ticket = answer.next_ticket;
        due += interval;
    }
    overheads
}

fn report_steady(overheads: &Histogram<u64>) {
    println!(
        "steady {STEADY_STARTS_PER_S} starts/s: {} jobs, overhead p50 {:.2} ms, p99 {:.2} ms, \
         most {:.2} ms",
        overheads.len(),
        as_millis(overheads.value_at_quantile(0.5)),
        as_millis(overheads.value_at_quantile(0.99)),
        as_millis(overheads.max()),
    );
}

fn report_peak(entry: SocketAddr) {
    let completed = AtomicU64::new(0);
    let others = AtomicU64::new(0);
    let until = Instant::now() + WARM_UP + PART_TIME;
    let measured = thread::scope(|scope| {
        for _ in 0..PEAK_CALLERS {
            scope.spawn(|| peak_caller(entry, until, &completed, &others));
        }
        thread::sleep(WARM_UP);
        let (from, before) = (Instant::now(), completed.load(Ordering::Relaxed));
        thread::sleep(PART_TIME);
        let jobs = completed.load(Ordering::Relaxed) - before;
        Duration::as_secs_f64(&from.elapsed()).recip() * jobs as f64 * PEAK_TASKS as f64
    });
    println!(
        "highest rate: {measured:.0} starts/s with {PEAK_CALLERS} callers, jobs of {PEAK_TASKS} \
         tasks of {PEAK_RUN_MS} ms; {} jobs not complete",
        others.load(Ordering::Relaxed),
    );
}

fn peak_caller(entry: SocketAddr, until: Instant, completed: &AtomicU64, others: &AtomicU64) {
    let caller = Caller::new();
    let job = job_of("kiallitas-pont", "score", &[PEAK_RUN_MS; PEAK_TASKS]);
    let mut ticket = String::new();
    while Instant::now() < until {
        if ticket.is_empty() {
            ticket = caller.tickets(entry, 1).pop().unwrap_or_default();
        }
        let told = caller.submit(entry, &ticket, &job);
        let counter = if told.is_complete() {
            completed
        } else {
            others
        };
        counter.fetch_add(1, Ordering::Relaxed);
        ticket = match told {
            RequestOutcome::Answer(answer) => answer.next_ticket,
            _ => String::new(),
        };
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("bounds of the histogram")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS)
}

fn as_millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}
