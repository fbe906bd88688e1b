//! Restarts of workers under their former names: a run that is at work must not count as ended, and
//! no acknowledged end may be lost.

mod acknowledgements;
mod addresses;
mod held_up;
mod instances;
mod leases;
mod schedules;

use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobOutcome, RecordState, WorkerState};

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// Variant of a scenario.
#[derive(Debug, Clone, Copy)]
struct Case {
    is_durable: bool,
    /// Time of day of a new instance relative to that of its former one.
    clock_step_ms: i64,
}

impl Case {
    /// A job that may end late.
    fn job(self, id: u64, tasks: u16, run_time: Duration) -> TestJob {
        let job = TestJob::new(id, tasks, run_time)
            .with_slack()
            .with_remaining_wait(Duration::from_secs(8));
        if self.is_durable { job.durable() } else { job }
    }

    /// A simulation of three idle workers, the first of which has run a task.
    fn simulation(self) -> Simulation {
        let mut sim = Simulation::new(3, 1);
        sim.submit(0, MS, self.job(1_000, 1, 20 * MS));
        sim.run_for(300 * MS);
        assert_eq!(sim.workers[0].acknowledged_ends.len(), 1);
        sim
    }
}

/// Checks a scenario with durable and with other jobs, and with a time of day that jumps forwards
/// and backwards at a restart.
fn check(scenario: impl Fn(Case) -> Simulation) {
    for is_durable in [false, true] {
        for clock_step_ms in [5_000, -5_000] {
            let case = Case {
                is_durable,
                clock_step_ms,
            };
            let sim = scenario(case);
            assert_each_task_ran_once_at_a_time(&sim, &format!("{case:?}"));
            assert_all_completed(&sim, &format!("{case:?}"));
        }
    }
}

/// Asserts that no task had two runs at a time or started again after its acknowledged end.
fn assert_each_task_ran_once_at_a_time(sim: &Simulation, case: &str) {
    if let Some(task) = sim.concurrent_runs.first() {
        let trace = sim.trace_of(task.job);
        let trace = trace.split_inclusive("two runs").next().unwrap_or_default();
        panic!("{case}: two runs of {task} at the same time\n{trace}");
    }
    if let Some(task) = sim.tasks_restarted_after_ack().first() {
        let trace = sim.trace_of(task.job);
        panic!("{case}: {task} started again after its acknowledged end\n{trace}");
    }
}

fn is_completed(sim: &Simulation, job: &TestJob) -> bool {
    let id = job.spec.id;
    if job.spec.is_durable {
        let record = sim.records.get(&id);
        return record.is_some_and(|(r, _)| r.state == RecordState::Completed);
    }
    sim.outcome(id.0) == Some(JobOutcome::Completed)
}

fn assert_all_completed(sim: &Simulation, case: &str) {
    if let Some(job) = sim.jobs.values().find(|&j| !is_completed(sim, j)) {
        let id = job.spec.id;
        let trace = sim.trace_of(id);
        panic!("{case}: job {id} is not completed in time\n{trace}");
    }
}

/// Asserts that each task has started once.
fn assert_no_done_task_ran_again(sim: &Simulation) {
    let counts = &sim.start_counts;
    assert!(
        counts.values().all(|&n| n == 1),
        "starts: {counts:?}\n{}",
        sim.trace.join("\n")
    );
}

fn run_count(sim: &Simulation, worker: usize) -> usize {
    sim.workers[worker].running().count()
}

/// Lets the tasks of a job fit beside others.
fn small(mut job: TestJob) -> TestJob {
    job.spec.steps[0].size.cpu_milli = 5_000;
    job
}

/// Starts a job whose tasks all fit on worker 0 there, by making the other workers drain meanwhile.
fn start_on_first_worker(sim: &mut Simulation, job: TestJob) {
    let count = run_count(sim, 0) + usize::from(job.spec.steps[0].count);
    let host = sim.hosts.len() - 1;
    drain_others(sim, host);
    sim.submit(host, MS, job);
    run_until_started(sim, 0, count);
    for worker in 1..sim.workers.len() {
        sim.announce_worker(host, worker);
    }
}

/// Makes all workers but the first drain.
fn drain_others(sim: &mut Simulation, host: usize) {
    for worker in 1..sim.workers.len() {
        let mut entry = sim.worker_entry(worker);
        entry.state = WorkerState::Draining;
        sim.handle_command(host, Command::WorkerSeen(entry));
    }
}

/// Runs the simulation until a worker has `count` runs.
fn run_until_started(sim: &mut Simulation, worker: usize, count: usize) {
    for _ in 0..2_000 {
        if run_count(sim, worker) == count {
            return;
        }
        sim.run_for(MS / 10);
    }
    panic!(
        "no {count} runs on worker {worker}\n{}",
        sim.trace.join("\n")
    );
}
