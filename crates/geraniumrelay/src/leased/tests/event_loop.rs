//! An event loop beside a peer that can't be reached, and a store that refuses the records of durable
//! jobs.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use geraniumrelay_adapter::{Change, HttpClient, StoreClient, Table, WorkerClient};
use geraniumrelay_core::Config;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{EntryVm, JobOutcome, JobSpec, RefusalReason, Submission};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Beat, CellBeat, Hello};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::directory::worker;
use super::{block_on, spec};
use crate::leased::archive::Archive;
use crate::leased::convert;
use crate::leased::durable_jobs::DurableJobStore;
use crate::leased::event_loop::{Components, EventLoop};
use crate::leased::input::{self, IncomingConnection, Input, InputTx};
use crate::leased::metrics::LeasedMetrics;
use crate::leased::pause;
use crate::leased::readiness::Readiness;
use crate::leased::worker_calls::WorkerCalls;

pub(super) const OWN: EntryVm = EntryVm(Ipv4Addr::LOCALHOST);
pub(super) const PEER: EntryVm = EntryVm(Ipv4Addr::new(127, 0, 0, 2));

/// Longest wait for the reads of a new scheduler.
pub(super) const READS_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts a store with one worker that refuses reads of the records, and counts these reads.
pub(super) async fn start_store(reads: Rc<Cell<u32>>) -> SocketAddr {
    start_store_with(worker("w", "ready"), reads).await
}

/// The same with this worker.
pub(super) async fn start_store_with(worker: Change, reads: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (worker, reads) = (worker.clone(), Rc::clone(&reads));
            spawn_local(async move {
                let service = service_fn(|req| {
                    let res = respond(&req, &worker, &reads);
                    async move { Ok::<_, Infallible>(res) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    address
}

fn respond(req: &Request<Incoming>, worker: &Change, reads: &Cell<u32>) -> Response<Full<Bytes>> {
    let query = req.uri().query().unwrap_or_default();
    let mut res = Response::default();
    if query.starts_with("table=kept-jobs") {
        reads.set(reads.get() + 1);
        *res.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        return res;
    }
    let rows = if query.starts_with("table=servers") {
        let value = STANDARD.encode(worker.value.as_ref().unwrap());
        format!(r#"{{"key":"w","value":"{value}","row_version":1}}"#)
    } else {
        String::new()
    };
    *res.body_mut() = Full::from(format!(r#"{{"rows":[{rows}],"row_version":1}}"#));
    res
}

/// Starts the event loop of a VM whose only peer can't be reached.
pub(super) fn start_event_loop(store: SocketAddr) -> InputTx {
    start_event_loop_with(store, pause::boot_clock)
}

pub(super) fn start_event_loop_with(store: SocketAddr, boot_clock: fn() -> Duration) -> InputTx {
    start_event_loop_of(store, boot_clock, Rc::default())
}

/// Starts an event loop that sets this readiness.
pub(super) fn start_event_loop_of(
    store: SocketAddr,
    boot_clock: fn() -> Duration,
    readiness: Rc<Readiness>,
) -> InputTx {
    let http = Rc::new(HttpClient::new());
    let store = StoreClient::new(Rc::clone(&http), store);
    let metrics = Arc::new(LeasedMetrics::new().unwrap());
    let (tx, rx) = input::channel(Arc::clone(&metrics));
    let worker_calls = WorkerCalls {
        workers: WorkerClient::new(http),
        tx: tx.clone(),
        metrics: Arc::clone(&metrics),
    };
    let event_loop = EventLoop::new(Components {
        vm: OWN,
        incarnation: 1,
        is_first_start: true,
        data_centre: "z".into(),
        cpu_tenths: 10,
        cfg: Config::default(),
        store: store.clone(),
        durable_jobs: DurableJobStore::start(store.clone()),
        archive: Archive::start(store, || false),
        worker_calls,
        routes: Rc::default(),
        readiness,
        is_scheduler: Rc::default(),
        tx: tx.clone(),
        metrics,
        boot_clock,
    });
    spawn_local(event_loop.run(rx));
    tx
}

pub(super) async fn send_rows(tx: &InputTx, table: Table, rows: Vec<Change>) {
    let rows = Input::Rows {
        as_of: Instant::now(),
        table,
        is_snapshot: true,
        rows,
        revision: 1,
    };
    tx.send(rows).await;
}

pub(super) fn entry_vm(vm: EntryVm) -> Change {
    Change {
        key: vm.to_string(),
        value: Some(format!("{vm}:1").into_bytes()),
        version: 1,
    }
}

/// Heartbeat of a peer that schedules the cell, with a token above that of any other VM.
fn scheduler_heartbeat() -> Input {
    from_peer(FORMER, scheduler_beat())
}

pub(super) fn scheduler_beat() -> Body {
    let token = 1 << 52;
    let cell = CellBeat {
        cell: CellName::single().to_string(),
        token,
        follows: token,
        ..CellBeat::default()
    };
    Body::Beat(Beat {
        has_store: true,
        knows_departed: true,
        data_centre: "z".to_owned(),
        cpu_tenths: 10,
        cells: vec![cell],
        ..Beat::default()
    })
}

pub(super) fn from_peer(connection: IncomingConnection, body: Body) -> Input {
    Input::Peer {
        from: PEER,
        connection,
        body,
    }
}

pub(super) fn hello(connection: IncomingConnection) -> Input {
    let body = Body::Hello(Hello {
        address: u32::from(PEER.0),
        incarnation: connection.incarnation,
    });
    from_peer(connection, body)
}

/// Connection of the peer's first process.
pub(super) const FORMER: IncomingConnection = IncomingConnection {
    number: 1,
    incarnation: 7,
};

/// Connection of the peer's next process.
const PRESENT: IncomingConnection = IncomingConnection {
    number: 2,
    incarnation: 3,
};

/// Number of times that the process has begun to schedule a cell.
pub(super) fn takeovers(tx: &InputTx) -> u64 {
    let text = String::from_utf8(tx.metrics().encode()).unwrap();
    let mut lines = text.lines();
    let count = lines.find_map(|l| l.strip_prefix("takeovers_total "));
    count.map_or(0, |c| c.parse().unwrap())
}

/// Starts an event loop that schedules its cell, and knows the peer.
async fn start_scheduler() -> InputTx {
    start_scheduler_with(pause::boot_clock).await
}

async fn start_scheduler_with(boot_clock: fn() -> Duration) -> InputTx {
    let tx = start_event_loop_with(start_store(Rc::default()).await, boot_clock);
    send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry_vm(PEER)]).await;
    send_rows(&tx, Table::Configuration, Vec::new()).await;
    send_rows(&tx, Table::Workers, vec![worker("w", "ready")]).await;
    let has_begun = async {
        while takeovers(&tx) == 0 {
            sleep(Duration::from_millis(10)).await;
        }
    };
    timeout(READS_TIMEOUT, has_begun).await.unwrap();
    tx
}

/// Guards against durable jobs that stand still, and whose ends are acknowledged unread, once the VM that accepted the
/// first of them has died.
#[test]
fn a_new_scheduler_reads_the_records_although_it_knows_of_no_durable_job() {
    block_on(async {
        let reads = Rc::new(Cell::new(0));
        let tx = start_event_loop(start_store(Rc::clone(&reads)).await);
        send_rows(&tx, Table::DurableJobs, Vec::new()).await;
        send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry_vm(PEER)]).await;
        send_rows(&tx, Table::Configuration, Vec::new()).await;
        send_rows(&tx, Table::Workers, vec![worker("w", "ready")]).await;
        let has_read = async {
            while reads.get() == 0 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(READS_TIMEOUT, has_read).await.unwrap();
    });
}

// Each takeover added a task that read all records again and again, even after its scheduler ended.
#[test]
fn the_records_are_not_read_for_a_scheduler_that_has_ended() {
    block_on(async {
        let reads = Rc::new(Cell::new(0));
        let tx = start_event_loop(start_store(Rc::clone(&reads)).await);
        send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry_vm(PEER)]).await;
        send_rows(&tx, Table::Configuration, Vec::new()).await;
        send_rows(&tx, Table::Workers, vec![worker("w", "ready")]).await;
        let has_begun = async {
            while reads.get() < 2 {
                sleep(Duration::from_millis(10)).await;
            }
        };
        timeout(READS_TIMEOUT, has_begun).await.unwrap();
        tx.send(scheduler_heartbeat()).await;
        sleep(Duration::from_millis(50)).await;
        let reads_before = reads.get();
        for _ in 0..20 {
            tx.send(scheduler_heartbeat()).await;
            sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(reads.get(), reads_before);
    });
}

/// Starts an event loop whose scheduler is a peer that can't be reached, and submits 3,000 jobs to
/// it; returns the answer to the last one.
async fn submit_jobs_to_unreachable_scheduler() -> (InputTx, oneshot::Receiver<JobOutcome>) {
    let tx = start_event_loop(start_store(Rc::default()).await);
    send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry_vm(PEER)]).await;
    let heartbeats = tx.clone();
    spawn_local(async move {
        loop {
            heartbeats.send(scheduler_heartbeat()).await;
            sleep(Duration::from_millis(50)).await;
        }
    });
    sleep(Duration::from_millis(100)).await;
    let payload: Arc<str> = "x".repeat(4_000).into();
    let mut answers = Vec::new();
    for id in 1..=3_000 {
        let (reply, answer) = oneshot::channel();
        let spec = JobSpec {
            payload: Arc::clone(&payload),
            ..spec(id)
        };
        let max_wait = Duration::from_secs(30);
        let job = Input::Job {
            spec,
            max_wait,
            reply,
        };
        tx.send(job).await;
        answers.push(answer);
    }
    (tx, answers.pop().unwrap())
}

// A job whose message found the link's queue full counted as sent, and its caller waited to the end.
#[test]
fn jobs_that_do_not_fit_into_the_queue_of_their_scheduler_are_refused() {
    block_on(async {
        let (_tx, answer) = submit_jobs_to_unreachable_scheduler().await;
        let outcome = timeout(Duration::from_secs(5), answer).await;
        assert_matches!(
            outcome,
            Ok(Ok(JobOutcome::Refused {
                reason: RefusalReason::NoScheduler,
                ..
            }))
        );
    });
}

// All unsent jobs were encoded again at each new job and each tick while the queue was full.
#[test]
fn a_full_queue_is_tried_with_one_job_at_a_time() {
    block_on(async {
        let (tx, answer) = submit_jobs_to_unreachable_scheduler().await;
        let _ = timeout(Duration::from_secs(5), answer).await;
        let text = String::from_utf8(tx.metrics().encode()).unwrap();
        let dropped = text
            .lines()
            .find_map(|l| l.strip_prefix("link_messages_dropped_total "));
        let dropped: u64 = dropped.unwrap().parse().unwrap();
        assert!(dropped < 10_000, "{dropped} messages were encoded in vain");
    });
}

/// A process that is killed with its machine leaves a connection that ends only by its time-out, when
/// the next process of the VM has long connected.
#[test]
fn the_end_of_a_former_process_connection_is_not_that_of_the_next_process() {
    block_on(async {
        let tx = start_scheduler().await;
        tx.send(hello(FORMER)).await;
        tx.send(hello(PRESENT)).await;
        tx.send(from_peer(PRESENT, scheduler_beat())).await;
        sleep(Duration::from_millis(50)).await;
        let before = takeovers(&tx);
        let (from, connection) = (PEER, FORMER);
        tx.send(Input::LinkLost { from, connection }).await;
        for _ in 0..10 {
            sleep(Duration::from_millis(50)).await;
            tx.send(from_peer(PRESENT, scheduler_beat())).await;
        }
        assert_eq!(takeovers(&tx), before);
    });
}

#[test]
fn a_heartbeat_of_a_former_process_is_ignored() {
    block_on(async {
        let tx = start_scheduler().await;
        let before = takeovers(&tx);
        tx.send(hello(FORMER)).await;
        tx.send(hello(PRESENT)).await;
        tx.send(from_peer(FORMER, scheduler_beat())).await;
        // A scheduler that followed the former process would take over again after its time-out.
        sleep(Duration::from_secs(2)).await;
        assert_eq!(takeovers(&tx), before);
    });
}

#[test]
fn the_connection_of_the_next_process_ends_the_scheduling_of_the_former_one() {
    block_on(async {
        let tx = start_scheduler().await;
        tx.send(hello(FORMER)).await;
        tx.send(from_peer(FORMER, scheduler_beat())).await;
        sleep(Duration::from_millis(50)).await;
        let before = takeovers(&tx);
        tx.send(hello(PRESENT)).await;
        for _ in 0..20 {
            sleep(Duration::from_millis(50)).await;
            tx.send(from_peer(FORMER, scheduler_beat())).await;
        }
        assert_eq!(takeovers(&tx), before + 1);
    });
}

/// Milliseconds that the VM of the test below was suspended for; the steady clock does not count them.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspended_boot_clock() -> Duration {
    pause::boot_clock() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// Jobs that a peer sent to a suspended scheduler are handled as it resumes, when another scheduler may
/// have started resent copies of them.
#[test]
fn a_scheduler_that_was_suspended_handles_no_message_before_it_has_taken_over_again() {
    block_on(async {
        let tx = start_scheduler_with(suspended_boot_clock).await;
        tx.send(hello(FORMER)).await;
        sleep(Duration::from_millis(50)).await;
        let before = takeovers(&tx);
        SUSPENDED_MS.store(3_000, Ordering::Relaxed);
        // The heartbeat of the scheduler that has taken over arrives behind the messages before it.
        tx.send(from_peer(FORMER, scheduler_beat())).await;
        for _ in 0..10 {
            sleep(Duration::from_millis(50)).await;
            tx.send(from_peer(FORMER, scheduler_beat())).await;
        }
        assert_eq!(takeovers(&tx), before, "another VM schedules");
        SUSPENDED_MS.store(6_000, Ordering::Relaxed);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(takeovers(&tx), before + 1, "no other VM schedules any more");
        SUSPENDED_MS.store(9_000, Ordering::Relaxed);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(
            takeovers(&tx),
            before + 2,
            "a suspended scheduler takes over with a new token"
        );
    });
}

/// Waits for a connection of the event loop.
async fn accept(listener: &TcpListener) {
    timeout(READS_TIMEOUT, listener.accept())
        .await
        .expect("no connection")
        .unwrap();
}

/// A process that was killed leaves its entry, which the next process overwrites.
#[test]
fn a_peer_that_comes_back_at_another_port_is_connected_there() {
    block_on(async {
        let former = TcpListener::bind((PEER.0, 0)).await.unwrap();
        let present = TcpListener::bind((PEER.0, 0)).await.unwrap();
        let entry = |listener: &TcpListener, version| Change {
            value: Some(listener.local_addr().unwrap().to_string().into_bytes()),
            version,
            ..entry_vm(PEER)
        };
        let tx = start_event_loop(start_store(Rc::default()).await);
        let rows = vec![entry_vm(OWN), entry(&former, 1)];
        send_rows(&tx, Table::EntryVms, rows).await;
        accept(&former).await;
        tx.send(Input::Rows {
            as_of: Instant::now(),
            table: Table::EntryVms,
            is_snapshot: false,
            rows: vec![entry(&present, 2)],
            revision: 2,
        })
        .await;
        accept(&present).await;
    });
}

/// Number of open jobs of the schedulers here, as of the last heartbeat.
pub(super) fn open_jobs(tx: &InputTx) -> u64 {
    let text = String::from_utf8(tx.metrics().encode()).unwrap();
    let mut lines = text.lines();
    let count = lines.find_map(|l| l.strip_prefix("scheduler{of=\"jobs\"} "));
    count.map_or(0, |c| c.parse().unwrap())
}

/// The entry VM of a job hears the former scheduler and not this one, which hears the entry VM: both have the job.
#[test]
fn the_jobs_of_an_entry_vm_that_has_returned_to_the_former_scheduler_are_dropped() {
    block_on(async {
        let tx = start_scheduler().await;
        let mut spec = JobSpec {
            service: "s".into(),
            is_durable: false,
            ..spec(1)
        };
        spec.steps[0].required_label = None;
        spec.steps[0].size.memory_mb = 0;
        let submission = Submission {
            spec,
            origin: PEER,
            name: None,
            waited: Duration::ZERO,
            remaining_wait: Duration::from_secs(9),
            as_of: None,
            may_have_started: true,
            former_tokens: Vec::new(),
            has_alternative: false,
            losses: Vec::new(),
        };
        let submit = convert::submission_to_wire(&submission, &CellName::single());
        tx.send(from_peer(FORMER, Body::Submit(submit))).await;
        sleep(Duration::from_millis(200)).await;
        assert_eq!(open_jobs(&tx), 1);
        let Body::Beat(mut beat) = scheduler_beat() else {
            panic!("no heartbeat");
        };
        beat.cells[0].token = 0;
        beat.cells[0].follows = 1;
        for _ in 0..20 {
            tx.send(from_peer(FORMER, Body::Beat(beat.clone()))).await;
            sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(open_jobs(&tx), 0, "2 s after the entry VM has left");
    });
}
