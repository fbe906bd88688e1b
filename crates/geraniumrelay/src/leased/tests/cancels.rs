//! Cancels at a VM whose cell a peer schedules: what is acknowledged must last.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use geraniumrelay_adapter::Table;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{JobId, JobRecord, RecordState};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{CancelReply, JobRecord as StoredRecord, cancel_reply};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use prost::Message as _;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::event_loop::{FORMER, OWN, from_peer};
use super::withdrawals::{LINK_LOST, Peer, serve_callers_with};
use super::{MS, block_on, spec};
use crate::leased::convert;
use crate::leased::server::Server;

/// Longest wait for an answer, on a busy machine.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Store of the records of durable jobs.
#[derive(Debug, Default)]
struct Store {
    /// Value and version of each row, by table and key.
    rows: RefCell<BTreeMap<(String, String), (String, u64)>>,
    version: Cell<u64>,
}

impl Store {
    async fn start() -> (Rc<Self>, SocketAddr) {
        let store = Rc::new(Self::default());
        let listener = TcpListener::bind((OWN.0, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let served = Rc::clone(&store);
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = Rc::clone(&served);
                let service = service_fn(move |req| {
                    let store = Rc::clone(&store);
                    async move { Ok::<_, Infallible>(store.respond(req).await) }
                });
                spawn_local(async move {
                    let _ = http1::Builder::new()
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        (store, address)
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<Full<Bytes>> {
        let query = req.uri().query().unwrap_or_default().to_owned();
        let body = req.into_body().collect().await.unwrap().to_bytes();
        let (status, body) = if body.is_empty() {
            (StatusCode::OK, self.get(&query))
        } else {
            self.transact(&serde_json::from_slice(&body).unwrap())
        };
        let mut res = Response::new(Full::from(body.to_string()));
        *res.status_mut() = status;
        res
    }

    fn get(&self, query: &str) -> Value {
        let params: BTreeMap<_, _> = form_urlencoded::parse(query.as_bytes())
            .into_owned()
            .collect();
        let key = (params["table"].clone(), params["from"].clone());
        let row = self.row(&key);
        json!({"rows": row.into_iter().collect::<Vec<_>>(), "row_version": self.version.get()})
    }

    fn row(&self, key: &(String, String)) -> Option<Value> {
        let rows = self.rows.borrow();
        let (value, version) = rows.get(key)?;
        Some(json!({"table": key.0, "key": key.1, "value": value, "row_version": version}))
    }

    fn transact(&self, body: &Value) -> (StatusCode, Value) {
        let text = |row: &Value, field: &str| row[field].as_str().unwrap().to_owned();
        let key = |row: &Value| (text(row, "table"), text(row, "key"));
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expected = list("expected");
        let version = |row: &Value| {
            let rows = self.rows.borrow();
            rows.get(&key(row)).map_or(0, |r| r.1)
        };
        if expected.iter().any(|r| r["row_version"] != version(r)) {
            let rows: Vec<_> = expected.iter().filter_map(|r| self.row(&key(r))).collect();
            let body = json!({"rows": rows, "row_version": self.version.get()});
            return (StatusCode::PRECONDITION_FAILED, body);
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        for row in list("upserts") {
            let value = text(&row, "value");
            self.rows.borrow_mut().insert(key(&row), (value, version));
        }
        (StatusCode::OK, json!({"row_version": version}))
    }

    fn key(id: u64) -> (String, String) {
        (Table::DurableJobs.to_string(), JobId(id).to_string())
    }

    /// Stores the record of an open job, as the scheduler does when it accepts the job.
    fn put_open(&self, id: u64) {
        let record = JobRecord {
            spec: spec(id),
            cell: CellName::single(),
            done: Vec::new(),
            progress: Vec::new(),
            state: RecordState::Open,
        };
        let value = STANDARD.encode(convert::record_to_stored(&record).encode_to_vec());
        self.put(id, value);
    }

    fn put(&self, id: u64, value: String) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.rows
            .borrow_mut()
            .insert(Self::key(id), (value, version));
    }

    fn state(&self, id: u64) -> Option<RecordState> {
        let rows = self.rows.borrow();
        let (value, _) = rows.get(&Self::key(id))?;
        let stored = StoredRecord::decode(&STANDARD.decode(value).unwrap()[..]).unwrap();
        Some(convert::record_from_stored(stored).unwrap().state)
    }
}

/// A VM whose cell a peer schedules, with its store.
struct Vm {
    peer: Peer,
    store: Rc<Store>,
    address: SocketAddr,
    _server: Server,
}

impl Vm {
    async fn start() -> Self {
        let peer = Peer::start().await;
        let (store, store_address) = Store::start().await;
        let (address, server) = serve_callers_with(&peer, store_address).await;
        Self {
            peer,
            store,
            address,
            _server: server,
        }
    }

    /// Breaks the link to the scheduler, and waits until that is noticed.
    async fn break_link(&mut self) {
        self.peer.close_link().await;
        sleep(LINK_LOST).await;
    }

    /// Status of the answer to a request without a body.
    async fn call(&self, method: &str, id: u64) -> u16 {
        let exchange = async {
            let mut stream = TcpStream::connect(self.address).await.unwrap();
            let head = format!("{method} /q/{id:016x} HTTP/1.1\r\nHost: a.example\r\n\r\n");
            stream.write_all(head.as_bytes()).await.unwrap();
            let mut buf = [0; 12];
            stream.read_exact(&mut buf).await.unwrap();
            std::str::from_utf8(&buf[9..]).unwrap().parse().unwrap()
        };
        timeout(ANSWER_TIMEOUT, exchange).await.expect("no answer")
    }
}

/// Lets the peer's scheduler confirm all cancellations.
fn confirm_cancels(peer: &Peer, found: cancel_reply::Found) {
    let (tx, messages) = (peer.tx.clone(), peer.messages.1.clone());
    spawn_local(async move {
        while let Ok(body) = messages.recv_async().await {
            if let Body::Cancel(cancel) = body {
                let reply = CancelReply {
                    id: cancel.id,
                    cell: cancel.cell,
                    found: found.into(),
                };
                tx.send(from_peer(FORMER, Body::CancelReply(reply))).await;
            }
        }
    });
}

/// UNASKED: a request of the job that waited at the VM, such as the first copy after a freeze, was taken for the whole
/// job, and the record of the accepted copy stayed open.
#[test]
fn a_cancel_beside_a_waiting_copy_is_acknowledged_once_the_record_is_cancelled() {
    block_on(async {
        let mut vm = Vm::start().await;
        vm.peer.submit_spec(spec(1)).await;
        vm.peer.submissions_up_to(1).await;
        vm.store.put_open(1);
        vm.break_link().await;
        assert_eq!(vm.call("DELETE", 1).await, 200);
        assert_eq!(vm.store.state(1), Some(RecordState::Cancelled));
    });
}

/// UNASKED: the scheduler stored a job as open whose cancel had been acknowledged before.
#[test]
fn a_cancel_of_a_job_that_is_not_stored_yet_is_stored_first() {
    block_on(async {
        let mut vm = Vm::start().await;
        vm.peer.submit_spec(spec(1)).await;
        vm.peer.submissions_up_to(1).await;
        vm.break_link().await;
        assert_eq!(vm.call("DELETE", 1).await, 200);
        assert_eq!(vm.store.state(1), Some(RecordState::Cancelled));
    });
}

/// UNASKED: the message to the scheduler was dropped, and the job was sent again when the link was up.
#[test]
fn a_cancelled_best_effort_job_is_not_sent_again() {
    block_on(async {
        let mut vm = Vm::start().await;
        vm.peer.submit(1).await;
        vm.peer.submit(2).await;
        vm.peer.submissions_up_to(2).await;
        vm.break_link().await;
        assert_eq!(vm.call("DELETE", 1).await, 503, "no scheduler knows");
        vm.peer.open_link().await;
        assert_eq!(vm.peer.submissions_up_to(2).await, [2]);
    });
}

/// UNASKED: a cancel that was lost on the way to the job's scheduler was answered like that of an unknown job.
#[test]
fn a_cancel_at_another_vm_is_acknowledged_once_the_scheduler_has_confirmed() {
    block_on(async {
        let mut vm = Vm::start().await;
        vm.peer.submit(2).await;
        vm.peer.submissions_up_to(2).await;
        vm.break_link().await;
        assert_eq!(vm.call("DELETE", 1).await, 503, "no link");
        vm.peer.open_link().await;
        vm.peer.submissions_up_to(2).await;
        assert_eq!(vm.call("DELETE", 1).await, 503, "no reply");
        confirm_cancels(&vm.peer, cancel_reply::Found::Ended);
        assert_eq!(vm.call("DELETE", 1).await, 200);
    });
}

#[test]
fn a_cancel_of_a_job_that_no_scheduler_has_is_answered_with_410() {
    block_on(async {
        let vm = Vm::start().await;
        sleep(LINK_LOST).await;
        confirm_cancels(&vm.peer, cancel_reply::Found::None);
        assert_eq!(vm.call("DELETE", 1).await, 410);
    });
}

/// LOST: a job whose record could not be read was answered like an unknown one.
#[test]
fn a_job_with_an_unreadable_record_is_not_answered_with_410() {
    block_on(async {
        let vm = Vm::start().await;
        vm.store.put(1, STANDARD.encode([0xff; 9]));
        sleep(50 * MS).await;
        assert_eq!(vm.call("GET", 1).await, 503);
        assert_eq!(vm.call("DELETE", 1).await, 503);
    });
}
