//! Queueing, refusal and placement of jobs under high load and faults.

use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobOutcome};

use crate::worker::Behaviour;
use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

/// Request kinds eligibility, ranking and scoring: number of tasks, mean run time in milliseconds,
/// and relative frequency.
const KINDS: [(u16, u64, f64); 3] = [(8, 60, 34.4), (2, 200, 100.0), (4, 900, 6.25)];

/// Submits the usual mix of requests for `duration`, at `load` times the capacity of the workers,
/// and runs the simulation until 5 s after that.
fn run_load(sim: &mut Simulation, load: f64, duration: Duration) {
    let mean_slot_seconds: f64 = KINDS
        .iter()
        .map(|&(tasks, ms, share)| f64::from(tasks) * ms as f64 / 1_000.0 * share)
        .sum();
    let slots = sim.workers.len() as f64 * 2.0;
    let mut at = Duration::ZERO;
    let mut id = 1;
    let total: f64 = KINDS.iter().map(|k| k.2).sum();
    let per_s = total * slots * load / mean_slot_seconds;
    while at < duration {
        let mut pick = sim.random() * total;
        let mut priority = 0;
        for (number, kind) in (0..).zip(KINDS) {
            priority = number;
            if pick < kind.2 {
                break;
            }
            pick -= kind.2;
        }
        let (tasks, ms, _) = KINDS[usize::from(priority)];
        let run_time = Duration::from_secs_f64(ms as f64 / 1_000.0 * (0.6 + 0.8 * sim.random()));
        let estimate = run_time.mul_f64(0.6 + 0.8 * sim.random());
        let job = TestJob::new(id, tasks, run_time)
            .with_priority(priority)
            .with_estimate(estimate);
        sim.submit(0, at, job);
        id += 1;
        at += Duration::from_secs_f64(2.0 * sim.random() / per_s);
    }
    sim.run_for(duration + Duration::from_secs(5));
}

/// Asserts that no task had concurrent runs, no started job was refused, and each job got an
/// answer.
fn assert_invariants(sim: &Simulation) {
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(sim.false_refusals().is_empty());
    let unanswered = sim.count_jobs(|j| !sim.answers.contains_key(&j.spec.id));
    assert_eq!(unanswered, 0);
}

/// Fraction of the jobs (of one priority, or of all) that were completed within their objective.
fn share_in_time(sim: &Simulation, priority: Option<u8>) -> f64 {
    let has_priority = |j: &TestJob| priority.is_none_or(|p| j.spec.priority == p);
    sim.count_in_time(has_priority) as f64 / sim.count_jobs(has_priority) as f64
}

#[test]
fn usual_load_is_completed_in_time() {
    let mut sim = Simulation::new(48, 1);
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.99, "{share}");
}

/// Jobs that can't be completed in time must be refused, or they delay the admitted jobs as well.
#[test]
fn jobs_admitted_under_overload_are_completed_in_time() {
    let mut sim = Simulation::new(48, 2);
    run_load(&mut sim, 1.5, Duration::from_secs(10));
    assert_invariants(&sim);
    let completed = |j: &TestJob| {
        let answer = sim.answers.get(&j.spec.id);
        answer.is_some_and(|a| a.0 == JobOutcome::Completed)
    };
    let completed_count = sim.count_jobs(completed) as f64;
    let in_time = sim.count_in_time(|_| true) as f64;
    assert!(
        in_time / completed_count >= 0.9,
        "{in_time} of {completed_count}"
    );
    let share = share_in_time(&sim, None);
    assert!(share >= 0.6, "{share}");
}

/// A caller needs a refusal early enough to send its request elsewhere.
#[test]
fn most_refusals_under_overload_are_immediate() {
    let mut sim = Simulation::new(48, 3);
    run_load(&mut sim, 1.5, Duration::from_secs(10));
    let refusals: Vec<Duration> = sim
        .answers
        .iter()
        .filter(|(_, a)| matches!(a.0, JobOutcome::Refused { .. }))
        .map(|(id, a)| a.1 - sim.jobs[id].submitted_at)
        .collect();
    let immediate = refusals.iter().filter(|&&d| d <= 40 * MS).count();
    assert!(!refusals.is_empty());
    assert!(
        immediate * 10 >= refusals.len() * 6,
        "{immediate} of {}",
        refusals.len()
    );
}

/// A low priority means more slack until a job is started, not that the job is never started.
#[test]
fn overload_starves_no_request_kind() {
    let mut sim = Simulation::new(48, 4);
    run_load(&mut sim, 1.3, Duration::from_secs(10));
    for priority in 0..3 {
        let share = share_in_time(&sim, Some(priority));
        assert!(share >= 0.4, "priority {priority}: {share}");
    }
}

/// Start, stop and poll calls may go unanswered without a fault of the worker.
#[test]
fn lost_replies_exclude_no_worker() {
    let mut sim = Simulation::new(48, 5);
    sim.lost_reply_share = 0.06;
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn delayed_calls_cause_no_concurrent_runs() {
    let mut sim = Simulation::new(48, 6);
    sim.delayed_call_share = 0.06;
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.7, "{share}");
}

/// A worker on which tasks fail at once always has free capacity.
#[test]
fn failing_workers_do_not_attract_load() {
    let mut sim = Simulation::new(48, 7);
    for worker in sim.workers.iter_mut().take(4) {
        worker.behaviour = Behaviour::Failing;
    }
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.95, "{share}");
}

#[test]
fn stalled_tasks_run_again_elsewhere() {
    let mut sim = Simulation::new(48, 8);
    for worker in sim.workers.iter_mut().take(4) {
        worker.behaviour = Behaviour::Hanging;
    }
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn slow_workers_are_avoided() {
    let mut sim = Simulation::new(48, 9);
    for worker in sim.workers.iter_mut().take(8) {
        worker.behaviour = Behaviour::Slow(6.5);
    }
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.9, "{share}");
}

#[test]
fn unreachable_workers_cost_little_more_than_their_share() {
    let mut sim = Simulation::new(48, 10);
    sim.hosts[0].unreachable_workers = (0..6).collect();
    run_load(&mut sim, 0.6, Duration::from_secs(10));
    assert_invariants(&sim);
    let share = share_in_time(&sim, None);
    assert!(share >= 0.95, "{share}");
}

/// After a power failure of all entry VMs, jobs have waited for the first scheduler, most of them
/// for longer than their objective allows, while all workers are free.
#[test]
fn jobs_that_waited_for_a_scheduler_complete_while_workers_are_free() {
    let mut sim = Simulation::new(48, 1);
    sim.kill(0);
    let host = sim.add_host(2);
    for (number, kind) in (0..40).zip([0, 1, 1, 2].into_iter().cycle()) {
        let (tasks, ms, _) = KINDS[kind];
        let mut job = TestJob::new(number + 1, tasks.min(3), Duration::from_millis(ms));
        job.waited = Duration::from_millis(10 * number);
        job.remaining_wait = Duration::from_millis(1_500).saturating_sub(job.waited);
        sim.submit(host, Duration::ZERO, job);
    }
    // No worker has replied to the new scheduler yet.
    sim.run_for(Duration::ZERO);
    sim.handle_command(host, Command::Tick);
    sim.run_for(Duration::from_secs(5));
    assert_invariants(&sim);
    let done = |j: &&TestJob| sim.outcome(j.spec.id.0) == Some(JobOutcome::Completed);
    let done = sim.jobs.values().filter(done).count();
    // 40 jobs of about 100 tasks, for 96 slots.
    assert!(done >= 36, "{done} of 40");
}
