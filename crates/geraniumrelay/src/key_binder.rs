//! Binds callers' idempotency keys to tickets in group commits, on a thread of its own because the
//! platform client blocks.

use std::thread;
use std::time::{Duration, Instant};

use flume::{Receiver, Sender};
use geraniumrelay_core::Clock;
use geraniumrelay_platform::{KeyOutcome, KeyStore, PlatformClient, RequestedBinding};

use crate::metrics::Metrics;
use crate::requests::Overloaded;

/// Capacity of the queue to the binder thread, in keys.
const QUEUE_ENTRIES: usize = 1_024;

/// Maximum number of keys in one group commit.
const MAX_KEYS_PER_COMMIT: usize = 256;

/// A queued request to bind one key.
#[derive(Debug)]
pub struct BindRequest {
    binding: RequestedBinding,
    tx: Sender<KeyOutcome>,
}

/// Sending end of the queue to the binder thread.
#[derive(Debug, Clone)]
pub struct KeyBinderTx(Sender<BindRequest>);

impl KeyBinderTx {
    /// Creates the queue.
    pub fn channel() -> (Self, Receiver<BindRequest>) {
        let (tx, rx) = flume::bounded(QUEUE_ENTRIES);
        (Self(tx), rx)
    }

    /// Binds a key and waits for the group commit; [`KeyOutcome::Unknown`] if the thread ends before
    /// it replies.
    ///
    /// # Errors
    /// [`Overloaded`] if the key can't be queued; nothing is written.
    pub async fn bind(&self, binding: RequestedBinding) -> Result<KeyOutcome, Overloaded> {
        let (tx, rx) = flume::bounded(1);
        let req = BindRequest { binding, tx };
        self.0.try_send(req).map_err(|_| Overloaded)?;
        Ok(rx.recv_async().await.unwrap_or(KeyOutcome::Unknown))
    }
}

/// State of the binder thread.
#[derive(Debug)]
pub struct KeyBinder<C> {
    clock: C,
    client: PlatformClient,
    ttl: Duration,
    commit_interval: Duration,
}

impl<C: Clock> KeyBinder<C> {
    /// Creates the state of the thread. Bindings expire after `ttl`; commits start at least
    /// `commit_interval` apart.
    pub fn new(clock: C, client: PlatformClient, ttl: Duration, commit_interval: Duration) -> Self {
        Self {
            clock,
            client,
            ttl,
            commit_interval,
        }
    }

    /// Binds keys until all senders are dropped.
    pub fn run(self, rx: &Receiver<BindRequest>, metrics: &Metrics) {
        while let Ok(first) = rx.recv() {
            let started = self.clock.now();
            let rest = rx.try_iter().take(MAX_KEYS_PER_COMMIT - 1);
            let batch: Vec<BindRequest> = [first].into_iter().chain(rest).collect();
            let is_store_unavailable = self.commit(batch, metrics);
            if is_store_unavailable {
                fail_queued(rx, metrics);
            }
            self.wait_for_interval(started);
        }
    }

    /// Binds a batch and sends the outcomes; returns whether the store was unavailable, so that an
    /// outcome is unknown.
    fn commit(&self, batch: Vec<BindRequest>, metrics: &Metrics) -> bool {
        let (bindings, reply_txs): (Vec<RequestedBinding>, Vec<Sender<KeyOutcome>>) =
            batch.into_iter().map(|req| (req.binding, req.tx)).unzip();
        let expires = self.clock.wall() + self.ttl;
        let outcomes = KeyStore::new(&self.client).bind(&bindings, expires, rand::random());
        metrics.durable.count_key_commit();
        let is_store_unavailable = outcomes.contains(&KeyOutcome::Unknown);
        for (outcome, tx) in outcomes.into_iter().zip(reply_txs) {
            reply(&tx, outcome, metrics);
        }
        is_store_unavailable
    }

    fn wait_for_interval(&self, started: Instant) {
        let next = started + self.commit_interval;
        thread::sleep(next.saturating_duration_since(self.clock.now()));
    }
}

/// Replies [`KeyOutcome::Unknown`] to all queued requests after a failed commit, so that they don't
/// wait for another time-out of the store.
fn fail_queued(rx: &Receiver<BindRequest>, metrics: &Metrics) {
    for req in rx.try_iter().take(QUEUE_ENTRIES) {
        reply(&req.tx, KeyOutcome::Unknown, metrics);
    }
}

fn reply(tx: &Sender<KeyOutcome>, outcome: KeyOutcome, metrics: &Metrics) {
    metrics.durable.count_key(&outcome);
    // The receiver is gone if the caller disconnected.
    let _ = tx.send(outcome);
}
