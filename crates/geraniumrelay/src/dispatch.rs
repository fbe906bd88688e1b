//! Dispatch pool: threads that start tasks on targets over kept connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use flume::{Receiver, Sender, TrySendError};
use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_core::modules::targets::TaskKey;
use geraniumrelay_core::{Command, TaskId, TaskOutcome};
use geraniumrelay_wire::{TaskEnd, TaskStart};
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use crate::requests::DecisionTx;

/// Starts that may wait for a thread of the pool.
const START_RING_ENTRIES: usize = 4_096;

/// Stops that may wait; one beyond it is dropped, as a stop is only a hint.
const STOP_RING_ENTRIES: usize = 4_096;

/// Threads that send stops.
const STOP_THREADS: usize = 2;

/// Longest wait for a connection to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest wait for the reply to a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a kept connection is not used again.
const MAX_IDLE_AGE: Duration = Duration::from_secs(5);

/// Idle connections kept to one target.
const MAX_IDLE_PER_TARGET: usize = 64;

/// Idle connections kept in all.
const MAX_IDLE: usize = 4_096;

/// Header by which a target says that it did not start a task.
const NOT_STARTED_HEADER: &str = "Not-Started";

/// One task to start.
#[derive(Debug)]
pub struct TaskJob {
    /// Key to end it with.
    pub task: TaskKey,
    /// Name towards the target.
    pub id: TaskId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Time after which the target stops it.
    pub lease: Duration,
}

#[derive(Debug)]
struct StopJob {
    id: TaskId,
    address: SocketAddr,
}

/// Rings to the dispatch pool.
#[derive(Debug)]
pub struct DispatchTx {
    starts: Sender<TaskJob>,
    stops: Sender<StopJob>,
}

impl DispatchTx {
    /// Starts a pool of `threads` threads, which report to the decision thread.
    pub fn spawn(threads: usize, decision: &DecisionTx) -> std::io::Result<Self> {
        let (starts, start_rx) = flume::bounded(START_RING_ENTRIES);
        let (stops, stop_rx) = flume::bounded(STOP_RING_ENTRIES);
        let agent = agent();
        for n in 0..threads {
            let (agent, rx, decision) = (agent.clone(), start_rx.clone(), decision.clone());
            let builder = thread::Builder::new().name(format!("dispatch-{n}"));
            builder.spawn(move || run_starts(&agent, &rx, &decision))?;
        }
        for n in 0..STOP_THREADS {
            let (agent, rx) = (agent.clone(), stop_rx.clone());
            let builder = thread::Builder::new().name(format!("stop-{n}"));
            builder.spawn(move || run_stops(&agent, &rx))?;
        }
        Ok(Self { starts, stops })
    }

    /// Hands a task over; returns the command that ends it where the pool has no room.
    pub fn start(&self, job: TaskJob) -> Option<Command> {
        let Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) =
            self.starts.try_send(job)
        else {
            return None;
        };
        let outcome = TaskOutcome::NotStarted {
            cause: NotStartedCause::NotSent,
        };
        Some(Command::EndTask {
            task: job.task,
            outcome,
        })
    }

    /// Sends a stop, if there is room.
    pub fn stop(&self, id: TaskId, address: SocketAddr) {
        // A stop that is dropped costs the target the rest of the task's lease, no more.
        let _ = self.stops.try_send(StopJob { id, address });
    }
}

fn agent() -> Agent {
    Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .max_idle_age(MAX_IDLE_AGE)
        .max_idle_connections(MAX_IDLE)
        .max_idle_connections_per_host(MAX_IDLE_PER_TARGET)
        .build()
        .into()
}

fn run_starts(agent: &Agent, rx: &Receiver<TaskJob>, decision: &DecisionTx) {
    while let Ok(job) = rx.recv() {
        let outcome = start(agent, &job);
        decision.tell(Command::EndTask {
            task: job.task,
            outcome,
        });
    }
}

fn start(agent: &Agent, job: &TaskJob) -> TaskOutcome {
    let url = task_url(job.address, job.id);
    let lease_ms = u64::try_from(job.lease.as_millis()).unwrap_or(u64::MAX);
    let body = TaskStart {
        payload: job.payload.as_ref().to_owned(),
        lease_ms,
    };
    let Ok(body) = serde_json::to_vec(&body) else {
        return TaskOutcome::NotStarted {
            cause: NotStartedCause::NotSent,
        };
    };
    let req = agent
        .put(&url)
        .config()
        .timeout_global(Some(job.lease))
        .build();
    match req.header("content-type", "application/json").send(&body) {
        Ok(res) => outcome_of(res),
        Err(e) => outcome_of_error(&e),
    }
}

fn outcome_of(mut res: Response<Body>) -> TaskOutcome {
    let status = res.status().as_u16();
    if status == 503 && res.headers().contains_key(NOT_STARTED_HEADER) {
        let is_leaving = res
            .headers()
            .get("Reason")
            .is_some_and(|value| value == "leaving");
        let cause = if is_leaving {
            NotStartedCause::Leaving
        } else {
            NotStartedCause::Full
        };
        // The body is read so that the connection can be kept.
        let _ = res.body_mut().read_to_vec();
        return TaskOutcome::NotStarted { cause };
    }
    let Ok(body) = res.body_mut().read_to_vec() else {
        return TaskOutcome::Unknown;
    };
    if status != 200 {
        return TaskOutcome::Failed;
    }
    match serde_json::from_slice::<TaskEnd>(&body) {
        Ok(end) => TaskOutcome::Completed { output: end.output },
        Err(_) => TaskOutcome::Failed,
    }
}

/// Only a connection that was never made proves that the task did not start.
fn outcome_of_error(e: &ureq::Error) -> TaskOutcome {
    let was_never_connected = match e {
        ureq::Error::ConnectionFailed | ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        _ => false,
    };
    if was_never_connected {
        TaskOutcome::NotStarted {
            cause: NotStartedCause::Unreachable,
        }
    } else {
        TaskOutcome::Unknown
    }
}

fn run_stops(agent: &Agent, rx: &Receiver<StopJob>) {
    while let Ok(job) = rx.recv() {
        let url = task_url(job.address, job.id);
        let req = agent
            .delete(&url)
            .config()
            .timeout_global(Some(STOP_TIMEOUT))
            .build();
        // The lease ends the task where the stop is lost.
        let _ = req.call();
    }
}

fn task_url(address: SocketAddr, id: TaskId) -> String {
    format!("http://{address}/v1/tasks/{id}")
}
