//! Jobs from their submission to their answer.

use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RefusalReason, WorkerState};

use crate::world::{TestJob, World, name_of, vm};

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_job_on_idle_workers_takes_as_long_as_its_tasks() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 6, 60 * MS));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    let took = world.answers[&JobId(1)].1 - world.jobs[&JobId(1)].arrived;
    assert!(took <= 65 * MS, "{took:?}");
    assert_eq!(world.starts.len(), 6);
    assert!(world.starts.values().all(|&n| n == 1));
}

#[test]
fn a_step_waits_for_the_steps_that_it_comes_after() {
    let mut world = World::new(4, 1);
    let mut job = TestJob::new(1, 2, 50 * MS);
    let mut second = job.spec.steps[0].clone();
    second.after = vec![0];
    job.spec.steps.push(second);
    world.submit(0, MS, job);
    world.run_for(40 * MS);
    assert!(world.starts.keys().all(|name| name.step == 0));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn a_task_is_placed_only_where_its_label_is() {
    let mut world = World::new(4, 1);
    let mut job = TestJob::new(1, 1, 50 * MS);
    job.spec.steps[0].required_label = Some("b".into());
    world.submit(0, MS, job);
    world.run_for(Duration::from_secs(1));
    assert_matches!(
        world.outcome(1),
        Some(JobOutcome::Refused {
            reason: RefusalReason::NoWorkerFits,
            ..
        })
    );
    assert!(world.starts.is_empty());
}

#[test]
fn a_step_keeps_its_limit_for_each_worker() {
    let mut world = World::new(4, 1);
    let mut job = TestJob::new(1, 4, 50 * MS);
    job.spec.steps[0].max_per_worker = Some(1);
    world.submit(0, MS, job);
    world.run_for(10 * MS);
    let most = world.workers.iter().map(|w| w.running().count()).max();
    assert_eq!(most, Some(1));
    assert_eq!(world.starts.len(), 4);
}

#[test]
fn a_task_that_fails_too_often_fails_its_job() {
    let mut world = World::new(4, 1);
    for worker in &mut world.workers {
        worker.behaviour = crate::worker::Behaviour::Failing;
    }
    world.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    world.run_for(Duration::from_secs(4));
    assert_eq!(world.outcome(1), Some(JobOutcome::Failed));
    assert_eq!(world.starts.values().sum::<u32>(), 3);
}

#[test]
fn a_cancelled_job_stops_at_once() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 4, Duration::from_secs(2)));
    world.run_for(100 * MS);
    world.tell(0, Command::Cancel { id: JobId(1) });
    world.run_for(60 * MS);
    assert_eq!(world.outcome(1), Some(JobOutcome::Cancelled));
    assert!(world.workers.iter().all(|w| w.running().count() == 0));
}

#[test]
fn a_job_whose_caller_left_stops() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 4, Duration::from_secs(2)));
    world.run_for(100 * MS);
    let (id, origin) = (JobId(1), vm(100));
    world.tell(0, Command::Withdraw { id, origin });
    world.run_for(60 * MS);
    assert!(world.workers.iter().all(|w| w.running().count() == 0));
}

#[test]
fn a_job_that_comes_again_while_it_is_being_stopped_waits_for_the_stop() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 4, Duration::from_millis(500)));
    world.run_for(100 * MS);
    let (id, origin) = (JobId(1), vm(100));
    world.tell(0, Command::Withdraw { id, origin });
    world.submit(0, MS, TestJob::new(1, 4, Duration::from_millis(500)));
    world.run_for(Duration::from_secs(2));
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
}

#[test]
fn a_job_that_comes_again_after_its_end_is_not_run_again() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    world.run_for(Duration::from_secs(2));
    world.answers.clear();
    world.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert!(world.starts.values().all(|&n| n == 1));
}

#[test]
fn a_draining_worker_gets_nothing() {
    let mut world = World::new(2, 1);
    let mut entry = world.entry(0);
    entry.state = WorkerState::Draining;
    world.tell(0, Command::WorkerSeen(entry));
    world.submit(0, MS, TestJob::new(1, 4, 50 * MS));
    world.run_for(20 * MS);
    assert_eq!(world.workers[0].running().count(), 0);
    assert_eq!(world.workers[1].running().count(), 2);
}

#[test]
fn a_worker_whose_entry_lapses_and_returns_is_used_again() {
    let mut world = World::new(1, 1);
    world.tell(0, Command::WorkerGone(name_of(0)));
    world.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    world.run_for(30 * MS);
    assert_matches!(world.outcome(1), Some(JobOutcome::Refused { .. }));
    let entry = world.entry(0);
    world.tell(0, Command::WorkerSeen(entry));
    world.submit(0, MS, TestJob::new(2, 1, 50 * MS));
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.outcome(2), Some(JobOutcome::Completed));
}

#[test]
fn a_new_life_of_a_worker_has_none_of_the_runs() {
    let mut world = World::new(1, 1);
    world.submit(0, MS, TestJob::new(1, 1, 500 * MS));
    world.run_for(100 * MS);
    world.workers[0] = crate::worker::FakeWorker::new(world.now, 64_000);
    let mut entry = world.entry(0);
    entry.instance_started_unix_ms = Some(7);
    world.tell(0, Command::WorkerSeen(entry));
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert_eq!(world.starts.values().sum::<u32>(), 2);
}

#[test]
fn a_job_far_longer_than_its_callers_patience_is_refused_on_arrival() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 1, Duration::from_secs(5)).with_patience(Duration::from_secs(2));
    world.submit(0, MS, job);
    world.run_for(5 * MS);
    assert_matches!(
        world.outcome(1),
        Some(JobOutcome::Refused {
            reason: RefusalReason::TooLong,
            ..
        })
    );
}

#[test]
fn a_job_that_turns_out_too_long_gives_its_room_back() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 2, Duration::from_secs(5))
        .with_estimate(Duration::from_secs(1))
        .with_patience(Duration::from_secs(2));
    world.submit(0, MS, job);
    world.run_for(Duration::from_millis(1_300));
    assert_eq!(world.outcome(1), Some(JobOutcome::TimedOut));
    assert!(world.workers.iter().all(|w| w.running().count() == 0));
}

/// Its entry lapses only after some heartbeats, and all that time the new one answers.
#[test]
fn a_worker_whose_address_another_one_has_taken_is_looked_at_ever_more_rarely() {
    let mut world = World::new(2, 1);
    world.workers[0].is_replaced = true;
    world.submit(0, MS, TestJob::new(1, 4, 300 * MS));
    world.run_for(Duration::from_secs(5));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    let looks = world.workers[0].looks;
    assert!(looks <= 10, "{looks}");
    world.tell(0, Command::WorkerGone(name_of(0)));
    world.run_for(Duration::from_secs(5));
    let further = world.workers[0].looks - looks;
    assert!(further <= 1, "{further}");
}

/// Looks that are not answered must not prolong the leases that are waited for.
#[test]
fn tasks_of_a_worker_that_goes_dark_run_elsewhere_once_their_leases_have_lapsed() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 8, 300 * MS));
    world.run_for(100 * MS);
    world.hosts[0].cut = [0].into();
    world.run_for(1_900 * MS);
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert!(world.twice.is_empty());
}
