//! Waiting jobs behind others that have no place.

use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RecordState};

use crate::world::{Simulation, TestJob, worker_name};

const MS: Duration = Duration::from_millis(1);

/// More jobs than one placement pass leaves without a place.
const BLOCKING_JOBS: u64 = 36;

/// Six workers, of which worker 0 alone has the label `rare`.
fn with_rare_worker() -> Simulation {
    let mut sim = Simulation::new(6, 1);
    sim.workers[0].labels = vec!["rare".into()];
    sim.announce_worker(0, 0);
    sim.run_for(20 * MS);
    sim
}

fn rare_job(id: u64, run_time: Duration) -> TestJob {
    let mut job = TestJob::new(id, 1, run_time).with_cpu(4_000).durable();
    job.spec.steps[0].required_label = Some("rare".into());
    job
}

/// Submits jobs of several steps that any worker could run, and asserts that they are done in good time.
fn assert_other_jobs_are_done(sim: &mut Simulation) {
    for id in 1..=4 {
        let job = TestJob::new(id, 1, 300 * MS)
            .with_next_step()
            .with_next_step();
        sim.submit(0, MS, job.durable());
    }
    sim.run_for(Duration::from_secs(3));
    for id in 1..=4 {
        let record = &sim.records[&JobId(id)].0;
        assert_eq!(record.state, RecordState::Completed, "job {id}");
    }
}

/// Guards against jobs that never go on behind others whose workers are lost for good.
#[test]
fn jobs_without_a_worker_do_not_keep_later_jobs_from_starting() {
    let mut sim = with_rare_worker();
    for number in 0..BLOCKING_JOBS {
        sim.submit(0, MS, rare_job(100 + number, Duration::from_secs(6)));
    }
    sim.run_for(500 * MS);
    sim.hosts[0].unreachable_workers.insert(0);
    sim.handle_command(0, Command::WorkerGone(worker_name(0)));
    sim.run_for(Duration::from_secs(8));
    assert_other_jobs_are_done(&mut sim);
}

/// The same with a worker that is there, but full.
#[test]
fn jobs_that_wait_for_a_full_worker_do_not_keep_later_jobs_from_starting() {
    let mut sim = with_rare_worker();
    sim.cfg.leased.admit_percent = 100_000;
    for number in 0..2 * BLOCKING_JOBS {
        sim.submit(0, MS, rare_job(100 + number, Duration::from_secs(20)));
    }
    sim.run_for(Duration::from_secs(4));
    assert!(sim.records.len() > 60, "{} jobs", sim.records.len());
    assert_other_jobs_are_done(&mut sim);
}

/// Guards against tasks of a job that never start behind others of the same job that have no place.
#[test]
fn a_step_without_a_place_does_not_keep_other_steps_from_starting() {
    let mut sim = with_rare_worker();
    let mut job = rare_job(1, 300 * MS).with_next_step();
    job.spec.steps[1].after.clear();
    job.spec.steps[1].required_label = None;
    sim.submit(0, MS, rare_job(2, Duration::from_secs(4)).with_cpu(64_000));
    sim.run_for(100 * MS);
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    let steps: Vec<u16> = sim
        .start_counts
        .keys()
        .filter(|name| name.job.0 == 1)
        .map(|name| name.step)
        .collect();
    assert_eq!(steps, [1]);
}

/// A worker that comes gets the jobs that had none.
#[test]
fn jobs_without_a_worker_start_once_one_comes() {
    let mut sim = with_rare_worker();
    sim.submit(0, MS, rare_job(1, Duration::from_secs(2)));
    sim.run_for(500 * MS);
    sim.hosts[0].unreachable_workers.insert(0);
    sim.handle_command(0, Command::WorkerGone(worker_name(0)));
    sim.run_for(Duration::from_secs(8));
    sim.workers[1].labels = vec!["rare".into()];
    sim.announce_worker(0, 1);
    sim.run_for(Duration::from_secs(3));
    let record = &sim.records[&JobId(1)].0;
    assert_eq!(record.state, RecordState::Completed);
}
