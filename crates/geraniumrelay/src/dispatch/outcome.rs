//! Outcome of a task, derived from its target's reply.

use geraniumrelay_core::TaskOutcome;
use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_wire::TaskEnd;
use hyper::StatusCode;

use crate::dispatch::connections::{ExchangeError, TargetReply};

/// Header of a refusal: the target did not start the task.
const NOT_STARTED_HEADER: &str = "Not-Started";

/// Header with the reason of a refusal.
const REASON_HEADER: &str = "Reason";

/// Reason of a target that is shutting down and accepts no new tasks.
const LEAVING: &str = "leaving";

/// Derives the outcome of a task from the exchange with its target.
pub fn from_exchange(reply: Result<TargetReply, ExchangeError>) -> TaskOutcome {
    match reply {
        Ok(reply) => from_reply(&reply),
        Err(ExchangeError::NotSent) => TaskOutcome::NotStarted {
            cause: NotStartedCause::Unreachable,
        },
        Err(ExchangeError::Interrupted) => TaskOutcome::Unknown,
    }
}

fn from_reply(reply: &TargetReply) -> TaskOutcome {
    let is_refusal = reply.headers.contains_key(NOT_STARTED_HEADER);
    if reply.status == StatusCode::SERVICE_UNAVAILABLE && is_refusal {
        let reason = reply.headers.get(REASON_HEADER);
        let is_leaving = reason.is_some_and(|value| value == LEAVING);
        let cause = if is_leaving {
            NotStartedCause::Leaving
        } else {
            NotStartedCause::Full
        };
        return TaskOutcome::NotStarted { cause };
    }
    if reply.status != StatusCode::OK {
        return TaskOutcome::Failed;
    }
    match serde_json::from_slice::<TaskEnd>(&reply.body) {
        Ok(end) => TaskOutcome::Completed { output: end.output },
        Err(_) => TaskOutcome::Failed,
    }
}

#[cfg(test)]
mod tests {
    use assert_matches::assert_matches;
    use bytes::Bytes;
    use hyper::header::HeaderMap;

    use super::*;

    struct ReplyBuilder(TargetReply);

    impl ReplyBuilder {
        fn new(status: StatusCode) -> Self {
            Self(TargetReply {
                status,
                headers: HeaderMap::new(),
                body: Bytes::new(),
            })
        }

        fn with_header(mut self, name: &'static str, value: &str) -> Self {
            self.0.headers.insert(name, value.parse().unwrap());
            self
        }

        fn with_body(mut self, body: &'static str) -> Self {
            self.0.body = Bytes::from(body);
            self
        }

        fn outcome(self) -> TaskOutcome {
            from_reply(&self.0)
        }
    }

    #[test]
    fn only_the_not_started_header_means_not_started() {
        let refusal = || ReplyBuilder::new(StatusCode::SERVICE_UNAVAILABLE);
        assert_matches!(
            refusal().with_header("not-started", "true").outcome(),
            TaskOutcome::NotStarted {
                cause: NotStartedCause::Full
            }
        );
        assert_matches!(
            refusal()
                .with_header("not-started", "true")
                .with_header("reason", LEAVING)
                .outcome(),
            TaskOutcome::NotStarted {
                cause: NotStartedCause::Leaving
            }
        );
        assert_matches!(refusal().outcome(), TaskOutcome::Failed);
    }

    #[test]
    fn a_reply_that_does_not_parse_fails_the_task() {
        let reply = ReplyBuilder::new(StatusCode::OK).with_body("{");
        assert_matches!(reply.outcome(), TaskOutcome::Failed);
        let reply = ReplyBuilder::new(StatusCode::OK).with_body("{\"output\":\"7\"}");
        assert_matches!(reply.outcome(), TaskOutcome::Completed { output } if output == "7");
    }
}
