//! Workers that start whatever they are told to, and workers whose capacity shrinks.

use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, JobOutcome, Resources};

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// A simulation whose workers enforce no capacity.
fn simulation(workers: usize) -> Simulation {
    let mut sim = Simulation::new(workers, 1);
    for worker in &mut sim.workers {
        worker.enforces_capacity = false;
    }
    sim
}

fn job(id: u64, tasks: u16, run_time: Duration) -> TestJob {
    TestJob::new(id, tasks, run_time)
        .with_slack()
        .with_remaining_wait(Duration::from_secs(8))
        .without_enforced_capacity()
}

fn assert_none_over_capacity(sim: &Simulation) {
    let over: u32 = sim.workers.iter().map(|w| w.starts_over_capacity).sum();
    assert_eq!(over, 0, "{}", sim.trace.join("\n"));
}

fn set_cpu(sim: &mut Simulation, worker: usize, cpu_milli: u64) {
    sim.workers[worker].capacity = Resources {
        cpu_milli,
        ..sim.workers[worker].capacity
    };
    sim.announce_worker(0, worker);
}

/// LIMIT: a run that an earlier scheduler is stopping is listed nowhere, but takes room.
#[test]
fn a_takeover_while_runs_are_stopped_brings_no_worker_over_its_capacity() {
    for delay in 0..60 {
        let mut sim = simulation(2);
        sim.submit(0, MS, job(1, 4, Duration::from_secs(1)));
        sim.run_for(100 * MS);
        sim.handle_command(0, Command::Cancel { id: JobId(1) });
        sim.run_for(2 * MS);
        sim.kill(0);
        sim.run_for(Duration::from_millis(delay));
        let host = sim.add_host(2);
        sim.submit(host, MS, job(2, 4, 100 * MS));
        sim.run_for(Duration::from_secs(2));
        assert_none_over_capacity(&sim);
        assert_eq!(sim.outcome(2), Some(JobOutcome::Completed), "{delay} ms");
    }
}

/// LIMIT: a worker whose capacity has shrunk takes nothing until what it runs fits again.
#[test]
fn a_worker_whose_capacity_shrinks_takes_nothing_until_it_fits() {
    let mut sim = simulation(1);
    sim.run_for(200 * MS);
    sim.submit(0, MS, job(1, 2, 500 * MS));
    sim.run_for(100 * MS);
    set_cpu(&mut sim, 0, 30_000);
    sim.submit(0, MS, job(2, 2, 100 * MS));
    sim.run_for(300 * MS);
    assert_eq!(sim.workers[0].running().count(), 2);
    sim.run_for(150 * MS);
    assert_eq!(sim.workers[0].running().count(), 1);
    set_cpu(&mut sim, 0, 64_000);
    sim.run_for(Duration::from_secs(1));
    assert_none_over_capacity(&sim);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
}

/// Callers are refused at once while the room that is left can't hold their tasks.
#[test]
fn a_job_that_no_shrunk_worker_can_hold_is_refused_at_once() {
    let mut sim = simulation(1);
    set_cpu(&mut sim, 0, 20_000);
    sim.submit(0, MS, job(1, 1, 100 * MS));
    sim.run_for(5 * MS);
    assert!(matches!(sim.outcome(1), Some(JobOutcome::Refused { .. })));
    set_cpu(&mut sim, 0, 64_000);
    sim.submit(0, MS, job(2, 1, 100 * MS));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
}

/// Guards against a process that ends by an entry of a worker whose time after its start is longer than any clock holds.
#[test]
fn a_worker_that_stays_cold_for_ever_ends_no_scheduler() {
    let mut sim = simulation(2);
    let mut entry = sim.worker_entry(0);
    entry.cold_remaining = Duration::MAX;
    sim.handle_command(0, Command::WorkerSeen(entry));
    sim.submit(0, MS, job(1, 1, 100 * MS));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
}
