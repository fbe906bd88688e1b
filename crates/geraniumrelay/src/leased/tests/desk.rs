//! Jobs whose callers wait.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{EntryVm, FencingToken, JobId, JobOutcome, RefusalReason};
use tokio::sync::oneshot;

use super::{MS, spec};
use crate::leased::desk::PendingJobs;

const ID: JobId = JobId(1);
const OLD: FencingToken = FencingToken(1);
const NEW: FencingToken = FencingToken(2);

fn vm() -> EntryVm {
    EntryVm([10, 0, 0, 1].into())
}

/// A desk with one job, and its caller's end.
fn desk(now: Instant) -> (PendingJobs, oneshot::Receiver<JobOutcome>) {
    let mut desk = PendingJobs::default();
    let (tx, rx) = oneshot::channel();
    assert!(desk.add(spec(1), Duration::from_secs(2), tx, now));
    (desk, rx)
}

#[test]
fn a_job_is_given_to_each_scheduler_once() {
    let now = Instant::now();
    let (mut desk, _rx) = desk(now);
    let cell = CellName::single();
    let first = desk.assign(ID, &cell, OLD, vm(), now).unwrap();
    assert!(!first.may_have_started);
    assert!(desk.unsent().is_empty());
    desk.mark_unsent(&cell);
    assert_eq!(desk.unsent()[0].cell, Some(cell.clone()));
    let second = desk.assign(ID, &cell, NEW, vm(), now + 10 * MS).unwrap();
    assert!(second.may_have_started);
    assert_eq!(second.waited, 10 * MS);
}

/// A refusal of a scheduler that was replaced meanwhile must not end the job.
#[test]
fn only_the_last_scheduler_has_a_say() {
    let now = Instant::now();
    let (mut desk, _rx) = desk(now);
    let cell = CellName::single();
    desk.assign(ID, &cell, OLD, vm(), now);
    desk.mark_unsent(&cell);
    desk.assign(ID, &cell, NEW, vm(), now);
    assert!(!desk.is_assigned_to(ID, &cell, OLD));
    assert!(desk.is_assigned_to(ID, &cell, NEW));
}

#[test]
fn a_second_request_of_a_job_waits_with_the_first() {
    let now = Instant::now();
    let (mut desk, mut first) = desk(now);
    let (tx, mut second) = oneshot::channel();
    assert!(!desk.add(spec(1), Duration::from_secs(2), tx, now));
    desk.answer(ID, JobOutcome::Completed);
    assert_eq!(first.try_recv(), Ok(JobOutcome::Completed));
    assert_eq!(second.try_recv(), Ok(JobOutcome::Completed));
}

#[test]
fn a_job_is_abandoned_with_its_last_caller() {
    let now = Instant::now();
    let (mut desk, first) = desk(now);
    let (tx, second) = oneshot::channel();
    desk.add(spec(1), Duration::from_secs(2), tx, now);
    drop(first);
    assert!(!desk.abandon(ID));
    drop(second);
    assert!(desk.abandon(ID));
}

#[test]
fn one_more_cell_is_asked_after_a_refusal() {
    let now = Instant::now();
    let (mut desk, _rx) = desk(now);
    let (first, second) = (CellName("a/0".into()), CellName("b/0".into()));
    desk.assign(ID, &first, OLD, vm(), now);
    assert!(desk.try_other_cell(ID));
    let unsent = desk.unsent();
    assert_eq!(unsent[0].cell, None);
    assert_eq!(unsent[0].refused_by, [first]);
    let again = desk.assign(ID, &second, NEW, vm(), now).unwrap();
    assert!(
        !again.may_have_started,
        "a refusal says that nothing has started"
    );
    assert!(!desk.try_other_cell(ID));
}

#[test]
fn without_a_scheduler_a_job_is_refused_before_its_patience_ends() {
    let now = Instant::now();
    let (desk, _rx) = desk(now);
    assert!(desk.overdue(now + 600 * MS).is_empty());
    assert_matches!(
        desk.overdue(now + 700 * MS)[..],
        [(
            ID,
            JobOutcome::Refused {
                reason: RefusalReason::NoScheduler,
                ..
            }
        )]
    );
}

/// It can't be said that it has not run.
#[test]
fn a_job_that_a_scheduler_has_had_is_never_refused_for_want_of_one() {
    let now = Instant::now();
    let (mut desk, _rx) = desk(now);
    let cell = CellName::single();
    desk.assign(ID, &cell, OLD, vm(), now);
    desk.mark_unsent(&cell);
    assert!(desk.overdue(now + 1_900 * MS).is_empty());
    let overdue = desk.overdue(now + 2_010 * MS);
    assert_eq!(overdue, [(ID, JobOutcome::TimedOut)]);
}
