//! Resent calls, and the combined replies to two start calls of the same run.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use geraniumrelay_adapter::{HttpClient, WorkerClient};
use geraniumrelay_core::leased::{
    FencingToken, JobId, PollCall, PollNumber, PollReply, StartCall, StartReply, TaskName,
    WorkerKey, WorkerName, WorkerTime,
};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use super::block_on;
use crate::leased::call_retry;

/// Bodies of the calls that a worker has received, in order.
type CallLog = Rc<RefCell<Vec<String>>>;

/// Starts a worker that never answers the first call, and answers each later one with `status` and
/// `body`.
async fn start_worker(status: u16, body: &'static str) -> (SocketAddr, CallLog) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let calls = CallLog::default();
    let log = Rc::clone(&calls);
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = Rc::clone(&log);
            spawn_local(async move {
                let service = service_fn(|req| respond(req, &log, (status, body)));
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    (address, calls)
}

async fn respond(
    req: Request<Incoming>,
    log: &CallLog,
    (status, text): (u16, &'static str),
) -> Result<Response<Full<Bytes>>, Infallible> {
    let body = req.into_body().collect().await.unwrap().to_bytes();
    let text_of_call = String::from_utf8_lossy(&body).into_owned();
    log.borrow_mut().push(text_of_call);
    if log.borrow().len() == 1 {
        std::future::pending::<()>().await;
    }
    let mut res = Response::new(Full::from(text));
    *res.status_mut() = status.try_into().unwrap();
    Ok(res)
}

fn client() -> WorkerClient {
    WorkerClient::new(Rc::new(HttpClient::new()))
}

fn start_call(address: SocketAddr) -> StartCall {
    StartCall {
        worker: WorkerKey::default(),
        name: WorkerName("w".into()),
        address,
        task: TaskName {
            job: JobId(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
        payload: "payload".into(),
        lease_until: WorkerTime(1_000),
        token: FencingToken(7),
    }
}

fn poll_call(address: SocketAddr, lease_until: Option<WorkerTime>) -> PollCall {
    PollCall {
        worker: WorkerKey::default(),
        name: WorkerName("w".into()),
        address,
        lease_until,
        last_processed_end: 57,
        number: PollNumber::default(),
        wait: Duration::ZERO,
        token: FencingToken(7),
    }
}

#[test]
fn one_accepted_call_is_conclusive() {
    let clock = Some(WorkerTime(7));
    for other in [
        StartReply::Unanswered,
        StartReply::NoRoom,
        StartReply::NotSent,
    ] {
        let accepted = (StartReply::Accepted, clock);
        assert_eq!(
            call_retry::combine_replies((other, None), accepted),
            accepted
        );
    }
}

#[test]
fn a_run_is_refused_only_if_both_calls_are_refused() {
    let combined =
        call_retry::combine_replies((StartReply::NoRoom, None), (StartReply::Refused, None));
    assert_eq!(combined.0, StartReply::NoRoom);
    let clock = Some(WorkerTime(7));
    for other in [StartReply::NoRoom, StartReply::Refused, StartReply::TooLate] {
        // The unanswered call may still be carried out.
        let combined = call_retry::combine_replies((StartReply::Unanswered, None), (other, clock));
        assert_eq!(combined, (StartReply::Unanswered, clock));
        let combined = call_retry::combine_replies((other, clock), (StartReply::Unanswered, None));
        assert_eq!(combined, (StartReply::Unanswered, clock));
    }
}

/// The first call started the run but was not answered, and the run has ended before the resent
/// call arrives: the run must not be reported as refused.
#[test]
fn an_outdated_reply_to_the_resent_call_is_no_refusal() {
    let outdated = (StartReply::Outdated, None);
    let unanswered = (StartReply::Unanswered, None);
    assert_eq!(
        call_retry::combine_replies(unanswered, outdated),
        unanswered
    );
}

/// The first copy may have started the run before the worker received a higher token, or on the
/// instance that the other one has replaced.
#[test]
fn a_refusal_by_token_or_instance_of_the_resent_start_leaves_the_first_copy_open() {
    let cases = [(409, r#"{"clock_ms":9,"reason":"fence"}"#), (421, "")];
    for (status, body) in cases {
        block_on(async move {
            let (address, calls) = start_worker(status, body).await;
            let (reply, _) = call_retry::start(&client(), start_call(address)).await;
            assert_eq!(reply, StartReply::Unanswered, "status {status}");
            assert_eq!(calls.borrow().len(), 2);
        });
    }
}

#[test]
fn two_refusals_by_token_or_instance_are_conclusive() {
    for reply in [StartReply::Fenced, StartReply::OtherInstance] {
        let both = call_retry::combine_replies((reply, None), (reply, None));
        assert_eq!(both.0, reply);
    }
    // The intended instance has answered one of the calls.
    let (own, other) = (
        (StartReply::NoRoom, None),
        (StartReply::OtherInstance, None),
    );
    assert_eq!(call_retry::combine_replies(other, own), own);
    assert_eq!(call_retry::combine_replies(own, other), own);
}

/// The worker may have started again since the first copy was sent: the number is not one of its
/// ends then.
#[test]
fn a_resent_poll_of_a_worker_with_runs_acknowledges_no_ends() {
    block_on(async {
        let report = r#"{"clock_ms":9,"running":[],"ended":[]}"#;
        let (address, calls) = start_worker(200, report).await;
        let poll = poll_call(address, Some(WorkerTime(1_000)));
        let reply = call_retry::poll(&client(), poll).await;
        assert_matches!(reply, PollReply::Report(_));
        let calls = calls.borrow();
        assert!(calls[0].contains(r#""last_seen":57"#), "{calls:?}");
        assert!(calls[1].contains(r#""last_seen":0"#), "{calls:?}");
    });
}

/// No further poll of a worker without runs may follow that would acknowledge its ends.
#[test]
fn a_resent_poll_of_a_worker_without_runs_acknowledges_its_ends() {
    block_on(async {
        let report = r#"{"clock_ms":9,"running":[],"ended":[]}"#;
        let (address, calls) = start_worker(200, report).await;
        call_retry::poll(&client(), poll_call(address, None)).await;
        assert!(calls.borrow()[1].contains(r#""last_seen":57"#));
    });
}

/// The first call started the run but was not answered, and then the worker followed another
/// scheduler: the run goes on until that scheduler stops it or its lease lapses.
#[test]
fn a_fenced_reply_to_the_resent_call_is_no_refusal() {
    let fenced = (StartReply::Fenced, None);
    let unanswered = (StartReply::Unanswered, None);
    assert_eq!(call_retry::combine_replies(unanswered, fenced), unanswered);
}
