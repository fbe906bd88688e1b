//! Schedulers that take over as a long cut heals, on a VM that follows the scheduler beyond it only since then.

use std::time::Duration;

use geraniumrelay_core::leased::{JobId, JobOutcome};

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// VM beyond the cut, and the one on the side with the store.
const BEYOND: usize = 0;
const NEAR: usize = 1;

/// Workers beyond the cut, and those on the side with the store.
const WORKERS_BEYOND: [usize; 2] = [0, 1];
const WORKERS_NEAR: [usize; 2] = [2, 3];

fn set_worker_paths(sim: &mut Simulation, do_arrive: bool) {
    let beyond = WORKERS_BEYOND.map(|worker| (NEAR, worker));
    let near = WORKERS_NEAR.map(|worker| (BEYOND, worker));
    for (vm, worker) in beyond.into_iter().chain(near) {
        sim.set_calls_arrive(vm, worker, do_arrive);
    }
}

fn end_scheduler(sim: &mut Simulation, vm: usize) {
    let host = sim.host_on(vm).expect("a scheduler");
    sim.end_host(host, true);
}

/// The scheduler beyond a long cut has the higher token, so that the other one gives up at the heal. That scheduler ends
/// while it runs a job, and the other VM takes over before the store lists the workers beyond the cut again.
fn succeed_after_heal(is_path_to_workers_open: bool) -> Simulation {
    let mut sim = Simulation::with_cells((1, 4), 2, 1);
    sim.begin_vms(BEYOND);
    sim.run_for(500 * MS);
    sim.set_path(BEYOND, NEAR, false);
    set_worker_paths(&mut sim, false);
    sim.set_store_reached(BEYOND, false);
    sim.run_for(600 * MS);
    sim.take_over_on(NEAR, 2);
    sim.run_for(Duration::from_secs(2));
    end_scheduler(&mut sim, BEYOND);
    sim.take_over_on(BEYOND, 3);
    sim.run_for(Duration::from_secs(2));
    for worker in WORKERS_BEYOND {
        sim.set_listed(worker, false);
    }
    sim.run_for(sim.cfg.leased.departed_ttl + Duration::from_secs(5));
    sim.set_path(BEYOND, NEAR, true);
    set_worker_paths(&mut sim, is_path_to_workers_open);
    sim.run_for(500 * MS);
    assert!(sim.is_outranked(NEAR));
    end_scheduler(&mut sim, NEAR);
    sim.run_for(100 * MS);
    let job = TestJob::new(1, 1, Duration::from_secs(1)).with_slack();
    sim.call(BEYOND, job);
    sim.run_for(200 * MS);
    assert_eq!(sim.workers_running(1).len(), 1);
    sim.set_store_reached(BEYOND, true);
    sim.run_for(100 * MS);
    end_scheduler(&mut sim, BEYOND);
    sim.take_over_on(NEAR, 4);
    sim.run_for(Duration::from_secs(5));
    sim
}

fn assert_one_run_at_a_time(sim: &Simulation) {
    let trace = sim.trace_of(JobId(1));
    assert!(sim.concurrent_runs.is_empty(), "{trace}");
    let answer = sim.entry_vms.answers.get(&JobId(1));
    assert_eq!(answer, Some(&JobOutcome::Completed), "{trace}");
}

/// Guards against second runs beside those on workers that the last scheduler has used beyond the cut, and that are not
/// listed again yet.
#[test]
fn a_job_of_a_scheduler_that_was_followed_only_since_a_long_cut_has_one_run_at_a_time() {
    assert_one_run_at_a_time(&succeed_after_heal(true));
}

/// The same while the paths to these workers are still cut.
#[test]
fn a_job_that_moves_while_its_worker_is_neither_listed_nor_in_reach_has_one_run_at_a_time() {
    assert_one_run_at_a_time(&succeed_after_heal(false));
}
