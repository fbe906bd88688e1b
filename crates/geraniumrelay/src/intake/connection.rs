//! Open connections of clients, and the notice to those that are evicted.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use log::warn;
use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::task::yield_now;

use super::ledger::{ConnectionKey, Growth, Ledger, Work};
use super::limits::IntakeLimits;
use super::metrics::IntakeMetrics;

/// Shortest time between two log lines on evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Admits the connections of clients of a process; clones share the state.
#[derive(Debug, Clone)]
pub(crate) struct Intake(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    ledger: Ledger,
    notices: SecondaryMap<ConnectionKey, Rc<Notify>>,
    /// Tasks that wait for the memory of evicted connections.
    waiting: Vec<Waker>,
    metrics: IntakeMetrics,
    evictions: Evictions,
}

/// Evictions since the last log line.
#[derive(Debug, Default)]
struct Evictions {
    count: usize,
    logged_at: Option<Instant>,
}

/// A client's connection. What it holds is free once it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    key: ConnectionKey,
    intake: Intake,
    notice: Rc<Notify>,
}

/// There is no memory for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no memory for the request")]
pub(crate) struct NoMemory;

impl Intake {
    pub(crate) fn new(limits: IntakeLimits, metrics: IntakeMetrics) -> Self {
        let state = State {
            ledger: Ledger::new(limits),
            notices: SecondaryMap::new(),
            waiting: Vec::new(),
            metrics,
            evictions: Evictions::default(),
        };
        Self(Rc::new(RefCell::new(state)))
    }

    /// Admits a connection, and evicts others if there is no room. `None` if all others wait for answers.
    pub(crate) async fn admit(&self) -> Option<Connection> {
        let mut evicted = Vec::new();
        let key = self
            .0
            .borrow_mut()
            .ledger
            .open(Instant::now(), &mut evicted);
        let has_evicted = !evicted.is_empty();
        self.notify(&evicted, "connections");
        let admitted = key.map(|key| {
            let notice = Rc::new(Notify::new());
            let mut state = self.0.borrow_mut();
            state.notices.insert(key, Rc::clone(&notice));
            state.update_gauges();
            Connection {
                key,
                intake: self.clone(),
                notice,
            }
        });
        if admitted.is_none() {
            self.0.borrow_mut().metrics.count_closed("refused");
        }
        if has_evicted {
            // Lets the evicted connections close before the next one is accepted.
            yield_now().await;
        }
        admitted
    }

    fn notify(&self, evicted: &[ConnectionKey], reason: &str) {
        if evicted.is_empty() {
            return;
        }
        let mut state = self.0.borrow_mut();
        for &key in evicted {
            state.metrics.count_closed(reason);
            if let Some(notice) = state.notices.get(key) {
                notice.notify_waiters();
            }
        }
        state.log_evictions(evicted.len(), reason);
    }
}

impl State {
    fn log_evictions(&mut self, count: usize, reason: &str) {
        self.evictions.count += count;
        let now = Instant::now();
        let last = self.evictions.logged_at;
        if last.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            return;
        }
        self.evictions.logged_at = Some(now);
        let count = std::mem::take(&mut self.evictions.count);
        let (held_bytes, connections) = (self.ledger.bytes(), self.ledger.connections());
        warn!(count, reason, held_bytes, connections; "clients_evicted");
    }

    fn memory_freed(&mut self) {
        self.waiting.drain(..).for_each(Waker::wake);
        self.update_gauges();
    }

    fn update_gauges(&self) {
        self.metrics
            .set_held(self.ledger.bytes(), self.ledger.connections());
    }
}

impl Connection {
    /// Accounts for more bytes that the connection holds; waits until evicted connections have made room.
    ///
    /// # Errors
    /// [`NoMemory`] if this connection is the one to make room, or was evicted before.
    pub(crate) async fn hold(&self, bytes: usize) -> Result<(), NoMemory> {
        poll_fn(|cx| self.poll_hold(cx, bytes)).await
    }

    /// The same for one poll of a future.
    pub(super) fn poll_hold(
        &self,
        cx: &mut Context<'_>,
        bytes: usize,
    ) -> Poll<Result<(), NoMemory>> {
        let mut evicted = Vec::new();
        let now = Instant::now();
        let mut state = self.intake.0.borrow_mut();
        let growth = state.ledger.grow(self.key, bytes, now, &mut evicted);
        let polled = match growth {
            Growth::Granted => {
                state.update_gauges();
                Poll::Ready(Ok(()))
            }
            Growth::Wait => {
                state.waiting.push(cx.waker().clone());
                Poll::Pending
            }
            Growth::Refused => {
                state.metrics.count_refused();
                Poll::Ready(Err(NoMemory))
            }
        };
        drop(state);
        self.intake.notify(&evicted, "memory");
        polled
    }

    /// Records that the client has sent the head of a request.
    pub(crate) fn begin_request(&self) {
        let mut state = self.intake.0.borrow_mut();
        state.ledger.begin_request(self.key, Instant::now());
    }

    /// Records that the whole request has arrived.
    pub(crate) fn begin_answer(&self, work: Work) {
        let mut state = self.intake.0.borrow_mut();
        state.ledger.begin_answer(self.key, work);
    }

    /// Records that an answer of this size is ready for the client to read.
    pub(crate) fn end_request(&self, answer_bytes: usize) {
        let mut state = self.intake.0.borrow_mut();
        let now = Instant::now();
        state.ledger.end_request(self.key, answer_bytes, now);
        state.memory_freed();
    }

    /// Whether the connection is to be closed to make room for others.
    pub(crate) fn is_evicted(&self) -> bool {
        self.intake.0.borrow().ledger.is_evicted(self.key)
    }

    /// Waits until the connection is to be closed to make room for others.
    pub(crate) async fn evicted(&self) {
        while !self.is_evicted() {
            self.notice.notified().await;
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.intake.0.borrow_mut();
        state.ledger.close(self.key);
        state.notices.remove(self.key);
        state.memory_freed();
    }
}
