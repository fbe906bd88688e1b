//! Workers that restart right after a scheduler has checked all silent ones.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::JobId;

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

fn job(id: u64) -> TestJob {
    TestJob::new(id, 1, Duration::from_secs(3))
        .with_cpu(5_000)
        .with_slack()
}

/// A job of the deposed scheduler makes its successor check the silent workers. An idle one restarts `restart` later, and
/// `start` later still, the deposed scheduler starts a second job there; that job moves `moves` after the check.
fn move_after_check(restart: u32, start: u32, moves: u32) -> Simulation {
    let mut sim = Simulation::new(4, 1);
    let former = sim.hosts[0].token();
    let resubmitted = |id| {
        let mut job = job(id).resubmitted();
        job.former_tokens = vec![former];
        job
    };
    sim.hosts[0].unreachable_workers = BTreeSet::from([0, 1, 2, 3]);
    let next = sim.add_host_with(2, &BTreeSet::new(), true);
    sim.run_for(2_000 * MS);
    sim.submit(next, Duration::ZERO, resubmitted(2));
    sim.run_for(restart * MS);
    let idle = (0..4).find(|&w| sim.workers[w].running().count() == 0);
    let idle = idle.expect("a worker is idle");
    sim.restart_worker(idle, 1_000);
    sim.hosts[0].unreachable_workers.remove(&idle);
    sim.run_for(start * MS);
    sim.announce_worker(0, idle);
    sim.submit(0, 2 * MS, job(1));
    sim.run_for((moves - restart - start) * MS);
    assert_eq!(sim.workers_running(1), BTreeSet::from([idle]));
    sim.kill(0);
    sim.submit(next, Duration::ZERO, resubmitted(1));
    sim.run_for(Duration::from_secs(4));
    sim
}

/// Guards against second runs beside one that a deposed scheduler has started on a worker which has restarted since its
/// successor checked the silent workers. A restart and a start there take 50 ms at least.
#[test]
fn a_job_of_a_deposed_scheduler_on_a_worker_that_restarts_after_a_check_has_one_run_at_a_time() {
    for restart in [5, 20, 60, 100] {
        for moves in (restart + 60..restart + 400).step_by(20) {
            let sim = move_after_check(restart, 50, moves);
            let trace = sim.trace_of(JobId(1));
            let case = format!("restart after {restart} ms, move after {moves} ms");
            assert!(sim.concurrent_runs.is_empty(), "{case}:\n{trace}");
        }
    }
}
