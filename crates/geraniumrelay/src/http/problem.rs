//! Errors to callers, as application/problem+json (RFC 9457).

use geraniumrelay_core::{Reason, Rejection, Ticket, Verdict};
use geraniumrelay_wire::Problem;
use hyper::StatusCode;
use hyper::header::{HeaderValue, RETRY_AFTER};

use crate::convert;
use crate::http::body::BodyError;
use crate::http::response::{Response, with_body};

/// Media type of problems.
const PROBLEM_JSON: &str = "application/problem+json";

/// A refusal decided by the dispatcher.
pub fn of_rejection(rejection: Rejection, next_ticket: Option<Ticket>) -> Response {
    let problem = Problem {
        title: "the request was refused".to_owned(),
        detail: advice_on(rejection.reason).to_owned(),
        status: status_of(rejection.reason).into(),
        next_ticket: next_ticket
            .map(|ticket| ticket.to_string())
            .unwrap_or_default(),
        ..convert::problem(rejection)
    };
    respond(problem)
}

/// A body that can't be used; nothing was decided, so an earlier submission may have run.
pub fn of_body(e: BodyError) -> Response {
    let (status, detail) = match e {
        BodyError::TooLarge => (413, "the body is too large".to_owned()),
        BodyError::TooSlow => (408, "the body did not come in time".to_owned()),
        BodyError::Overloaded => (503, "too many bodies are being read".to_owned()),
        BodyError::Broken => (400, "the body broke off".to_owned()),
        BodyError::Malformed(detail) => (400, detail),
    };
    of_request(status, "body-unusable", Verdict::MayHaveRun, detail)
}

/// A request that is no request of this interface; `verdict` speaks of the submission that it
/// names, and is [`Verdict::NotRun`] where it names none.
pub fn of_request(
    status: u16,
    reason: &str,
    verdict: Verdict,
    detail: impl Into<String>,
) -> Response {
    respond(Problem {
        title: "the request can't be used".to_owned(),
        status: status.into(),
        detail: detail.into(),
        verdict: verdict.to_string(),
        reason: reason.to_owned(),
        ..Problem::default()
    })
}

fn respond(problem: Problem) -> Response {
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

/// What the caller can do about a refusal, where the verdict and `Retry-After` don't say it.
fn advice_on(reason: Reason) -> &'static str {
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

fn status_of(reason: Reason) -> u16 {
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
