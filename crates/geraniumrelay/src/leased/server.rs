//! HTTP server for callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use log::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::timeout_at;

use super::request_handler::RequestHandler;
use crate::intake::{Intake, serve_connection};

/// Length of the listen backlog, in connections: a burst of new callers of one entry VM.
const BACKLOG: u32 = 1_024;

/// Pause after a failed accept; the usual cause is that the file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time for the head of a request to arrive, and longest idle time of a kept-alive
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Binds a TCP listener to an IPv4 address, also while old connections are in `TIME_WAIT`.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection; logs a failure and tries again after a pause.
pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without TCP_NODELAY, small replies wait for acknowledgements. The connection
                // works even if the option can't be set.
                let _ = stream.set_nodelay(true);
                return Some(stream);
            }
            Err(e) => {
                warn!(error = e.to_string().as_str(); "accept_failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// HTTP server for callers, with its open connections.
#[derive(Debug)]
pub(super) struct Server {
    close: watch::Sender<bool>,
    connections: Rc<RefCell<JoinSet<()>>>,
}

impl Server {
    /// Binds `address` and serves the connections that `intake` admits until [`Server::close`].
    pub(super) fn start(
        address: SocketAddr,
        handler: &Rc<RequestHandler>,
        intake: Intake,
    ) -> std::io::Result<Self> {
        let listener = bind(address)?;
        let (close, closing) = watch::channel(false);
        let connections = Rc::new(RefCell::new(JoinSet::new()));
        let (set, handler) = (Rc::clone(&connections), Rc::clone(handler));
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES);
        spawn_local(async move {
            while let Some(stream) = accept(&listener).await {
                let Some(connection) = intake.admit().await else {
                    continue;
                };
                let mut set = set.borrow_mut();
                while set.try_join_next().is_some() {}
                let (handler, http, closing) = (Rc::clone(&handler), http.clone(), closing.clone());
                set.spawn_local(async move {
                    let answer = async |req, connection: &_| handler.serve(req, connection).await;
                    serve_connection(stream, connection, &http, closing, answer).await;
                });
            }
        });
        Ok(Self { close, connections })
    }

    /// Closes idle connections, and waits until `until` for the others to get their answers.
    pub(super) async fn close(self, until: Instant) {
        // The send fails only if no task receives.
        let _ = self.close.send(true);
        let connections = self.connections;
        loop {
            let mut set = std::mem::take(&mut *connections.borrow_mut());
            if set.is_empty() {
                return;
            }
            while let Ok(Some(_)) = timeout_at(until.into(), set.join_next()).await {}
            if !set.is_empty() {
                info!(connections = set.len(); "stopped_with_open_connections");
                return;
            }
        }
    }
}
