//! Durable jobs: their records, and their progress across schedulers and outages of the store.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::{Command, JobId, JobOutcome, RecordState};

use crate::world::{Simulation, TestJob};

const MS: Duration = Duration::from_millis(1);

fn record_state(sim: &Simulation, id: u64) -> RecordState {
    sim.records[&JobId(id)].0.state
}

/// Replaces the scheduler by one that reads the records, and waits 40 ms for these.
fn take_over(sim: &mut Simulation, round: u64) -> usize {
    let last = sim.hosts.len() - 1;
    sim.kill(last);
    let host = sim.add_host_with_records(round, &BTreeSet::new());
    sim.run_for(40 * MS);
    host
}

/// Asserts that every durable job has ended, and that no task ran concurrently or again after its
/// acknowledged end.
fn assert_all_ended_once(sim: &Simulation, seed: u64) {
    let restarted = sim.tasks_restarted_after_ack();
    assert!(restarted.is_empty(), "seed {seed}: {restarted:?}");
    assert!(
        sim.concurrent_runs.is_empty(),
        "seed {seed}: {:?}",
        sim.concurrent_runs
    );
    let records = sim.records.values();
    let open = records.filter(|r| r.0.state == RecordState::Open).count();
    assert_eq!(open, 0, "seed {seed}");
}

#[test]
fn a_job_is_accepted_once_it_is_stored_and_runs_on_without_its_entry_vm() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, 300 * MS).durable());
    sim.run_for(3 * MS);
    assert_eq!(sim.outcome(1), None);
    assert!(
        sim.start_counts.is_empty(),
        "a task started before its job was stored"
    );
    // The first durable job of a cell also claims the cell.
    sim.run_for(20 * MS);
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    sim.handle_command(0, Command::EntryLeft(crate::world::vm(100)));
    sim.run_for(Duration::from_secs(10));
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
    assert!(sim.start_counts.values().all(|&n| n == 1));
}

/// Guards against second runs of a durable job that its caller sends again to another cell.
#[test]
fn a_job_that_another_cell_has_stored_is_accepted_and_runs_only_there() {
    let mut sim = Simulation::with_cells((2, 4), 0, 1);
    let job = TestJob::new(1, 4, Duration::from_secs(2)).durable();
    sim.submit(0, MS, job.clone());
    sim.run_for(500 * MS);
    for _ in 0..2 {
        sim.answers.clear();
        sim.submit(1, MS, job.clone());
        sim.run_for(200 * MS);
        assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    }
    sim.run_for(Duration::from_secs(6));
    let trace = sim.trace_of(JobId(1));
    assert!(sim.start_counts.values().all(|&n| n == 1), "{trace}");
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
}

/// Guards against a job that stands still after it was cancelled before a new scheduler had read its record.
#[test]
fn a_job_that_is_cancelled_before_its_record_is_read_is_cancelled() {
    let mut sim = Simulation::new(4, 1);
    let job = TestJob::new(1, 4, Duration::from_secs(3)).durable();
    sim.submit(0, MS, job.clone());
    sim.run_for(500 * MS);
    sim.kill(0);
    sim.store_latency = 100 * MS;
    let next = sim.add_host_with_records(2, &BTreeSet::new());
    sim.submit(next, MS, job.resubmitted());
    sim.run_for(10 * MS);
    sim.handle_command(next, Command::Cancel { id: JobId(1) });
    sim.run_for(Duration::from_secs(3));
    assert_eq!(record_state(&sim, 1), RecordState::Cancelled);
}

#[test]
fn no_job_is_accepted_while_the_store_is_unavailable() {
    let mut sim = Simulation::new(4, 1);
    sim.is_store_down = true;
    sim.submit(0, MS, TestJob::new(1, 4, 300 * MS).durable());
    sim.run_for(Duration::from_secs(1));
    assert_matches!(sim.outcome(1), Some(JobOutcome::Refused { .. }));
    sim.is_store_down = false;
    sim.run_for(Duration::from_secs(3));
    assert!(sim.start_counts.is_empty() && sim.records.is_empty());
    sim.answers.clear();
    sim.submit(0, MS, TestJob::new(1, 4, 300 * MS).durable());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
}

/// A job whose commit is unanswered may be stored, so a refusal could be false.
#[test]
fn a_job_with_an_unanswered_commit_is_not_refused() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, 100 * MS).durable());
    sim.run_for(50 * MS);
    sim.is_store_down = true;
    sim.submit(0, MS, TestJob::new(2, 4, 100 * MS).durable());
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(2), None);
    sim.submit(0, MS, TestJob::new(3, 4, 100 * MS).durable());
    sim.run_for(2 * MS);
    assert_matches!(sim.outcome(3), Some(JobOutcome::Refused { .. }));
    sim.is_store_down = false;
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Accepted));
    assert_eq!(record_state(&sim, 2), RecordState::Completed);
    assert!(!sim.records.contains_key(&JobId(3)));
}

/// Guards against records that can't be written after the token was raised.
#[test]
fn a_scheduler_with_a_raised_token_claims_its_cell_again() {
    let mut sim = Simulation::new(4, 1);
    let host = take_over(&mut sim, 2);
    sim.raise_token(host, 3);
    sim.submit(host, MS, TestJob::new(1, 4, 100 * MS).durable());
    sim.run_for(Duration::from_secs(2));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
}

/// A partition leaves some workers to the previous scheduler and, for three of four seeds, cuts
/// that scheduler off from the store. Both sides go on, and workers on both sides may report ends
/// of the same task.
#[test]
fn no_task_runs_again_after_a_partition_heals() {
    for seed in 0..40 {
        let mut sim = Simulation::new(6, seed);
        let load = |sim: &mut Simulation, host: usize, from: u64| {
            for number in 0..30 {
                let at = Duration::from_millis(40 * number);
                let mut filler = TestJob::new(from + 500 + number, 1, 60 * MS);
                filler.spec.steps[0].size.cpu_milli = 5_000;
                sim.submit(host, at, filler);
                let run_time = Duration::from_millis(50 + 30 * (number % 7));
                let job = TestJob::new(from + number, 3, run_time)
                    .with_slack()
                    .durable();
                sim.submit(host, at, job);
            }
        };
        load(&mut sim, 0, 1_000);
        sim.run_for(Duration::from_millis(400 + 20 * seed));
        // The old scheduler reaches three workers, the new one the other three and the store.
        sim.hosts[0].unreachable_workers = BTreeSet::from([0, 1, 2]);
        sim.hosts[0].is_store_unreachable = seed % 4 != 0;
        sim.run_for(400 * MS);
        let next = sim.add_host_with_records(2, &BTreeSet::from([3, 4, 5]));
        load(&mut sim, next, 2_000);
        sim.run_for(Duration::from_millis(1_000 + 100 * (seed % 13)));
        // The partition heals.
        sim.hosts[next].unreachable_workers.clear();
        sim.hosts[0].unreachable_workers.clear();
        sim.run_for(400 * MS);
        sim.kill(0);
        let last = if seed % 2 == 0 {
            next
        } else {
            sim.kill(next);
            sim.add_host_with_records(3, &BTreeSet::new())
        };
        sim.run_for(Duration::from_secs(12));
        assert!(
            sim.concurrent_runs.is_empty(),
            "seed {seed}: {:?}",
            sim.concurrent_runs
        );
        let restarted = sim.tasks_restarted_after_ack();
        assert!(
            restarted.is_empty(),
            "seed {seed}: {restarted:?}\n{}",
            sim.trace_of(restarted[0].job)
        );
        let records = sim.records.values();
        let open = records.filter(|r| r.0.state == RecordState::Open).count();
        assert_eq!(open, 0, "seed {seed}: open jobs, last host {last}");
    }
}

/// The successor receives unacknowledged ends again and must count them with those in the record,
/// so that the limit of attempts holds across schedulers.
#[test]
fn failed_runs_are_counted_across_schedulers() {
    let mut sim = Simulation::new(4, 1);
    for worker in &mut sim.workers {
        worker.behaviour = crate::worker::Behaviour::Failing;
    }
    for round in 2..12 {
        if round == 2 {
            let job = TestJob::new(1, 1, 50 * MS).with_slack().durable();
            sim.submit(0, MS, job);
        }
        sim.run_for(25 * MS);
        take_over(&mut sim, round);
    }
    sim.run_for(Duration::from_secs(5));
    assert_matches!(record_state(&sim, 1), RecordState::Failed);
    assert!(
        sim.start_counts.values().all(|&n| n <= 3),
        "{:?}",
        sim.start_counts
    );
}

/// The write took effect but its reply was lost: the retry must find the stored record.
#[test]
fn a_lost_reply_of_the_store_does_not_duplicate_a_job() {
    let mut sim = Simulation::new(4, 1);
    sim.lost_reply_share = 0.5;
    for id in 1..9 {
        sim.submit(0, MS, TestJob::new(id, 2, 100 * MS).durable());
    }
    sim.run_for(Duration::from_secs(8));
    for id in 1..9 {
        assert_eq!(sim.outcome(id), Some(JobOutcome::Accepted));
        assert_eq!(record_state(&sim, id), RecordState::Completed);
    }
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
}

#[test]
fn a_resubmitted_accepted_job_does_not_run_again() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, 100 * MS).durable());
    sim.run_for(50 * MS);
    sim.answers.clear();
    sim.submit(0, MS, TestJob::new(1, 4, 100 * MS).durable());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    sim.answers.clear();
    let host = take_over(&mut sim, 2);
    sim.submit(host, MS, TestJob::new(1, 4, 100 * MS).durable());
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// A task with a stored end must not run again, and an end must not be acknowledged before it is
/// stored, or a successor would start the task again.
#[test]
fn a_successor_continues_from_the_stored_progress() {
    let mut sim = Simulation::new(2, 1);
    let job = TestJob::new(1, 12, 200 * MS).with_slack().durable();
    sim.submit(0, MS, job);
    for round in 2..7 {
        sim.run_for(230 * MS);
        take_over(&mut sim, round);
    }
    sim.run_for(Duration::from_secs(6));
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
    assert!(sim.concurrent_runs.is_empty(), "{:?}", sim.concurrent_runs);
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// A worker reports an end until it is acknowledged. A scheduler that acknowledges an end before
/// storing it leaves its successor to run the task again.
#[test]
fn ends_are_acknowledged_only_once_they_are_stored() {
    let mut sim = Simulation::new(2, 1);
    sim.submit(0, MS, TestJob::new(1, 2, 100 * MS).durable());
    sim.run_for(50 * MS);
    sim.is_store_down = true;
    sim.run_for(200 * MS);
    sim.is_store_down = false;
    take_over(&mut sim, 2);
    sim.run_for(Duration::from_secs(3));
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled_after_a_takeover() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 4, Duration::from_secs(5)).durable());
    sim.run_for(100 * MS);
    sim.handle_command(0, Command::Cancel { id: JobId(1) });
    sim.run_for(200 * MS);
    assert_eq!(record_state(&sim, 1), RecordState::Cancelled);
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
    take_over(&mut sim, 2);
    sim.run_for(Duration::from_secs(3));
    assert!(sim.workers.iter().all(|w| w.running().count() == 0));
}

/// UNASKED: a copy that another entry VM had passed on late was stored as open after the acknowledged cancel.
#[test]
fn a_durable_copy_that_arrives_after_the_cancel_is_stored_as_cancelled() {
    let mut sim = Simulation::new(4, 1);
    sim.handle_command(0, Command::Cancel { id: JobId(1) });
    sim.submit(0, MS, TestJob::new(1, 4, 50 * MS).durable());
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(1), Some(JobOutcome::Accepted));
    assert_eq!(record_state(&sim, 1), RecordState::Cancelled);
    assert!(sim.start_counts.is_empty(), "{:?}", sim.start_counts);
}

/// An entry VM cancels a job by a write to the store, which reaches the scheduler by the feed of
/// records.
#[test]
fn a_record_changed_by_another_writer_is_adopted() {
    let mut sim = Simulation::new(1, 1);
    let job = TestJob::new(1, 4, 200 * MS).with_slack().durable();
    sim.submit(0, MS, job);
    sim.run_for(100 * MS);
    let (record, version) = sim.records.get_mut(&JobId(1)).unwrap();
    record.state = RecordState::Cancelled;
    *version += 1_000_000;
    let (record, version) = sim.records[&JobId(1)].clone();
    sim.handle_command(0, Command::RecordSeen { record, version });
    sim.run_for(Duration::from_secs(2));
    assert_eq!(record_state(&sim, 1), RecordState::Cancelled);
    assert_eq!(
        sim.start_counts.len(),
        2,
        "the tasks that were still queued must not start"
    );
}

#[test]
fn a_job_that_fails_too_often_is_stored_as_failed() {
    let mut sim = Simulation::new(4, 1);
    for worker in &mut sim.workers {
        worker.behaviour = crate::worker::Behaviour::Failing;
    }
    sim.submit(0, MS, TestJob::new(1, 1, 50 * MS).durable());
    sim.run_for(Duration::from_secs(5));
    assert_matches!(record_state(&sim, 1), RecordState::Failed);
}

/// The feed of records lags behind the writes of the scheduler itself.
#[test]
fn an_outdated_record_does_not_reopen_an_ended_job() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 2, 100 * MS).durable());
    sim.run_for(50 * MS);
    let (record, version) = sim.records[&JobId(1)].clone();
    assert_eq!(record.state, RecordState::Open);
    sim.run_for(500 * MS);
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
    sim.handle_command(0, Command::RecordSeen { record, version });
    sim.run_for(Duration::from_secs(2));
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// A successor that has not read the records yet skips ends of unknown jobs to process later ends
/// of known jobs. The skipped run must not start again.
#[test]
fn an_end_that_awaits_its_record_is_not_treated_as_a_missing_run() {
    let mut sim = Simulation::new(1, 1);
    sim.submit(0, MS, TestJob::new(1, 1, 100 * MS).durable());
    sim.run_for(50 * MS);
    sim.is_store_down = true;
    sim.run_for(100 * MS);
    sim.kill(0);
    let host = sim.add_host_with_records(2, &BTreeSet::new());
    sim.run_for(20 * MS);
    sim.submit(host, MS, TestJob::new(2, 1, 100 * MS));
    sim.run_for(500 * MS);
    sim.is_store_down = false;
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
    assert_eq!(record_state(&sim, 1), RecordState::Completed);
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// Accepted durable jobs can't be dropped, so a backlog must neither grow without a limit nor go
/// before later jobs.
#[test]
fn a_backlog_of_durable_jobs_is_limited_and_completes() {
    let mut sim = Simulation::new(8, 1);
    for number in 0..200 {
        let at = Duration::from_millis(10 * number);
        sim.submit(0, at, TestJob::new(number + 1, 4, 200 * MS).durable());
    }
    sim.run_for(Duration::from_secs(6));
    let accepted = |id: u64| sim.outcome(id) == Some(JobOutcome::Accepted);
    let accepted = (1..=200).filter(|&id| accepted(id)).count();
    // 16 slots complete 20 such jobs a second; 100 a second arrive for 2 s.
    assert!((20..=80).contains(&accepted), "{accepted}");
    for number in 0..10 {
        let at = Duration::from_millis(100 * number);
        sim.submit(0, at, TestJob::new(number + 1_000, 4, 200 * MS).durable());
    }
    sim.run_for(Duration::from_secs(4));
    assert!(
        sim.records
            .values()
            .all(|r| r.0.state == RecordState::Completed)
    );
    assert!(sim.false_refusals().is_empty());
}

/// The feed also delivers changes that are older than the records that the scheduler has read.
#[test]
fn record_changes_from_before_a_takeover_are_ignored() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 2, 100 * MS).durable());
    sim.run_for(50 * MS);
    let (record, version) = sim.records[&JobId(1)].clone();
    sim.run_for(500 * MS);
    let host = take_over(&mut sim, 2);
    sim.run_for(200 * MS);
    sim.handle_command(host, Command::RecordSeen { record, version });
    sim.run_for(Duration::from_secs(2));
    assert!(
        sim.start_counts.values().all(|&n| n == 1),
        "{:?}",
        sim.start_counts
    );
}

/// The end of a failed run is stored, and the next scheduler receives it again as it is not yet
/// acknowledged. It must not be counted twice.
#[test]
fn a_failed_run_counts_once() {
    let mut sim = Simulation::new(1, 1);
    sim.workers[0].behaviour = crate::worker::Behaviour::Failing;
    let job = TestJob::new(1, 1, 50 * MS).with_slack().durable();
    sim.submit(0, MS, job);
    sim.run_for(20 * MS);
    // The failed run is stored, but its worker can't receive the acknowledgement.
    sim.hosts[0].unreachable_workers.insert(0);
    sim.run_for(20 * MS);
    for round in 2..8 {
        sim.workers[0].behaviour = crate::worker::Behaviour::Hanging;
        take_over(&mut sim, round);
        let last = sim.hosts.len() - 1;
        sim.hosts[last].unreachable_workers.insert(0);
    }
    let failed = sim.records[&JobId(1)].0.progress.clone();
    let failed: usize = failed.iter().map(|p| p.failed_runs.len()).sum();
    let ends = sim.workers[0].failed_run_count();
    assert!(failed <= ends, "{failed} failed runs stored, {ends} failed");
    assert_eq!(record_state(&sim, 1), RecordState::Open);
}

/// With a store latency of 280 ms, 70 times the usual one, changes of one job are due while an
/// earlier write is still in flight.
#[test]
fn no_end_is_lost_with_a_slow_store() {
    for seed in 0..20 {
        let mut sim = Simulation::new(12, seed);
        let load = |sim: &mut Simulation, host: usize, from: u64| {
            for number in 0..60 {
                let at = Duration::from_millis(20 * number);
                let run_time = Duration::from_millis(50 + 30 * (number % 7));
                let job = TestJob::new(from + number, 2, run_time)
                    .with_slack()
                    .durable();
                sim.submit(host, at, job);
            }
        };
        load(&mut sim, 0, 1_000);
        sim.run_for(Duration::from_millis(600));
        sim.store_latency = Duration::from_millis(280);
        let host = take_over(&mut sim, 2);
        load(&mut sim, host, 2_000);
        sim.run_for(Duration::from_millis(1_500 + 100 * seed));
        sim.store_latency = 4 * MS;
        sim.run_for(Duration::from_secs(3));
        take_over(&mut sim, 3);
        sim.run_for(Duration::from_secs(5));
        assert_all_ended_once(&sim, seed);
    }
}

/// Writes to the store take effect without a reply, some of them seconds late, while schedulers
/// take over from one another.
#[test]
fn no_end_is_lost_with_unanswered_writes() {
    for seed in 0..40 {
        let mut sim = Simulation::new(12, seed);
        sim.lost_store_reply_share = 0.35;
        sim.delayed_write_share = if seed % 2 == 0 { 0.2 } else { 0.0 };
        let load = |sim: &mut Simulation, host: usize, from: u64| {
            for number in 0..60 {
                let at = Duration::from_millis(40 * number);
                let run_time = Duration::from_millis(30 + 30 * (number % 7));
                let mut job = TestJob::new(from + number, 3, run_time)
                    .with_slack()
                    .durable();
                job.may_have_started = number % 3 == 0;
                sim.submit(host, at, job);
            }
        };
        let mut host = 0;
        for round in 2..5 {
            load(&mut sim, host, round * 1_000);
            sim.run_for(Duration::from_millis(2_500 + 30 * seed));
            host = take_over(&mut sim, round);
        }
        sim.lost_store_reply_share = 0.0;
        sim.delayed_write_share = 0.0;
        sim.run_for(Duration::from_secs(12));
        take_over(&mut sim, 9);
        sim.run_for(Duration::from_secs(6));
        assert_all_ended_once(&sim, seed);
        assert!(sim.false_refusals().is_empty(), "seed {seed}");
    }
}

/// The caller resubmits its job just after a takeover: the new scheduler has the job before it has
/// read its record, and receives ends of its tasks in between.
#[test]
fn no_end_is_lost_when_a_job_is_resubmitted_during_a_takeover() {
    for gap in 0..12 {
        let mut sim = Simulation::new(4, gap);
        let job = TestJob::new(1, 4, 100 * MS).with_slack().durable();
        sim.submit(0, MS, job.clone());
        sim.run_for(Duration::from_millis(105 + 2 * gap));
        sim.kill(0);
        let host = sim.add_host_with_records(2, &BTreeSet::new());
        sim.submit(host, MS, job.clone());
        sim.run_for(Duration::from_secs(4));
        let restarted = sim.tasks_restarted_after_ack();
        assert!(restarted.is_empty(), "gap {gap}: {restarted:?}");
        assert_eq!(record_state(&sim, 1), RecordState::Completed);
        assert!(sim.start_counts.values().all(|&n| n == 1), "gap {gap}");
    }
}

/// After a restart of all VMs while the store is unavailable, workers report ends of unknown jobs.
/// A poll that returns only such ends must not be repeated without a pause.
#[test]
fn workers_with_ends_of_unknown_jobs_are_not_polled_without_a_pause() {
    let mut sim = Simulation::new(4, 1);
    sim.submit(0, MS, TestJob::new(1, 8, 60 * MS));
    sim.run_for(50 * MS);
    sim.kill(0);
    sim.run_for(50 * MS);
    sim.is_store_down = true;
    let host = sim.add_host_with_records(2, &BTreeSet::new());
    let job = TestJob::new(2, 8, Duration::from_secs(2)).with_slack();
    sim.submit(host, MS, job);
    sim.run_for(Duration::from_secs(1));
    assert_eq!(sim.outcome(2), None);
    let polls: u32 = sim.workers.iter().map(|w| w.answered_polls).sum();
    assert!(polls <= 4 * 30, "{polls} polls in a second");
    sim.is_store_down = false;
    sim.run_for(Duration::from_secs(3));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed));
}
