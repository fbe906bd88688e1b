//! Answers to earlier copies and attempts, at an event loop whose cells a peer schedules.

use std::time::Duration;

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    AttemptId, FencingToken, JobId, JobOutcome, JobSpec, RefusalReason, SubmissionId,
};
use geraniumrelay_wire::leased::Submit;
use geraniumrelay_wire::leased::peer_message::Body;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

use super::event_loop::{FORMER, PEER, from_peer};
use super::withdrawals::Peer;
use super::{MS, block_on, spec};
use crate::leased::convert;
use crate::leased::input::Input;

/// Time in which an answer that reaches the event loop reaches its caller.
const ANSWER_TIME: Duration = Duration::from_millis(100);

/// Longest wait for a copy, on a busy machine.
const SENT_TIMEOUT: Duration = Duration::from_secs(30);

const REFUSED: JobOutcome = JobOutcome::Refused {
    reason: RefusalReason::Overload,
    retry_after: Duration::from_secs(1),
};

/// Token of the peer's scheduler.
const TOKEN: u64 = 1 << 52;

type Answer = oneshot::Receiver<JobOutcome>;

/// Sends a caller's request for job 1.
async fn request(peer: &Peer, is_durable: bool) -> Answer {
    let (reply, answer) = oneshot::channel();
    let job = Input::Job {
        spec: JobSpec {
            is_durable,
            ..spec(1)
        },
        max_wait: Duration::from_secs(30),
        reply,
    };
    peer.tx.send(job).await;
    answer
}

/// The next copy of job 1 that the scheduler gets.
async fn next_copy(peer: &Peer) -> Submit {
    let received = async {
        loop {
            if let Body::Submit(submit) = peer.messages.1.recv_async().await.unwrap() {
                return submit;
            }
        }
    };
    timeout(SENT_TIMEOUT, received).await.expect("not sent")
}

/// Sets the link up anew, and returns the copy that is sent then.
async fn next_copy_after_reconnect(peer: &Peer) -> Submit {
    assert!(peer.tx.try_send(Input::LinkUp { to: PEER }));
    next_copy(peer).await
}

/// Answers a copy as the scheduler does; without `is_named`, as one of the version before copies had names.
async fn answer(peer: &Peer, copy: &Submit, outcome: JobOutcome, is_named: bool) {
    let name = SubmissionId {
        attempt: AttemptId(copy.attempt),
        copy: copy.copy,
    };
    let submission = (JobId(copy.id), is_named.then_some(name));
    let cell = CellName(copy.cell.as_str().into());
    let answer = convert::answer_to_wire(submission, outcome, &cell, FencingToken(TOKEN));
    peer.tx.send(from_peer(FORMER, Body::Answer(answer))).await;
}

/// The outcome that has reached the caller, if any has.
async fn outcome(answer: &mut Answer) -> Option<JobOutcome> {
    sleep(ANSWER_TIME).await;
    answer.try_recv().ok()
}

/// REFUSED: the refusal of the first copy reached the caller of a durable job, whose second copy was stored.
#[test]
fn the_refusal_of_a_copy_before_the_link_broke_is_not_that_of_the_one_after_it() {
    block_on(async {
        for (is_durable, last) in [
            (true, JobOutcome::Accepted),
            (true, REFUSED),
            (false, JobOutcome::Completed),
            (false, REFUSED),
        ] {
            let peer = Peer::start().await;
            let mut caller = request(&peer, is_durable).await;
            let first = next_copy(&peer).await;
            let second = next_copy_after_reconnect(&peer).await;
            assert_eq!((second.attempt, second.copy), (first.attempt, 2));
            answer(&peer, &first, REFUSED, true).await;
            assert_eq!(outcome(&mut caller).await, None);
            answer(&peer, &second, last, true).await;
            assert_eq!(outcome(&mut caller).await, Some(last));
        }
    });
}

/// The answer to a lost copy never comes; that to the only copy that has arrived counts until another one is sent.
#[test]
fn a_refusal_is_answered_at_once_while_the_link_is_down() {
    block_on(async {
        let mut peer = Peer::start().await;
        let mut caller = request(&peer, true).await;
        let first = next_copy(&peer).await;
        peer.close_link().await;
        sleep(500 * MS).await;
        answer(&peer, &first, REFUSED, true).await;
        assert_eq!(outcome(&mut caller).await, Some(REFUSED));
    });
}

/// The caller has sent its job again under the same id while the answer to its first request was on the way.
#[test]
fn an_answer_to_a_former_request_is_not_taken_for_that_to_the_next_one() {
    block_on(async {
        for is_durable in [true, false] {
            let peer = Peer::start().await;
            let caller = request(&peer, is_durable).await;
            let first = next_copy(&peer).await;
            drop(caller);
            assert!(peer.tx.try_send(Input::Abandoned { id: JobId(1) }));
            let mut caller = request(&peer, is_durable).await;
            let second = next_copy(&peer).await;
            assert_ne!(second.attempt, first.attempt);
            for old in [REFUSED, JobOutcome::TimedOut, JobOutcome::Cancelled] {
                answer(&peer, &first, old, true).await;
                assert_eq!(outcome(&mut caller).await, None, "{old:?}");
            }
            answer(&peer, &second, JobOutcome::Accepted, true).await;
            assert_eq!(outcome(&mut caller).await, Some(JobOutcome::Accepted));
        }
    });
}

/// A scheduler that has given up the first copy takes the job with the second one.
#[test]
fn a_job_that_a_scheduler_gave_up_waits_for_the_answer_to_its_next_copy() {
    block_on(async {
        let peer = Peer::start().await;
        let mut caller = request(&peer, false).await;
        let first = next_copy(&peer).await;
        let second = next_copy_after_reconnect(&peer).await;
        answer(&peer, &first, JobOutcome::TimedOut, true).await;
        assert_eq!(outcome(&mut caller).await, None);
        answer(&peer, &second, JobOutcome::Completed, true).await;
        assert_eq!(outcome(&mut caller).await, Some(JobOutcome::Completed));
    });
}

/// Facts about the job are told at once, whichever copy they answer.
#[test]
fn the_acceptance_of_an_earlier_copy_is_answered_at_once() {
    block_on(async {
        let peer = Peer::start().await;
        let mut caller = request(&peer, true).await;
        let first = next_copy(&peer).await;
        next_copy_after_reconnect(&peer).await;
        answer(&peer, &first, JobOutcome::Accepted, true).await;
        assert_eq!(outcome(&mut caller).await, Some(JobOutcome::Accepted));
    });
}

/// During a rolling replacement: such a scheduler stores a further copy of a durable job that it has refused.
#[test]
fn an_unnamed_refusal_after_a_second_copy_of_a_durable_job_is_no_refusal_for_its_caller() {
    block_on(async {
        for (is_durable, expected) in [(true, JobOutcome::TimedOut), (false, REFUSED)] {
            let peer = Peer::start().await;
            let mut caller = request(&peer, is_durable).await;
            let first = next_copy(&peer).await;
            next_copy_after_reconnect(&peer).await;
            answer(&peer, &first, REFUSED, false).await;
            assert_eq!(outcome(&mut caller).await, Some(expected));
            let mut caller = request(&peer, is_durable).await;
            let only = next_copy(&peer).await;
            answer(&peer, &only, REFUSED, false).await;
            assert_eq!(outcome(&mut caller).await, Some(REFUSED));
        }
    });
}
