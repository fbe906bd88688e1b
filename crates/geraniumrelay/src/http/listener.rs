//! Callers' connections: accepts and serves them, and closes them without aborting requests.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use flume::{Receiver, Sender};
use geraniumrelay_core::Clock;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use log::warn;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};

use crate::http::server::CallerApi;
use crate::intake::{Connection, Intake, IntakeLimits, serve_connection};

/// Maximum number of connections that wait to be accepted; sized for bursts at opening hour.
const LISTEN_BACKLOG: u32 = 4_096;

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
        limits: IntakeLimits,
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
            let intake = Intake::new(limits, api.metrics.intake());
            let acceptor = Acceptor::new(Rc::new(api), close_rx, intake);
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
    intake: Intake,
    http: http1::Builder,
    connections: RefCell<JoinSet<()>>,
}

impl<C: Clock + 'static> Acceptor<C> {
    fn new(api: Rc<CallerApi<C>>, close: watch::Receiver<bool>, intake: Intake) -> Self {
        let mut http = http1::Builder::new();
        http.timer(TokioTimer::new())
            .header_read_timeout(api.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS);
        Self {
            api,
            close,
            intake,
            http,
            connections: RefCell::default(),
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
        let mut connections = self.connections.into_inner();
        while connections.join_next().await.is_some() {}
        // The send fails only if the `HttpServer` is already dropped, when nothing waits.
        let _ = closed.send(());
    }

    async fn accept_all(&self, listener: &TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    if let Some(connection) = self.intake.admit().await {
                        self.spawn(stream, connection);
                    }
                }
                Err(e) => {
                    warn!(error = e.to_string().as_str(); "accept_failed");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }

    fn spawn(&self, stream: TcpStream, connection: Connection) {
        let (api, close) = (Rc::clone(&self.api), self.close.clone());
        let mut connections = self.connections.borrow_mut();
        while connections.try_join_next().is_some() {}
        let http = self.http.clone();
        connections.spawn_local(async move {
            // Nagle's algorithm would delay small responses until the caller acknowledges earlier data.
            let _ = stream.set_nodelay(true);
            let answer = async |req, connection: &_| api.serve(req, connection).await;
            serve_connection(stream, connection, &http, close, answer).await;
        });
    }
}
