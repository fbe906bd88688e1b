//! Two calls for the same run.

use geraniumrelay_core::leased::{StartReply, WorkerTime};

use crate::leased::repeat;

#[test]
fn one_acceptance_is_enough() {
    let clock = Some(WorkerTime(7));
    for other in [
        StartReply::Unanswered,
        StartReply::NoRoom,
        StartReply::NotSent,
    ] {
        let accepted = (StartReply::Accepted, clock);
        assert_eq!(repeat::combined((other, None), accepted), accepted);
    }
}

#[test]
fn a_run_is_refused_only_if_both_calls_were() {
    let both = repeat::combined((StartReply::NoRoom, None), (StartReply::Refused, None));
    assert_eq!(both.0, StartReply::NoRoom);
    let clock = Some(WorkerTime(7));
    for other in [StartReply::NoRoom, StartReply::Refused, StartReply::TooLate] {
        // The call that was not answered may yet be carried out.
        let one = repeat::combined((StartReply::Unanswered, None), (other, clock));
        assert_eq!(one, (StartReply::Unanswered, clock));
        let one = repeat::combined((other, clock), (StartReply::Unanswered, None));
        assert_eq!(one, (StartReply::Unanswered, clock));
    }
}

/// It was carried out by the first call and has ended since.
#[test]
fn a_run_that_is_over_when_it_is_ordered_again_is_not_taken_for_refused() {
    let over = (StartReply::Outdated, None);
    let unanswered = (StartReply::Unanswered, None);
    assert_eq!(repeat::combined(unanswered, over), unanswered);
}
