//! HTTP API for callers: submits, queries and cancels jobs.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use geraniumrelay_adapter::ingress::{self, JobError, MAX_WAIT_HEADER};
use geraniumrelay_core::leased::routes::Route;
use geraniumrelay_core::leased::{JobId, JobOutcome, JobState, RecordState, RefusalReason};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use log::{debug, info};
use tokio::sync::oneshot;

use super::Routes;
use super::cancellations::{Confirmation, WaitingJob};
use super::durable_jobs::DurableJobStore;
use super::input::{Input, InputTx};
use super::metrics::LeasedMetrics;
use super::readiness::Readiness;
use crate::intake::{BodyError, Connection, Work, read_body};

/// Maximum wait of a caller that sends none, on a route without a time-out.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(30);

/// Time reserved for the answer to reach the caller within the caller's maximum wait.
const ANSWER_MARGIN: Duration = Duration::from_millis(15);

/// Time before the end of a stopping process by which its answers are sent: two ticks of the event loop, and
/// the way to the caller.
const STOP_ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Longest time for the body of a request to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);

/// `Retry-After` while no configuration, scheduler, store or room in the queue is available.
const RETRY_UNAVAILABLE: Duration = Duration::from_secs(1);

/// `Retry-After` for a job that is not supported: only another version of the program can help.
const RETRY_UNSUPPORTED: Duration = Duration::from_mins(10);

type HttpResponse = Response<Full<Bytes>>;

/// Handles callers' requests; decisions are made by the event loop.
#[derive(Debug)]
pub(super) struct RequestHandler {
    durable_jobs: DurableJobStore,
    routes: Routes,
    readiness: Rc<Readiness>,
    tx: InputTx,
    metrics: Arc<LeasedMetrics>,
}

/// Reports the job as abandoned when a caller disconnects before its answer.
struct AbandonGuard<'a> {
    id: JobId,
    tx: &'a InputTx,
    is_answered: bool,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.tx.try_send(Input::Abandoned { id: self.id });
        }
    }
}

impl RequestHandler {
    pub(super) fn new(
        durable_jobs: DurableJobStore,
        routes: Routes,
        readiness: Rc<Readiness>,
        tx: InputTx,
        metrics: Arc<LeasedMetrics>,
    ) -> Self {
        Self {
            durable_jobs,
            routes,
            readiness,
            tx,
            metrics,
        }
    }

    /// Handles one request; closes the connection after the response if the caller should connect to another VM.
    pub(super) async fn serve(
        &self,
        req: Request<Incoming>,
        connection: &Connection,
    ) -> HttpResponse {
        let mut res = self.route(req, connection).await;
        if self.readiness.closes_connections() {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }

    async fn route(&self, req: Request<Incoming>, connection: &Connection) -> HttpResponse {
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let host = head
            .uri
            .host()
            .map(str::to_owned)
            .or_else(|| host(&head.headers));
        let routes = self.routes.borrow().clone();
        let Some(routes) = routes else {
            return refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNAVAILABLE);
        };
        let path = head.uri.path();
        let Some((route, rest)) = routes.find(&host.unwrap_or_default(), path) else {
            return status_response(StatusCode::NOT_FOUND);
        };
        match head.method {
            Method::GET => connection.begin_answer(Work::Query),
            Method::POST => {}
            _ => connection.begin_answer(Work::Command),
        }
        if rest.is_empty() && head.method == Method::GET {
            return self.pending(route).await;
        }
        let Ok(id) = rest.parse::<JobId>() else {
            return status_response(StatusCode::NOT_FOUND);
        };
        match head.method {
            Method::POST => {
                let max_body = routes.limits.max_body;
                let body = match read_body(body, max_body, BODY_TIMEOUT, connection).await {
                    Ok(body) => body,
                    Err(e) => return self.refuse_body(id, e),
                };
                connection.begin_answer(Work::Command);
                let max_wait = max_wait(&head.headers, route);
                self.submit((id, route), (body, connection), arrived, max_wait)
                    .await
            }
            Method::GET => self.state(id).await,
            Method::DELETE => self.cancel(id).await,
            _ => status_response(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn refuse_body(&self, id: JobId, e: BodyError) -> HttpResponse {
        match e {
            BodyError::TooLarge => status_response(StatusCode::PAYLOAD_TOO_LARGE),
            BodyError::Truncated => status_response(StatusCode::BAD_REQUEST),
            BodyError::TimedOut => status_response(StatusCode::REQUEST_TIMEOUT),
            BodyError::NoMemory => self.refuse_without_memory(id),
        }
    }

    fn refuse_without_memory(&self, id: JobId) -> HttpResponse {
        debug!(id:% = id, reason = "no memory"; "job_rejected");
        self.metrics.count_request("refused-no-memory");
        refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNAVAILABLE)
    }

    async fn submit(
        &self,
        (id, route): (JobId, &Route),
        (body, connection): (Vec<u8>, &Connection),
        arrived: Instant,
        max_wait: Duration,
    ) -> HttpResponse {
        let spec = match ingress::job(id, route, &body) {
            Ok(spec) => spec,
            Err(e) => {
                info!(id:% = id, queue = &*route.name, reason = e.to_string().as_str(); "job_rejected");
                self.metrics.count_request("rejected");
                return match e {
                    JobError::Unsupported { .. } => {
                        refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNSUPPORTED)
                    }
                    _ => status_response(StatusCode::BAD_REQUEST),
                };
            }
        };
        // The body is free from here on, and the connection accounts for the job instead.
        let further = spec.heap_bytes().saturating_sub(body.capacity());
        drop(body);
        if connection.hold(further).await.is_err() {
            return self.refuse_without_memory(id);
        }
        // What can't end before this process is refused, and what does not end in time is answered.
        let time_left = self.readiness.time_left(arrived);
        let time_left = time_left.map(|left| left.saturating_sub(STOP_ANSWER_MARGIN));
        let max_wait = time_left.map_or(max_wait, |left| max_wait.min(left));
        let (reply, answer) = oneshot::channel();
        let is_queued = self.tx.try_send(Input::Job {
            spec,
            max_wait: max_wait.saturating_sub(ANSWER_MARGIN),
            reply,
        });
        if !is_queued {
            return refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNAVAILABLE);
        }
        let mut guard = AbandonGuard {
            id,
            tx: &self.tx,
            is_answered: false,
        };
        let outcome = answer.await.unwrap_or(JobOutcome::TimedOut);
        guard.is_answered = true;
        self.metrics.observe_answer(outcome, arrived.elapsed());
        job_response(outcome)
    }

    async fn state(&self, id: JobId) -> HttpResponse {
        let (reply, answer) = oneshot::channel();
        self.tx.try_send(Input::StateOf { id, reply });
        let scheduled = answer.await.unwrap_or(None);
        match self.durable_jobs.state(id).await {
            Ok(Some(RecordState::Open)) if scheduled.is_some() => {
                json_response(ingress::state_body(scheduled.unwrap_or(JobState::Running)))
            }
            Ok(Some(state)) => json_response(ingress::record_body(state)),
            Ok(None) => scheduled.map_or_else(
                || status_response(StatusCode::GONE),
                |state| json_response(ingress::state_body(state)),
            ),
            Err(e) => {
                info!(id:% = id, reason:% = e; "state_unknown");
                refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNAVAILABLE)
            }
        }
    }

    /// Acknowledges a cancellation once it lasts: a durable job's record says so, or all schedulers that may have a
    /// best-effort job have confirmed.
    async fn cancel(&self, id: JobId) -> HttpResponse {
        let (evidence, status) = self.cancel_with_evidence(id).await;
        info!(id:% = id, evidence, status = status.as_u16(); "cancel_answered");
        if status == StatusCode::SERVICE_UNAVAILABLE {
            refusal_response(status, RETRY_UNAVAILABLE)
        } else {
            status_response(status)
        }
    }

    async fn cancel_with_evidence(&self, id: JobId) -> (&'static str, StatusCode) {
        let (reply, waiting) = oneshot::channel();
        let (confirmed, confirmation) = oneshot::channel();
        self.tx.try_send(Input::Cancel {
            id,
            reply,
            confirmed,
        });
        let Ok(waiting) = waiting.await else {
            return ("queue-full", StatusCode::SERVICE_UNAVAILABLE);
        };
        let is_best_effort = matches!(waiting, WaitingJob::BestEffort);
        if !is_best_effort {
            let unstored = match &waiting {
                WaitingJob::Durable(record) => Some(&**record),
                _ => None,
            };
            match self.durable_jobs.cancel(id, unstored).await {
                Ok(true) => return ("record", StatusCode::OK),
                Ok(false) => {}
                Err(e) => {
                    info!(id:% = id, reason:% = e; "cancel_unknown");
                    return ("store-failed", StatusCode::SERVICE_UNAVAILABLE);
                }
            }
        }
        match confirmation.await.unwrap_or(Confirmation::Missing) {
            Confirmation::Ended => ("scheduler", StatusCode::OK),
            Confirmation::NotFound if is_best_effort => ("waited-here", StatusCode::OK),
            Confirmation::NotFound => ("not-found", StatusCode::GONE),
            Confirmation::Durable => ("not-stored-yet", StatusCode::SERVICE_UNAVAILABLE),
            Confirmation::Missing => ("not-confirmed", StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn pending(&self, route: &Route) -> HttpResponse {
        let (reply, answer) = oneshot::channel();
        let queue = Arc::clone(&route.name);
        self.tx.try_send(Input::Pending { queue, reply });
        match answer.await {
            Ok(Some(pending)) => json_response(ingress::pending_body(pending)),
            Ok(None) | Err(_) => {
                refusal_response(StatusCode::SERVICE_UNAVAILABLE, RETRY_UNAVAILABLE)
            }
        }
    }
}

fn host(headers: &HeaderMap) -> Option<String> {
    headers.get(HOST)?.to_str().ok().map(str::to_owned)
}

/// Maximum wait of a caller. The caller's own header has precedence over the route's time-out: a
/// job may take longer than that time-out, which limits queries of a job's state.
fn max_wait(headers: &HeaderMap, route: &Route) -> Duration {
    let header = headers.get(MAX_WAIT_HEADER).and_then(|v| v.to_str().ok());
    let requested = header
        .and_then(|ms| ms.trim().parse().ok())
        .map(Duration::from_millis);
    requested.or(route.timeout).unwrap_or(DEFAULT_MAX_WAIT)
}

fn job_response(outcome: JobOutcome) -> HttpResponse {
    match outcome {
        JobOutcome::Completed => json_response(ingress::ended_body(true)),
        JobOutcome::Failed => json_response(ingress::ended_body(false)),
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
            refusal_response(code, retry_after)
        }
        JobOutcome::TimedOut => status_response(StatusCode::GATEWAY_TIMEOUT),
        JobOutcome::Cancelled => status_response(StatusCode::GONE),
        JobOutcome::Accepted => status_response(StatusCode::OK),
    }
}

fn status_response(code: StatusCode) -> HttpResponse {
    let mut res = Response::new(Full::default());
    *res.status_mut() = code;
    res
}

fn refusal_response(code: StatusCode, retry_after: Duration) -> HttpResponse {
    let mut res = status_response(code);
    let seconds = retry_after.as_millis().div_ceil(1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res
}

fn json_response(body: Bytes) -> HttpResponse {
    let mut res = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res
}
