//! Callers' requests for tickets, and for jobs by ticket.

use std::time::Duration;

use flume::Receiver;
use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{
    Clock, JobSpec, Origin, Query, Reason, Rejection, Reply, Ticket, Verdict,
};
use geraniumrelay_wire::{JobAnswer, JobRequest, Tickets};
use hyper::{StatusCode, Uri};
use tokio::time::timeout;

use crate::convert;
use crate::http::body::UnreadBody;
use crate::http::params::{InvalidParam, parse_param};
use crate::http::problem;
use crate::http::response::{self, Response};
use crate::http::server::CallerApi;
use crate::http::teams::assign_team;
use crate::requests::{Call, Overloaded};

/// Maximum number of tickets issued by one request.
const MAX_TICKETS_PER_REQUEST: usize = 1_000;

/// `Retry-After` of a refusal due to overload or to an owner that did not reply.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum wait of a query; longer waits are cut to it.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(30);

/// Time beyond a query's wait for the reply of the entry VM that owns the ticket.
const OWNER_REPLY_MARGIN: Duration = Duration::from_secs(2);

impl<C: Clock> CallerApi<C> {
    /// `POST /v1/tickets`
    pub(super) fn mint_tickets(&self, uri: &Uri) -> Response {
        let count = match parse_param::<usize>(uri, "count") {
            Ok(None) => 1,
            Ok(Some(n)) if (1..=MAX_TICKETS_PER_REQUEST).contains(&n) => n,
            Ok(Some(_)) | Err(InvalidParam) => {
                let detail = format!("count is a whole number from 1 to {MAX_TICKETS_PER_REQUEST}");
                return problem::request_error(400, "bad-count", Verdict::NotRun, detail);
            }
        };
        let tickets: Vec<Ticket> = (0..count).map_while(|_| self.mint.mint()).collect();
        if tickets.len() < count {
            return problem::from_rejection(Rejection::not_run(Reason::VmLeaving), None);
        }
        let expires = self.clock.wall() + self.ticket_ttl;
        let body = Tickets {
            tickets: tickets.iter().map(ToString::to_string).collect(),
            expires: humantime::format_rfc3339_millis(expires).to_string(),
        };
        response::json(StatusCode::CREATED, &body)
    }

    /// `PUT /v1/jobs/{ticket}`
    pub(super) async fn submit(
        &self,
        ticket: &str,
        team: Option<TeamName>,
        body: UnreadBody<'_>,
    ) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return invalid_ticket();
        };
        let (digest, job) = match self.read_job(team, body).await {
            Ok(read) => read,
            Err(res) => return res,
        };
        self.call(Call::Submit {
            ticket,
            digest,
            job,
            origin: Origin::Caller,
        })
        .await
    }

    /// Reads a submission and hashes its content. Its refusals have the verdict `MayHaveRun`: this
    /// request started nothing, but an earlier one with the same ticket or key may have run.
    pub(super) async fn read_job(
        &self,
        team: Option<TeamName>,
        body: UnreadBody<'_>,
    ) -> Result<(u128, JobSpec), Response> {
        let job = body.read_json::<JobRequest>(self.body_limits).await;
        let mut job = job.map_err(problem::from_body_error)?;
        assign_team(&mut job, team).map_err(|refusal| *refusal)?;
        let digest = convert::body_digest(&job);
        let Some(job) = convert::job_spec(job) else {
            let detail = "service, kind and team are names of a-z, 0-9, '-' and '_'";
            let verdict = Verdict::MayHaveRun;
            return Err(problem::request_error(422, "bad-name", verdict, detail));
        };
        Ok((digest, job))
    }

    /// `GET /v1/jobs/{ticket}`
    pub(super) async fn query(&self, ticket: &str, uri: &Uri) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return invalid_ticket();
        };
        let wait = match parse_param(uri, "wait_ms") {
            Ok(None) => Duration::ZERO,
            Ok(Some(ms)) => Duration::from_millis(ms).min(MAX_QUERY_WAIT),
            Err(InvalidParam) => {
                let detail = "wait_ms is a number of milliseconds";
                return problem::request_error(400, "bad-wait", Verdict::MayHaveRun, detail);
            }
        };
        if let Some(reply) = self.immediate_reply(ticket, wait).await {
            return self.respond(reply);
        }
        let watch = Call::Watch {
            ticket,
            wait,
            origin: Origin::Caller,
        };
        match self.decision.call(watch) {
            Ok(rx) => self.wait_for_reply(ticket, &rx, wait).await,
            Err(Overloaded) => overloaded(),
        }
    }

    /// `DELETE /v1/jobs/{ticket}`
    pub(super) async fn cancel(&self, ticket: &str) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return invalid_ticket();
        };
        self.call(Call::Cancel {
            ticket,
            origin: Origin::Caller,
        })
        .await
    }

    /// Reply available without waiting: the answer, or the progress if `wait` is zero. `None` if there
    /// is no such reply yet or the submission is unknown to this VM.
    async fn immediate_reply(&self, ticket: Ticket, wait: Duration) -> Option<Reply> {
        let rx = self.decision.query(Query::Job(ticket)).ok()?;
        let reply = rx.recv_async().await.ok()??;
        let is_final = matches!(reply, Reply::Answer { .. });
        (is_final || wait.is_zero()).then_some(reply)
    }

    /// Waits up to `wait` for the answer, then replies with the progress. For a submission unknown
    /// to this VM, its owner has [`OWNER_REPLY_MARGIN`] more to reply with either.
    async fn wait_for_reply(
        &self,
        ticket: Ticket,
        rx: &Receiver<Reply>,
        wait: Duration,
    ) -> Response {
        let reply = match timeout(wait, rx.recv_async()).await {
            Ok(reply) => reply.ok(),
            Err(_) => match self.immediate_reply(ticket, Duration::ZERO).await {
                Some(reply) => Some(reply),
                None => timeout(OWNER_REPLY_MARGIN, rx.recv_async())
                    .await
                    .ok()
                    .and_then(Result::ok),
            },
        };
        let reply = reply.unwrap_or_else(owner_unreachable);
        self.respond(self.journal.recover_reply(reply, ticket, None).await)
    }

    /// Sends a call to the decision thread and converts its reply to a response. Counts answers and
    /// the time until them in the metrics.
    pub(super) async fn call(&self, call: Call) -> Response {
        let started = self.clock.now();
        let (ticket, digest) = (call.ticket(), call.digest());
        let Ok(rx) = self.decision.call(call) else {
            return overloaded();
        };
        let Ok(reply) = rx.recv_async().await else {
            return overloaded();
        };
        let reply = self.journal.recover_reply(reply, ticket, digest).await;
        if let Reply::Answer { answer, .. } = &reply {
            let seconds = self.clock.now().duration_since(started).as_secs_f64();
            self.metrics.count_answer(answer.verdict, seconds);
        }
        self.respond(reply)
    }

    fn respond(&self, reply: Reply) -> Response {
        match reply {
            Reply::Answer { ticket, answer } => {
                let next_ticket = self.next_ticket();
                let body = JobAnswer {
                    next_ticket,
                    ..convert::job_answer(ticket, &answer)
                };
                response::json(StatusCode::OK, &body)
            }
            Reply::Progress(progress) => {
                response::json(StatusCode::ACCEPTED, &convert::job_state(progress))
            }
            Reply::Rejected(rejection) => self.refuse(rejection),
            // Replies to borrow requests and hand-overs, which only entry VMs send.
            Reply::Lent(_) | Reply::HandOver(_) => overloaded(),
        }
    }

    /// Counts a refusal and adds a ticket for the caller's next submission.
    pub(super) fn refuse(&self, rejection: Rejection) -> Response {
        self.metrics.count_refusal(&rejection.reason.to_string());
        problem::from_rejection(rejection, self.mint.mint())
    }

    fn next_ticket(&self) -> String {
        self.mint
            .mint()
            .map(|ticket| ticket.to_string())
            .unwrap_or_default()
    }
}

/// Refusal for an owner that did not reply in time; the submission may have run.
fn owner_unreachable() -> Reply {
    let rejection = Rejection::may_have_run(Reason::OwnerUnreachable);
    Reply::Rejected(rejection.with_retry_after(OVERLOAD_RETRY_AFTER))
}

fn invalid_ticket() -> Response {
    problem::from_rejection(Rejection::may_have_run(Reason::BadTicket), None)
}

/// Refusal of a request that was neither decided nor recorded; an earlier attempt may have run.
fn overloaded() -> Response {
    let rejection = Rejection::may_have_run(Reason::Overloaded);
    problem::from_rejection(rejection.with_retry_after(OVERLOAD_RETRY_AFTER), None)
}
