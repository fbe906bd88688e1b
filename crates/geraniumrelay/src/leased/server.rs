//! HTTP server for callers.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::timeout_at;

use super::intake::RequestHandler;

/// Connections that wait to be accepted: a burst of new callers of one entry VM.
const BACKLOG: u32 = 1_024;

/// Wait after a failed accept, which mostly means that descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Longest time for the head of a request to arrive, and for a kept connection to be idle.
const HEAD_TIMEOUT: Duration = Duration::from_mins(1);

/// Largest head of a request, in bytes.
const MAX_HEAD: usize = 32 * 1024;

/// Binds a listener.
pub(super) fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The next connection; failures are logged and waited out.
pub(super) async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it small replies wait for acknowledgements; the connection works all the
                // same.
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

/// The server of callers.
#[derive(Debug)]
pub(super) struct Server {
    close: watch::Sender<bool>,
    connections: Rc<RefCell<JoinSet<()>>>,
}

impl Server {
    pub(super) fn start(address: SocketAddr, intake: &Rc<RequestHandler>) -> std::io::Result<Self> {
        let listener = bind(address)?;
        let (close, closing) = watch::channel(false);
        let connections = Rc::new(RefCell::new(JoinSet::new()));
        let (set, intake) = (Rc::clone(&connections), Rc::clone(intake));
        spawn_local(async move {
            while let Some(stream) = accept(&listener).await {
                let mut set = set.borrow_mut();
                while set.try_join_next().is_some() {}
                set.spawn_local(serve(stream, Rc::clone(&intake), closing.clone()));
            }
        });
        Ok(Self { close, connections })
    }

    /// Closes idle connections and waits until the others have had their answers.
    pub(super) async fn close(self, until: Instant) {
        // Nobody listens where there is no connection.
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

async fn serve(stream: TcpStream, intake: Rc<RequestHandler>, mut closing: watch::Receiver<bool>) {
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD)
        .serve_connection(TokioIo::new(stream), service_fn(|req| intake.serve(req)));
    let mut connection = std::pin::pin!(connection);
    // A connection that breaks concerns its caller alone.
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = closing.wait_for(|is_closing| *is_closing) => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}
