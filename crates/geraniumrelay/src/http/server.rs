//! Routes of the intake.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, TicketMint, Verdict};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};

use crate::credentials::Credentials;
use crate::http::body::BodyReader;
use crate::http::problem;
use crate::http::response::{self, Response};
use crate::journal_reader::JournalReaderTx;
use crate::key_binder::KeyBinderTx;
use crate::metrics::Metrics;
use crate::requests::DecisionTx;

/// Media type of metrics.
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

/// What the routes need.
#[derive(Debug)]
pub struct CallerApi<C> {
    /// Time.
    pub clock: C,
    /// Ring to the decision thread.
    pub decision: DecisionTx,
    /// Callers' teams; where there are none, anybody may call.
    pub teams: Credentials<TeamName>,
    /// Mint of this incarnation.
    pub mint: TicketMint,
    /// Ring to the thread that binds idempotency keys.
    pub keys: KeyBinderTx,
    /// Reads kept answers of submissions whose owner is gone.
    pub journal: JournalReaderTx,
    /// Time within which a ticket may be submitted first.
    pub ticket_ttl: Duration,
    /// Reads bodies within their bounds.
    pub body_reader: BodyReader,
    /// Longest time for the head of a request to arrive, and for a kept connection to be idle.
    pub head_timeout: Duration,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Set once this VM is stopping.
    pub is_stopping: Arc<AtomicBool>,
}

impl<C: Clock> CallerApi<C> {
    async fn route(&self, req: Request<Incoming>) -> Response {
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        let team = match self.authenticate(&head.headers) {
            Ok(team) => team,
            Err(refusal) if path.starts_with("/v1/") => return *refusal,
            Err(_) => None,
        };
        if let Some(ticket) = path.strip_prefix("/v1/jobs/") {
            return match head.method {
                Method::PUT => self.submit(ticket, team, body).await,
                Method::GET => self.query(ticket, &head.uri).await,
                Method::DELETE => self.cancel(ticket).await,
                _ => method_not_allowed(Verdict::MayHaveRun, "GET, PUT, DELETE"),
            };
        }
        match (&head.method, path) {
            (&Method::GET, "/healthz") => response::text(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics_text(),
            (&Method::POST, "/v1/tickets") => self.mint_tickets(&head.uri),
            (&Method::POST, "/v1/jobs") => self.submit_by_key(&head.headers, team, body).await,
            (_, "/healthz" | "/readyz" | "/metrics") => method_not_allowed(Verdict::NotRun, "GET"),
            (_, "/v1/tickets" | "/v1/jobs") => method_not_allowed(Verdict::NotRun, "POST"),
            _ => problem::of_request(404, "no-such-resource", Verdict::NotRun, path),
        }
    }

    fn readiness(&self) -> Response {
        if self.is_stopping.load(Ordering::SeqCst) {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if self.metrics.revision() == 0 {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "no sheet in force");
        }
        if !self.metrics.is_settled() {
            return response::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "waiting for other entry VMs",
            );
        }
        response::text(StatusCode::OK, "ready")
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.encode() {
            Ok(text) => response::with_body(StatusCode::OK, METRICS_TEXT, text),
            Err(e) => response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    /// Serves one request.
    pub(super) async fn serve(&self, req: Request<Incoming>) -> Result<Response, Infallible> {
        let mut res = self.route(req).await;
        if self.is_stopping.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        Ok(res)
    }
}

/// `verdict` speaks of the submission that the path names, if it names one.
fn method_not_allowed(verdict: Verdict, allowed: &'static str) -> Response {
    let detail = format!("this resource has the methods {allowed}");
    let mut res = problem::of_request(405, "method-not-allowed", verdict, detail);
    res.headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    res
}
