//! Routes of the HTTP server for callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use geraniumrelay_core::names::TeamName;
use geraniumrelay_core::{Clock, TicketMint, Verdict};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, HeaderValue};
use hyper::{Method, Request, StatusCode};

use crate::credentials::Credentials;
use crate::http::body::{BodyLimits, UnreadBody};
use crate::http::problem;
use crate::http::response::{self, Response};
use crate::intake::{Connection, Work};
use crate::journal_reader::JournalReaderTx;
use crate::key_binder::KeyBinderTx;
use crate::metrics::Metrics;
use crate::requests::DecisionTx;

/// Media type of the Prometheus text format.
const METRICS_MEDIA_TYPE: &str = "text/plain; version=0.0.4";

/// State shared by the routes for callers.
#[derive(Debug)]
pub struct CallerApi<C> {
    /// Source of the current time.
    pub clock: C,
    /// Channel to the decision thread.
    pub decision: DecisionTx,
    /// Tokens of the callers' teams; if there are none, requests need no token.
    pub teams: Credentials<TeamName>,
    /// Issues tickets of this incarnation.
    pub mint: TicketMint,
    /// Channel to the thread that binds idempotency keys.
    pub keys: KeyBinderTx,
    /// Reads the journal for answers of submissions whose owner has ended or can't be reached.
    pub journal: JournalReaderTx,
    /// Time from the issue of a ticket within which its first submission is accepted.
    pub ticket_ttl: Duration,
    /// Limits of request bodies.
    pub body_limits: BodyLimits,
    /// Maximum time for the head of a request to arrive, and for a connection to stay idle.
    pub head_timeout: Duration,
    /// Metrics of this process, exported at `/metrics`.
    pub metrics: Arc<Metrics>,
    /// Set once this VM starts to stop; responses then close their connection.
    pub is_stopping: Arc<AtomicBool>,
}

impl<C: Clock> CallerApi<C> {
    async fn route(&self, req: Request<Incoming>, connection: &Connection) -> Response {
        let (head, body) = req.into_parts();
        match head.method {
            Method::GET => connection.begin_answer(Work::Query),
            Method::PUT | Method::POST => {}
            _ => connection.begin_answer(Work::Command),
        }
        let body = UnreadBody { body, connection };
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
            _ => problem::request_error(404, "no-such-resource", Verdict::NotRun, path),
        }
    }

    fn readiness(&self) -> Response {
        if self.is_stopping.load(Ordering::SeqCst) {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if self.metrics.revision() == 0 {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "no sheet in force");
        }
        if !self.metrics.is_membership_stable() {
            return response::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "waiting for other entry VMs",
            );
        }
        response::text(StatusCode::OK, "ready")
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.encode() {
            Ok(text) => response::with_body(StatusCode::OK, METRICS_MEDIA_TYPE, text),
            Err(e) => response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    /// Routes one request; closes the connection after the response while this VM stops.
    pub(super) async fn serve(&self, req: Request<Incoming>, connection: &Connection) -> Response {
        let mut res = self.route(req, connection).await;
        if self.is_stopping.load(Ordering::SeqCst) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }
}

/// `verdict` is that of the submission which the path names, or `NotRun` if it names none.
fn method_not_allowed(verdict: Verdict, allowed: &'static str) -> Response {
    let detail = format!("this resource has the methods {allowed}");
    let mut res = problem::request_error(405, "method-not-allowed", verdict, detail);
    res.headers_mut()
        .insert(ALLOW, HeaderValue::from_static(allowed));
    res
}
