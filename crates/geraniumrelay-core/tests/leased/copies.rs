//! Copies of submissions that a scheduler has answered before, and further requests under the same id.

use std::collections::BTreeSet;
use std::time::Duration;

use assert_matches::assert_matches;
use geraniumrelay_core::leased::{
    AttemptId, Command, EntryVm, FencingToken, JobId, JobOutcome, Submission, SubmissionId,
};

use crate::world::{Simulation, TestJob, vm};

const MS: Duration = Duration::from_millis(1);

/// Entry VM of the copies, unless a test names another one.
const ENTRY: u8 = 101;

/// A durable job that takes a whole worker.
fn busy(id: u64, time: Duration) -> TestJob {
    TestJob::new(id, 2, time).with_slack().durable()
}

/// A scheduler with one worker that runs a durable job for this time, so that no other job can start meanwhile.
fn busy_for(time: Duration) -> Simulation {
    let mut sim = Simulation::new(1, 1);
    send(&mut sim, 0, &busy(99, time), (90, 1, 1), &[]);
    sim.run_for(100 * MS);
    assert_eq!(last_answer(&sim, 99), Some(JobOutcome::Accepted));
    assert_eq!(sim.start_counts.len(), 2);
    sim
}

/// A job that can't wait for the busy worker.
fn urgent(id: u64, is_durable: bool) -> TestJob {
    let job = TestJob::new(id, 1, 100 * MS);
    if is_durable { job.durable() } else { job }
}

/// Sends a copy of a job, named by its entry VM, attempt and number, as one that schedulers with `former_tokens` had.
fn send(
    sim: &mut Simulation,
    host: usize,
    job: &TestJob,
    (origin, attempt, copy): (u8, u64, u32),
    former_tokens: &[FencingToken],
) {
    let submission = Submission {
        spec: job.spec.clone(),
        origin: vm(origin),
        name: Some(name(attempt, copy)),
        waited: job.waited,
        remaining_wait: job.remaining_wait,
        as_of: None,
        may_have_started: copy > 1,
        former_tokens: former_tokens.to_vec(),
        has_alternative: false,
        losses: Vec::new(),
    };
    sim.jobs.insert(job.spec.id, job.clone());
    sim.handle_command(host, Command::Submit(submission));
}

fn name(attempt: u64, copy: u32) -> SubmissionId {
    let attempt = AttemptId(attempt);
    SubmissionId { attempt, copy }
}

fn last_answer(sim: &Simulation, id: u64) -> Option<JobOutcome> {
    let answers = sim.named_answers.iter().rev();
    let mut of_job = answers.filter(|a| a.1 == JobId(id));
    of_job.next().map(|a| a.3)
}

/// The copies of a job that were answered to an entry VM, and whether as refused.
fn answered(sim: &Simulation, id: u64, origin: EntryVm) -> Vec<(SubmissionId, bool)> {
    let answers = sim.named_answers.iter();
    let of_job = answers.filter(|a| (a.0, a.1) == (origin, JobId(id)));
    of_job
        .map(|a| (a.2.unwrap(), matches!(a.3, JobOutcome::Refused { .. })))
        .collect()
}

fn has_run(sim: &Simulation, id: u64) -> bool {
    sim.start_counts.keys().any(|task| task.job == JobId(id))
}

/// REFUSED: the second copy of a durable job was stored, while the refusal of the first one reached the caller.
#[test]
fn a_further_copy_of_a_refused_job_is_refused_as_well() {
    for is_durable in [true, false] {
        let mut sim = busy_for(3_000 * MS);
        let job = urgent(1, is_durable);
        send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
        send(&mut sim, 0, &job, (ENTRY, 5, 2), &[]);
        sim.run_for(3_500 * MS);
        send(&mut sim, 0, &job, (ENTRY, 5, 3), &[]);
        sim.run_for(1_000 * MS);
        let expected = [1, 2, 3].map(|copy| (name(5, copy), true));
        assert_eq!(answered(&sim, 1, vm(ENTRY)), expected, "{is_durable}");
        assert!(!has_run(&sim, 1), "durable: {is_durable}");
        let outcomes: Vec<_> = sim
            .named_answers
            .iter()
            .filter(|a| a.1 == JobId(1))
            .collect();
        assert!(
            outcomes.iter().all(|a| a.3 == outcomes[0].3),
            "a copy is no new demand: {outcomes:?}"
        );
    }
}

#[test]
fn the_next_request_after_a_refusal_is_judged_anew() {
    for is_durable in [true, false] {
        let mut sim = busy_for(500 * MS);
        let job = urgent(1, is_durable);
        send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
        assert_matches!(last_answer(&sim, 1), Some(JobOutcome::Refused { .. }));
        sim.run_for(1_000 * MS);
        send(&mut sim, 0, &job, (ENTRY, 6, 1), &[]);
        sim.run_for(1_000 * MS);
        assert!(has_run(&sim, 1), "durable: {is_durable}");
        let answers = answered(&sim, 1, vm(ENTRY));
        assert_eq!(answers, [(name(5, 1), true), (name(6, 1), false)]);
    }
}

/// The first copy of the next request was lost, so that its second one is the first to arrive.
#[test]
fn a_later_copy_of_the_next_request_after_a_refusal_is_not_refused_for_it() {
    for is_durable in [true, false] {
        let mut sim = busy_for(500 * MS);
        let job = urgent(1, is_durable).with_slack();
        send(&mut sim, 0, &urgent(1, is_durable), (ENTRY, 5, 1), &[]);
        sim.run_for(1_000 * MS);
        send(&mut sim, 0, &job, (ENTRY, 6, 2), &[]);
        sim.run_for(4_000 * MS);
        let answers = answered(&sim, 1, vm(ENTRY));
        assert_eq!(answers, [(name(5, 1), true), (name(6, 2), false)]);
    }
}

/// The caller has sent its job through another entry VM since, where it was accepted.
#[test]
fn a_copy_of_a_refused_attempt_does_not_join_the_job_of_another_entry_vm() {
    let mut sim = busy_for(500 * MS);
    let job = urgent(1, false);
    send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
    sim.run_for(1_000 * MS);
    send(&mut sim, 0, &job, (102, 5, 1), &[]);
    send(&mut sim, 0, &job, (ENTRY, 5, 2), &[]);
    sim.run_for(1_000 * MS);
    let expected = [(name(5, 1), true), (name(5, 2), true)];
    assert_eq!(answered(&sim, 1, vm(ENTRY)), expected);
    assert_eq!(answered(&sim, 1, vm(102)), [(name(5, 1), false)]);
}

/// The 2xx was lost with the link. A full cell must not refuse what it has accepted: a job that waits, one that has ended,
/// and one whose outcome is forgotten.
#[test]
fn a_copy_of_an_accepted_job_is_accepted_under_overload() {
    for pause in [20, 1_000, 12_000] {
        let mut sim = busy_for(300 * MS);
        let job = TestJob::new(1, 2, 100 * MS).with_slack().durable();
        send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
        sim.run_for(pause * MS);
        send(&mut sim, 0, &busy(2, 4_000 * MS), (90, 2, 1), &[]);
        send(&mut sim, 0, &busy(3, 4_000 * MS), (90, 3, 1), &[]);
        sim.run_for(50 * MS);
        send(&mut sim, 0, &urgent(4, true), (90, 4, 1), &[]);
        assert_matches!(last_answer(&sim, 4), Some(JobOutcome::Refused { .. }));
        send(&mut sim, 0, &job, (ENTRY, 5, 2), &[]);
        sim.run_for(100 * MS);
        let expected = [(name(5, 1), false), (name(5, 2), false)];
        assert_eq!(answered(&sim, 1, vm(ENTRY)), expected, "after {pause} ms");
        assert_eq!(last_answer(&sim, 1), Some(JobOutcome::Accepted));
        sim.run_for(12_000 * MS);
        let starts = sim.start_counts.iter().filter(|(t, _)| t.job == JobId(1));
        assert!(starts.map(|(_, &n)| n).eq([1, 1]), "after {pause} ms");
    }
}

/// The entry VM connects again after the scheduler has given its jobs up; only the answer to the copy that it sends then
/// counts there.
#[test]
fn a_job_dropped_with_its_entry_vm_is_taken_again_with_the_next_copy() {
    let mut sim = busy_for(1_500 * MS);
    let job = TestJob::new(1, 1, 100 * MS).with_slack();
    let job = job.with_remaining_wait(6_000 * MS);
    send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
    sim.handle_command(0, Command::EntryLost(vm(ENTRY)));
    sim.run_for(700 * MS);
    assert_eq!(answered(&sim, 1, vm(ENTRY)), [(name(5, 1), true)]);
    send(&mut sim, 0, &job, (ENTRY, 5, 2), &[]);
    sim.run_for(3_000 * MS);
    assert_eq!(last_answer(&sim, 1), Some(JobOutcome::Completed));
    let expected = [(name(5, 1), true), (name(5, 2), false)];
    assert_eq!(answered(&sim, 1, vm(ENTRY)), expected);
}

/// The answer names the copy that the outcome belongs to, not the request that waits now.
#[test]
fn a_confirmation_is_answered_with_the_outcome_of_its_own_attempt() {
    let mut sim = busy_for(3_000 * MS);
    send(&mut sim, 0, &urgent(1, false), (ENTRY, 5, 1), &[]);
    sim.run_for(100 * MS);
    for origin in [ENTRY, 102] {
        let cmd = Command::Confirm {
            origin: vm(origin),
            as_of: sim.now,
            jobs: vec![JobId(1)],
        };
        sim.handle_command(0, cmd);
    }
    let answers: Vec<_> = sim
        .named_answers
        .iter()
        .filter(|a| a.1 == JobId(1))
        .collect();
    let [refused, repeated, of_other_vm] = answers[..] else {
        panic!("{answers:?}");
    };
    assert_eq!(repeated, refused);
    let expected = (vm(102), JobId(1), None, JobOutcome::TimedOut);
    assert_eq!(*of_other_vm, expected, "it was not refused to this VM");
}

/// The link to the entry VM broke behind both answers. Only one that names the last copy counts there.
#[test]
fn a_confirmation_is_answered_for_the_last_copy_that_has_arrived() {
    let mut sim = busy_for(3_000 * MS);
    for copy in [1, 2] {
        send(&mut sim, 0, &urgent(1, true), (ENTRY, 5, copy), &[]);
    }
    sim.run_for(100 * MS);
    let cmd = Command::Confirm {
        origin: vm(ENTRY),
        as_of: sim.now,
        jobs: vec![JobId(1)],
    };
    sim.handle_command(0, cmd);
    let expected = [1, 2, 2].map(|copy| (name(5, copy), true));
    assert_eq!(answered(&sim, 1, vm(ENTRY)), expected);
}

/// The callers of another entry VM have left; the request that waits here was answered as if it had been cancelled.
#[test]
fn a_confirmation_after_the_withdrawal_of_another_attempt_is_not_answered_as_cancelled() {
    let mut sim = busy_for(3_000 * MS);
    let job = TestJob::new(1, 1, 100 * MS).with_slack();
    let job = job.with_remaining_wait(6_000 * MS);
    send(&mut sim, 0, &job, (102, 5, 1), &[]);
    let id = JobId(1);
    let origin = vm(102);
    sim.handle_command(0, Command::Withdraw { id, origin });
    sim.run_for(100 * MS);
    let cmd = Command::Confirm {
        origin: vm(ENTRY),
        as_of: sim.now,
        jobs: vec![id],
    };
    sim.handle_command(0, cmd);
    assert_eq!(last_answer(&sim, 1), Some(JobOutcome::TimedOut));
}

/// The callers of the first request have left; the next one was answered as if it had been cancelled.
#[test]
fn a_copy_of_the_next_request_after_a_withdrawal_is_not_cancelled() {
    let mut sim = busy_for(800 * MS);
    let job = TestJob::new(1, 1, 100 * MS).with_slack();
    let job = job.with_remaining_wait(6_000 * MS);
    send(&mut sim, 0, &job, (ENTRY, 5, 1), &[]);
    let origin = vm(ENTRY);
    let id = JobId(1);
    sim.handle_command(0, Command::Withdraw { id, origin });
    send(&mut sim, 0, &job, (ENTRY, 6, 2), &[]);
    sim.run_for(4_000 * MS);
    assert_eq!(last_answer(&sim, 1), Some(JobOutcome::Completed));
    sim.handle_command(0, Command::Cancel { id: JobId(2) });
    let cancelled = TestJob::new(2, 1, 100 * MS).with_slack();
    send(&mut sim, 0, &cancelled, (ENTRY, 7, 2), &[]);
    assert_eq!(last_answer(&sim, 2), Some(JobOutcome::Cancelled));
}

/// A refusal says that the job has not run, which a scheduler can't know of a job that another one had: also if that one
/// was on the same VM, and has been dropped and made again. Its runs may have ended before this one has polled the workers.
#[test]
fn a_job_that_another_scheduler_had_is_not_refused() {
    for former in [vm(1), vm(7)] {
        let mut sim = busy_for(9_000 * MS);
        let former = FencingToken::new(0, former);
        let job = TestJob::new(1, 1, 100 * MS).with_slack();
        let job = job.with_remaining_wait(5_000 * MS);
        send(&mut sim, 0, &job, (ENTRY, 5, 2), &[former]);
        sim.run_for(8_000 * MS);
        assert_eq!(last_answer(&sim, 1), Some(JobOutcome::TimedOut));
        assert!(!has_run(&sim, 1));
    }
}

/// A durable job that the former scheduler may have stored is refused by none of its successors, also not while they can't
/// read the records.
#[test]
fn a_durable_job_that_a_former_scheduler_may_have_stored_is_not_refused_without_its_record() {
    let mut sim = Simulation::new(1, 1);
    let former = sim.hosts[0].token();
    sim.kill(0);
    sim.is_store_down = true;
    let host = sim.add_host_with_records(2, &BTreeSet::new());
    let job = TestJob::new(1, 1, 100 * MS).durable();
    send(&mut sim, host, &job, (ENTRY, 5, 2), &[former]);
    sim.run_for(8_000 * MS);
    assert_eq!(last_answer(&sim, 1), Some(JobOutcome::TimedOut));
}
