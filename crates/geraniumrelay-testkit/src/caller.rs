//! A caller: speaks the HTTP interface and never repeats a request by itself.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumrelay_wire::{JobAnswer, JobRequest, Problem, TaskRequest, Tickets};
use ureq::middleware::MiddlewareNext;
use ureq::{Agent, Body, SendBody, http};

/// Longest wait for a whole reply.
const TIMEOUT: Duration = Duration::from_mins(1);

/// What a caller learns of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// An answer, complete or failed.
    Answer(JobAnswer),
    /// A refusal.
    Problem(Problem),
    /// The submission is in flight.
    InFlight,
    /// The connection broke or a reply could not be read.
    NoReply(String),
}

impl RequestOutcome {
    /// Verdict of the answer or refusal; empty where there is none.
    pub fn verdict(&self) -> &str {
        match self {
            Self::Answer(answer) => &answer.verdict,
            Self::Problem(problem) => &problem.verdict,
            Self::InFlight | Self::NoReply(_) => "",
        }
    }

    /// Whether it is the answer of a complete job.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Answer(answer) if answer.status == "complete")
    }
}

/// A caller with connections that it keeps.
#[derive(Debug, Clone)]
pub struct Caller {
    agent: Agent,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Makes a caller without connections.
    pub fn new() -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None);
        Self {
            agent: cfg.timeout_global(Some(TIMEOUT)).build().into(),
        }
    }

    /// Makes a caller without connections that signs in with a token.
    #[must_use]
    pub fn with_token(&self, token: &str) -> Self {
        let value = format!("Bearer {token}");
        let sign_in = move |mut req: http::Request<SendBody>, next: MiddlewareNext| {
            let value = http::HeaderValue::from_str(&value).expect("token of a header's letters");
            req.headers_mut().insert(http::header::AUTHORIZATION, value);
            next.handle(req)
        };
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .middleware(sign_in);
        Self {
            agent: cfg.timeout_global(Some(TIMEOUT)).build().into(),
        }
    }

    /// Draws tickets from an entry process; empty where it can't give any.
    pub fn tickets(&self, entry: SocketAddr, count: usize) -> Vec<String> {
        let url = format!("http://{entry}/v1/tickets?count={count}");
        let Ok(mut res) = self.agent.post(url).send_empty() else {
            return Vec::new();
        };
        if res.status() != 201 {
            return Vec::new();
        }
        let body = res.body_mut().read_to_vec().unwrap_or_default();
        serde_json::from_slice::<Tickets>(&body)
            .map(|t| t.tickets)
            .unwrap_or_default()
    }

    /// Submits a job under a ticket.
    pub fn submit(&self, entry: SocketAddr, ticket: &str, job: &JobRequest) -> RequestOutcome {
        let url = format!("http://{entry}/v1/jobs/{ticket}");
        let body = serde_json::to_vec(job).expect("a job has a JSON form");
        told(
            self.agent
                .put(url)
                .header("content-type", "application/json")
                .send(&body),
        )
    }

    /// Submits a job under a key of the caller's own.
    pub fn submit_by_key(&self, entry: SocketAddr, key: &str, job: &JobRequest) -> RequestOutcome {
        let body = serde_json::to_vec(job).expect("a job has a JSON form");
        told(
            self.agent
                .post(format!("http://{entry}/v1/jobs"))
                .header("content-type", "application/json")
                .header("idempotency-key", key)
                .send(&body),
        )
    }

    /// Asks for the state or answer of a ticket.
    pub fn query(&self, entry: SocketAddr, ticket: &str, wait: Duration) -> RequestOutcome {
        let wait_ms = wait.as_millis();
        told(
            self.agent
                .get(format!("http://{entry}/v1/jobs/{ticket}?wait_ms={wait_ms}"))
                .call(),
        )
    }

    /// Cancels a submission.
    pub fn cancel(&self, entry: SocketAddr, ticket: &str) -> RequestOutcome {
        told(
            self.agent
                .delete(format!("http://{entry}/v1/jobs/{ticket}"))
                .call(),
        )
    }

    /// Status and body of any resource; status 0 where the connection broke.
    pub fn get(&self, entry: SocketAddr, path: &str) -> (u16, String) {
        match self.agent.get(format!("http://{entry}{path}")).call() {
            Ok(mut res) => {
                let text = res.body_mut().read_to_string().unwrap_or_default();
                (res.status().as_u16(), text)
            }
            Err(e) => (0, e.to_string()),
        }
    }
}

fn told(res: Result<http::Response<Body>, ureq::Error>) -> RequestOutcome {
    let mut res = match res {
        Ok(res) => res,
        Err(e) => return RequestOutcome::NoReply(e.to_string()),
    };
    let body = match res.body_mut().read_to_vec() {
        Ok(body) => body,
        Err(e) => return RequestOutcome::NoReply(e.to_string()),
    };
    let read = match res.status().as_u16() {
        200 => serde_json::from_slice(&body).map(RequestOutcome::Answer),
        202 => Ok(RequestOutcome::InFlight),
        _ => serde_json::from_slice(&body).map(RequestOutcome::Problem),
    };
    read.unwrap_or_else(|e| RequestOutcome::NoReply(e.to_string()))
}

/// A job of tasks that each run for some milliseconds and output their own index.
pub fn job_of(service: &str, kind: &str, run_ms: &[u64]) -> JobRequest {
    let tasks = run_ms.iter().enumerate().map(|(i, ms)| TaskRequest {
        payload: format!("run:{ms}:{i}"),
        expected_ms: None,
    });
    JobRequest {
        service: service.to_owned(),
        kind: kind.to_owned(),
        team: None,
        deadline_ms: None,
        tasks: tasks.collect(),
    }
}
