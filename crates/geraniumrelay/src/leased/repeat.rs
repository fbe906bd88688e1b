//! Calls to workers that are sent again where no answer has come.
//!
//! Load pattern: some orders get no answer, and are carried out seconds later or never. A start of
//! the same run is the same order, so it may be repeated; to stop the run in place of that, and to
//! start another one, takes longer than a short task.

use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use geraniumrelay_adapter::WorkerClient;
use geraniumrelay_core::leased::{PollCall, PollReply, StartCall, StartReply, WorkerTime};
use tokio::select;
use tokio::time::sleep;

/// Time after which a call is sent again; answers take 1 to 3 ms, and some 10 ms to a busy VM.
const REPEAT_AFTER: Duration = Duration::from_millis(20);

/// Reply to a start, with the worker's clock where it told it.
type Started = (StartReply, Option<WorkerTime>);

/// Orders a start, twice where there is no answer to the first call.
pub(super) async fn start(workers: &WorkerClient, order: StartCall) -> Started {
    let mut first = pin!(workers.start(order.clone()));
    select! {
        started = &mut first => return started,
        () = sleep(REPEAT_AFTER) => {}
    }
    let second = pin!(workers.start(order));
    let (one, other) = both(first, second, |s| is_settled(s.0)).await;
    match other {
        None => one,
        Some(other) => combined(one, other),
    }
}

/// Looks at a worker, twice where there is no answer to the first call.
pub(super) async fn poll(workers: &WorkerClient, order: PollCall) -> PollReply {
    let again = PollCall {
        wait: Duration::ZERO,
        ..order.clone()
    };
    let repeat_after = order.wait + REPEAT_AFTER;
    let mut first = pin!(workers.poll(order));
    select! {
        reply = &mut first => return reply,
        () = sleep(repeat_after) => {}
    }
    let second = pin!(workers.poll(again));
    let (one, other) = both(first, second, |r| *r != PollReply::Unanswered).await;
    match (one, other) {
        (PollReply::Unanswered, Some(other)) => other,
        (one, _) => one,
    }
}

/// Waits for two calls: for the first answer that is enough by itself, or for both.
async fn both<T, F, G>(
    mut first: F,
    mut second: G,
    is_enough: impl Fn(&T) -> bool,
) -> (T, Option<T>)
where
    F: Future<Output = T> + Unpin,
    G: Future<Output = T> + Unpin,
{
    select! {
        one = &mut first => {
            if is_enough(&one) {
                return (one, None);
            }
            (one, Some(second.await))
        }
        one = &mut second => {
            if is_enough(&one) {
                return (one, None);
            }
            (one, Some(first.await))
        }
    }
}

/// Whether a reply to one of two calls tells what became of the run.
fn is_settled(reply: StartReply) -> bool {
    matches!(
        reply,
        StartReply::Accepted | StartReply::Fenced | StartReply::OtherInstance
    )
}

/// What two calls together tell, where the first reply was not enough. Only if both were refused has
/// the run not been started, and will not be.
pub(super) fn combined(one: Started, other: Started) -> Started {
    if is_settled(other.0) {
        return other;
    }
    let is_refused = |s: Started| s.0 != StartReply::Unanswered && s.0 != StartReply::Outdated;
    if is_refused(one) && is_refused(other) {
        return one;
    }
    (StartReply::Unanswered, one.1.or(other.1))
}
