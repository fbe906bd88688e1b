//! HTTP/1 server for stand-ins, with control over when a connection is closed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Time in which a response is sent before its connection is dropped.
const CLOSE_GRACE: Duration = Duration::from_millis(20);

/// Action of a stand-in on a request.
#[derive(Debug)]
pub enum HandlerAction {
    /// Sends the response; the connection stays open unless [`Handler::closes_after_reply`].
    Reply(Response<Full<Bytes>>),
    /// Closes the connection without a response.
    Close,
}

/// Request handler of a stand-in; each connection gets a clone.
pub trait Handler: Clone + Send + 'static {
    /// Handles a request whose body has been read in full; an unreadable body is empty.
    fn handle(&self, req: Request<Bytes>) -> impl Future<Output = HandlerAction>;

    /// Whether the server closes the connection after a response, without a `Connection: close`
    /// header.
    fn closes_after_reply(&self) -> bool;
}

/// Starts a server thread on a free loopback port and returns the handler that `make` builds for
/// its address.
///
/// # Panics
/// If the runtime or the listener can't be created.
pub fn start<H: Handler>(make: impl FnOnce(SocketAddr) -> H) -> H {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("runtime of the HTTP server");
    let listener = {
        let _context = runtime.enter();
        bind_listener().expect("HTTP server listens")
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

fn bind_listener() -> std::io::Result<TcpListener> {
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
    // With Nagle's algorithm, small replies would wait for the client's TCP acknowledgement.
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
                HandlerAction::Reply(res) => {
                    if handler.closes_after_reply() {
                        // A full channel already holds a close request.
                        let _ = close_tx.try_send(());
                    }
                    Ok::<_, Infallible>(res)
                }
                HandlerAction::Close => {
                    // A full channel already holds a close request.
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
            // Allows the current response to be sent before the connection is dropped.
            connection.as_mut().graceful_shutdown();
            let _ = tokio::time::timeout(CLOSE_GRACE, connection).await;
        }
    }
}
