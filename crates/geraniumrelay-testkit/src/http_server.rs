//! HTTP server of stand-ins whose callers keep connections.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::thread;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// What a stand-in does with a request.
#[derive(Debug)]
pub enum Handled {
    /// Sends the response and keeps the connection.
    Reply(Response<Full<Bytes>>),
    /// Closes the connection without a response.
    Hang,
}

/// A stand-in that answers requests.
pub trait Handler: Clone + Send + 'static {
    /// Handles one request.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = Handled>;

    /// Whether the connection is closed after the response, without a word of it.
    fn closes_after_reply(&self) -> bool;
}

/// Serves on a free loopback address from a thread of its own; returns the address.
pub fn start<H: Handler>(make: impl FnOnce(SocketAddr) -> H) -> H {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("runtime of a stand-in");
    let listener = {
        let _context = runtime.enter();
        listener().expect("stand-in listens")
    };
    let handler = make(
        listener
            .local_addr()
            .expect("a bound listener has an address"),
    );
    let shared = handler.clone();
    thread::spawn(move || LocalSet::new().block_on(&runtime, accept(listener, shared)));
    handler
}

fn listener() -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    socket.listen(LISTEN_BACKLOG)
}

async fn accept<H: Handler>(listener: TcpListener, handler: H) {
    while let Ok((stream, _)) = listener.accept().await {
        spawn_local(serve(stream, handler.clone()));
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: H) {
    // Without it small replies wait for the caller's acknowledgement.
    let _ = stream.set_nodelay(true);
    let (close_tx, close_rx) = flume::bounded::<()>(1);
    let service = service_fn(|req: Request<Incoming>| {
        let (handler, close_tx) = (handler.clone(), close_tx.clone());
        async move {
            let (head, body) = req.into_parts();
            let body = body
                .collect()
                .await
                .map(http_body_util::Collected::to_bytes);
            let req = Request::from_parts(head, body.unwrap_or_default());
            match handler.handle(req).await {
                Handled::Reply(res) => {
                    if handler.closes_after_reply() {
                        // One note is enough.
                        let _ = close_tx.try_send(());
                    }
                    Ok::<_, Infallible>(res)
                }
                Handled::Hang => {
                    // One note is enough.
                    let _ = close_tx.try_send(());
                    std::future::pending().await
                }
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = close_rx.recv_async() => {
            // The response in hand is still sent; then the connection ends.
            connection.as_mut().graceful_shutdown();
            let grace = std::time::Duration::from_millis(20);
            let _ = tokio::time::timeout(grace, connection).await;
        }
    }
}
