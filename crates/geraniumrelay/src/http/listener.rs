//! Callers' connections: accepts and serves them, and closes them without aborting requests.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use flume::{Receiver, Sender};
use geraniumrelay_core::Clock;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::warn;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};

use crate::http::server::CallerApi;

/// Maximum number of connections that wait to be accepted; sized for bursts at opening hour.
const LISTEN_BACKLOG: u32 = 4_096;

/// Maximum number of open connections; further ones wait in the backlog.
const MAX_CONNECTIONS: u32 = 16_384;

/// Maximum size of a request's head, and of the buffer of each connection.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 64;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which the backlog is still accepted before the listener closes.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(50);

/// Handle of the running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    close: watch::Sender<bool>,
    closed: Receiver<()>,
}

impl HttpServer {
    /// Starts the server on its own thread.
    ///
    /// # Errors
    /// The address can't be bound, or the thread or its runtime can't be started.
    pub fn start<C: Clock + 'static>(
        listen: SocketAddr,
        api: CallerApi<C>,
    ) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            bind_listener(listen).with_context(|| format!("listening for callers on {listen}"))?
        };
        let (close, close_rx) = watch::channel(false);
        let (closed_tx, closed) = flume::bounded(1);
        let run = move || {
            let acceptor = Acceptor::new(Rc::new(api), close_rx);
            LocalSet::new().block_on(&runtime, acceptor.run(listener, closed_tx));
        };
        thread::Builder::new()
            .name("intake".to_owned())
            .spawn(run)?;
        Ok(Self { close, closed })
    }

    /// Stops accepting connections and waits until every open connection has ended, but not
    /// beyond `deadline`; returns whether all have ended.
    pub fn close(&self, deadline: Instant) -> bool {
        self.close.send_replace(true);
        self.closed.recv_deadline(deadline).is_ok()
    }
}

fn bind_listener(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if listen.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }?;
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Accepts callers' connections and serves each in a local task.
struct Acceptor<C> {
    api: Rc<CallerApi<C>>,
    close: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
}

impl<C: Clock + 'static> Acceptor<C> {
    fn new(api: Rc<CallerApi<C>>, close: watch::Receiver<bool>) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
        Self {
            api,
            close,
            permits,
        }
    }

    async fn run(self, listener: TcpListener, closed: Sender<()>) {
        let mut close = self.close.clone();
        tokio::select! {
            () = self.accept_all(&listener) => {}
            _ = close.wait_for(|is_closing| *is_closing) => {}
        }
        // Connections from the backlog are still served; each closes after one response.
        let _ = tokio::time::timeout(FINAL_ACCEPT_TIME, self.accept_all(&listener)).await;
        drop(listener);
        // Each open connection holds a permit, so all are free once every connection has ended.
        let _ = self.permits.acquire_many(MAX_CONNECTIONS).await;
        // The send fails only if the `HttpServer` is already dropped, when nothing waits.
        let _ = closed.send(());
    }

    async fn accept_all(&self, listener: &TcpListener) {
        while let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(stream, permit),
                Err(e) => {
                    warn!(error = e.to_string().as_str(); "accept_failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let (api, close) = (Rc::clone(&self.api), self.close.clone());
        spawn_local(async move {
            serve(stream, &api, close).await;
            drop(permit);
        });
    }
}

async fn serve<C: Clock>(stream: TcpStream, api: &CallerApi<C>, mut close: watch::Receiver<bool>) {
    // Nagle's algorithm would delay small responses until the caller acknowledges earlier data.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(api.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service_fn(|req| api.serve(req)));
    let mut connection = std::pin::pin!(connection);
    // A connection error affects only its caller, so it is ignored.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = close.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
