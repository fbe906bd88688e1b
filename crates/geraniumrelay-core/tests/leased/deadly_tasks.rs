//! Tasks that crash the workers on which they run.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{JobId, JobOutcome, RecordState, TaskName};

use crate::world::{Return, Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);
const RETURNS: [Return; 3] = [Return::SameName, Return::OtherName, Return::Never];

/// Times for which a crashed worker is away, in milliseconds.
const DOWN_MS: [u64; 3] = [100, 700, 3_300];

/// Starts of a task that the platform allows after three workers have crashed under it.
const MAX_STARTS_AFTER_THREE_CRASHES: usize = 2;

fn first_task(id: u64) -> TaskName {
    TaskName {
        job: JobId(id),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// A simulation of many workers for each way in which these return.
fn simulations() -> impl Iterator<Item = (Simulation, String)> {
    let cases = RETURNS
        .into_iter()
        .flat_map(|kind| DOWN_MS.map(|ms| (kind, ms)));
    cases.map(|(kind, down_ms)| {
        let mut sim = Simulation::new(24, 1);
        sim.crash_mode.kind = kind;
        sim.crash_mode.down_for = Duration::from_millis(down_ms);
        (sim, format!("{kind:?} after {down_ms} ms"))
    })
}

/// A job whose caller waits for a minute.
fn patient(id: u64, tasks: u16, run_time: Duration) -> TestJob {
    TestJob::new(id, tasks, run_time)
        .with_slack()
        .with_remaining_wait(Duration::from_mins(1))
}

fn assert_is_bounded(sim: &Simulation, id: u64, case: &str) {
    let (starts, late) = sim.starts_and_late_starts(first_task(id));
    assert!(
        late <= MAX_STARTS_AFTER_THREE_CRASHES,
        "{case}: {starts} starts, {late} of them after three crashes\n{}",
        sim.trace_of(JobId(id))
    );
}

/// BUDGET: such a task was started for as long as its caller waited.
#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for (mut sim, case) in simulations() {
        sim.submit(0, MS, patient(1, 4, 60 * MS).with_deadly_tasks(1));
        sim.run_for(Duration::from_secs(50));
        assert_is_bounded(&sim, 1, &case);
        assert_eq!(sim.outcome(1), Some(JobOutcome::Failed), "{case}");
    }
}

/// BUDGET: a durable job has no caller whose wait would end it.
#[test]
fn a_durable_task_that_crashes_its_workers_is_given_up() {
    for (mut sim, case) in simulations() {
        let job = patient(1, 4, 60 * MS).with_deadly_tasks(1).durable();
        sim.submit(0, MS, job);
        sim.run_for(Duration::from_secs(50));
        assert_is_bounded(&sim, 1, &case);
        let state = sim.records[&JobId(1)].0.state;
        assert_eq!(state, RecordState::Failed, "{case}");
    }
}

/// BUDGET: a successor did not know of the crashes that its predecessor had seen.
#[test]
fn a_takeover_does_not_forget_which_tasks_crash_their_workers() {
    for (mut sim, case) in simulations() {
        let job = patient(1, 4, 60 * MS).with_deadly_tasks(1).durable();
        sim.submit(0, MS, job);
        for round in 2..20 {
            sim.run_for(Duration::from_millis(2_700));
            let last = sim.hosts.len() - 1;
            sim.kill(last);
            sim.add_host_with_records(round, &BTreeSet::new());
        }
        sim.run_for(Duration::from_secs(30));
        assert_is_bounded(&sim, 1, &case);
        let state = sim.records[&JobId(1)].0.state;
        assert_eq!(state, RecordState::Failed, "{case}");
    }
}

/// BUDGET: a job that was sent again after a time-out started from scratch.
#[test]
fn a_resent_job_keeps_the_crashes_of_its_first_copy() {
    for (mut sim, case) in simulations() {
        for copy in 0..8 {
            let after = Duration::from_millis(2_800) * copy;
            let job = TestJob::new(1, 4, 60 * MS)
                .with_deadly_tasks(1)
                .with_remaining_wait(Duration::from_millis(1_500));
            sim.submit(0, after + MS, job);
        }
        sim.run_for(Duration::from_secs(30));
        assert_is_bounded(&sim, 1, &case);
    }
}

/// The tasks beside it are lost with the worker, and must not count as those that crash workers.
#[test]
fn jobs_beside_a_deadly_task_are_completed() {
    for kind in RETURNS {
        for seed in 0..10 {
            // Five tasks take up to three workers each with them.
            let workers = if kind == Return::Never { 24 } else { 12 };
            let mut sim = Simulation::new(workers, seed);
            sim.crash_mode.kind = kind;
            for id in 1..=40 {
                let after = Duration::from_millis(60 * id);
                let job = patient(id, 3, Duration::from_millis(100 + 20 * id));
                let job = if id % 8 == 0 {
                    job.with_deadly_tasks(1)
                } else {
                    job
                };
                let job = if id % 3 == 0 { job.durable() } else { job };
                sim.submit(0, after, job);
            }
            sim.run_for(Duration::from_secs(58));
            let case = format!("{kind:?}, seed {seed}");
            for (&id, job) in &sim.jobs {
                assert_is_bounded(&sim, id.0, &case);
                let is_completed = if job.spec.is_durable {
                    sim.records[&id].0.state == RecordState::Completed
                } else {
                    sim.outcome(id.0) == Some(JobOutcome::Completed)
                };
                let is_deadly = !job.deadly_tasks.is_empty();
                assert_eq!(
                    is_completed,
                    !is_deadly,
                    "{case}: job {id}\n{}",
                    sim.trace_of(id)
                );
            }
            assert!(
                sim.concurrent_runs.is_empty(),
                "{case}: {:?}",
                sim.concurrent_runs
            );
        }
    }
}

/// Workers that are out of reach for some seconds have not crashed.
#[test]
fn a_job_whose_workers_are_cut_off_again_and_again_is_not_given_up() {
    let mut sim = Simulation::new(6, 1);
    sim.submit(0, MS, patient(1, 2, Duration::from_secs(3)));
    for round in 0..5 {
        sim.run_for(Duration::from_millis(700));
        let busy = (0..6).filter(|&w| sim.workers[w].running().next().is_some());
        sim.hosts[0].unreachable_workers = busy.collect();
        sim.run_for(Duration::from_millis(2_500));
        assert_eq!(sim.outcome(1), None, "round {round}");
        sim.hosts[0].unreachable_workers.clear();
    }
    sim.run_for(Duration::from_secs(20));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.concurrent_runs.is_empty());
}

/// Request kinds: number of tasks, mean run time in milliseconds, requests per second.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 34.4), (4, 900, 6.25), (2, 200, 100.0)];

/// Workers of the cell; each has room for two tasks.
const WORKERS: usize = 48;

/// Time for which requests arrive, and the part of it in which some of a kind have a deadly task.
const TRAFFIC: Duration = Duration::from_secs(16);
const POISON: std::ops::Range<Duration> = Duration::from_secs(4)..Duration::from_secs(14);

/// Length of the windows in which the share of jobs in time is measured.
const WINDOW: Duration = Duration::from_secs(2);

/// Submits the mix of requests; a `share` of the jobs of `kind` has a deadly task.
fn submit_mix(sim: &mut Simulation, kind: usize, share: f64) {
    let mut id = 0;
    for (number, (tasks, ms, per_s)) in KINDS.into_iter().enumerate() {
        let mut at = Duration::ZERO;
        while at < TRAFFIC {
            id += 1;
            let run_time = Duration::from_millis(ms).mul_f64(0.6 + 0.8 * sim.random());
            let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
            let is_deadly = number == kind && POISON.contains(&at) && sim.random() < share;
            let job = TestJob::new(id, tasks, run_time)
                .with_priority(u8::try_from(number).unwrap())
                .with_estimate(estimate)
                .with_deadly_tasks(u16::from(is_deadly))
                .with_remaining_wait(Duration::from_millis(1_500));
            sim.submit(0, at, job);
            at += Duration::from_secs_f64(2.0 * sim.random() / per_s);
        }
    }
}

/// Share of jobs in time, of the worst window and of all, of the kinds without deadly tasks, while a
/// `share` of the jobs of `kind` has one.
fn share_of_other_kinds(kind: usize, share: f64, seed: u64) -> (f64, f64) {
    let mut sim = Simulation::new(WORKERS, seed);
    submit_mix(&mut sim, kind, share);
    let start = sim.now;
    sim.run_for(TRAFFIC + Duration::from_secs(4));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(sim.false_refusals().is_empty());
    let is_other = |j: &TestJob| usize::from(j.spec.priority) != kind;
    let in_window = |from: Duration, to: Duration| {
        let is_in = |j: &TestJob| {
            is_other(j) && (from..to).contains(&j.submitted_at.saturating_duration_since(start))
        };
        sim.count_in_time(is_in) as f64 / sim.count_jobs(is_in) as f64
    };
    let windows = (0..8).map(|n| in_window(WINDOW * n, WINDOW * (n + 1)));
    (
        windows.fold(1.0, f64::min),
        in_window(Duration::ZERO, TRAFFIC),
    )
}

/// Load pattern: one kind of job crashes its workers, which are away for seconds, and takes the room of
/// all others with them.
#[test]
fn a_kind_that_crashes_workers_leaves_the_others_their_service() {
    for (kind, share) in [(0, 0.1), (0, 0.3), (1, 0.3), (2, 0.15)] {
        for seed in 1..=3 {
            let (worst, all) = share_of_other_kinds(kind, share, seed);
            let case = format!("kind {kind}, share {share}, seed {seed}");
            assert!(worst >= 0.75, "{case}: worst window {worst}, all {all}");
        }
    }
}

/// A kind is confined if it is a thousand times likelier to be the cause than not.
#[test]
fn crashes_that_no_task_causes_hardly_ever_confine_a_kind() {
    let (mut crashes, mut confined) = (0, 0);
    for seed in 1..=20 {
        let mut sim = Simulation::new(WORKERS, seed);
        submit_mix(&mut sim, 0, 0.0);
        for _ in 0..56 {
            sim.run_for(250 * MS);
            let worker = sim.random_below(48);
            sim.crash_now(usize::from(worker));
        }
        crashes += sim.crashes.len();
        confined += sim.confined_queues.len();
    }
    assert!(crashes > 500, "{crashes}");
    assert!(confined * 1_000 <= crashes, "{confined} of {crashes}");
}

#[test]
fn cuts_of_many_workers_confine_no_kind() {
    for seed in 1..=10 {
        let mut sim = Simulation::new(WORKERS, seed);
        submit_mix(&mut sim, 0, 0.0);
        for round in 0..3 {
            sim.run_for(Duration::from_secs(2));
            let cut = 16 * round..16 * (round + 1);
            sim.hosts[0].unreachable_workers = cut.collect();
            sim.run_for(Duration::from_secs(2));
            sim.hosts[0].unreachable_workers.clear();
        }
        let confined = &sim.confined_queues;
        assert!(confined.is_empty(), "seed {seed}: {confined:?}");
    }
}

/// Once its tasks crash no workers any more, a kind runs everywhere again.
#[test]
fn a_kind_is_confined_only_while_it_crashes_workers() {
    let mut sim = Simulation::new(WORKERS, 1);
    submit_mix(&mut sim, 0, 0.3);
    sim.run_for(POISON.end);
    assert_eq!(sim.confined_queues, ["queue-0"]);
    sim.run_for(Duration::from_secs(10));
    let wide = TestJob::new(100_000, 90, 300 * MS);
    sim.submit(0, MS, wide.with_slack().with_priority(0));
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(100_000), Some(JobOutcome::Completed));
}
