//! Jobs whose callers wait for an answer at this entry VM.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::attempt::Evidence;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    EntryVm, FencingToken, JobId, JobOutcome, LostRun, RefusalReason, SubmissionId, TaskName,
};
use tokio::sync::oneshot;

use super::{MS, spec};
use crate::leased::pending_jobs::PendingJobs;

const ID: JobId = JobId(1);
const OLD: FencingToken = FencingToken(1);
const NEW: FencingToken = FencingToken(2);

fn vm() -> EntryVm {
    EntryVm([10, 0, 0, 1].into())
}

/// Pending jobs with one job in them, and the receiver of the job's caller.
fn one_pending_job(now: Instant) -> (PendingJobs, oneshot::Receiver<JobOutcome>) {
    let mut jobs = PendingJobs::default();
    let (tx, rx) = oneshot::channel();
    assert!(jobs.add(spec(1), Duration::from_secs(2), tx, now));
    (jobs, rx)
}

/// What a refusal of the last copy by the scheduler of `cell` with `token` says.
fn judge_refusal(jobs: &PendingJobs, cell: &CellName, token: FencingToken) -> Option<Evidence> {
    let refusal = JobOutcome::Refused {
        reason: RefusalReason::Overload,
        retry_after: Duration::from_secs(1),
    };
    jobs.judge(ID, jobs.last_submission(ID), refusal, (cell, token))
}

#[test]
fn a_job_is_sent_to_each_scheduler_once() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let first = jobs.assign(ID, (&cell, false), OLD, vm(), now).unwrap();
    assert!(!first.may_have_started);
    assert!(jobs.unsent().is_empty());
    jobs.mark_unsent(&cell);
    assert_eq!(jobs.unsent()[0].cell, Some(cell.clone()));
    let second = jobs
        .assign(ID, (&cell, false), NEW, vm(), now + 10 * MS)
        .unwrap();
    assert!(second.may_have_started);
    assert_eq!(second.waited, 10 * MS);
}

/// BUDGET: the next scheduler must know which tasks crash their workers.
#[test]
fn lost_runs_go_along_to_the_next_scheduler() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let assign =
        |jobs: &mut PendingJobs, token| jobs.assign(ID, (&cell, false), token, vm(), now).unwrap();
    assert!(assign(&mut jobs, OLD).losses.is_empty());
    let task = TaskName {
        job: ID,
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let lost = LostRun {
        run: 1,
        was_alone: true,
        is_crash: false,
    };
    jobs.set_losses(ID, vec![(task, vec![lost])]);
    jobs.mark_unsent(&cell);
    assert_eq!(assign(&mut jobs, NEW).losses, [(task, vec![lost])]);
}

/// A refusal by a scheduler that has been replaced must not end the job.
#[test]
fn only_the_last_scheduler_may_answer() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    jobs.assign(ID, (&cell, false), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    jobs.assign(ID, (&cell, false), NEW, vm(), now);
    let refusal = JobOutcome::Refused {
        reason: RefusalReason::Overload,
        retry_after: Duration::from_secs(1),
    };
    let judge = |copy, token| {
        let submission = jobs.last_submission(ID).map(|s| SubmissionId { copy, ..s });
        let named = jobs.judge(ID, submission, refusal, (&cell, token));
        (named, jobs.judge(ID, None, refusal, (&cell, token)))
    };
    let is_ignored = Some(Evidence::OfOtherCopy);
    assert_eq!(judge(1, OLD), (is_ignored, is_ignored));
    let is_taken = Some(Evidence::MayHaveRun);
    assert_eq!(judge(2, NEW), (is_taken, is_taken));
}

#[test]
fn a_second_request_for_a_job_gets_the_same_answer() {
    let now = Instant::now();
    let (mut jobs, mut first) = one_pending_job(now);
    let (tx, mut second) = oneshot::channel();
    assert!(!jobs.add(spec(1), Duration::from_secs(2), tx, now));
    jobs.answer(ID, JobOutcome::Completed);
    assert_eq!(first.try_recv(), Ok(JobOutcome::Completed));
    assert_eq!(second.try_recv(), Ok(JobOutcome::Completed));
}

#[test]
fn a_job_is_abandoned_when_its_last_caller_disconnects() {
    let now = Instant::now();
    let (mut jobs, first) = one_pending_job(now);
    let (tx, second) = oneshot::channel();
    jobs.add(spec(1), Duration::from_secs(2), tx, now);
    drop(first);
    assert!(!jobs.abandon(ID));
    drop(second);
    assert!(jobs.abandon(ID));
}

#[test]
fn a_refused_job_is_sent_to_one_more_cell() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let (first, second) = (CellName("a/0".into()), CellName("b/0".into()));
    jobs.assign(ID, (&first, false), OLD, vm(), now);
    assert!(jobs.try_other_cell(ID));
    let unsent = jobs.unsent();
    assert_eq!(unsent[0].cell, None);
    assert_eq!(unsent[0].refused_by, [first]);
    let again = jobs.assign(ID, (&second, false), NEW, vm(), now).unwrap();
    assert!(
        !again.may_have_started,
        "a refusal means that nothing has started"
    );
    assert!(!jobs.try_other_cell(ID));
}

#[test]
fn without_a_scheduler_a_job_is_refused_before_its_maximum_wait_ends() {
    let now = Instant::now();
    let (jobs, _rx) = one_pending_job(now);
    assert!(jobs.overdue(now + 600 * MS).is_empty());
    assert_matches!(
        jobs.overdue(now + 700 * MS)[..],
        [(
            ID,
            JobOutcome::Refused {
                reason: RefusalReason::NoScheduler,
                ..
            }
        )]
    );
}

/// A refusal tells the caller that the job has not run, which is unknown once a scheduler has
/// received the job.
#[test]
fn a_job_that_was_sent_to_a_scheduler_times_out_and_is_not_refused() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    jobs.assign(ID, (&cell, false), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    assert!(jobs.overdue(now + 1_900 * MS).is_empty());
    let overdue = jobs.overdue(now + 2_010 * MS);
    assert_eq!(overdue, [(ID, JobOutcome::TimedOut)]);
}

/// A job whose message could not be queued has not run, unless an earlier scheduler has received it.
#[test]
fn a_job_whose_assignment_is_reverted_is_refused_if_no_scheduler_received_it() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let submission = jobs.assign(ID, (&cell, false), OLD, vm(), now).unwrap();
    jobs.unassign(submission.spec.id);
    assert_matches!(
        jobs.overdue(now + 700 * MS)[..],
        [(ID, JobOutcome::Refused { .. })]
    );
    jobs.assign(ID, (&cell, false), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    let submission = jobs.assign(ID, (&cell, false), NEW, vm(), now).unwrap();
    jobs.unassign(submission.spec.id);
    assert_eq!(jobs.unsent().len(), 1);
    assert!(jobs.overdue(now + 1_900 * MS).is_empty());
}

/// A link refused the second message to a scheduler that had the job, and its successor was not told of it.
#[test]
fn a_message_that_is_not_queued_does_not_take_back_an_earlier_one_to_the_same_scheduler() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let token = |number| FencingToken::new(1, EntryVm([10, 0, 0, number].into()));
    jobs.assign(ID, (&cell, false), token(1), vm(), now);
    jobs.mark_unsent(&cell);
    let again = jobs.assign(ID, (&cell, false), token(1), vm(), now);
    jobs.unassign(again.unwrap().spec.id);
    let next = jobs.assign(ID, (&cell, false), token(2), vm(), now);
    assert_eq!(next.unwrap().former_tokens, [token(1)]);
    let evidence = judge_refusal(&jobs, &cell, token(2));
    assert_eq!(evidence, Some(Evidence::MayHaveRun));
}

/// A scheduler that had the job before its successor did, and has it again, knows nothing of runs that
/// the successor started.
#[test]
fn a_refusal_is_not_conclusive_once_schedulers_on_two_vms_had_the_job() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let (first, second) = ([10, 0, 0, 1], [10, 0, 0, 2]);
    let token = |round, ip: [u8; 4]| FencingToken::new(round, EntryVm(ip.into()));
    let submission = jobs.assign(ID, (&cell, false), token(1, first), vm(), now);
    assert!(submission.unwrap().former_tokens.is_empty());
    let evidence = |jobs: &PendingJobs, token| judge_refusal(jobs, &cell, token).unwrap();
    assert_eq!(evidence(&jobs, token(1, first)), Evidence::NotRun);
    jobs.mark_unsent(&cell);
    let submission = jobs.assign(ID, (&cell, false), token(3, first), vm(), now);
    assert_eq!(submission.unwrap().former_tokens, [token(1, first)]);
    let is_of_same_vm = evidence(&jobs, token(3, first));
    assert_eq!(is_of_same_vm, Evidence::NotRun, "the same VM");
    jobs.mark_unsent(&cell);
    jobs.assign(ID, (&cell, false), token(2, second), vm(), now);
    assert_eq!(evidence(&jobs, token(2, second)), Evidence::MayHaveRun);
    jobs.mark_unsent(&cell);
    let submission = jobs.assign(ID, (&cell, false), token(3, first), vm(), now);
    let former = submission.unwrap().former_tokens;
    assert_eq!(former, [token(1, first), token(2, second)]);
    assert_eq!(evidence(&jobs, token(3, first)), Evidence::MayHaveRun);
}

#[test]
fn a_job_that_a_cell_leaves_to_another_one_may_come_back() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let (first, second) = (CellName("z/0".into()), CellName("z/1".into()));
    let submission = jobs.assign(ID, (&first, true), OLD, vm(), now).unwrap();
    assert!(submission.has_alternative);
    assert!(jobs.try_other_cell(ID));
    assert!(jobs.is_unsent(ID));
    assert_eq!(jobs.unsent()[0].declined_by, std::slice::from_ref(&first));
    let submission = jobs.assign(ID, (&second, true), NEW, vm(), now).unwrap();
    assert!(submission.has_alternative);
    assert!(!submission.may_have_started);
    assert!(jobs.try_other_cell(ID));
    let declined_by = [first.clone(), second.clone()];
    assert_eq!(jobs.unsent()[0].declined_by, declined_by);
    assert!(!jobs.unsent()[0].is_refused);
    let submission = jobs.assign(ID, (&first, true), OLD, vm(), now).unwrap();
    assert!(
        !submission.has_alternative,
        "a cell may decline a job only once"
    );
    assert!(jobs.try_other_cell(ID));
    assert!(jobs.unsent()[0].is_refused);
    assert_eq!(jobs.unsent()[0].refused_by, [first]);
    jobs.assign(ID, (&second, false), NEW, vm(), now);
    assert!(!jobs.try_other_cell(ID));
}

/// A job that may have started in a cell was left to another one, where its tasks ran again.
#[test]
fn a_job_that_may_have_started_stays_with_its_cell() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName("z/0".into());
    jobs.assign(ID, (&cell, true), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    assert_eq!(jobs.unsent()[0].cell, Some(cell.clone()));
    let submission = jobs.assign(ID, (&cell, true), NEW, vm(), now).unwrap();
    assert!(submission.may_have_started);
    assert!(!submission.has_alternative);
}

/// An evacuation says nothing of the load, so the next cell is drawn as the first one.
#[test]
fn a_job_refused_by_an_evacuation_does_not_count_as_refused_for_overload() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    jobs.assign(ID, (&CellName("z/0".into()), false), OLD, vm(), now);
    assert!(jobs.leave_evacuated_cell(ID));
    assert!(!jobs.unsent()[0].is_refused);
}

/// A scheduler that gets the job later must know that this one may have started it.
#[test]
fn a_reverted_assignment_does_not_hide_an_earlier_one_to_the_same_scheduler() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    jobs.assign(ID, (&cell, false), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    let submission = jobs.assign(ID, (&cell, false), OLD, vm(), now).unwrap();
    jobs.unassign(submission.spec.id);
    let submission = jobs.assign(ID, (&cell, false), NEW, vm(), now).unwrap();
    assert!(submission.may_have_started);
    assert_eq!(submission.former_tokens, [OLD]);
}

/// Decisions of before a suspension are taken by what has left this VM, not by the time that has passed.
#[test]
fn a_vm_that_wakes_refuses_only_jobs_of_which_no_copy_has_left_it() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    jobs.assign(ID, (&cell, false), OLD, vm(), now);
    jobs.mark_unsent(&cell);
    jobs.suspended(Duration::from_secs(4));
    assert_eq!(jobs.overdue(now), [(ID, JobOutcome::TimedOut)]);
    let (mut jobs, _rx) = one_pending_job(now);
    jobs.suspended(Duration::from_secs(4));
    assert_matches!(jobs.overdue(now)[..], [(ID, JobOutcome::Refused { .. })]);
}

/// The scheduler has given the job up without a start, and the link behind its only copy is down: the present scheduler
/// gets it as a new one.
#[test]
fn a_job_that_its_former_scheduler_has_not_run_is_sent_as_a_new_one() {
    let now = Instant::now();
    let (mut jobs, _rx) = one_pending_job(now);
    let cell = CellName::single();
    let first = jobs.assign(ID, (&cell, false), OLD, vm(), now).unwrap();
    assert!(!jobs.begin_anew(ID), "the answer is for the last copy");
    jobs.mark_unsent(&cell);
    assert!(jobs.begin_anew(ID));
    let next = jobs.assign(ID, (&cell, false), NEW, vm(), now).unwrap();
    assert!(!next.may_have_started && next.former_tokens.is_empty());
    assert_ne!(next.name.unwrap().attempt, first.name.unwrap().attempt);
}
