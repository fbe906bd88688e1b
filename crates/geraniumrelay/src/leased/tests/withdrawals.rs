//! Withdrawals of jobs whose callers have left, at an event loop whose cell a peer schedules.

use std::cell::Cell;
use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Wake, Waker};
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use geraniumrelay_adapter::{Change, HttpClient, StoreClient, Table};
use geraniumrelay_core::leased::routes::{RequestLimits, Route, RouteTable};
use geraniumrelay_core::leased::{JobId, JobOutcome, JobSpec};
use geraniumrelay_wire::leased::PeerMessage;
use geraniumrelay_wire::leased::peer_message::Body;
use prost::Message as _;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{sleep, timeout};

use super::event_loop::{
    FORMER, OWN, PEER, entry_vm, from_peer, scheduler_beat, send_rows, start_event_loop_with,
    start_store,
};
use super::{MS, block_on, spec};
use crate::intake::{Intake, IntakeLimits};
use crate::leased::Routes;
use crate::leased::durable_jobs::DurableJobStore;
use crate::leased::input::{Input, InputTx};
use crate::leased::pause;
use crate::leased::request_handler::RequestHandler;
use crate::leased::server::Server;

/// Time without heartbeats after which a scheduler counts as lost, and a margin.
const SCHEDULER_LOST: Duration = Duration::from_millis(500);

/// Time in which a VM that sends heartbeats notices that a connection has been closed.
pub(super) const LINK_LOST: Duration = Duration::from_millis(500);

/// Time in which a scheduler that can be reached must learn of a withdrawal; callers send their jobs again
/// after 1.3 s.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest wait for jobs that a test has submitted, on a busy machine.
const SENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Jobs whose messages exceed what the queue of a link holds.
const MANY_JOBS: u64 = 2_100;

/// The peer: schedules the cell, and passes on what the event loop sends to it.
pub(super) struct Peer {
    pub(super) tx: InputTx,
    address: SocketAddr,
    started: Instant,
    /// Whether its heartbeats arrive.
    is_heard: Rc<Cell<bool>>,
    pub(super) messages: (Sender<Body>, Receiver<Body>),
    listening: Option<JoinHandle<()>>,
    /// Callers that wait.
    callers: Vec<(u64, oneshot::Receiver<JobOutcome>)>,
    /// Heartbeat that the event loop had received when it last sent job 1.
    heard_ms: Cell<u64>,
}

/// Time of a heartbeat that the peer sends now.
fn sent_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap() + 1
}

fn heartbeat(sent_ms: u64) -> Input {
    let Body::Beat(mut beat) = scheduler_beat() else {
        panic!("no heartbeat");
    };
    beat.sent_ms = sent_ms;
    from_peer(FORMER, Body::Beat(beat))
}

/// Caller that leaves as an event loop answers a query, and so between two of its inputs.
struct CallerLeaves(Mutex<Option<oneshot::Receiver<JobOutcome>>>);

impl Wake for CallerLeaves {
    fn wake(self: Arc<Self>) {
        self.0.lock().unwrap().take();
    }
}

impl Peer {
    /// Starts an event loop that can't schedule, as it knows no workers, and follows the peer.
    pub(super) async fn start() -> Self {
        Self::start_with(pause::boot_clock).await
    }

    async fn start_with(boot_clock: fn() -> Duration) -> Self {
        let tx = start_event_loop_with(start_store(Rc::default()).await, boot_clock);
        let listener = TcpListener::bind((PEER.0, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut peer = Self {
            tx: tx.clone(),
            address,
            started: Instant::now(),
            is_heard: Rc::new(Cell::new(true)),
            messages: flume::unbounded(),
            listening: None,
            callers: Vec::new(),
            heard_ms: Cell::new(0),
        };
        peer.listen(listener);
        let entry = Change {
            value: Some(address.to_string().into_bytes()),
            ..entry_vm(PEER)
        };
        send_rows(&tx, Table::EntryVms, vec![entry_vm(OWN), entry]).await;
        let is_heard = Rc::clone(&peer.is_heard);
        let started = peer.started;
        spawn_local(async move {
            loop {
                if is_heard.get() {
                    tx.send(heartbeat(sent_ms(started))).await;
                }
                sleep(25 * MS).await;
            }
        });
        peer
    }

    /// Sends a heartbeat, and returns its time.
    pub(super) fn beat(&self) -> u64 {
        let sent_ms = sent_ms(self.started);
        assert!(self.tx.try_send(heartbeat(sent_ms)));
        sent_ms
    }

    fn listen(&mut self, listener: TcpListener) {
        let messages = self.messages.0.clone();
        self.listening = Some(spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                while let Ok(size) = stream.read_u32().await {
                    let mut buf = vec![0; size as usize];
                    stream.read_exact(&mut buf).await.unwrap();
                    let message = PeerMessage::decode(&buf[..]).unwrap();
                    let _ = messages.send(message.body.unwrap());
                }
            }
        }));
    }

    /// Closes the connection from the event loop, and accepts no other.
    pub(super) async fn close_link(&mut self) {
        let listening = self.listening.take().unwrap();
        listening.abort();
        assert!(listening.await.unwrap_err().is_cancelled());
    }

    /// Accepts connections again.
    pub(super) async fn open_link(&mut self) {
        let listener = TcpListener::bind(self.address).await.unwrap();
        self.listen(listener);
    }

    /// Submits a best-effort job.
    pub(super) async fn submit(&mut self, id: u64) {
        let spec = JobSpec {
            is_durable: false,
            payload: "".into(),
            ..spec(id)
        };
        self.submit_spec(spec).await;
    }

    pub(super) async fn submit_spec(&mut self, spec: JobSpec) {
        let (reply, answer) = oneshot::channel();
        let id = spec.id.0;
        let max_wait = Duration::from_secs(30);
        let job = Input::Job {
            spec,
            max_wait,
            reply,
        };
        self.tx.send(job).await;
        self.callers.push((id, answer));
    }

    /// Waits until the scheduler gets a job, and returns the jobs that it gets up to this one.
    pub(super) async fn submissions_up_to(&self, id: u64) -> Vec<u64> {
        let mut submissions = Vec::new();
        let received = async {
            while submissions.last() != Some(&id) {
                if let Body::Submit(submit) = self.messages.1.recv_async().await.unwrap() {
                    if submit.id == 1 {
                        self.heard_ms.set(submit.as_of_ms);
                    }
                    submissions.push(submit.id);
                }
            }
        };
        timeout(SENT_TIMEOUT, received).await.expect("not sent");
        submissions
    }

    /// Fails unless the scheduler gets the job `id` again, and learns that no caller waits for job 1: by a withdrawal, or
    /// by a later confirmation of the jobs for which callers wait.
    async fn expect_withdrawal_beside(&self, id: u64) {
        sleep(WITHDRAWAL_TIMEOUT).await;
        let messages: Vec<Body> = self.messages.1.drain().collect();
        let is_submission = |body: &Body| matches!(body, Body::Submit(s) if s.id == id);
        assert!(messages.iter().any(is_submission), "job {id} is not sent");
        let tells = |body: &Body| match body {
            Body::Withdraw(withdraw) => withdraw.id == 1,
            Body::Confirm(c) => c.as_of_ms > self.heard_ms.get() && !c.ids.contains(&1),
            _ => false,
        };
        let is_told = messages.iter().any(tells);
        assert!(is_told, "the scheduler is not told");
    }

    /// Ends the request of the caller of a job.
    fn leave(&mut self, id: u64) {
        self.callers.retain(|c| c.0 != id);
        assert!(self.tx.try_send(Input::Abandoned { id: JobId(id) }));
    }

    /// Number of withdrawals that were not sent for this reason.
    fn not_sent(&self, reason: &str) -> u64 {
        let text = String::from_utf8(self.tx.metrics().encode()).unwrap();
        let name = format!("withdrawals_not_sent_total{{reason=\"{reason}\"}} ");
        let count = text.lines().find_map(|l| l.strip_prefix(&name));
        count.map_or(0, |c| c.parse().unwrap())
    }

    /// Lets the caller of job 1 leave while no scheduler is known.
    async fn leave_without_scheduler(&mut self) {
        self.submit(1).await;
        self.submit(2).await;
        self.submissions_up_to(2).await;
        self.is_heard.set(false);
        sleep(SCHEDULER_LOST).await;
        self.leave(1);
        sleep(50 * MS).await;
    }

    /// Lets the caller of job 1 leave while there is no connection to the scheduler.
    async fn leave_without_link(&mut self) {
        self.submit(1).await;
        self.submit(2).await;
        self.submissions_up_to(2).await;
        self.close_link().await;
        sleep(LINK_LOST).await;
        self.leave(1);
        sleep(50 * MS).await;
    }

    /// Lets the caller of job 1 leave right after all jobs were sent again, which fills the link.
    async fn leave_behind_full_queue(&mut self) {
        for id in 1..=MANY_JOBS {
            self.submit(id).await;
        }
        self.submissions_up_to(MANY_JOBS).await;
        let (reply, mut state) = oneshot::channel();
        let caller = self.callers.remove(0).1;
        let leaves = Waker::from(Arc::new(CallerLeaves(Mutex::new(Some(caller)))));
        let is_pending = Pin::new(&mut state).poll(&mut Context::from_waker(&leaves));
        assert!(is_pending.is_pending());
        assert!(self.tx.try_send(Input::LinkUp { to: PEER }));
        let id = JobId(2);
        assert!(self.tx.try_send(Input::StateOf { id, reply }));
        self.leave(1);
        self.submissions_up_to(2).await;
        sleep(50 * MS).await;
    }
}

#[test]
fn a_withdrawal_that_is_not_sent_is_counted_by_its_reason() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.leave_without_scheduler().await;
        assert_eq!(peer.not_sent("no-scheduler"), 1);
        let mut peer = Peer::start().await;
        peer.leave_without_link().await;
        assert_eq!(peer.not_sent("no-link"), 1);
        let mut peer = Peer::start().await;
        peer.leave_behind_full_queue().await;
        assert_eq!(peer.not_sent("queue-full"), 1);
    });
}

/// TWICE: the next scheduler adopted the job's run from the former one, or had the job itself.
#[test]
fn a_withdrawal_without_a_scheduler_is_sent_once_one_is_known() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.leave_without_scheduler().await;
        peer.is_heard.set(true);
        peer.expect_withdrawal_beside(2).await;
    });
}

#[test]
fn a_withdrawal_without_a_link_is_sent_once_the_link_is_up() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.leave_without_link().await;
        peer.open_link().await;
        peer.expect_withdrawal_beside(2).await;
    });
}

#[test]
fn a_withdrawal_that_a_full_link_refuses_is_sent_again() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.leave_behind_full_queue().await;
        peer.expect_withdrawal_beside(MANY_JOBS).await;
    });
}

/// What a link holds as it breaks is discarded, and the sender does not know what has arrived.
#[test]
fn a_withdrawal_on_a_link_that_breaks_is_sent_again() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.submit(1).await;
        peer.submit(2).await;
        peer.submissions_up_to(2).await;
        peer.close_link().await;
        peer.leave(1);
        sleep(LINK_LOST).await;
        assert_eq!(peer.not_sent("no-link"), 0);
        peer.open_link().await;
        peer.expect_withdrawal_beside(2).await;
    });
}

/// The event loop is never told of a caller that leaves while its input queue is full.
#[test]
fn a_caller_that_leaves_while_the_input_queue_is_full_is_noticed() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.submit(1).await;
        peer.submit(2).await;
        peer.submissions_up_to(2).await;
        while peer.tx.try_send(Input::Abandoned { id: JobId(9) }) {}
        peer.callers.retain(|c| c.0 != 1);
        assert!(!peer.tx.try_send(Input::Abandoned { id: JobId(1) }));
        sleep(50 * MS).await;
        peer.submit(3).await;
        peer.expect_withdrawal_beside(3).await;
    });
}

#[test]
fn a_job_whose_caller_has_left_before_it_is_handled_is_not_submitted() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.submit(1).await;
        peer.submissions_up_to(1).await;
        peer.submit(2).await;
        peer.leave(2);
        peer.submit(3).await;
        assert_eq!(peer.submissions_up_to(3).await, [3]);
    });
}

/// TWICE: as a VM is resumed, the return of a link or a scheduler may be handled before the ends of callers'
/// connections.
#[test]
fn a_job_whose_caller_has_left_is_not_sent_again() {
    block_on(async {
        let mut peer = Peer::start().await;
        peer.submit(1).await;
        peer.submit(2).await;
        peer.submissions_up_to(2).await;
        peer.callers.retain(|c| c.0 != 1);
        assert!(peer.tx.try_send(Input::LinkUp { to: PEER }));
        assert!(peer.tx.try_send(Input::Abandoned { id: JobId(1) }));
        assert_eq!(peer.submissions_up_to(2).await, [2]);
    });
}

/// Routes of requests of the host `a.example`.
fn routes() -> Routes {
    let route = Route {
        name: "queue".into(),
        host: "a.example".to_owned(),
        path_prefix: "/q/".to_owned(),
        service: "s".into(),
        enforces_capacity: true,
        priority: 1,
        max_attempts: 3,
        stretch: 1.6,
        target_latency: 60 * MS,
        timeout: None,
    };
    let limits = RequestLimits {
        max_body: 10_000,
        head_timeout: Duration::from_secs(1),
    };
    let table = RouteTable::new(1, vec![route], limits);
    let routes = Routes::default();
    *routes.borrow_mut() = Some(Rc::new(table));
    routes
}

/// Starts the server of an event loop's callers, without a store.
pub(super) async fn serve_callers(peer: &Peer) -> (SocketAddr, Server) {
    let free = free_address().await;
    serve_callers_with(peer, free).await
}

async fn free_address() -> SocketAddr {
    let free = TcpListener::bind((OWN.0, 0)).await.unwrap();
    free.local_addr().unwrap()
}

/// Starts the server of an event loop's callers, with the store at `store`.
pub(super) async fn serve_callers_with(peer: &Peer, store: SocketAddr) -> (SocketAddr, Server) {
    let address = free_address().await;
    let store = StoreClient::new(Rc::new(HttpClient::new()), store);
    let handler = RequestHandler::new(
        DurableJobStore::start(store),
        routes(),
        Rc::default(),
        peer.tx.clone(),
        Arc::clone(peer.tx.metrics()),
    );
    let limits = IntakeLimits::new(None, None);
    let intake = Intake::new(limits, peer.tx.metrics().intake());
    let server = Server::start(address, &Rc::new(handler), intake).unwrap();
    (address, server)
}

/// Connection of a caller that has sent a whole request.
pub(super) fn request(address: SocketAddr, id: u64) -> TcpStream {
    let steps = r#"[{"count":1,"cpu":500,"mem_mb":1,"estimated_ms":90}]"#;
    let body = format!(r#"{{"spec":"x","best_effort":true,"steps":{steps}}}"#);
    let size = body.len();
    let mut caller = TcpStream::connect(address).unwrap();
    write!(
        caller,
        "POST /q/{id:016x} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {size}\r\n\r\n{body}"
    )
    .unwrap();
    caller
}

/// Milliseconds that the VM of the test below was suspended for; the steady clock does not count them.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

fn suspended_boot_clock() -> Duration {
    pause::boot_clock() + Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed))
}

/// TWICE: a VM that was suspended finds whole requests whose connections have ended, and whose callers have
/// sent their jobs to another VM.
#[test]
fn a_request_whose_connection_has_ended_before_it_is_read_is_not_submitted() {
    block_on(async {
        let mut peer = Peer::start_with(suspended_boot_clock).await;
        peer.submit(1).await;
        peer.submissions_up_to(1).await;
        SUSPENDED_MS.store(3_000, Ordering::Relaxed);
        let (address, _server) = serve_callers(&peer).await;
        drop(request(address, 2));
        sleep(50 * MS).await;
        peer.submit(3).await;
        assert_eq!(peer.submissions_up_to(3).await, [3]);
    });
}
