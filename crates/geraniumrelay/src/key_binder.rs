//! Binds callers' idempotency keys to tickets, in group commits on a thread of its own.

use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use geraniumrelay_core::Clock;
use geraniumrelay_platform::{KeyOutcome, KeyStore, PlatformClient, RequestedBinding};

use crate::metrics::Metrics;
use crate::requests::Overloaded;

/// Most keys that wait for their commit.
const RING_ENTRIES: usize = 1_024;

/// Most keys in one commit.
const MAX_KEYS_PER_COMMIT: usize = 256;

/// A key that waits to be bound.
#[derive(Debug)]
pub struct BindRequest {
    wish: RequestedBinding,
    tx: Sender<KeyOutcome>,
}

/// Ring to the thread that binds keys.
#[derive(Debug, Clone)]
pub struct KeyBinderTx(Sender<BindRequest>);

impl KeyBinderTx {
    /// Makes the ring.
    pub fn ring() -> (Self, Receiver<BindRequest>) {
        let (tx, rx) = flume::bounded(RING_ENTRIES);
        (Self(tx), rx)
    }

    /// Binds a key; waits for the commit.
    ///
    /// # Errors
    /// [`Overloaded`], with nothing written.
    pub async fn bind(&self, wish: RequestedBinding) -> Result<KeyOutcome, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        let req = BindRequest { wish, tx };
        self.0.try_send(req).map_err(|_| Overloaded)?;
        Ok(rx.recv_async().await.unwrap_or(KeyOutcome::Unknown))
    }
}

/// State of the thread that binds keys.
#[derive(Debug)]
pub struct KeyBinder<C> {
    clock: C,
    client: PlatformClient,
    ttl: Duration,
    commit_interval: Duration,
}

impl<C: Clock> KeyBinder<C> {
    /// Makes the thread's state; a binding lasts for `ttl`, and commits are `commit_interval`
    /// apart at least.
    pub fn new(clock: C, client: PlatformClient, ttl: Duration, commit_interval: Duration) -> Self {
        Self {
            clock,
            client,
            ttl,
            commit_interval,
        }
    }

    /// Binds until all senders are gone.
    pub fn run(self, rx: &Receiver<BindRequest>, metrics: &Metrics) {
        while let Ok(first) = rx.recv() {
            let started = self.clock.now();
            let rest = rx.try_iter().take(MAX_KEYS_PER_COMMIT - 1);
            let batch: Vec<BindRequest> = [first].into_iter().chain(rest).collect();
            let is_store_away = self.commit(batch, metrics);
            if is_store_away {
                give_up_all(rx, metrics);
            }
            self.wait_for_budget(started);
        }
    }

    /// Binds a batch and answers it; returns whether the store was away.
    fn commit(&self, batch: Vec<BindRequest>, metrics: &Metrics) -> bool {
        let (wishes, waiting): (Vec<RequestedBinding>, Vec<Sender<KeyOutcome>>) =
            batch.into_iter().map(|req| (req.wish, req.tx)).unzip();
        let expires = self.clock.wall() + self.ttl;
        let outcomes = KeyStore::new(&self.client).bind(&wishes, expires, rand::random());
        metrics.durable.count_key_commit();
        let is_store_away = outcomes.contains(&KeyOutcome::Unknown);
        for (outcome, tx) in outcomes.into_iter().zip(waiting) {
            reply(&tx, outcome, metrics);
        }
        is_store_away
    }

    fn wait_for_budget(&self, started: Instant) {
        let next = started + self.commit_interval;
        thread::sleep(next.saturating_duration_since(self.clock.now()));
    }
}

/// Whoever waited behind a failed commit learns it at once, in place of another time-out.
fn give_up_all(rx: &Receiver<BindRequest>, metrics: &Metrics) {
    for req in rx.try_iter().take(RING_ENTRIES) {
        reply(&req.tx, KeyOutcome::Unknown, metrics);
    }
}

fn reply(tx: &Sender<KeyOutcome>, outcome: KeyOutcome, metrics: &Metrics) {
    metrics.durable.count_key(&outcome);
    // The caller may have gone.
    let _ = tx.send(outcome);
}
