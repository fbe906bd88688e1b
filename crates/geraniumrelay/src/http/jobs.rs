//! Callers' requests about tickets and jobs.

use std::time::Duration;

use flume::Receiver;
use geraniumrelay_core::{Clock, Origin, Query, Reason, Rejection, Reply, Ticket};
use geraniumrelay_wire::{JobAnswer, JobRequest, Tickets};
use rouille::{Request, Response};

use crate::convert;
use crate::http::body::read_json;
use crate::http::problem;
use crate::http::server::Intake;
use crate::requests::{Call, Overloaded};

/// Most tickets in one batch.
const MAX_TICKETS: usize = 1_000;

/// Wait before asking again where this VM has too many requests.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest wait of a query.
const MAX_QUERY_WAIT: Duration = Duration::from_secs(30);

impl<C: Clock> Intake<C> {
    /// `POST /v1/tickets`
    pub(super) fn mint_tickets(&self, req: &Request) -> Response {
        let count = match req.get_param("count").map(|n| n.parse::<usize>()) {
            None => 1,
            Some(Ok(n)) if (1..=MAX_TICKETS).contains(&n) => n,
            Some(_) => {
                let detail = format!("count is a whole number from 1 to {MAX_TICKETS}");
                return problem::of_request(400, "bad-count", detail);
            }
        };
        let tickets: Vec<Ticket> = (0..count).map_while(|_| self.mint.mint()).collect();
        if tickets.len() < count {
            return problem::of_rejection(Rejection::not_run(Reason::VmLeaving), None);
        }
        let expires = self.clock.wall() + self.ticket_ttl;
        let body = Tickets {
            tickets: tickets.iter().map(ToString::to_string).collect(),
            expires: humantime::format_rfc3339_millis(expires).to_string(),
        };
        Response::json(&body).with_status_code(201)
    }

    /// `PUT /v1/jobs/{ticket}`
    pub(super) fn submit(&self, ticket: &str, req: &Request) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return bad_ticket();
        };
        let job = match read_json::<JobRequest>(req, self.max_body) {
            Ok(job) => job,
            Err(e) => return problem::of_body(e),
        };
        let digest = convert::digest_of(&job);
        let Some(job) = convert::job_spec(job) else {
            let detail = "service, kind and team are names of a-z, 0-9, '-' and '_'";
            return problem::of_request(422, "bad-name", detail);
        };
        self.call(Call::Submit {
            ticket,
            digest,
            job,
            origin: Origin::Caller,
        })
    }

    /// `GET /v1/jobs/{ticket}`
    pub(super) fn query(&self, ticket: &str, req: &Request) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return bad_ticket();
        };
        let wait = match req.get_param("wait_ms").map(|ms| ms.parse()) {
            None => Duration::ZERO,
            Some(Ok(ms)) => Duration::from_millis(ms).min(MAX_QUERY_WAIT),
            Some(Err(_)) => {
                return problem::of_request(400, "bad-wait", "wait_ms is a number of milliseconds");
            }
        };
        if let Some(reply) = self.known(ticket, wait) {
            return self.respond(reply);
        }
        let watch = Call::Watch {
            ticket,
            wait,
            origin: Origin::Caller,
        };
        match self.decision.call(watch) {
            Ok(rx) => self.wait(ticket, &rx, wait),
            Err(Overloaded) => overloaded(),
        }
    }

    /// `DELETE /v1/jobs/{ticket}`
    pub(super) fn cancel(&self, ticket: &str) -> Response {
        let Ok(ticket) = ticket.parse() else {
            return bad_ticket();
        };
        self.call(Call::Cancel {
            ticket,
            origin: Origin::Caller,
        })
    }

    /// Reply that needs no wait: an answer, or progress where none is wanted.
    fn known(&self, ticket: Ticket, wait: Duration) -> Option<Reply> {
        let rx = self.decision.ask(Query::Job(ticket)).ok()?;
        let reply = rx.recv().ok()??;
        let is_final = matches!(reply, Reply::Answer { .. });
        (is_final || wait.is_zero()).then_some(reply)
    }

    fn wait(&self, ticket: Ticket, rx: &Receiver<Reply>, wait: Duration) -> Response {
        let is_own = self.known(ticket, Duration::ZERO).is_some();
        let reply = if is_own {
            rx.recv_timeout(wait).ok()
        } else {
            rx.recv().ok()
        };
        match reply.or_else(|| self.known(ticket, Duration::ZERO)) {
            Some(reply) => self.respond(reply),
            None => overloaded(),
        }
    }

    fn call(&self, call: Call) -> Response {
        let started = self.clock.now();
        let Ok(rx) = self.decision.call(call) else {
            return overloaded();
        };
        let Ok(reply) = rx.recv() else {
            return overloaded();
        };
        if let Reply::Answer { answer, .. } = &reply {
            let seconds = self.clock.now().duration_since(started).as_secs_f64();
            self.metrics.count_answer(answer.verdict, seconds);
        }
        self.respond(reply)
    }

    fn respond(&self, reply: Reply) -> Response {
        match reply {
            Reply::Answer { ticket, answer } => Response::json(&JobAnswer {
                next_ticket: self.next_ticket(),
                ..convert::job_answer(ticket, &answer)
            }),
            Reply::Progress(progress) => {
                Response::json(&convert::job_state(progress)).with_status_code(202)
            }
            Reply::Rejected(rejection) => {
                self.metrics.count_refusal(&rejection.reason.to_string());
                problem::of_rejection(rejection, self.mint.mint())
            }
            Reply::HandOver(_) => overloaded(),
        }
    }

    fn next_ticket(&self) -> String {
        self.mint
            .mint()
            .map(|ticket| ticket.to_string())
            .unwrap_or_default()
    }
}

fn bad_ticket() -> Response {
    problem::of_rejection(Rejection::may_have_run(Reason::BadTicket), None)
}

/// The request was neither decided nor noted, so what an earlier attempt did is not known.
fn overloaded() -> Response {
    let rejection = Rejection::may_have_run(Reason::Overloaded);
    problem::of_rejection(rejection.with_retry_after(OVERLOAD_RETRY_AFTER), None)
}
