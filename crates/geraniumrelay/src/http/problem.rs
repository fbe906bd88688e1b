//! Error responses to callers, as application/problem+json (RFC 9457).

use geraniumrelay_core::{Reason, Rejection, Ticket, Verdict};
use geraniumrelay_wire::Problem;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};

use crate::convert;
use crate::http::body::BodyError;
use crate::http::response::{Response, with_body};

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";

/// `Retry-After` of a request that was not read as callers' connections hold too much memory, in seconds.
const OVERLOADED_RETRY_AFTER_S: u32 = 1;

/// Builds the response to a request that was rejected with a [`Reason`]. `next_ticket` is a ticket
/// for the caller's next submission.
pub fn from_rejection(rejection: Rejection, next_ticket: Option<Ticket>) -> Response {
    let problem = Problem {
        title: "the request was refused".to_owned(),
        detail: advice_for(rejection.reason).to_owned(),
        status: status_code(rejection.reason).into(),
        next_ticket: next_ticket
            .map(|ticket| ticket.to_string())
            .unwrap_or_default(),
        ..convert::problem(rejection)
    };
    problem_response(problem)
}

/// Builds the response to a request whose body was not read or not parsed. The verdict is
/// [`Verdict::MayHaveRun`]: this request started nothing, but an earlier submission may have run.
pub fn from_body_error(e: BodyError) -> Response {
    let retry_after_s = if e == BodyError::Overloaded {
        OVERLOADED_RETRY_AFTER_S
    } else {
        0
    };
    let (status, detail) = match e {
        BodyError::TooLarge => (413, "the body is too large".to_owned()),
        BodyError::TimedOut => (408, "the body did not come in time".to_owned()),
        BodyError::Overloaded => (503, "callers' requests hold too much memory".to_owned()),
        BodyError::Truncated => (400, "the body broke off".to_owned()),
        BodyError::Malformed(detail) => (400, detail),
    };
    problem_response(Problem {
        retry_after_s,
        ..request_problem(status, "body-unusable", Verdict::MayHaveRun, detail)
    })
}

/// Builds the response to a request that was refused before it reached the dispatcher. `verdict` is
/// that of the submission which the request names, or [`Verdict::NotRun`] if it names none.
pub fn request_error(
    status: u16,
    reason: &str,
    verdict: Verdict,
    detail: impl Into<String>,
) -> Response {
    problem_response(request_problem(status, reason, verdict, detail))
}

fn request_problem(
    status: u16,
    reason: &str,
    verdict: Verdict,
    detail: impl Into<String>,
) -> Problem {
    Problem {
        title: "the request can't be used".to_owned(),
        status: status.into(),
        detail: detail.into(),
        verdict: verdict.to_string(),
        reason: reason.to_owned(),
        ..Problem::default()
    }
}

fn problem_response(problem: Problem) -> Response {
    let status = u16::try_from(problem.status).unwrap_or_default();
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let problem = Problem {
        r#type: "about:blank".to_owned(),
        ..problem
    };
    let mut res = with_body(
        status,
        PROBLEM_JSON,
        serde_json::to_vec(&problem).unwrap_or_default(),
    );
    if problem.retry_after_s > 0 {
        res.headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(problem.retry_after_s));
    }
    res
}

/// What the caller can do about a refusal; empty if the verdict and `Retry-After` suffice.
fn advice_for(reason: Reason) -> &'static str {
    match reason {
        Reason::StoreAway => {
            "idempotency keys need the platform's table, which is away; repeat later with the same \
             key, and submit new jobs under tickets of POST /v1/tickets, which need no table"
        }
        Reason::OtherBody => "the same name came with another body before; each job needs its own",
        Reason::OwnerGone | Reason::TicketExpired => {
            "nobody starts this submission again; find out whether it ran before submitting anew"
        }
        Reason::TooManyWaiters => {
            "the job is in flight and too many requests wait for it; ask again for its answer"
        }
        Reason::OwnerUnreachable | Reason::Overloaded => "repeat the same request later",
        _ => "",
    }
}

fn status_code(reason: Reason) -> u16 {
    match reason {
        Reason::UnknownService
        | Reason::UnknownKind
        | Reason::UnknownTeam
        | Reason::NoTasks
        | Reason::TooManyTasks
        | Reason::DeadlineUnreachable => 422,
        Reason::BadTicket | Reason::UnknownTicket => 404,
        Reason::OtherBody | Reason::Cancelled => 409,
        Reason::TicketExpired | Reason::OwnerGone | Reason::AnswerDropped => 410,
        Reason::ServiceLeaving
        | Reason::NoCapacity
        | Reason::QueueFull
        | Reason::DeadlinePassed
        | Reason::TaskFailed
        | Reason::TargetLost
        | Reason::RetriesSpent
        | Reason::VmLeaving
        | Reason::OwnerUnreachable
        | Reason::NoSheet
        | Reason::StoreAway
        | Reason::TooManyWaiters
        | Reason::Overloaded => 503,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A caller without `Retry-After` is told that its request is not started again.
    #[test]
    fn a_body_that_is_refused_for_want_of_memory_may_be_sent_again() {
        let res = from_body_error(BodyError::Overloaded);
        assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(res.headers().contains_key(RETRY_AFTER));
    }
}
