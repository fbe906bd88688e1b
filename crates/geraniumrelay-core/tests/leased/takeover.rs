//! One scheduler after another.

use std::collections::BTreeSet;
use std::time::Duration;

use geraniumrelay_core::leased::{Command, JobId, JobOutcome};

use crate::world::{TestJob, World, name_of};

const MS: Duration = Duration::from_millis(1);

/// Passes a job on to another scheduler, as entry VMs do when the first one is lost.
fn pass_on(world: &mut World, host: usize, job: &TestJob) {
    world.submit(host, MS, job.clone().passed_on_again());
}

#[test]
fn a_successor_adopts_what_runs() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 6, 300 * MS);
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.kill(0);
    let next = world.add_host(2);
    pass_on(&mut world, next, &job);
    world.run_for(Duration::from_secs(1));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert!(world.starts.values().all(|&n| n == 1), "{:?}", world.starts);
}

#[test]
fn a_deposed_scheduler_starts_nothing() {
    let mut world = World::new(4, 1);
    let next = world.add_host(2);
    world.run_for(10 * MS);
    assert!(world.hosts[0].token() < world.hosts[next].token());
    world.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    world.run_for(Duration::from_secs(1));
    assert!(world.hosts[0].is_deposed);
    assert!(world.starts.is_empty());
}

#[test]
fn runs_that_nobody_asks_for_are_stopped() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 6, Duration::from_secs(5)));
    world.run_for(100 * MS);
    world.kill(0);
    world.add_host(2);
    world.run_for(700 * MS);
    assert!(world.workers.iter().all(|w| w.running().count() == 0));
}

/// The old scheduler keeps a worker that the new one can't reach.
#[test]
fn tasks_on_a_worker_out_of_reach_wait_until_its_leases_have_lapsed() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.kill(0);
    let cut = BTreeSet::from([0]);
    let next = world.add_host_with(2, &cut, true);
    pass_on(&mut world, next, &job);
    world.run_for(Duration::from_secs(6));
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
}

#[test]
fn departed_workers_may_still_run_what_another_scheduler_started() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.kill(0);
    let next = world.add_host_with(2, &BTreeSet::from([0]), true);
    world.tell(next, Command::WorkerGone(name_of(0)));
    pass_on(&mut world, next, &job);
    world.run_for(Duration::from_secs(6));
    assert!(world.twice.is_empty(), "{:?}", world.twice);
}

/// A process that started during a partition does not know the workers behind it.
#[test]
fn a_young_scheduler_waits_for_workers_that_it_never_knew() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.kill(0);
    let hidden = world.workers.pop().unwrap();
    let next = world.add_host_with(2, &BTreeSet::new(), false);
    world.workers.push(hidden);
    pass_on(&mut world, next, &job);
    world.run_for(Duration::from_secs(6));
    assert!(world.twice.is_empty(), "{:?}", world.twice);
}

#[test]
fn a_scheduler_lets_go_of_jobs_whose_entry_has_moved_on() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    world.submit(0, MS, job);
    world.run_for(100 * MS);
    world.tell(0, Command::EntryLeft(crate::world::vm(100)));
    world.run_for(60 * MS);
    assert!(world.workers.iter().all(|w| w.running().count() == 0));
}

#[test]
fn jobs_of_an_entry_that_connects_again_go_on() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 4, Duration::from_secs(1));
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.tell(0, Command::EntryLost(crate::world::vm(100)));
    world.run_for(100 * MS);
    pass_on(&mut world, 0, &job);
    world.run_for(Duration::from_secs(2));
    assert_eq!(world.outcome(1), Some(JobOutcome::Completed));
    assert!(world.starts.values().all(|&n| n == 1));
}

/// The start of an adopted run is not known, so its run time must not be learnt.
#[test]
fn adopted_runs_teach_no_run_times() {
    let mut world = World::new(8, 1);
    let mut host = 0;
    for round in 2..8_u64 {
        let mut jobs = Vec::new();
        for number in 0..4 {
            let job = TestJob::new(round * 10 + number, 4, 300 * MS);
            jobs.push(job.clone());
            world.submit(host, MS, job);
        }
        world.run_for(280 * MS);
        let learnt = world.hosts[host].scheduler.as_ref().unwrap();
        let learnt = learnt.estimates().clone();
        world.kill(host);
        host = world.add_host(round);
        let scheduler = world.hosts[host].scheduler.take().unwrap();
        world.hosts[host].scheduler = Some(scheduler.with_estimates(learnt));
        for job in &jobs {
            pass_on(&mut world, host, job);
        }
        world.run_for(400 * MS);
    }
    let scheduler = world.hosts[host].scheduler.as_ref().unwrap();
    let expected = scheduler.estimates().expected("queue", 300 * MS);
    assert!(expected >= 270 * MS, "{expected:?}");
}

/// On each side of a partition is a scheduler. The one that has taken a worker over renews the
/// leases of all that runs there, also of what the other one has started and counts as lapsed.
#[test]
fn what_the_other_side_of_a_partition_started_is_stopped_before_it_runs_again() {
    let mut world = World::new(4, 1);
    world.submit(0, MS, TestJob::new(1, 2, Duration::from_secs(3)));
    world.run_for(100 * MS);
    let has_runs = |n: &usize| world.workers[*n].running().count() > 0;
    let taken: BTreeSet<usize> = (0..4).filter(has_runs).collect();
    world.hosts[0].cut = taken.clone();
    world.run_for(550 * MS);
    let others = (0..4).filter(|n| !taken.contains(n)).collect();
    let next = world.add_host_with(2, &others, true);
    for number in 0..60 {
        let mut job = TestJob::new(100 + number, 1, 40 * MS);
        job.spec.steps[0].size.cpu_milli = 5_000;
        world.submit(next, Duration::from_millis(10 + 20 * number), job);
    }
    world.run_for(Duration::from_secs(5));
    assert!(world.twice.is_empty(), "{}", world.trace_of(JobId(1)));
}

/// A VM that stands by learns of a new worker only some time after the scheduler that uses it.
#[test]
fn a_successor_first_learns_of_the_newest_workers() {
    let mut world = World::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    world.submit(0, MS, job.clone());
    world.run_for(100 * MS);
    world.kill(0);
    let newest = world.workers.pop().unwrap();
    let next = world.add_host_with(2, &BTreeSet::new(), false);
    world.workers.push(newest);
    pass_on(&mut world, next, &job);
    world.run_for(100 * MS);
    let entry = world.entry(3);
    world.tell(next, Command::WorkerSeen(entry));
    let knows_departed = true;
    world.tell(next, Command::WorkersKnown { knows_departed });
    world.run_for(Duration::from_secs(6));
    assert!(world.twice.is_empty(), "{:?}", world.twice);
    assert!(world.starts.values().all(|&n| n == 1), "{:?}", world.starts);
}

/// Right after a partition the scheduler of its smaller side still has its workers, with a higher
/// token. The other one serves on with the rest until the two hear of each other.
#[test]
fn a_scheduler_goes_on_without_the_workers_that_another_one_has() {
    let mut world = World::new(6, 1);
    world.hosts[0].cut = BTreeSet::from([0]);
    world.run_for(500 * MS);
    let others = (1..6).collect();
    let next = world.add_host_with(2, &others, true);
    world.run_for(3 * Duration::from_secs(1));
    world.hosts[0].cut.clear();
    for number in 0..20 {
        let job = TestJob::new(100 + number, 2, 60 * MS);
        world.submit(0, Duration::from_millis(10 * number), job);
    }
    world.run_for(Duration::from_secs(1));
    assert!(!world.hosts[0].is_deposed && !world.hosts[next].is_deposed);
    assert_eq!(world.in_time(|_| true), 20);
    world.run_for(3 * Duration::from_secs(1));
    assert!(world.hosts[0].is_deposed, "it must get a higher token then");
}
