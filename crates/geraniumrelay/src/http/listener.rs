//! Callers' connections: accepting, serving, closing without cutting a request off.

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

/// Connections that may wait to be accepted, for bursts at opening hour.
const LISTEN_BACKLOG: u32 = 4_096;

/// Connections open at once; further ones wait in the backlog.
const MAX_CONNECTIONS: u32 = 16_384;

/// Largest head of a request in bytes, and the buffer of each connection.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most header lines of a request.
const MAX_HEADERS: usize = 64;

/// Wait after a connection could not be accepted, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for connections that were made before the listener closes.
const LAST_ACCEPT: Duration = Duration::from_millis(50);

/// The running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    close: watch::Sender<bool>,
    closed: Receiver<()>,
}

impl HttpServer {
    /// Starts to listen, on a thread of its own.
    ///
    /// # Errors
    /// An address that can't be listened on.
    pub fn start<C: Clock + 'static>(
        listen: SocketAddr,
        intake: CallerApi<C>,
    ) -> anyhow::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listener = {
            let _context = runtime.enter();
            listener(listen).with_context(|| format!("listening for callers on {listen}"))?
        };
        let (close, close_rx) = watch::channel(false);
        let (closed_tx, closed) = flume::bounded(1);
        let run = move || {
            let connections = Connections::new(Rc::new(intake), close_rx);
            LocalSet::new().block_on(&runtime, connections.run(listener, closed_tx));
        };
        thread::Builder::new()
            .name("intake".to_owned())
            .spawn(run)?;
        Ok(Self { close, closed })
    }

    /// Takes no more connections and waits until every open request has its reply, at most until
    /// `until`; returns whether all have.
    pub fn close(&self, until: Instant) -> bool {
        self.close.send_replace(true);
        self.closed.recv_deadline(until).is_ok()
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

/// Connections of callers.
struct Connections<C> {
    intake: Rc<CallerApi<C>>,
    close: watch::Receiver<bool>,
    permits: Arc<Semaphore>,
}

impl<C: Clock + 'static> Connections<C> {
    fn new(intake: Rc<CallerApi<C>>, close: watch::Receiver<bool>) -> Self {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
        Self {
            intake,
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
        // What was connected by now is still served; its one reply closes it.
        let _ = tokio::time::timeout(LAST_ACCEPT, self.accept_all(&listener)).await;
        drop(listener);
        // All permits are back once all connections have ended.
        let _ = self.permits.acquire_many(MAX_CONNECTIONS).await;
        // Nobody waits where the process is killed.
        let _ = closed.send(());
    }

    async fn accept_all(&self, listener: &TcpListener) {
        while let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await {
            match listener.accept().await {
                Ok((stream, _)) => self.spawn(stream, permit),
                Err(e) => {
                    warn!(error = e.to_string().as_str(); "accept_failed");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, permit: OwnedSemaphorePermit) {
        let (intake, close) = (Rc::clone(&self.intake), self.close.clone());
        spawn_local(async move {
            serve(stream, &intake, close).await;
            drop(permit);
        });
    }
}

async fn serve<C: Clock>(
    stream: TcpStream,
    intake: &CallerApi<C>,
    mut close: watch::Receiver<bool>,
) {
    // Without it small replies wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(intake.head_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service_fn(|req| intake.serve(req)));
    let mut connection = std::pin::pin!(connection);
    // A connection that breaks concerns its caller alone.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = close.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
