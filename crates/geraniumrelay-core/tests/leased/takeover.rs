//! Takeovers between schedulers.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::{Command, DeparturesKnown, JobId, JobOutcome, WorkerState};

use crate::world::{Simulation, TestJob, vm, worker_name};

const MS: Duration = Duration::from_millis(1);

/// Resubmits a job to another scheduler, as entry VMs do after the loss of the first one.
fn resubmit(sim: &mut Simulation, host: usize, job: &TestJob) {
    sim.submit(host, MS, job.clone().resubmitted());
}

#[test]
fn a_successor_adopts_running_tasks() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 6, 300 * MS);
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.kill(0);
    let next = sim.add_host(2);
    resubmit(&mut sim, next, &job);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// Guards against second runs of tasks whose step was blocked when their runs were reported to the successor.
#[test]
fn a_successor_adopts_running_tasks_of_later_steps() {
    for resubmitted_after in [1, 5, 20, 100] {
        let mut sim = Simulation::new(4, 1);
        let job = TestJob::new(1, 3, 300 * MS)
            .with_next_step()
            .with_next_step();
        sim.submit(0, MS, job.clone());
        sim.run_for(750 * MS);
        sim.kill(0);
        let next = sim.add_host(2);
        sim.submit(next, resubmitted_after * MS, job.resubmitted());
        sim.run_for(Duration::from_secs(2));
        let trace = sim.trace_of(JobId(1));
        assert!(
            sim.concurrent_runs.is_empty(),
            "after {resubmitted_after} ms:\n{trace}"
        );
        assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
        assert!(sim.start_counts.values().all(|&n| n == 1), "{trace}");
    }
}

/// Guards against a start of a later step before the steps that it depends on are done.
#[test]
fn a_resubmitted_job_whose_runs_are_being_stopped_keeps_the_order_of_its_steps() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 2, 300 * MS).with_next_step();
    sim.submit(0, MS, job.clone());
    sim.run_for(400 * MS);
    let (id, origin) = (JobId(1), vm(100));
    sim.handle_command(0, Command::Withdraw { id, origin });
    sim.answers.clear();
    sim.submit(0, MS, job);
    sim.run_for(Duration::from_secs(2));
    let trace = sim.trace_of(JobId(1));
    assert!(sim.concurrent_runs.is_empty(), "{trace}");
    let starts_of = |step| {
        let of_step = sim.start_counts.iter().filter(move |(n, _)| n.step == step);
        of_step.map(|(_, &n)| n).collect::<Vec<_>>()
    };
    assert_eq!((starts_of(0), starts_of(1)), (vec![1, 1], vec![2, 2]));
}

/// Guards against second runs of tasks of a later step whose ends were reported before the job was known.
#[test]
fn a_successor_counts_ends_of_later_steps() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 3, 300 * MS).with_next_step();
    sim.submit(0, MS, job.clone());
    sim.run_for(500 * MS);
    sim.kill(0);
    sim.run_for(150 * MS);
    let next = sim.add_host(2);
    resubmit(&mut sim, next, &job);
    sim.run_for(Duration::from_secs(2));
    let trace = sim.trace_of(JobId(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed), "{trace}");
    assert!(sim.start_counts.values().all(|&n| n == 1), "{trace}");
}

#[test]
fn a_deposed_scheduler_starts_no_tasks() {
    let mut sim = Simulation::new(4, 1);
    let next = sim.add_host(2);
    sim.run_for(10 * MS);
    assert!(sim.hosts[0].token() < sim.hosts[next].token());
    sim.submit(0, MS, TestJob::new(1, 1, 50 * MS));
    sim.run_for(Duration::from_secs(1));
    assert!(sim.hosts[0].is_deposed);
    assert!(sim.start_counts.is_empty());
}

#[test]
fn unclaimed_runs_are_stopped() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 6, Duration::from_secs(5)));
    sim.run_for(100 * MS);
    sim.kill(0);
    sim.add_host(2);
    sim.run_for(700 * MS);
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

/// A run that is being stopped is not listed any more, but is still at work.
#[test]
fn a_task_does_not_run_again_while_its_unclaimed_run_is_being_stopped() {
    for after in (200..400).step_by(2) {
        let mut sim = Simulation::new(4, 1);
        let job = TestJob::new(1, 6, Duration::from_secs(5));
        sim.submit(0, MS, job.clone());
        sim.run_for(100 * MS);
        sim.kill(0);
        let next = sim.add_host(2);
        sim.submit(next, after * MS, job.resubmitted());
        sim.run_for(700 * MS);
        let trace = sim.trace_of(JobId(1));
        assert!(sim.concurrent_runs.is_empty(), "after {after} ms:\n{trace}");
    }
}

/// A worker that the new scheduler can't reach may still run tasks of the old one.
#[test]
fn tasks_on_an_unreachable_worker_wait_until_its_leases_have_lapsed() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.kill(0);
    let unreachable = BTreeSet::from([0]);
    let next = sim.add_host_with(2, &unreachable, true);
    resubmit(&mut sim, next, &job);
    sim.run_for(Duration::from_secs(6));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
}

#[test]
fn tasks_on_a_departed_worker_wait_until_its_leases_have_lapsed() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.kill(0);
    let next = sim.add_host_with(2, &BTreeSet::from([0]), true);
    sim.handle_command(next, Command::WorkerGone(worker_name(0)));
    resubmit(&mut sim, next, &job);
    sim.run_for(Duration::from_secs(6));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
}

/// A process that started during a partition does not know the workers on the other side.
#[test]
fn a_new_scheduler_waits_for_the_leases_of_workers_unknown_to_it() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.kill(0);
    let unknown = sim.workers.pop().unwrap();
    let next = sim.add_host_with(2, &BTreeSet::new(), false);
    sim.workers.push(unknown);
    resubmit(&mut sim, next, &job);
    sim.run_for(Duration::from_secs(6));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
}

#[test]
fn a_scheduler_stops_jobs_of_an_entry_vm_that_has_left() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    sim.submit(0, MS, job);
    sim.run_for(100 * MS);
    sim.handle_command(0, Command::EntryLeft(crate::world::vm(100)));
    sim.run_for(60 * MS);
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

#[test]
fn jobs_of_a_reconnected_entry_vm_go_on() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 4, Duration::from_secs(1));
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.handle_command(0, Command::EntryLost(crate::world::vm(100)));
    sim.run_for(100 * MS);
    resubmit(&mut sim, 0, &job);
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.start_counts.values().all(|&n| n == 1));
}

/// The start time of an adopted run is unknown, so its run time must not enter the estimates.
#[test]
fn adopted_runs_do_not_change_run_time_estimates() {
    let mut sim = Simulation::new(8, 1);
    let mut host = 0;
    for round in 2..8_u64 {
        let mut jobs = Vec::new();
        for number in 0..4 {
            let job = TestJob::new(round * 10 + number, 4, 300 * MS);
            jobs.push(job.clone());
            sim.submit(host, MS, job);
        }
        sim.run_for(280 * MS);
        let scheduler = sim.hosts[host].scheduler.as_ref().unwrap();
        let estimates = scheduler.estimates().clone();
        sim.kill(host);
        host = sim.add_host(round);
        let scheduler = sim.hosts[host].scheduler.take().unwrap();
        sim.hosts[host].scheduler = Some(scheduler.with_estimates(estimates));
        for job in &jobs {
            resubmit(&mut sim, host, job);
        }
        sim.run_for(400 * MS);
    }
    let scheduler = sim.hosts[host].scheduler.as_ref().unwrap();
    let expected = scheduler.estimates().expected("queue", 300 * MS);
    assert!(expected >= 270 * MS, "{expected:?}");
}

/// Each side of a partition has a scheduler. The scheduler that has taken over a worker renews the
/// leases of all runs there, including runs that the other scheduler has started and counts as
/// lapsed.
#[test]
fn runs_of_the_other_side_of_a_partition_are_stopped_before_their_tasks_run_again() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 2, Duration::from_secs(3)));
    sim.run_for(100 * MS);
    let has_runs = |n: &usize| sim.workers[*n].running().count() > 0;
    let loaded_workers: BTreeSet<usize> = (0..4).filter(has_runs).collect();
    sim.hosts[0].unreachable_workers = loaded_workers.clone();
    sim.run_for(550 * MS);
    let unreachable = (0..4).filter(|n| !loaded_workers.contains(n)).collect();
    let next = sim.add_host_with(2, &unreachable, true);
    for number in 0..60 {
        let mut job = TestJob::new(100 + number, 1, 40 * MS);
        job.spec.steps[0].size.cpu_milli = 5_000;
        sim.submit(next, Duration::from_millis(10 + 20 * number), job);
    }
    sim.run_for(Duration::from_secs(5));
    assert!(sim.concurrent_runs.is_empty(), "{}", sim.trace_of(JobId(1)));
}

/// A standby VM learns of a new worker only some time after the scheduler has started to use it.
#[test]
fn a_successor_adopts_runs_on_workers_that_it_learns_of_later() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 8, Duration::from_secs(2));
    sim.submit(0, MS, job.clone());
    sim.run_for(100 * MS);
    sim.kill(0);
    let newest = sim.workers.pop().unwrap();
    let next = sim.add_host_with(2, &BTreeSet::new(), false);
    sim.workers.push(newest);
    resubmit(&mut sim, next, &job);
    sim.run_for(100 * MS);
    let entry = sim.worker_entry(3);
    sim.handle_command(next, Command::WorkerSeen(entry));
    sim.hosts[next].departures = DeparturesKnown::All;
    sim.run_for(Duration::from_secs(6));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// Right after a partition, the workers of the smaller side still follow the scheduler there, which
/// has a higher token. The other scheduler goes on with the remaining workers until the two
/// schedulers receive heartbeats of each other.
#[test]
fn a_scheduler_goes_on_without_the_workers_that_follow_a_higher_token() {
    let mut sim = Simulation::new(6, 1);
    sim.hosts[0].unreachable_workers = BTreeSet::from([0]);
    sim.run_for(500 * MS);
    let unreachable = (1..6).collect();
    let next = sim.add_host_with(2, &unreachable, true);
    sim.run_for(3 * Duration::from_secs(1));
    sim.hosts[0].unreachable_workers.clear();
    for number in 0..20 {
        let job = TestJob::new(100 + number, 2, 60 * MS);
        sim.submit(0, Duration::from_millis(10 * number), job);
    }
    sim.run_for(Duration::from_secs(1));
    assert!(!sim.hosts[0].is_deposed && !sim.hosts[next].is_deposed);
    assert_eq!(sim.count_in_time(|_| true), 20);
    sim.run_for(3 * Duration::from_secs(1));
    assert!(
        sim.hosts[0].is_deposed,
        "the scheduler must be deposed to get a higher token"
    );
}

/// As a partition heals, the scheduler of the smaller side gives up, and its workers go on to refuse the
/// lower token of the other one, which lost a third of the workers for 2 s, and then all its state.
#[test]
fn a_scheduler_goes_on_with_all_workers_after_it_has_raised_its_token() {
    let mut sim = Simulation::new(6, 1);
    sim.hosts[0].unreachable_workers = BTreeSet::from([0, 1]);
    sim.run_for(500 * MS);
    let unreachable = (2..6).collect();
    let other = sim.add_host_with(2, &unreachable, true);
    sim.submit(other, MS, TestJob::new(1, 1, Duration::from_secs(5)));
    sim.run_for(3 * Duration::from_secs(1));
    let long = TestJob::new(2, 8, 700 * MS).with_slack();
    sim.submit(0, MS, long.with_remaining_wait(Duration::from_secs(4)));
    sim.run_for(100 * MS);
    sim.kill(other);
    sim.hosts[0].unreachable_workers.clear();
    sim.run_for(250 * MS);
    assert!(sim.hosts[0].scheduler.as_ref().unwrap().is_fenced());
    sim.raise_token(0, 3);
    assert!(!sim.hosts[0].scheduler.as_ref().unwrap().is_fenced());
    // 8 of 12 slots are in use.
    sim.submit(0, 5 * MS, TestJob::new(3, 4, 60 * MS));
    sim.run_for(300 * MS);
    assert_eq!(sim.outcome(3), Some(JobOutcome::Completed));
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(sim.start_counts.values().all(|&n| n == 1));
    let running = sim.workers.iter().map(|w| w.running().count());
    assert_eq!(
        running.sum::<usize>(),
        0,
        "the run of the other side is stopped"
    );
}

/// A job that waits at one scheduler, is started by another one, and is then sent to the first one again,
/// which must not say that it has not run. `tells_tokens` is `false` for an entry VM that does not
/// tell which schedulers had the job.
fn answer_of_a_scheduler_that_has_a_job_again(tells_tokens: bool) -> (Option<JobOutcome>, u32) {
    let mut sim = Simulation::new(2, 1);
    let mut entry = sim.worker_entry(1);
    entry.state = WorkerState::Draining;
    sim.handle_command(0, Command::WorkerSeen(entry));
    let blocking = TestJob::new(1, 2, Duration::from_secs(5)).with_estimate(50 * MS);
    sim.submit(0, MS, blocking.with_remaining_wait(Duration::from_secs(9)));
    sim.run_for(10 * MS);
    let job = TestJob::new(2, 1, Duration::from_secs(1));
    let job = job.with_remaining_wait(Duration::from_secs(4));
    sim.submit(0, MS, job.clone());
    sim.run_for(10 * MS);
    assert_eq!(sim.outcome(2), None, "the job waits");
    let other = sim.add_host_with(2, &BTreeSet::from([0]), true);
    let tokens = [0, other].map(|host| sim.hosts[host].token());
    let mut again = job.resubmitted();
    if tells_tokens {
        again.former_tokens = vec![tokens[0]];
    }
    sim.submit(other, MS, again.clone());
    sim.run_for(20 * MS);
    if tells_tokens {
        again.former_tokens = vec![tokens[1]];
    }
    sim.submit(0, MS, again);
    sim.run_for(Duration::from_secs(5));
    let starts = sim
        .start_counts
        .iter()
        .filter(|(name, _)| name.job == JobId(2));
    (sim.outcome(2), starts.map(|(_, n)| *n).sum())
}

/// Without the tokens the first scheduler can't know it: the replay is of the fault.
#[test]
fn a_scheduler_that_is_not_told_of_another_one_refuses_a_job_that_runs() {
    let (outcome, starts) = answer_of_a_scheduler_that_has_a_job_again(false);
    assert!(starts > 0, "the other scheduler starts the job");
    assert_matches!(outcome, Some(JobOutcome::Refused { .. }));
}

#[test]
fn a_scheduler_that_has_a_job_again_does_not_say_that_it_has_not_run() {
    let (outcome, starts) = answer_of_a_scheduler_that_has_a_job_again(true);
    assert!(starts > 0, "the other scheduler starts the job");
    assert!(
        !matches!(outcome, Some(JobOutcome::Refused { .. })),
        "{outcome:?}"
    );
}

/// An entry VM follows another scheduler for a moment, so that this one drops its jobs, and returns.
#[test]
fn a_job_of_an_entry_vm_that_returns_is_completed() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 2, 300 * MS).with_slack();
    sim.submit(0, MS, job.clone());
    sim.run_for(50 * MS);
    sim.handle_command(0, Command::EntryLeft(vm(100)));
    sim.run_for(10 * MS);
    sim.answers.clear();
    resubmit(&mut sim, 0, &job);
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
}

/// The scheduler of a cut zone starts a job on an idle worker there, which the other scheduler has not
/// polled since before the cut. As the cut heals, the job is sent to that one.
fn job_that_moves_back_after_a_cut(raises_token: bool, unreachable: [usize; 2]) -> Simulation {
    let mut sim = Simulation::new(4, 1);
    sim.run_for(500 * MS);
    let zone = sim.add_host_with(2, &BTreeSet::from(unreachable), true);
    sim.run_for(100 * MS);
    let job = TestJob::new(1, 1, 400 * MS).with_slack();
    let mut again = job.clone().resubmitted();
    sim.submit(zone, MS, job);
    sim.run_for(20 * MS);
    assert_eq!(sim.start_counts.len(), 1);
    again.former_tokens = vec![sim.hosts[zone].token()];
    sim.kill(zone);
    if raises_token {
        sim.raise_token(0, 3);
    }
    sim.submit(0, MS, again);
    sim.run_for(Duration::from_secs(3));
    sim
}

#[test]
fn a_job_that_moves_back_after_a_cut_has_one_run_at_a_time() {
    let unreachable = [[0, 1], [2, 3]];
    let cases = unreachable.map(|u| [(false, u), (true, u)]);
    for (raises_token, unreachable) in cases.into_iter().flatten() {
        let sim = job_that_moves_back_after_a_cut(raises_token, unreachable);
        assert!(
            sim.concurrent_runs.is_empty(),
            "{raises_token}, {unreachable:?}: {}",
            sim.trace_of(JobId(1))
        );
        assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
    }
}

/// Guards against second runs beside those on workers that a scheduler has not reached for so long that it has dropped
/// them, while another scheduler went on beyond the cut.
#[test]
fn a_job_that_moves_back_after_a_long_cut_has_one_run_at_a_time() {
    let mut sim = Simulation::new(4, 1);
    sim.run_for(500 * MS);
    let next = sim.add_host_with(2, &BTreeSet::from([0, 1]), true);
    sim.hosts[0].unreachable_workers = BTreeSet::from([2, 3]);
    for worker in [0, 1] {
        sim.handle_command(next, Command::WorkerGone(worker_name(worker)));
    }
    sim.run_for(sim.cfg.leased.departed_ttl + Duration::from_secs(5));
    let job = TestJob::new(1, 1, Duration::from_secs(1)).with_slack();
    let mut again = job.clone().resubmitted();
    again.former_tokens = vec![sim.hosts[0].token()];
    sim.submit(0, MS, job);
    sim.run_for(200 * MS);
    assert_eq!(sim.start_counts.len(), 1);
    sim.kill(0);
    sim.submit(next, MS, again);
    sim.run_for(Duration::from_secs(4));
    let trace = sim.trace_of(JobId(1));
    assert!(sim.concurrent_runs.is_empty(), "{trace}");
    assert_eq!(sim.outcome(1), Some(JobOutcome::Completed));
}
