//! What an answer says about an attempt, by what has been sent before.

use std::time::Duration;

use geraniumrelay_core::leased::attempt::{Answer, Attempt, Evidence};
use geraniumrelay_core::leased::{
    AttemptId, EntryVm, FencingToken, JobOutcome, RefusalReason, SubmissionId,
};

const REFUSED: JobOutcome = JobOutcome::Refused {
    reason: RefusalReason::Overload,
    retry_after: Duration::from_secs(1),
};

const ATTEMPT: AttemptId = AttemptId(7);

fn token(round: u64, vm: u8) -> FencingToken {
    FencingToken::new(round, EntryVm([10, 0, 0, vm].into()))
}

fn copy(attempt: AttemptId, copy: u32) -> SubmissionId {
    SubmissionId { attempt, copy }
}

/// An attempt whose copies were sent to the schedulers with these tokens, in this order.
fn sent_to(tokens: &[FencingToken]) -> Attempt {
    let mut attempt = Attempt::new(ATTEMPT, true);
    for &token in tokens {
        attempt.send_again();
        attempt.send_to(token);
    }
    attempt
}

fn judge(
    attempt: &Attempt,
    submission: Option<SubmissionId>,
    outcome: JobOutcome,
    token: FencingToken,
) -> Evidence {
    attempt.judge(&Answer {
        submission,
        outcome,
        token: Some(token),
    })
}

/// REFUSED: the refusal of the first copy was taken for the answer to the second one, which was stored.
#[test]
fn only_the_refusal_of_the_last_copy_says_that_the_job_has_not_run() {
    let (first, second) = (token(1, 1), token(2, 2));
    let raised = token(2, 1);
    let cases = [
        (vec![first], 1, Evidence::NotRun),
        (vec![first, first], 1, Evidence::OfOtherCopy),
        (vec![first, first], 2, Evidence::NotRun),
        (vec![first, raised], 1, Evidence::OfOtherCopy),
        (vec![first, raised], 2, Evidence::NotRun),
        (vec![first, second], 1, Evidence::OfOtherCopy),
        (vec![first, second], 2, Evidence::MayHaveRun),
        (vec![first, second, first], 3, Evidence::MayHaveRun),
    ];
    for (tokens, answered, expected) in cases {
        let attempt = sent_to(&tokens);
        let submission = Some(copy(ATTEMPT, answered));
        let evidence = judge(&attempt, submission, REFUSED, *tokens.last().unwrap());
        assert_eq!(evidence, expected, "copy {answered} of {tokens:?}");
    }
}

/// A caller's next request under the same id is another attempt.
#[test]
fn an_answer_to_another_attempt_says_nothing_of_this_one() {
    let scheduler = token(1, 1);
    let attempt = sent_to(&[scheduler]);
    let of_other = Some(copy(AttemptId(6), 1));
    for outcome in [REFUSED, JobOutcome::TimedOut, JobOutcome::Cancelled] {
        let evidence = judge(&attempt, of_other, outcome, scheduler);
        assert_eq!(evidence, Evidence::OfOtherCopy, "{outcome:?}");
    }
}

/// They are facts about the job, whichever copy has led to them.
#[test]
fn the_end_and_the_acceptance_of_a_job_hold_for_all_copies() {
    let scheduler = token(1, 1);
    let attempt = sent_to(&[scheduler]);
    let outcomes = [
        JobOutcome::Completed,
        JobOutcome::Failed,
        JobOutcome::Accepted,
    ];
    for outcome in outcomes {
        let last = Some(copy(ATTEMPT, 1));
        let of_last = judge(&attempt, last, outcome, scheduler);
        assert_eq!(of_last, Evidence::Ended, "{outcome:?}");
        let of_other_scheduler = judge(&attempt, last, outcome, token(2, 2));
        let of_other_attempt = judge(&attempt, Some(copy(AttemptId(6), 3)), outcome, scheduler);
        for evidence in [of_other_scheduler, of_other_attempt] {
            assert_eq!(evidence, Evidence::EndedElsewhere, "{outcome:?}");
        }
    }
}

/// The scheduler has dropped the job, and takes it again with the copy that is on its way.
#[test]
fn a_job_is_given_up_only_by_the_answer_to_the_last_copy() {
    let scheduler = token(1, 1);
    let attempt = sent_to(&[scheduler, scheduler]);
    for outcome in [JobOutcome::TimedOut, JobOutcome::Cancelled] {
        let of_first = judge(&attempt, Some(copy(ATTEMPT, 1)), outcome, scheduler);
        assert_eq!(of_first, Evidence::OfOtherCopy, "{outcome:?}");
        let of_last = judge(&attempt, Some(copy(ATTEMPT, 2)), outcome, scheduler);
        assert_eq!(of_last, Evidence::GivenUp, "{outcome:?}");
    }
}

/// The link has broken behind the only copy, whose refusal still arrives.
#[test]
fn a_refusal_counts_while_no_further_copy_has_left() {
    let scheduler = token(1, 1);
    let mut attempt = sent_to(&[scheduler]);
    attempt.send_again();
    let first = Some(copy(ATTEMPT, 1));
    let evidence = judge(&attempt, first, REFUSED, scheduler);
    assert_eq!(evidence, Evidence::NotRun);
    attempt.send_to(scheduler);
    attempt.revert_send();
    let evidence = judge(&attempt, first, REFUSED, scheduler);
    assert_eq!(evidence, Evidence::NotRun, "the second copy was not queued");
}

#[test]
fn a_copy_that_was_not_queued_leaves_no_trace() {
    let mut attempt = Attempt::new(ATTEMPT, true);
    attempt.send_to(token(1, 1));
    attempt.revert_send();
    assert!(!attempt.was_sent() && attempt.is_due());
    assert_eq!(attempt.last_submission(), None);
    assert!(attempt.former_tokens(token(2, 2)).is_empty());
    attempt.send_again();
    assert!(!attempt.was_sent(), "there is nothing to send again");
}

/// A scheduler of the version before the copies had names refuses each copy of a best-effort job, but stores a further one
/// of a durable job.
#[test]
fn without_names_the_refusal_of_one_of_several_copies_is_no_evidence_for_a_durable_job() {
    let scheduler = token(1, 1);
    let cases = [
        (true, 1, Evidence::NotRun),
        (true, 2, Evidence::MayHaveRun),
        (false, 2, Evidence::NotRun),
    ];
    for (is_durable, copies, expected) in cases {
        let mut attempt = Attempt::new(ATTEMPT, is_durable);
        for _ in 0..copies {
            attempt.send_to(scheduler);
        }
        let evidence = judge(&attempt, None, REFUSED, scheduler);
        assert_eq!(evidence, expected, "durable: {is_durable}, {copies} copies");
        let of_former = judge(&attempt, None, REFUSED, token(2, 2));
        assert_eq!(of_former, Evidence::OfOtherCopy);
    }
}
