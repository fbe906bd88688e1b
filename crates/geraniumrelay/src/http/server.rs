//! The HTTP server and its routes.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use geraniumrelay_core::{Clock, TicketMint};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};

use crate::http::problem;
use crate::http::response::{self, Response};
use crate::metrics::Metrics;
use crate::requests::DecisionTx;

/// Connections that may wait to be accepted, for bursts at opening hour.
const LISTEN_BACKLOG: u32 = 4_096;

/// Connections open at once; further ones wait in the backlog.
const MAX_CONNECTIONS: usize = 16_384;

/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Media type of metrics.
const METRICS_TEXT: &str = "text/plain; version=0.0.4";

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
    async fn route(&self, req: Request<Incoming>) -> Response {
        let (head, body) = req.into_parts();
        let path = head.uri.path();
        if let Some(ticket) = path.strip_prefix("/v1/jobs/") {
            return match head.method {
                Method::PUT => self.submit(ticket, body).await,
                Method::GET => self.query(ticket, &head.uri).await,
                Method::DELETE => self.cancel(ticket).await,
                _ => method_not_allowed(),
            };
        }
        match (&head.method, path) {
            (&Method::GET, "/healthz") => response::text(StatusCode::OK, "ok"),
            (&Method::GET, "/readyz") => self.readiness(),
            (&Method::GET, "/metrics") => self.metrics_text(),
            (&Method::POST, "/v1/tickets") => self.mint_tickets(&head.uri),
            (_, "/healthz" | "/readyz" | "/metrics" | "/v1/tickets") => method_not_allowed(),
            _ => problem::of_request(404, "no-such-resource", path),
        }
    }

    fn readiness(&self) -> Response {
        if self.is_stopping.load(Ordering::SeqCst) {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "stopping");
        }
        if self.metrics.revision() == 0 {
            return response::text(StatusCode::SERVICE_UNAVAILABLE, "no sheet in force");
        }
        response::text(StatusCode::OK, "ready")
    }

    fn metrics_text(&self) -> Response {
        match self.metrics.encode() {
            Ok(text) => response::with_body(StatusCode::OK, METRICS_TEXT, text),
            Err(e) => response::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        }
    }

    async fn serve(&self, req: Request<Incoming>) -> Result<Response, Infallible> {
        let _open = OpenRequest::new(&self.open_requests);
        Ok(self.route(req).await)
    }
}

fn method_not_allowed() -> Response {
    problem::of_request(
        405,
        "method-not-allowed",
        "this resource has no such method",
    )
}

/// Counts a request as open until it is dropped, also where the caller goes away.
struct OpenRequest<'a>(&'a AtomicUsize);

impl<'a> OpenRequest<'a> {
    fn new(open_requests: &'a AtomicUsize) -> Self {
        open_requests.fetch_add(1, Ordering::SeqCst);
        Self(open_requests)
    }
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// The running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    open_requests: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Starts to listen, on a thread of its own.
    ///
    /// # Errors
    /// An address that can't be listened on.
    pub fn start<C: Clock + 'static>(
        listen: SocketAddr,
        intake: Intake<C>,
    ) -> anyhow::Result<Self> {
        let open_requests = Arc::clone(&intake.open_requests);
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            listener(listen).with_context(|| format!("listening for callers on {listen}"))?
        };
        let run = move || LocalSet::new().block_on(&runtime, accept(listener, Rc::new(intake)));
        thread::Builder::new()
            .name("intake".to_owned())
            .spawn(run)?;
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

fn listener(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if listen.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept<C: Clock + 'static>(listener: TcpListener, intake: Rc<Intake<C>>) {
    let permits = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let intake = Rc::clone(&intake);
                spawn_local(async move {
                    serve_connection(stream, &intake).await;
                    drop(permit);
                });
            }
            Err(e) => {
                warn!(error = e.to_string().as_str(); "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection<C: Clock>(stream: TcpStream, intake: &Intake<C>) {
    // Without it small replies wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| intake.serve(req));
    // A connection that breaks concerns its caller alone.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}
