//! Life cycle of a job from its submission to its answer.

use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RefusalReason, WorkerState};

use crate::world::{Simulation, TestJob, vm, worker_name};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_job_on_idle_workers_takes_as_long_as_its_tasks() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 6, 60 * MS));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    let elapsed = sim.answers[&JobId(1)].1 - sim.jobs[&JobId(1)].submitted_at;
    assert!(elapsed <= 65 * MS, "{elapsed:?}");
    assert_eq!(sim.start_counts.len(), 6);
    assert!(sim.start_counts.values().all(|&n| n == 1));
}

#[test]
fn a_step_starts_after_the_steps_that_it_depends_on() {
    let mut sim = Simulation::new(4, 1);
    let mut job = TestJob::new(1, 2, 50 * MS);
    let mut second = job.spec.steps[0].clone();
    second.after = vec![0];
    job.spec.steps.push(second);
    sim.submit(0, MS, job);
    sim.run_for(40 * MS);
    assert!(sim.start_counts.keys().all(|name| name.step == 0));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(sim.start_counts.len(), 4);
}

#[test]
fn a_task_is_placed_only_on_workers_with_its_required_label() {
    let mut sim = Simulation::new(4, 1);
    let mut job = TestJob::new(1, 1, 50 * MS);
    job.spec.steps[0].required_label = Some("b".into());
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(1));
    assert_matches!(
        sim.outcome(1),
        Some(JobOutcome::Refused {
            reason: RefusalReason::NoWorkerFits,
            ..
        })
    );
    assert!(sim.start_counts.is_empty());
}

#[test]
fn a_step_respects_its_limit_of_tasks_per_worker() {
    let mut sim = Simulation::new(4, 1);
    let mut job = TestJob::new(1, 4, 50 * MS);
    job.spec.steps[0].max_per_worker = Some(1);
    sim.submit(0, MS, job);
    sim.run_for(10 * MS);
    let max_running = sim.workers.iter().map(|w| w.running().count()).max();
    assert_eq!(max_running, Some(1));
    assert_eq!(sim.start_counts.len(), 4);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut sim = Simulation::new(4, 1);
    for worker in &mut sim.workers {
        worker.behaviour = crate::worker::Behaviour::Failing;
    }
    sim.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    sim.run_for(Duration::from_secs(4));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Failed));
    assert_eq!(sim.start_counts.values().sum::<u32>(), 3);
}

#[test]
fn a_cancelled_job_stops_at_once() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, Duration::from_secs(2)));
    sim.run_for(100 * MS);
    sim.handle_command(0, Command::Cancel { id: JobId(1) });
    sim.run_for(60 * MS);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Cancelled));
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

/// UNASKED: a copy that another entry VM had passed on late was started after the acknowledged cancel.
#[test]
fn a_copy_that_arrives_after_the_cancel_is_not_started() {
    let mut sim = Simulation::new(4, 1);
    sim.handle_command(0, Command::Cancel { id: JobId(1) });
    sim.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Cancelled));
    assert!(sim.start_counts.is_empty(), "{:?}", sim.start_counts);
}

#[test]
fn a_withdrawn_job_stops() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, Duration::from_secs(2)));
    sim.run_for(100 * MS);
    let (id, origin) = (JobId(1), vm(100));
    sim.handle_command(0, Command::Withdraw { id, origin });
    sim.run_for(60 * MS);
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

#[test]
fn a_job_resubmitted_while_its_runs_stop_waits_for_their_end() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, Duration::from_millis(500)));
    sim.run_for(100 * MS);
    let (id, origin) = (JobId(1), vm(100));
    sim.handle_command(0, Command::Withdraw { id, origin });
    sim.submit(0, MS, TestJob::new(1, 4, Duration::from_millis(500)));
    sim.run_for(Duration::from_secs(2));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
}

#[test]
fn a_job_resubmitted_after_its_end_is_not_run_again() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    sim.run_for(Duration::from_secs(2));
    sim.answers.clear();
    sim.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.start_counts.values().all(|&n| n == 1));
}

#[test]
fn a_draining_worker_gets_no_tasks() {
    let mut sim = Simulation::new(2, 1);
    let mut entry = sim.worker_entry(0);
    entry.state = WorkerState::Draining;
    sim.handle_command(0, Command::WorkerSeen(entry));
    sim.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    sim.run_for(20 * MS);
    assert_eq!(sim.workers[0].running().count(), 0);
    assert_eq!(sim.workers[1].running().count(), 2);
}

#[test]
fn a_worker_is_used_again_after_its_entry_lapsed_and_returned() {
    let mut sim = Simulation::new(1, 1);
    sim.handle_command(0, Command::WorkerGone(worker_name(0)));
    sim.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    sim.run_for(30 * MS);
    assert_matches!(sim.outcome(1), Some(JobOutcome::Refused { .. }));
    let entry = sim.worker_entry(0);
    sim.handle_command(0, Command::WorkerSeen(entry));
    sim.submit(0, MS, TestJob::new(2, 1, 50 * MS));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
}

#[test]
fn runs_of_a_restarted_worker_are_started_again() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(0, MS, TestJob::new(1, 1, 500 * MS));
    sim.run_for(100 * MS);
    sim.restart_worker(0, 100);
    sim.announce_worker(0, 0);
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(sim.start_counts.values().sum::<u32>(), 2);
}

#[test]
fn a_job_far_longer_than_its_remaining_wait_is_refused_on_arrival() {
    let mut sim = Simulation::new(4, 1);
    let job =
        TestJob::new(1, 1, Duration::from_secs(5)).with_remaining_wait(Duration::from_secs(2));
    sim.submit(0, MS, job);
    sim.run_for(5 * MS);
    assert_matches!(
        sim.outcome(1),
        Some(JobOutcome::Refused {
            reason: RefusalReason::TooLong,
            ..
        })
    );
}

#[test]
fn a_job_longer_than_its_estimate_times_out_and_frees_its_capacity() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 2, Duration::from_secs(5))
        .with_estimate(Duration::from_secs(1))
        .with_remaining_wait(Duration::from_secs(2));
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_millis(1_300));
    assert_eq!(sim.outcome(1), Some(JobOutcome::TimedOut));
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

/// The entry of a replaced worker lapses only after several missed heartbeats, and until then the
/// new instance answers all polls. The interval between polls must grow meanwhile.
#[test]
fn a_worker_whose_address_another_instance_has_is_polled_ever_more_rarely() {
    let mut sim = Simulation::new(2, 1);
    sim.workers[0].is_replaced = true;
    sim.submit(0, MS, TestJob::new(1, 4, 300 * MS));
    sim.run_for(Duration::from_secs(5));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    let polls = sim.workers[0].answered_polls;
    assert!(polls <= 10, "{polls}");
    sim.handle_command(0, Command::WorkerGone(worker_name(0)));
    sim.run_for(Duration::from_secs(5));
    let further_polls = sim.workers[0].answered_polls - polls;
    assert!(further_polls <= 1, "{further_polls}");
}

/// Unanswered polls must not extend the leases whose end the scheduler waits for.
#[test]
fn tasks_of_an_unreachable_worker_run_elsewhere_once_their_leases_have_lapsed() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 8, 300 * MS));
    sim.run_for(100 * MS);
    sim.hosts[0].unreachable_workers = [0].into();
    sim.run_for(1_900 * MS);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.concurrent_runs.is_empty());
}
