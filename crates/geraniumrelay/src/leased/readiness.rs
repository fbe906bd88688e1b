//! Readiness endpoint that the load balancer checks.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use geraniumrelay_adapter::ingress::READINESS_PATH;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use log::info;
use tokio::task::spawn_local;

use super::server;

/// Whether this VM accepts requests of callers.
#[derive(Debug, Default)]
pub(super) struct Readiness {
    can_serve: Cell<bool>,
    /// Whether callers should leave, as another data centre's entry VMs can serve them.
    is_shut_out: Cell<bool>,
    /// When a stopping process ends at the latest; `None` if it is not stopping.
    ends_at: Cell<Option<Instant>>,
}

impl Readiness {
    /// Sets whether requests can be served; logs `reason` on a change.
    pub(super) fn set(&self, can_serve: bool, reason: &str) {
        if self.can_serve.replace(can_serve) != can_serve {
            info!(is_ready = can_serve, reason; "readiness_changed");
        }
    }

    /// Sets whether callers should connect to the entry VMs of another data centre.
    pub(super) fn set_shut_out(&self, is_shut_out: bool) {
        self.is_shut_out.set(is_shut_out);
    }

    /// Whether connections are closed after the next response, so that callers connect elsewhere.
    pub(super) fn closes_connections(&self) -> bool {
        self.is_stopping() || self.is_shut_out.get()
    }

    /// Makes this VM unready for good: the process stops, and ends at `ends_at` at the latest.
    pub(super) fn stop(&self, ends_at: Instant) {
        self.ends_at.set(Some(ends_at));
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.ends_at.get().is_some()
    }

    /// Time left until a stopping process ends; `None` if it is not stopping.
    pub(super) fn time_left(&self, now: Instant) -> Option<Duration> {
        let ends_at = self.ends_at.get()?;
        Some(ends_at.saturating_duration_since(now))
    }

    pub(super) fn is_ready(&self) -> bool {
        self.can_serve.get() && !self.is_stopping()
    }
}

/// Binds `address` and answers readiness checks: 200 when ready, 503 otherwise.
pub(super) fn start(address: SocketAddr, readiness: Rc<Readiness>) -> std::io::Result<()> {
    let listener = server::bind(address)?;
    spawn_local(async move {
        while let Some(stream) = server::accept(&listener).await {
            let readiness = Rc::clone(&readiness);
            spawn_local(async move {
                let service = service_fn(|req| {
                    std::future::ready(Ok::<_, Infallible>(answer(&req, &readiness)))
                });
                // The load balancer repeats a check whose connection breaks.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}

fn answer(req: &Request<Incoming>, readiness: &Readiness) -> Response<Full<Bytes>> {
    let status = if req.uri().path() != READINESS_PATH {
        StatusCode::NOT_FOUND
    } else if readiness.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let mut res = Response::new(Full::default());
    *res.status_mut() = status;
    res
}
