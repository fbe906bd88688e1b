//! Runs jobs end to end on loopback: three entry processes, stand-ins, score jobs, and a
//! resubmission through another entry VM. Exits with 0 only if every job completes and every task
//! starts once.

use std::process::ExitCode;
use std::time::{Duration, Instant};

use geraniumrelay_testkit::caller::{Caller, job_of};
use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::{Balancer, Cluster, ClusterPlan};

/// Entry processes of the demo.
const ENTRIES: usize = 3;

/// Targets of the demo.
const TARGETS: usize = 4;

/// Jobs submitted one after the other.
const JOBS: usize = 10;

/// Run times of a job's tasks, in milliseconds.
const RUN_MS: [u64; 3] = [60, 120, 200];

/// Seed of the balancer's choices.
const SEED: u64 = 1;

fn main() -> ExitCode {
    run_if_entry();
    let cluster = Cluster::start(ClusterPlan::new(ENTRIES, TARGETS));
    let balancer = Balancer::new(cluster.addresses(), SEED);
    let caller = Caller::new();
    let job = job_of("kiallitas-pont", "score", &RUN_MS);
    let ideal = Duration::from_millis(RUN_MS.into_iter().max().unwrap_or(0));
    let mut has_passed = true;
    for n in 0..JOBS {
        let entry = balancer.pick();
        let Some(ticket) = caller.tickets(entry, 1).pop() else {
            println!("job {n}: no ticket");
            return ExitCode::FAILURE;
        };
        let started = Instant::now();
        let first = caller.submit(entry, &ticket, &job);
        let response = started.elapsed();
        let again = caller.submit(balancer.pick(), &ticket, &job);
        println!(
            "job {n}: {} in {:.1} ms, {:.1} ms over the ideal; resubmitted: {}",
            first.verdict(),
            millis(response),
            millis(response.saturating_sub(ideal)),
            again.verdict(),
        );
        has_passed &= first.is_complete() && again.is_complete();
    }
    let starts = cluster.starts_per_task();
    let most = starts.values().max().copied().unwrap_or(0);
    println!(
        "{} tasks started; starts per task at most {most}",
        starts.len()
    );
    has_passed &= starts.len() == JOBS * RUN_MS.len() && most == 1;
    if has_passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
