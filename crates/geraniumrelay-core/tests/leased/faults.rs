//! Random faults over many seeds: no task may have two runs at the same time, no job may be refused
//! after one of its tasks has started, and each job gets an answer.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::worker::Behaviour;
use crate::world::{Simulation, TestJob};

/// Seeds of the random schedules.
const SEEDS: std::ops::Range<u64> = 0..150;

/// Simulated time with faults in each schedule.
const SCHEDULE_MS: u64 = 4_000;

/// Runs a schedule of random jobs, faults and takeovers, and 6 s without new faults.
fn run_schedule(seed: u64) -> Simulation {
    let mut sim = Simulation::new(8, seed);
    sim.lost_reply_share = 0.05 * sim.random();
    sim.delayed_call_share = 0.05 * sim.random();
    for worker in 0..sim.workers.len() {
        sim.workers[worker].clock_rate = 0.98 + 0.04 * sim.random();
    }
    let mut host = 0;
    let mut round = 1;
    let mut open_jobs: Vec<TestJob> = Vec::new();
    let mut id = 1;
    for _ in 0..SCHEDULE_MS / 50 {
        if sim.random() < 0.7 {
            let tasks = sim.random_below(4) + 1;
            let run_time = Duration::from_secs_f64(0.02 + 0.6 * sim.random());
            let job = TestJob::new(id, tasks, run_time);
            id += 1;
            open_jobs.push(job.clone());
            sim.submit(host, Duration::ZERO, job);
        }
        inject_fault(&mut sim, host);
        if sim.random() < 0.05 {
            round += 1;
            host = replace_scheduler(&mut sim, round, &open_jobs);
        }
        sim.run_for(Duration::from_millis(50));
        open_jobs.retain(|j| !sim.answers.contains_key(&j.spec.id));
    }
    sim.run_for(Duration::from_secs(6));
    sim
}

/// Changes the behaviour of a random worker, or its connection to the scheduler.
fn inject_fault(sim: &mut Simulation, host: usize) {
    let worker = usize::from(sim.random_below(8));
    let behaviour = match sim.random() {
        r if r < 0.03 => Behaviour::Hanging,
        r if r < 0.06 => Behaviour::Failing,
        r if r < 0.09 => Behaviour::Slow(6.0),
        r if r < 0.30 => Behaviour::Healthy,
        _ => sim.workers[worker].behaviour,
    };
    sim.workers[worker].behaviour = behaviour;
    match sim.random() {
        r if r < 0.04 => drop(sim.hosts[host].unreachable_workers.insert(worker)),
        r if r < 0.15 => sim.hosts[host].unreachable_workers.clear(),
        _ => {}
    }
}

/// Replaces the scheduler by one that can't reach a random set of workers, and resubmits the open
/// jobs to it.
fn replace_scheduler(sim: &mut Simulation, round: u64, open_jobs: &[TestJob]) -> usize {
    let previous = sim.hosts.len() - 1;
    sim.kill(previous);
    let unreachable: BTreeSet<usize> = (0..8).filter(|_| sim.random() < 0.1).collect();
    let host = sim.add_host_with(round, &unreachable, true);
    for job in open_jobs {
        sim.submit(host, Duration::ZERO, job.clone().resubmitted());
    }
    host
}

#[test]
fn no_task_has_concurrent_runs_and_no_started_job_is_refused() {
    for seed in SEEDS {
        let sim = run_schedule(seed);
        if let Some(task) = sim.concurrent_runs.first() {
            panic!(
                "seed {seed}: two runs of {task} at the same time\n{}",
                sim.trace_of(task.job)
            );
        }
        let false_refusals = sim.false_refusals();
        assert!(
            false_refusals.is_empty(),
            "seed {seed}: jobs refused after a start: {false_refusals:?}"
        );
        let open_jobs = sim.count_jobs(|j| !sim.answers.contains_key(&j.spec.id));
        assert_eq!(open_jobs, 0, "seed {seed}: jobs without an answer");
    }
}
