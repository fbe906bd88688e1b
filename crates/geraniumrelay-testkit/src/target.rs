//! Stand-in for a target: slots, run times, refusals, and a record of every start.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use flume::Sender;
use geraniumrelay_wire::{TaskEnd, TaskStart, Usage};
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode};

use crate::http_server::{self, Handled, Handler};
use crate::timer;

/// Run time of a task whose payload names none.
const DEFAULT_RUN_TIME: Duration = Duration::from_millis(50);

/// Fault switches of a target.
#[derive(Debug, Clone, Default)]
pub struct TargetFaults {
    /// Every task fails at once.
    pub fails_all_tasks: bool,
    /// Run times are multiplied by this; 0 counts as 1.
    pub slowness: u32,
    /// Every start is refused and the target says that it is leaving.
    pub is_leaving: bool,
    /// Starts hang for this long before anything happens.
    pub pause: Duration,
    /// What it does to connections.
    pub connections: ConnectionFault,
}

/// What a target does to connections.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Keeps them.
    #[default]
    None,
    /// Closes after each reply, without a word of it.
    ClosesAfterReply,
    /// Closes after each start, without a reply.
    ClosesWithoutReply,
}

/// One start, as the target saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRecord {
    /// Name of the task.
    pub task: String,
    /// When it started.
    pub at: Instant,
}

/// How a started task ended at the target.
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

/// A target on loopback. A payload `run:MS:ECHO` runs MS milliseconds and outputs ECHO.
#[derive(Debug, Clone)]
pub struct TargetStandIn {
    address: SocketAddr,
    slots: u32,
    state: Arc<Mutex<State>>,
}

impl TargetStandIn {
    /// Starts a target with a number of slots.
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

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Every start so far.
    pub fn starts(&self) -> Vec<StartRecord> {
        self.lock().starts.clone()
    }

    /// Refusals and stops so far.
    pub fn refusals_and_stops(&self) -> (u64, u64) {
        let state = self.lock();
        (state.refusals, state.stops)
    }

    /// Stops so far of tasks that did not run.
    pub fn wasted_stops(&self) -> u64 {
        self.lock().wasted_stops
    }

    /// Changes the fault switches.
    pub fn set_faults(&self, faults: TargetFaults) {
        self.lock().faults = faults;
    }

    async fn run(&self, task: &str, body: &Bytes) -> Handled {
        let Ok(start) = serde_json::from_slice::<TaskStart>(body) else {
            return reply(StatusCode::BAD_REQUEST, "no task start");
        };
        let faults = self.lock().faults.clone();
        timer::sleep(faults.pause).await;
        let (stop_tx, stop_rx) = flume::bounded(1);
        if !self.try_start(task, stop_tx) {
            return refusal(faults.is_leaving);
        }
        let _slot = Slot { target: self, task };
        if faults.connections == ConnectionFault::ClosesWithoutReply {
            return Handled::Hang;
        }
        if faults.fails_all_tasks {
            return reply(StatusCode::INTERNAL_SERVER_ERROR, "task failed");
        }
        let run = timer::sleep(run_time(&start.payload) * faults.slowness.max(1));
        let lease = tokio::time::sleep(Duration::from_millis(start.lease_ms));
        let end = tokio::select! {
            () = run => RunEnd::Completed,
            _ = stop_rx.recv_async() => RunEnd::Stopped,
            () = lease => RunEnd::LeaseLapsed,
        };
        match end {
            RunEnd::Completed => output(&start.payload),
            RunEnd::Stopped => reply(StatusCode::INTERNAL_SERVER_ERROR, "stopped"),
            RunEnd::LeaseLapsed => reply(StatusCode::INTERNAL_SERVER_ERROR, "lease lapsed"),
        }
    }

    fn try_start(&self, task: &str, stop: Sender<()>) -> bool {
        let mut state = self.lock();
        let is_full = state.running.len() >= self.slots as usize;
        if is_full || state.faults.is_leaving {
            state.refusals += 1;
            return false;
        }
        state.running.insert(task.to_owned(), stop);
        state.starts.push(StartRecord {
            task: task.to_owned(),
            at: Instant::now(),
        });
        true
    }

    fn stop(&self, task: &str) -> Handled {
        let mut state = self.lock();
        state.stops += 1;
        match state.running.get(task) {
            // It may be ending by itself at this moment.
            Some(stop) => drop(stop.try_send(())),
            None => state.wasted_stops += 1,
        }
        reply(StatusCode::NO_CONTENT, "")
    }

    fn usage(&self) -> Handled {
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
    async fn handle(&self, req: Request<Bytes>) -> Handled {
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

/// Frees the slot of a task at its end, also where the caller has gone.
struct Slot<'a> {
    target: &'a TargetStandIn,
    task: &'a str,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.target.lock().running.remove(self.task);
    }
}

fn reply(status: StatusCode, body: impl Into<Bytes>) -> Handled {
    let mut res = Response::new(Full::new(body.into()));
    *res.status_mut() = status;
    Handled::Reply(res)
}

fn output(payload: &str) -> Handled {
    let end = TaskEnd {
        output: echo(payload).to_owned(),
    };
    reply(StatusCode::OK, serde_json::to_vec(&end).unwrap_or_default())
}

fn refusal(is_leaving: bool) -> Handled {
    let reason = if is_leaving { "leaving" } else { "full" };
    let res = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    let res = res.header("Not-Started", "true").header("Reason", reason);
    Handled::Reply(
        res.body(Full::from("not started"))
            .expect("a refusal is a response"),
    )
}

/// Run time that a payload asks for.
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
