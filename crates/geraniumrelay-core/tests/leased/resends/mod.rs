//! Callers whose connection breaks without an answer send their job again, through another entry VM that knows
//! nothing of the first copy and may choose another cell.

mod former_leases;
mod former_schedulers;
mod late_answers;
mod longer_leases;
mod refusals;
mod returns;
mod search;
mod takeovers;
mod unanswered_stops;
mod withdrawals;

use std::time::Duration;

use geraniumrelay_core::leased::{JobId, JobOutcome};

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// A job of one task that outlasts the time after which its caller sends it again.
fn long(id: u64) -> TestJob {
    TestJob::new(id, 1, 2_500 * MS)
        .with_slack()
        .with_remaining_wait(9_000 * MS)
}

/// The trace of the first task that had two runs at the same time, up to then.
fn overlap(sim: &Simulation) -> Option<String> {
    let task = sim.concurrent_runs.first()?;
    let trace = sim.trace_of(task.job);
    let trace = trace.split_inclusive("two runs").next()?;
    Some(format!("two runs of {task} at the same time\n{trace}"))
}

fn assert_one_run_at_a_time(sim: &Simulation, case: &str) {
    if let Some(overlap) = overlap(sim) {
        panic!("{case}: {overlap}");
    }
}

/// Asserts that a job was sent again, ran once at a time, and was completed.
fn assert_resent_and_completed(sim: &Simulation, id: u64, case: &str) {
    assert_one_run_at_a_time(sim, case);
    let trace = sim.trace_of(JobId(id));
    assert!(sim.entry_vms.resent_jobs > 0, "{case}\n{trace}");
    let answer = sim.entry_vms.answers.get(&JobId(id));
    assert_eq!(answer, Some(&JobOutcome::Completed), "{case}\n{trace}");
}
