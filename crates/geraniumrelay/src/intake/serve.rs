//! Serves the HTTP requests of an admitted connection.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::select;
use tokio::sync::watch;
use tokio::time::timeout;

use super::connection::Connection;
use super::stream::ClientStream;

/// Time for the refusal of a request whose connection is closed to make room.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Serves requests with `answer` until the connection ends or is evicted; once `closing` is true, until the request in
/// progress has its answer. An error of a connection affects only its client.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    connection: Connection,
    http: &http1::Builder,
    mut closing: watch::Receiver<bool>,
    answer: impl AsyncFn(Request<Incoming>, &Connection) -> Response<Full<Bytes>>,
) {
    let connection = Rc::new(connection);
    let (stream, head) = ClientStream::new(stream, Rc::clone(&connection));
    let service = service_fn(|req| {
        let (connection, head, answer) = (&connection, &head, &answer);
        async move {
            head.end();
            connection.begin_request();
            let mut res = answer(req, connection).await;
            if connection.is_evicted() {
                let close = HeaderValue::from_static("close");
                res.headers_mut().insert(CONNECTION, close);
            }
            connection.end_request(answer_bytes(&res));
            head.begin_next();
            Ok::<_, Infallible>(res)
        }
    });
    let http = http.serve_connection(TokioIo::new(stream), service);
    let mut http = std::pin::pin!(http);
    select! {
        _ = http.as_mut() => return,
        () = connection.evicted() => {}
        _ = closing.wait_for(|is_closing| *is_closing) => {
            http.as_mut().graceful_shutdown();
            select! {
                _ = http.as_mut() => return,
                () = connection.evicted() => {}
            }
        }
    }
    if head.is_in_request() {
        // The request is being refused.
        http.as_mut().graceful_shutdown();
        let _ = timeout(REFUSAL_TIME, http).await;
    }
}

/// Size of the body of an answer.
fn answer_bytes(res: &Response<Full<Bytes>>) -> usize {
    let bytes = res.body().size_hint().lower();
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
