//! Resends calls to workers that are not answered in time.
//!
//! Load pattern: some calls get no answer, and are carried out seconds later or never. A start call
//! is idempotent per run, so resending it is safe; stopping the run and starting another one
//! instead would take longer than a short task.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use geraniumrelay_adapter::WorkerClient;
use geraniumrelay_core::leased::{PollCall, PollReply, StartCall, StartReply, WorkerTime};
use tokio::select;
use tokio::time::sleep;

/// Time after which a call is resent; replies take 1 to 3 ms, and about 10 ms to a busy VM.
const RESEND_AFTER: Duration = Duration::from_millis(20);

/// Reply to a start call, and the worker's clock if the reply has it.
type TimedStartReply = (StartReply, Option<WorkerTime>);

/// Sends a start call, and resends it once if the first one is not answered in time.
pub(super) async fn start(workers: &WorkerClient, call: StartCall) -> TimedStartReply {
    let mut first = pin!(workers.start(call.clone()));
    select! {
        reply = &mut first => return reply,
        () = sleep(RESEND_AFTER) => {}
    }
    let second = pin!(workers.start(call));
    let is_accepted = |s: &TimedStartReply| s.0 == StartReply::Accepted;
    let (earlier, later) = await_replies(first, second, is_accepted).await;
    match later {
        None => earlier,
        Some(later) => combine_replies(earlier, later),
    }
}

/// Polls a worker, and resends the call once, without waiting for a run to end, if the first one is
/// not answered in time. The worker may have started again meanwhile, and the acknowledged number is
/// that of an end of the instance before; a worker with runs is polled again, so the resent call
/// leaves it out.
pub(super) async fn poll(workers: &WorkerClient, call: PollCall) -> PollReply {
    let has_runs = call.lease_until.is_some();
    let resent = PollCall {
        wait: Duration::ZERO,
        last_processed_end: if has_runs { 0 } else { call.last_processed_end },
        ..call.clone()
    };
    let resend_after = call.wait + RESEND_AFTER;
    let mut first = pin!(workers.poll(call));
    select! {
        reply = &mut first => return reply,
        () = sleep(resend_after) => {}
    }
    let second = pin!(workers.poll(resent));
    let (earlier, later) = await_replies(first, second, |r| *r != PollReply::Unanswered).await;
    match (earlier, later) {
        (PollReply::Unanswered, Some(later)) => later,
        (earlier, _) => earlier,
    }
}

/// Awaits two calls: returns the earlier reply alone if it is conclusive, otherwise both replies in
/// the order of their arrival.
async fn await_replies<T, F, G>(
    mut first: F,
    mut second: G,
    is_conclusive: impl Fn(&T) -> bool,
) -> (T, Option<T>)
where
    F: Future<Output = T> + Unpin,
    G: Future<Output = T> + Unpin,
{
    select! {
        earlier = &mut first => {
            if is_conclusive(&earlier) {
                return (earlier, None);
            }
            (earlier, Some(second.await))
        }
        earlier = &mut second => {
            if is_conclusive(&earlier) {
                return (earlier, None);
            }
            (earlier, Some(first.await))
        }
    }
}

/// Combines the replies to two start calls of a run when the earlier one is inconclusive. Only if
/// both calls are refused is it certain that the run has not started and will not start: the worker
/// may have accepted one of them before it received a higher token, or before it started again.
pub(super) fn combine_replies(earlier: TimedStartReply, later: TimedStartReply) -> TimedStartReply {
    if later.0 == StartReply::Accepted {
        return later;
    }
    let is_refused =
        |s: TimedStartReply| s.0 != StartReply::Unanswered && s.0 != StartReply::Outdated;
    if !is_refused(earlier) || !is_refused(later) {
        return (StartReply::Unanswered, earlier.1.or(later.1));
    }
    if earlier.0 == StartReply::OtherInstance {
        // The other call may have been refused by the intended instance.
        return later;
    }
    earlier
}
