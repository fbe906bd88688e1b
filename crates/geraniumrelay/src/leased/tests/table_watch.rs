//! Watches of tables beside a store that drops its history or fails.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use geraniumrelay_adapter::{HttpClient, StoreClient, Table};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::block_on;
use crate::leased::input::{self, Input};
use crate::leased::metrics::LeasedMetrics;
use crate::leased::table_watch::Watch;

/// What the store does with reads that wait for changes, and with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Answers both.
    Healthy,
    /// Ends the connections of waiting reads without an answer, as when it drops its history.
    EndsWaitingReads,
    /// Ends all connections without an answer.
    EndsAllReads,
}

/// Starts a store without rows.
async fn start_store(mode: Rc<Cell<Mode>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mode = Rc::clone(&mode);
            spawn_local(async move {
                let service = service_fn(move |req: hyper::Request<_>| {
                    let mode = Rc::clone(&mode);
                    async move { respond(&req, &mode).await }
                });
                // A connection that ends without an answer is an error here.
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

async fn respond(
    req: &hyper::Request<hyper::body::Incoming>,
    mode: &Cell<Mode>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let query = req.uri().query().unwrap_or_default();
    let wait = query.split("wait_ms=").nth(1);
    let wait: u64 = wait.map_or(0, |ms| ms.parse().unwrap());
    if wait > 0 {
        sleep(Duration::from_millis(50)).await;
    }
    let is_ended = match mode.get() {
        Mode::Healthy => false,
        Mode::EndsWaitingReads => wait > 0,
        Mode::EndsAllReads => true,
    };
    if is_ended {
        return Err(std::io::ErrorKind::ConnectionReset.into());
    }
    let mut res = Response::new(Full::from(r#"{"rows":[],"row_version":1}"#));
    *res.status_mut() = StatusCode::OK;
    Ok(res)
}

/// Watches a table for a second in each mode, and returns the health reported in each of them.
async fn watch(modes: &[Mode]) -> Vec<Vec<bool>> {
    let mode = Rc::new(Cell::new(Mode::Healthy));
    let store = StoreClient::new(
        Rc::new(HttpClient::new()),
        start_store(Rc::clone(&mode)).await,
    );
    let (tx, rx) = input::channel(Arc::new(LeasedMetrics::new().unwrap()));
    let watch = Watch {
        table: Table::Configuration,
        is_scheduler: Rc::default(),
        standby_spread: Duration::ZERO,
    };
    spawn_local(watch.run(store, tx));
    let mut reported = Vec::new();
    for &next in modes {
        mode.set(next);
        sleep(Duration::from_secs(1)).await;
        let health = rx.try_iter().filter_map(|input| match input {
            Input::StoreHealth { is_healthy, .. } => Some(is_healthy),
            _ => None,
        });
        reported.push(health.collect());
    }
    reported
}

/// The schedulers of all cells handed over at the same moment, as all of them counted the end of a
/// waiting read as a loss of the store.
#[test]
fn the_end_of_waiting_reads_is_no_loss_of_the_store() {
    block_on(async {
        let reported = watch(&[Mode::Healthy, Mode::EndsWaitingReads, Mode::Healthy]).await;
        assert!(reported.iter().all(Vec::is_empty), "{reported:?}");
    });
}

/// The return was noticed only as a waiting read ended, 1.5 s later.
#[test]
fn a_loss_of_the_store_and_its_return_are_reported_soon() {
    block_on(async {
        let reported = watch(&[Mode::Healthy, Mode::EndsAllReads, Mode::Healthy]).await;
        assert_eq!(reported, [vec![], vec![false], vec![true]]);
    });
}
