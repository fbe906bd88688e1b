//! A caller of the HTTP interface; never retries a request by itself.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumrelay_wire::{JobAnswer, JobRequest, Problem, TaskRequest, Tickets};
use ureq::middleware::MiddlewareNext;
use ureq::{Agent, Body, SendBody, http};

/// Maximum time of a request until its whole reply has been read.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Result of a request as the caller sees it.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// Status 200: the answer of a complete or failed job.
    Answer(JobAnswer),
    /// A refusal or error, with any status other than 200 and 202.
    Problem(Problem),
    /// Status 202: the job is in flight.
    InFlight,
    /// The request failed without a reply, or the reply could not be read; holds the error text.
    NoReply(String),
}

impl RequestOutcome {
    /// Verdict of the answer or problem; empty for the other results.
    pub fn verdict(&self) -> &str {
        match self {
            Self::Answer(answer) => &answer.verdict,
            Self::Problem(problem) => &problem.verdict,
            Self::InFlight | Self::NoReply(_) => "",
        }
    }

    /// Whether the result is the answer of a complete job.
    pub fn is_complete(&self) -> bool {
        matches!(self, Self::Answer(answer) if answer.status == "complete")
    }
}

/// HTTP client with a pool of kept connections; clones share the pool.
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
    /// Makes a caller that is not signed in and has no connections yet.
    pub fn new() -> Self {
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None);
        Self {
            agent: cfg.timeout_global(Some(REQUEST_TIMEOUT)).build().into(),
        }
    }

    /// Makes a caller that signs in with `token` and has no connections yet.
    ///
    /// # Panics
    /// On a request, if `token` has characters that a header can't carry.
    #[must_use]
    pub fn with_token(&self, token: &str) -> Self {
        let value = format!("Bearer {token}");
        let add_token = move |mut req: http::Request<SendBody>, next: MiddlewareNext| {
            let value =
                http::HeaderValue::from_str(&value).expect("a token is a valid header value");
            req.headers_mut().insert(http::header::AUTHORIZATION, value);
            next.handle(req)
        };
        let cfg = Agent::config_builder()
            .http_status_as_error(false)
            .max_redirects(0)
            .proxy(None)
            .middleware(add_token);
        Self {
            agent: cfg.timeout_global(Some(REQUEST_TIMEOUT)).build().into(),
        }
    }

    /// Requests `count` tickets from an entry process; empty if the request fails.
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

    /// Submits `job` under `ticket` and waits for the reply.
    pub fn submit(&self, entry: SocketAddr, ticket: &str, job: &JobRequest) -> RequestOutcome {
        let url = format!("http://{entry}/v1/jobs/{ticket}");
        let body = serde_json::to_vec(job).expect("a job has a JSON form");
        read_outcome(
            self.agent
                .put(url)
                .header("content-type", "application/json")
                .send(&body),
        )
    }

    /// Submits `job` under the idempotency key `key` and waits for the reply.
    pub fn submit_by_key(&self, entry: SocketAddr, key: &str, job: &JobRequest) -> RequestOutcome {
        let body = serde_json::to_vec(job).expect("a job has a JSON form");
        read_outcome(
            self.agent
                .post(format!("http://{entry}/v1/jobs"))
                .header("content-type", "application/json")
                .header("idempotency-key", key)
                .send(&body),
        )
    }

    /// Requests the state or answer of a submission; the entry process holds the request for up to
    /// `wait` while the job is in flight.
    pub fn query(&self, entry: SocketAddr, ticket: &str, wait: Duration) -> RequestOutcome {
        let wait_ms = wait.as_millis();
        read_outcome(
            self.agent
                .get(format!("http://{entry}/v1/jobs/{ticket}?wait_ms={wait_ms}"))
                .call(),
        )
    }

    /// Cancels the submission under `ticket`.
    pub fn cancel(&self, entry: SocketAddr, ticket: &str) -> RequestOutcome {
        read_outcome(
            self.agent
                .delete(format!("http://{entry}/v1/jobs/{ticket}"))
                .call(),
        )
    }

    /// Returns the status and body of a resource; status 0 and the error text if the request fails.
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

fn read_outcome(res: Result<http::Response<Body>, ureq::Error>) -> RequestOutcome {
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

/// Job request with one task for each element of `run_ms`; a task runs for that many milliseconds
/// and outputs its index.
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
