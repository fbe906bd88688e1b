//! Callers' requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use geraniumrelay_adapter::ingress::{self, JobError, MAX_WAIT_HEADER};
use geraniumrelay_core::leased::routes::Route;
use geraniumrelay_core::leased::{JobId, JobOutcome, JobState, RecordState, RefusalReason};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use log::info;
use tokio::sync::oneshot;

use super::Routes;
use super::balance::Readiness;
use super::input::{Input, InputTx};
use super::kept::DurableJobStore;
use super::metrics::LeasedMetrics;

/// Patience of a caller that names none, where its route sets no limit either.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// Time that an answer needs to get back to a caller before its patience ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Longest time for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// When callers come back that are refused for want of a configuration or a scheduler.
const RETRY_SOON: Duration = Duration::from_secs(1);

/// When callers come back whose job is not supported: not before the program is replaced.
const RETRY_MUCH_LATER: Duration = Duration::from_mins(10);

type Reply = Response<Full<Bytes>>;

/// Serves callers' requests.
#[derive(Debug)]
pub(super) struct RequestHandler {
    kept: DurableJobStore,
    routes: Routes,
    readiness: Rc<Readiness>,
    tx: InputTx,
    metrics: Arc<LeasedMetrics>,
}

/// Tells the hub when a caller goes away before its answer.
struct Waiting<'a> {
    id: JobId,
    tx: &'a InputTx,
    is_answered: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.tx.try_send(Input::Abandoned { id: self.id });
        }
    }
}

impl RequestHandler {
    pub(super) fn new(
        kept: DurableJobStore,
        routes: Routes,
        readiness: Rc<Readiness>,
        tx: InputTx,
        metrics: Arc<LeasedMetrics>,
    ) -> Self {
        Self {
            kept,
            routes,
            readiness,
            tx,
            metrics,
        }
    }

    /// Serves one request.
    pub(super) async fn serve(&self, req: Request<Incoming>) -> Result<Reply, Infallible> {
        let mut res = self.route(req).await;
        if self.readiness.is_stopping() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        Ok(res)
    }

    async fn route(&self, req: Request<Incoming>) -> Reply {
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let host = head
            .uri
            .host()
            .map(str::to_owned)
            .or_else(|| host(&head.headers));
        let routes = self.routes.borrow().clone();
        let Some(routes) = routes else {
            return refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON);
        };
        let path = head.uri.path();
        let Some((route, rest)) = routes.find(&host.unwrap_or_default(), path) else {
            return status(StatusCode::NOT_FOUND);
        };
        if rest.is_empty() && head.method == Method::GET {
            return self.pending(route).await;
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return status(StatusCode::NOT_FOUND);
        };
        match head.method {
            Method::POST => {
                let body = Limited::new(body, routes.limits.max_body).collect();
                let Ok(body) = tokio::time::timeout(BODY_TIMEOUT, body).await else {
                    return status(StatusCode::REQUEST_TIMEOUT);
                };
                let Ok(body) = body else {
                    return status(StatusCode::PAYLOAD_TOO_LARGE);
                };
                let max_wait = max_wait(&head.headers, route);
                self.submit(id, route, &body.to_bytes(), arrived, max_wait)
                    .await
            }
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id).await,
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn submit(
        &self,
        id: JobId,
        route: &Route,
        body: &[u8],
        arrived: Instant,
        max_wait: Duration,
    ) -> Reply {
        let spec = match ingress::job(id, route, body) {
            Ok(spec) => spec,
            Err(e) => {
                info!(id:% = id, queue = &*route.name, reason = e.to_string().as_str(); "job_rejected");
                self.metrics.note_request("rejected");
                return match e {
                    JobError::Unsupported { .. } => {
                        refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_MUCH_LATER)
                    }
                    _ => status(StatusCode::BAD_REQUEST),
                };
            }
        };
        let (reply, answer) = oneshot::channel();
        let is_taken = self.tx.try_send(Input::Job {
            spec,
            max_wait: max_wait.saturating_sub(ANSWER_MARGIN),
            reply,
        });
        if !is_taken {
            return refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON);
        }
        let mut waiting = Waiting {
            id,
            tx: &self.tx,
            is_answered: false,
        };
        let outcome = answer.await.unwrap_or(JobOutcome::TimedOut);
        waiting.is_answered = true;
        self.metrics.note_answer(outcome, arrived.elapsed());
        answer_of(outcome)
    }

    async fn state(&self, id: JobId) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.tx.try_send(Input::StateOf { id, reply });
        let known = answer.await.unwrap_or(None);
        match self.kept.state(id).await {
            Ok(Some(RecordState::Open)) if known.is_some() => {
                with_body(ingress::state_body(known.unwrap_or(JobState::Running)))
            }
            Ok(Some(state)) => with_body(ingress::record_body(state)),
            Ok(None) => known.map_or_else(
                || status(StatusCode::GONE),
                |state| with_body(ingress::state_body(state)),
            ),
            Err(e) => {
                info!(id:% = id, reason:% = e; "state_unknown");
                refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON)
            }
        }
    }

    async fn cancel(&self, id: JobId) -> Reply {
        let (reply, answer) = oneshot::channel();
        self.tx.try_send(Input::Cancel { id, reply });
        if answer.await.unwrap_or(false) {
            return status(StatusCode::OK);
        }
        match self.kept.cancel(id).await {
            Ok(true) => status(StatusCode::OK),
            Ok(false) => status(StatusCode::GONE),
            Err(e) => {
                info!(id:% = id, reason:% = e; "cancel_unknown");
                refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON)
            }
        }
    }

    async fn pending(&self, route: &Route) -> Reply {
        let (reply, answer) = oneshot::channel();
        let queue = Arc::clone(&route.name);
        self.tx.try_send(Input::Pending { queue, reply });
        match answer.await {
            Ok(Some(pending)) => with_body(ingress::pending_body(pending)),
            Ok(None) | Err(_) => refused(StatusCode::SERVICE_UNAVAILABLE, RETRY_SOON),
        }
    }
}

fn host(headers: &HeaderMap) -> Option<String> {
    headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// How long a caller waits. What it says itself goes first: a job may well take longer than its
/// route's time-out, which bounds calls that ask for the state of one.
fn max_wait(headers: &HeaderMap, route: &Route) -> Duration {
    let named = headers.get(MAX_WAIT_HEADER).and_then(|v| v.to_str().ok());
    let named = named
        .and_then(|ms| ms.trim().parse().ok())
        .map(Duration::from_millis);
    named.or(route.timeout).unwrap_or(DEFAULT_PATIENCE)
}

fn answer_of(outcome: JobOutcome) -> Reply {
    match outcome {
        JobOutcome::Completed => with_body(ingress::ended_body(true)),
        JobOutcome::Failed => with_body(ingress::ended_body(false)),
        JobOutcome::Refused {
            reason,
            retry_after,
        } => {
            let code = match reason {
                RefusalReason::Overload | RefusalReason::WaitedTooLong => {
                    StatusCode::TOO_MANY_REQUESTS
                }
                _ => StatusCode::SERVICE_UNAVAILABLE,
            };
            refused(code, retry_after)
        }
        JobOutcome::TimedOut => status(StatusCode::GATEWAY_TIMEOUT),
        JobOutcome::Cancelled => status(StatusCode::GONE),
        JobOutcome::Accepted => status(StatusCode::OK),
    }
}

fn status(code: StatusCode) -> Reply {
    let mut res = Response::new(Full::default());
    *res.status_mut() = code;
    res
}

fn refused(code: StatusCode, retry_after: Duration) -> Reply {
    let mut res = status(code);
    let seconds = retry_after.as_millis().div_ceil(1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res
}

fn with_body(body: Bytes) -> Reply {
    let mut res = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}
