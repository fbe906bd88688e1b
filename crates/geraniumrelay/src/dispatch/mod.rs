//! Dispatch: threads that start tasks on targets over kept connections.
//!
//! Each thread runs its share of the targets on a current-thread runtime, so a running task costs
//! no thread.

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

/// Jobs that may wait for one thread.
const RING_ENTRIES: usize = 8_192;

/// Longest wait for the reply to a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// One task to start.
#[derive(Debug)]
pub struct TaskStartCall {
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
enum Job {
    Start(TaskStartCall),
    Stop { id: TaskId, address: SocketAddr },
}

/// Rings to the dispatch threads; each target belongs to one of them.
#[derive(Debug)]
pub struct DispatchTx {
    threads: Vec<Sender<Job>>,
}

impl DispatchTx {
    /// Starts `threads` threads, which report to the decision thread.
    ///
    /// # Errors
    /// A thread or runtime that can't be started.
    pub fn spawn(threads: usize, decision: &DecisionTx) -> std::io::Result<Self> {
        let senders = (0..threads).map(|n| spawn_thread(n, decision.clone()));
        Ok(Self {
            threads: senders.collect::<Result<_, _>>()?,
        })
    }

    /// Hands a task over; returns the command that ends it where there is no room.
    pub fn start(&self, job: TaskStartCall) -> Option<Command> {
        let sent = self.thread_of(job.address).try_send(Job::Start(job));
        let Err(TrySendError::Full(Job::Start(job)) | TrySendError::Disconnected(Job::Start(job))) =
            sent
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
        let _ = self.thread_of(address).try_send(Job::Stop { id, address });
    }

    fn thread_of(&self, address: SocketAddr) -> &Sender<Job> {
        let hash = FxBuildHasher.hash_one(address);
        // The upper half of the hash is the better mixed one.
        let n = usize::try_from(hash >> 32).unwrap_or_default() % self.threads.len();
        &self.threads[n]
    }
}

fn spawn_thread(n: usize, decision: DecisionTx) -> std::io::Result<Sender<Job>> {
    let (tx, rx) = flume::bounded(RING_ENTRIES);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let builder = thread::Builder::new().name(format!("dispatch-{n}"));
    builder.spawn(move || LocalSet::new().block_on(&runtime, run(rx, decision)))?;
    Ok(tx)
}

async fn run(rx: Receiver<Job>, decision: DecisionTx) {
    let connections = Rc::new(Connections::default());
    while let Ok(job) = rx.recv_async().await {
        let (connections, decision) = (Rc::clone(&connections), decision.clone());
        spawn_local(async move { carry_out(&connections, &decision, job).await });
    }
}

async fn carry_out(connections: &Connections, decision: &DecisionTx, job: Job) {
    match job {
        Job::Start(job) => {
            let outcome = start(connections, &job).await;
            decision
                .tell_async(Command::EndTask {
                    task: job.task,
                    outcome,
                })
                .await;
        }
        Job::Stop { id, address } => stop(connections, id, address).await,
    }
}

async fn start(connections: &Connections, job: &TaskStartCall) -> TaskOutcome {
    let lease_ms = u64::try_from(job.lease.as_millis()).unwrap_or(u64::MAX);
    let body = TaskStart {
        payload: job.payload.as_ref().to_owned(),
        lease_ms,
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    let Some(req) = request(Method::PUT, job.address, job.id, body) else {
        return TaskOutcome::NotStarted {
            cause: NotStartedCause::NotSent,
        };
    };
    match tokio::time::timeout(job.lease, connections.exchange(job.address, req)).await {
        Ok(reply) => outcome::of_exchange(reply),
        Err(_) => TaskOutcome::Unknown,
    }
}

async fn stop(connections: &Connections, id: TaskId, address: SocketAddr) {
    let Some(req) = request(Method::DELETE, address, id, Vec::new()) else {
        return;
    };
    // The lease ends the task where the stop is lost.
    let _ = tokio::time::timeout(STOP_TIMEOUT, connections.exchange(address, req)).await;
}

fn request(
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
