//! Threads that start and stop tasks on targets over persistent connections.
//!
//! Each thread serves its share of the targets on a current-thread runtime, so a running task
//! occupies no thread.

mod connections;
mod outcome;

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use flume::{Receiver, Sender, TrySendError};
use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_core::modules::targets::TaskKey;
use geraniumrelay_core::{Command, TaskId, TaskOutcome};
use geraniumrelay_wire::TaskStart;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use rustc_hash::FxBuildHasher;
use tokio::task::{LocalSet, spawn_local};

use crate::dispatch::connections::Connections;
use crate::requests::DecisionTx;

/// Maximum number of calls that wait for one thread.
const CHANNEL_CAPACITY: usize = 8_192;

/// Maximum wait for the reply to a stop call.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Call that starts a task on its target.
#[derive(Debug)]
pub struct TaskStartCall {
    /// Key under which the decision thread ends the task.
    pub task: TaskKey,
    /// Id under which the target runs the task.
    pub id: TaskId,
    /// Address of the target.
    pub address: SocketAddr,
    /// Input of the task, passed to the target unread.
    pub payload: Arc<str>,
    /// Time after which the target stops the task.
    pub lease: Duration,
}

/// Call to a target.
#[derive(Debug)]
enum TargetCall {
    Start(TaskStartCall),
    Stop { id: TaskId, address: SocketAddr },
}

/// Channels to the dispatch threads; each target is assigned to one thread.
#[derive(Debug)]
pub struct DispatchTx {
    threads: Vec<Sender<TargetCall>>,
}

impl DispatchTx {
    /// Starts `threads` dispatch threads, which report ended tasks to `decision`.
    ///
    /// # Errors
    /// A thread or its runtime can't be started.
    pub fn spawn(threads: usize, decision: &DecisionTx) -> std::io::Result<Self> {
        let senders = (0..threads).map(|n| spawn_thread(n, decision.clone()));
        Ok(Self {
            threads: senders.collect::<Result<_, _>>()?,
        })
    }

    /// Queues a task for the thread of its target. If the channel of the thread is full, returns the
    /// command that ends the task as not started.
    pub fn start(&self, call: TaskStartCall) -> Option<Command> {
        let sent = self
            .sender_for(call.address)
            .try_send(TargetCall::Start(call));
        let Err(
            TrySendError::Full(TargetCall::Start(call))
            | TrySendError::Disconnected(TargetCall::Start(call)),
        ) = sent
        else {
            return None;
        };
        let outcome = TaskOutcome::NotStarted {
            cause: NotStartedCause::NotSent,
        };
        Some(Command::EndTask {
            task: call.task,
            outcome,
        })
    }

    /// Queues a stop call for the thread of the target; drops the call if the channel is full.
    pub fn stop(&self, id: TaskId, address: SocketAddr) {
        // If the stop call is dropped, the target runs the task until its lease ends, no longer.
        let _ = self
            .sender_for(address)
            .try_send(TargetCall::Stop { id, address });
    }

    fn sender_for(&self, address: SocketAddr) -> &Sender<TargetCall> {
        let hash = FxBuildHasher.hash_one(address);
        // The upper half of an Fx hash is better mixed than the lower half.
        let n = usize::try_from(hash >> 32).unwrap_or_default() % self.threads.len();
        &self.threads[n]
    }
}

fn spawn_thread(n: usize, decision: DecisionTx) -> std::io::Result<Sender<TargetCall>> {
    let (tx, rx) = flume::bounded(CHANNEL_CAPACITY);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let builder = thread::Builder::new().name(format!("dispatch-{n}"));
    builder.spawn(move || LocalSet::new().block_on(&runtime, run(rx, decision)))?;
    Ok(tx)
}

async fn run(rx: Receiver<TargetCall>, decision: DecisionTx) {
    let connections = Rc::new(Connections::default());
    while let Ok(call) = rx.recv_async().await {
        let (connections, decision) = (Rc::clone(&connections), decision.clone());
        spawn_local(async move { execute(&connections, &decision, call).await });
    }
}

async fn execute(connections: &Connections, decision: &DecisionTx, call: TargetCall) {
    match call {
        TargetCall::Start(call) => {
            let outcome = start_task(connections, &call).await;
            decision
                .send_async(Command::EndTask {
                    task: call.task,
                    outcome,
                })
                .await;
        }
        TargetCall::Stop { id, address } => stop_task(connections, id, address).await,
    }
}

async fn start_task(connections: &Connections, call: &TaskStartCall) -> TaskOutcome {
    let lease_ms = u64::try_from(call.lease.as_millis()).unwrap_or(u64::MAX);
    let body = TaskStart {
        payload: call.payload.as_ref().to_owned(),
        lease_ms,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let Some(req) = build_request(Method::PUT, call.address, call.id, body) else {
        return TaskOutcome::NotStarted {
            cause: NotStartedCause::NotSent,
        };
    };
    match tokio::time::timeout(call.lease, connections.exchange(call.address, req)).await {
        Ok(reply) => outcome::from_exchange(reply),
        Err(_) => TaskOutcome::Unknown,
    }
}

async fn stop_task(connections: &Connections, id: TaskId, address: SocketAddr) {
    let Some(req) = build_request(Method::DELETE, address, id, Vec::new()) else {
        return;
    };
    // If the stop call is lost, the lease ends the task.
    let _ = tokio::time::timeout(STOP_TIMEOUT, connections.exchange(address, req)).await;
}

fn build_request(
    method: Method,
    address: SocketAddr,
    id: TaskId,
    body: Vec<u8>,
) -> Option<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(format!("/v1/tasks/{id}"))
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()
}
