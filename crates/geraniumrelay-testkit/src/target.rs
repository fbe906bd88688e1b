//! Stand-in for a target: runs tasks in slots as timers, refuses starts beyond them, and records
//! every start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use flume::Sender;
use geraniumrelay_wire::{TaskEnd, TaskStart, Usage};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};

use crate::http_server::{self, Handler, HandlerAction};
use crate::timer;

/// Run time of a task whose payload sets none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(50);

/// Fault switches of a target; the default has no faults.
#[derive(Debug, Clone, Default)]
pub struct TargetFaults {
    /// Every task fails as soon as it starts.
    pub fails_all_tasks: bool,
    /// Factor on run times; 0 counts as 1.
    pub slowdown_factor: u32,
    /// Refuses every start and reports that the target is leaving.
    pub is_leaving: bool,
    /// Delay of a start request before the task starts or is refused.
    pub start_delay: Duration,
    /// When the target closes connections.
    pub connections: ConnectionFault,
}

/// Closing of connections by a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Keeps connections open.
    #[default]
    None,
    /// Closes the connection after each reply, without a `Connection: close` header.
    ClosesAfterReply,
    /// Starts the task and closes the connection without a reply.
    ClosesWithoutReply,
}

/// Record of a task start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// Id of the task, from the request path.
    pub task: String,
    /// Time of the start.
    pub at: Instant,
}

/// End of a task that ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    Completed,
    Stopped,
    LeaseLapsed,
}

#[derive(Debug, Default)]
struct State {
    running: HashMap<String, Sender<()>>,
    starts: Vec<StartRecord>,
    refusals: u64,
    stops: u64,
    wasted_stops: u64,
    faults: TargetFaults,
}

/// Target on loopback. A task with the payload `run:MS:ECHO` runs for MS milliseconds and outputs
/// ECHO.
#[derive(Debug, Clone)]
pub struct TargetStandIn {
    address: SocketAddr,
    slots: u32,
    state: Arc<Mutex<State>>,
}

impl TargetStandIn {
    /// Starts a target on a free loopback port; it runs at most `slots` tasks at a time.
    pub fn start(slots: u32) -> Self {
        http_server::start(|address| {
            let state = Arc::new(Mutex::new(State::default()));
            Self {
                address,
                slots,
                state,
            }
        })
    }

    /// Address of the target's HTTP server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records of all starts so far, in order.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.lock().starts.clone()
    }

    /// Numbers of refused starts and of stop requests so far.
    pub fn refusals_and_stops(&self) -> (u64, u64) {
        let state = self.lock();
        (state.refusals, state.stops)
    }

    /// Number of stop requests so far for tasks that were not running.
    pub fn wasted_stops(&self) -> u64 {
        self.lock().wasted_stops
    }

    /// Replaces all fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.lock().faults = faults;
    }

    async fn run(&self, task: &str, body: &Bytes) -> HandlerAction {
        let Ok(start) = serde_json::from_slice::<TaskStart>(body) else {
            return reply(StatusCode::BAD_REQUEST, "no task start");
        };
        let faults = self.lock().faults.clone();
        timer::sleep(faults.start_delay).await;
        let (stop_tx, stop_rx) = flume::bounded(1);
        if !self.try_start(task, stop_tx) {
            return refuse_start(faults.is_leaving);
        }
        let _slot = SlotGuard { target: self, task };
        if faults.connections == ConnectionFault::ClosesWithoutReply {
            return HandlerAction::Close;
        }
        if faults.fails_all_tasks {
            return reply(StatusCode::INTERNAL_SERVER_ERROR, "task failed");
        }
        let run_timer = timer::sleep(run_time(&start.payload) * faults.slowdown_factor.max(1));
        let lease_timer = tokio::time::sleep(Duration::from_millis(start.lease_ms));
        let end = tokio::select! {
            () = run_timer => RunEnd::Completed,
            _ = stop_rx.recv_async() => RunEnd::Stopped,
            () = lease_timer => RunEnd::LeaseLapsed,
        };
        match end {
            RunEnd::Completed => completed(&start.payload),
            RunEnd::Stopped => reply(StatusCode::INTERNAL_SERVER_ERROR, "stopped"),
            RunEnd::LeaseLapsed => reply(StatusCode::INTERNAL_SERVER_ERROR, "lease lapsed"),
        }
    }

    fn try_start(&self, task: &str, stop_tx: Sender<()>) -> bool {
        let mut state = self.lock();
        let is_full = state.running.len() >= self.slots as usize;
        if is_full || state.faults.is_leaving {
            state.refusals += 1;
            return false;
        }
        state.running.insert(task.to_owned(), stop_tx);
        state.starts.push(StartRecord {
            task: task.to_owned(),
            at: Instant::now(),
        });
        true
    }

    fn stop(&self, task: &str) -> HandlerAction {
        let mut state = self.lock();
        state.stops += 1;
        match state.running.get(task) {
            // The send fails if the task has just ended or already has a stop request.
            Some(stop_tx) => drop(stop_tx.try_send(())),
            None => state.wasted_stops += 1,
        }
        reply(StatusCode::NO_CONTENT, "")
    }

    fn usage(&self) -> HandlerAction {
        let state = self.lock();
        let running = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
        let usage = Usage {
            running,
            slots: self.slots,
            leaving: state.faults.is_leaving,
        };
        reply(
            StatusCode::OK,
            serde_json::to_vec(&usage).unwrap_or_default(),
        )
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Handler for TargetStandIn {
    async fn handle(&self, req: Request<Bytes>) -> HandlerAction {
        let path = req.uri().path();
        match (req.method(), path.strip_prefix("/v1/tasks/")) {
            (&Method::PUT, Some(task)) => self.run(task, req.body()).await,
            (&Method::DELETE, Some(task)) => self.stop(task),
            (&Method::GET, None) if path == "/v1/usage" => self.usage(),
            _ => reply(StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    fn closes_after_reply(&self) -> bool {
        self.lock().faults.connections == ConnectionFault::ClosesAfterReply
    }
}

/// Frees the slot of a task on drop, also if the client has disconnected.
struct SlotGuard<'a> {
    target: &'a TargetStandIn,
    task: &'a str,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        self.target.lock().running.remove(self.task);
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> HandlerAction {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    HandlerAction::Reply(res)
}

fn completed(payload: &str) -> HandlerAction {
    let end = TaskEnd {
        output: echo(payload).to_owned(),
    };
    reply(StatusCode::OK, serde_json::to_vec(&end).unwrap_or_default())
}

fn refuse_start(is_leaving: bool) -> HandlerAction {
    let reason = if is_leaving { "leaving" } else { "full" };
    let res = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let res = res.header("Not-Started", "true").header("Reason", reason);
    HandlerAction::Reply(
        res.body(Full::from("not started"))
            .expect("a refusal has valid headers"),
    )
}

/// Run time that a payload sets; 50 ms if the payload sets none.
pub fn run_time(payload: &str) -> Duration {
    let ms = payload
        .strip_prefix("run:")
        .and_then(|rest| rest.split(':').next()?.parse().ok());
    ms.map_or(DEFAULT_RUN_TIME, Duration::from_millis)
}

fn echo(payload: &str) -> &str {
    let rest = payload
        .strip_prefix("run:")
        .and_then(|rest| rest.split_once(':'));
    rest.map_or(payload, |(_, echo)| echo)
}
