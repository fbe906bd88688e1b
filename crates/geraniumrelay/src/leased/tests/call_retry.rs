//! Combined replies to two start calls of the same run.

use geraniumrelay_core::leased::{StartReply, WorkerTime};

use crate::leased::call_retry;

#[test]
fn one_accepted_call_is_conclusive() {
    let clock = Some(WorkerTime(7));
    for other in [
        StartReply::Unanswered,
        StartReply::NoRoom,
        StartReply::NotSent,
    ] {
        let accepted = (StartReply::Accepted, clock);
        assert_eq!(
            call_retry::combine_replies((other, None), accepted),
            accepted
        );
    }
}

#[test]
fn a_run_is_refused_only_if_both_calls_are_refused() {
    let combined =
        call_retry::combine_replies((StartReply::NoRoom, None), (StartReply::Refused, None));
    assert_eq!(combined.0, StartReply::NoRoom);
    let clock = Some(WorkerTime(7));
    for other in [StartReply::NoRoom, StartReply::Refused, StartReply::TooLate] {
        // The unanswered call may still be carried out.
        let combined = call_retry::combine_replies((StartReply::Unanswered, None), (other, clock));
        assert_eq!(combined, (StartReply::Unanswered, clock));
        let combined = call_retry::combine_replies((other, clock), (StartReply::Unanswered, None));
        assert_eq!(combined, (StartReply::Unanswered, clock));
    }
}

/// The first call started the run but was not answered, and the run has ended before the resent
/// call arrives: the run must not be reported as refused.
#[test]
fn an_outdated_reply_to_the_resent_call_is_no_refusal() {
    let outdated = (StartReply::Outdated, None);
    let unanswered = (StartReply::Unanswered, None);
    assert_eq!(
        call_retry::combine_replies(unanswered, outdated),
        unanswered
    );
}

/// The first call started the run but was not answered, and then the worker followed another
/// scheduler: the run goes on until that scheduler stops it or its lease lapses.
#[test]
fn a_fenced_reply_to_the_resent_call_is_no_refusal() {
    let fenced = (StartReply::Fenced, None);
    let unanswered = (StartReply::Unanswered, None);
    assert_eq!(call_retry::combine_replies(unanswered, fenced), unanswered);
}
