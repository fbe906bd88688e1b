//! Confirmations that arrive late, or not at all, and what they cost the callers of other VMs.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::configs::leased::LeasedConfig;
use geraniumrelay_core::leased::{Command, JobId, JobOutcome, Submission};

use crate::world::{Simulation, TestJob, vm};

const MS: Duration = Duration::from_millis(1);

/// Interval at which an entry VM confirms its jobs.
const INTERVAL: Duration = Duration::from_millis(150);

/// Time after which a caller without an answer sends its job again.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);

/// Age of the last heartbeat that an entry VM has received from a scheduler without faults.
const HEARTBEAT_AGE: Duration = Duration::from_millis(60);

/// Entry VM of the jobs whose confirmations are late.
const LATE: u8 = 100;

/// Entry VM without faults.
const SOUND: u8 = 101;

/// A task that occupies a small part of a worker.
fn small_job(id: u64, run_time: Duration) -> TestJob {
    let job = TestJob::new(id, 1, run_time).with_cpu(5_000).with_slack();
    job.with_remaining_wait(Duration::from_secs(30))
}

fn submit(sim: &mut Simulation, host: usize, job: TestJob, origin: u8, as_of: Instant) {
    let submission = Submission {
        spec: job.spec.clone(),
        origin: vm(origin),
        name: None,
        waited: job.waited,
        remaining_wait: job.remaining_wait,
        as_of: Some(as_of),
        may_have_started: job.may_have_started,
        former_tokens: job.former_tokens.clone(),
        has_alternative: false,
        losses: Vec::new(),
    };
    sim.jobs.insert(job.spec.id, job);
    sim.handle_command(host, Command::Submit(submission));
}

fn confirm(sim: &mut Simulation, host: usize, origin: u8, age: Duration, jobs: &[u64]) {
    let cmd = Command::Confirm {
        origin: vm(origin),
        as_of: sim.now.checked_sub(age).unwrap(),
        jobs: jobs.iter().copied().map(JobId).collect(),
    };
    sim.handle_command(host, cmd);
}

fn is_running(sim: &Simulation, id: u64) -> bool {
    !sim.workers_running(id).is_empty()
}

/// Two jobs of different entry VMs run on one worker. The confirmations of job 1 arrive at the usual interval, and grow
/// up to `max_age` old.
fn run_with_growing_delay(max_age: Duration) -> Simulation {
    let mut sim = Simulation::new(1, 1);
    let as_of = sim.now;
    submit(
        &mut sim,
        0,
        small_job(1, Duration::from_secs(12)),
        LATE,
        as_of,
    );
    submit(
        &mut sim,
        0,
        small_job(2, Duration::from_secs(8)),
        SOUND,
        as_of,
    );
    sim.run_for(50 * MS);
    let mut age = HEARTBEAT_AGE;
    for _ in 0..40 {
        sim.run_for(INTERVAL);
        age = (age + 30 * MS).min(max_age);
        confirm(&mut sim, 0, LATE, age, &[1]);
        confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[2]);
    }
    sim
}

/// An entry VM with full links to the scheduler is not silent, so its jobs went on, and all leases of their workers lapsed.
#[test]
fn a_job_with_late_confirmations_does_not_cost_other_jobs_their_leases() {
    let mut sim = run_with_growing_delay(1_200 * MS);
    for _ in 0..20 {
        sim.run_for(INTERVAL);
        confirm(&mut sim, 0, LATE, 1_200 * MS, &[1]);
        confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[2]);
    }
    let trace = sim.trace_of(JobId(2));
    assert_eq!(sim.outcome(2), Some(JobOutcome::Completed), "{trace}");
    let starts: Vec<_> = sim
        .start_times
        .iter()
        .filter(|s| s.0.job == JobId(2))
        .collect();
    assert_eq!(starts.len(), 1, "{trace}");
}

/// Submits a job of a sound entry VM to a worker that has one with confirmations up to `max_age` old. Returns how long it
/// waits.
fn start_third_job(max_age: Duration) -> (Simulation, Duration) {
    let mut sim = run_with_growing_delay(max_age);
    let as_of = sim.now.checked_sub(HEARTBEAT_AGE).unwrap();
    submit(&mut sim, 0, small_job(3, 500 * MS), SOUND, as_of);
    let mut waited = Duration::ZERO;
    while !is_running(&sim, 3) && waited < 2_000 * MS {
        sim.run_for(10 * MS);
        waited += 10 * MS;
        if waited.as_millis().is_multiple_of(INTERVAL.as_millis()) {
            confirm(&mut sim, 0, LATE, max_age, &[1]);
            confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[2, 3]);
        }
    }
    (sim, waited)
}

/// No worker with a job of an entry VM with slow links started jobs of other callers.
#[test]
fn a_job_with_late_confirmations_does_not_keep_other_jobs_from_its_worker() {
    let (_, waited) = start_third_job(800 * MS);
    assert!(
        waited < 100 * MS,
        "started after {waited:?} on a worker with room"
    );
}

/// Where callers send jobs again after 0.6 s, no job of another VM was ever started.
#[test]
fn jobs_start_where_callers_send_them_again_soon() {
    let mut failed = Vec::new();
    for resend_ms in [300, 400, 600, 700, 800, 1_000, 1_300] {
        let mut sim = Simulation::new(1, 1);
        sim.cfg.leased = LeasedConfig::default().with_times(1_000 * MS, resend_ms * MS);
        let as_of = sim.now.checked_sub(HEARTBEAT_AGE).unwrap();
        submit(&mut sim, 0, small_job(1, 200 * MS), SOUND, as_of);
        for _ in 0..6 {
            sim.run_for(INTERVAL);
            confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[1]);
        }
        if sim.outcome(1) != Some(JobOutcome::Completed) {
            failed.push(resend_ms);
        }
    }
    assert!(
        failed.is_empty(),
        "not where callers send them again after {failed:?} ms"
    );
}

/// The lease of a worker with a job of the scheduler's own VM outlasts the sign of any other job.
#[test]
fn jobs_start_beside_jobs_without_a_limit() {
    let mut failed = Vec::new();
    for resend_ms in [800, 900, 1_000, 1_100, 1_300] {
        let mut sim = Simulation::new(1, 1);
        sim.cfg.leased = LeasedConfig::default().with_times(1_000 * MS, resend_ms * MS);
        sim.submit(0, MS, small_job(1, Duration::from_secs(8)));
        sim.run_for(1_000 * MS);
        for id in 2..22 {
            let as_of = sim.now.checked_sub(HEARTBEAT_AGE).unwrap();
            submit(&mut sim, 0, small_job(id, 100 * MS), SOUND, as_of);
            sim.run_for(INTERVAL);
            confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[id]);
            sim.run_for(INTERVAL);
        }
        let started: usize = (2..22).filter(|&id| sim.outcome(id).is_some()).count();
        if started < 20 {
            failed.push((resend_ms, started));
        }
    }
    assert!(
        failed.is_empty(),
        "time of resending, and jobs of 20 that ended: {failed:?}"
    );
}

/// REFUSED: a confirmation that crossed the refusal of a job had it refused twice, and the second answer was taken for that
/// of the next submission, which was started.
#[test]
fn a_confirmation_that_crosses_an_answer_repeats_no_answer() {
    let mut sim = Simulation::new(1, 1);
    let heard = sim.now;
    let job = small_job(1, Duration::from_secs(5)).with_remaining_wait(MS);
    submit(&mut sim, 0, job, SOUND, heard);
    assert_matches!(sim.outcome(1), Some(JobOutcome::Refused { .. }));
    sim.answers.clear();
    confirm(&mut sim, 0, SOUND, Duration::ZERO, &[1]);
    assert_eq!(sim.outcome(1), None);
}

/// The answer was dropped by a full link, and the caller waited until its maximum wait.
#[test]
fn a_dropped_job_that_is_confirmed_again_is_answered_again() {
    let mut sim = Simulation::new(1, 1);
    let as_of = sim.now;
    let job = small_job(1, Duration::from_secs(5));
    submit(&mut sim, 0, job, LATE, as_of);
    sim.run_for(1_000 * MS);
    assert_eq!(sim.outcome(1), Some(JobOutcome::TimedOut));
    sim.answers.clear();
    for _ in 0..10 {
        sim.run_for(INTERVAL);
        confirm(&mut sim, 0, LATE, HEARTBEAT_AGE, &[1]);
    }
    let is_served = is_running(&sim, 1) || sim.outcome(1).is_some();
    assert!(is_served, "{}", sim.trace_of(JobId(1)));
}

/// The entry VM has not heard yet that the scheduler's process is another one, and echoes a time of the former one.
#[test]
fn a_job_whose_sign_is_of_a_former_process_ends_before_its_caller_sends_it_again() {
    let mut sim = Simulation::new(1, 1);
    let as_of = sim.now + Duration::from_hours(1);
    submit(
        &mut sim,
        0,
        small_job(1, Duration::from_secs(5)),
        LATE,
        as_of,
    );
    sim.run_for(RESEND_DELAY);
    assert!(!is_running(&sim, 1), "{}", sim.trace_of(JobId(1)));
}

/// Time for which a scheduler goes on after a poll has renewed the lease of its worker.
const AFTER_LAST_POLL: Duration = Duration::from_millis(10);

/// What the next scheduler knows of the records of durable jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Records {
    /// There are none.
    Absent,
    Readable,
    Unreadable,
}

/// The scheduler, and the entry VM of job 1, are lost at once, with a job of another VM on the same worker. Returns the
/// takeovers, in milliseconds after that, with which job 1 runs when its caller sends it again; the stops of the next
/// scheduler are lost.
fn takeovers_with_two_runs(range: std::ops::Range<u32>, records: Records) -> Vec<u32> {
    range
        .step_by(25)
        .filter(|&after| runs_after_takeover(after * MS, records))
        .collect()
}

fn runs_after_takeover(after: Duration, records: Records) -> bool {
    let mut sim = Simulation::new(1, 1);
    let as_of = sim.now;
    submit(
        &mut sim,
        0,
        small_job(1, Duration::from_secs(5)),
        LATE,
        as_of,
    );
    submit(
        &mut sim,
        0,
        small_job(2, Duration::from_secs(5)),
        SOUND,
        as_of,
    );
    for _ in 0..4 {
        sim.run_for(INTERVAL);
        confirm(&mut sim, 0, LATE, HEARTBEAT_AGE, &[1]);
        confirm(&mut sim, 0, SOUND, HEARTBEAT_AGE, &[2]);
    }
    sim.run_for(AFTER_LAST_POLL);
    assert!(is_running(&sim, 1) && is_running(&sim, 2));
    sim.kill(0);
    let killed_at = sim.now;
    sim.run_for(after);
    sim.is_store_down = records == Records::Unreadable;
    let next = if records == Records::Absent {
        sim.add_host(2)
    } else {
        sim.add_host_with_records(2, &BTreeSet::new())
    };
    sim.hosts_with_lost_stops.insert(next);
    let mut job = small_job(2, Duration::from_secs(5)).resubmitted();
    job.former_tokens = vec![sim.hosts[0].token()];
    let as_of = sim.now;
    submit(&mut sim, next, job, SOUND, as_of);
    while sim.now + INTERVAL < killed_at + RESEND_DELAY {
        sim.run_for(INTERVAL);
        confirm(&mut sim, next, SOUND, HEARTBEAT_AGE, &[2]);
    }
    let left = (killed_at + RESEND_DELAY).saturating_duration_since(sim.now);
    sim.run_for(left);
    is_running(&sim, 1)
}

/// The first poll that is sent before the records are read renews the lease of an unclaimed run by 0.95 s.
#[test]
fn an_unclaimed_run_has_ended_before_its_caller_sends_the_job_again_where_records_are_read() {
    let failed = takeovers_with_two_runs(300..600, Records::Readable);
    assert!(failed.is_empty(), "takeovers after {failed:?} ms");
}

/// Polls went on renewing the lease of an unclaimed run whose stops were lost.
#[test]
fn an_unclaimed_run_has_ended_before_its_caller_sends_the_job_again_without_the_store() {
    let failed = takeovers_with_two_runs(300..600, Records::Unreadable);
    assert!(failed.is_empty(), "takeovers after {failed:?} ms");
}

#[test]
fn an_unclaimed_run_has_ended_before_its_caller_sends_the_job_again_after_a_takeover() {
    let failed = takeovers_with_two_runs(300..900, Records::Absent);
    assert!(failed.is_empty(), "takeovers after {failed:?} ms");
}

/// The worker is out of reach of the next scheduler until shortly before its lease lapses.
#[test]
fn an_unclaimed_run_has_ended_before_its_caller_sends_the_job_again_after_a_late_report() {
    let failed = takeovers_with_two_runs(900..1_000, Records::Absent);
    assert!(failed.is_empty(), "first reports after {failed:?} ms");
}

/// Two jobs of sound entry VMs on a worker do not keep a third one from it.
#[test]
fn a_job_starts_at_once_beside_jobs_that_are_confirmed_in_time() {
    let (sim, waited) = start_third_job(HEARTBEAT_AGE);
    assert!(waited < 100 * MS, "started after {waited:?}");
    assert!(sim.start_counts.values().all(|&n| n == 1));
}

/// TWICE: the former scheduler had started the task beside a run with a longer lease, after the entry VM had left it.
#[test]
fn a_job_that_is_passed_on_waits_until_a_run_under_a_longer_lease_has_ended() {
    let mut sim = Simulation::new(2, 1);
    let next = sim.add_host_with(2, &BTreeSet::from([1]), true);
    sim.run_for(50 * MS);
    let moved_at = sim.now;
    let job = small_job(1, 100 * MS).resubmitted();
    submit(&mut sim, next, job, SOUND, moved_at);
    while sim.start_times.is_empty() {
        assert!(sim.now < moved_at + 3_000 * MS, "it does not start");
        sim.run_for(10 * MS);
        confirm(&mut sim, next, SOUND, Duration::ZERO, &[1]);
    }
    let (_, started_at) = sim.start_times[0];
    let cfg = &sim.cfg.leased;
    let waited = started_at - moved_at;
    assert!(
        waited >= cfg.confirmation_ttl + cfg.lease_excess,
        "{waited:?}"
    );
}
