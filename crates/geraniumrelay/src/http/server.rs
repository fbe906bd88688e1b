//! The HTTP server and its routes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use geraniumrelay_core::{Clock, TicketMint};
use rouille::{Request, Response, Server};

use crate::http::problem;
use crate::metrics::Metrics;
use crate::requests::DecisionTx;

/// What the routes need.
#[derive(Debug)]
pub struct Intake<C> {
    /// Time.
    pub clock: C,
    /// Ring to the decision thread.
    pub decision: DecisionTx,
    /// Mint of this incarnation.
    pub mint: TicketMint,
    /// Time within which a ticket may be submitted first.
    pub ticket_ttl: Duration,
    /// Largest body in bytes.
    pub max_body: usize,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Set once this VM is stopping.
    pub is_stopping: Arc<AtomicBool>,
    /// Requests that have no reply yet.
    pub open_requests: Arc<AtomicUsize>,
}

impl<C: Clock> Intake<C> {
    fn route(&self, req: &Request) -> Response {
        let path = req.url();
        match (req.method(), path.as_str()) {
            ("GET", "/healthz") => Response::text("ok"),
            ("GET", "/readyz") => self.readiness(),
            ("GET", "/metrics") => self.metrics_text(),
            ("POST", "/v1/tickets") => self.mint_tickets(req),
            (method, path) => match (method, path.strip_prefix("/v1/jobs/")) {
                ("PUT", Some(ticket)) => self.submit(ticket, req),
                ("GET", Some(ticket)) => self.query(ticket, req),
                ("DELETE", Some(ticket)) => self.cancel(ticket),
                _ => problem::of_request(404, "no-such-resource", path),
            },
        }
    }

    fn readiness(&self) -> Response {
        if self.is_stopping.load(Ordering::SeqCst) {
            return Response::text("stopping").with_status_code(503);
        }
        if self.metrics.revision() == 0 {
            return Response::text("no sheet in force").with_status_code(503);
        }
        if !self.metrics.is_settled() {
            return Response::text("waiting for other entry VMs").with_status_code(503);
        }
        Response::text("ready")
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.encode() {
            Ok(text) => Response::from_data("text/plain; version=0.0.4", text),
            Err(e) => Response::text(e.to_string()).with_status_code(500),
        }
    }
}

/// The running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    open_requests: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Starts to listen.
    ///
    /// # Errors
    /// An address that can't be listened on.
    pub fn start<C: Clock + 'static>(
        listen: SocketAddr,
        intake: Intake<C>,
    ) -> anyhow::Result<Self> {
        let open_requests = Arc::clone(&intake.open_requests);
        let server = Server::new(listen, move |req| {
            intake.open_requests.fetch_add(1, Ordering::SeqCst);
            let res = intake.route(req);
            intake.open_requests.fetch_sub(1, Ordering::SeqCst);
            res
        });
        let server =
            server.map_err(|e| anyhow::anyhow!("listening for callers on {listen}: {e}"))?;
        thread::Builder::new()
            .name("intake".to_owned())
            .spawn(move || server.run())?;
        Ok(Self { open_requests })
    }

    /// Waits until every request has its reply, at most until `until`.
    pub fn wait_idle(&self, clock: &impl Clock, until: Instant) -> bool {
        /// Time between two looks.
        const STEP: Duration = Duration::from_millis(10);
        while self.open_requests.load(Ordering::SeqCst) > 0 {
            if clock.now() >= until {
                return false;
            }
            thread::sleep(STEP);
        }
        true
    }
}
