//! Bulkheads: queues whose tasks crash workers run on a bounded part of the workers.
//!
//! Load pattern: some tasks of one queue crash their workers, which are away for seconds, and what runs
//! beside them is lost as well. Without a bulkhead a few jobs a second take down most workers, and all
//! queues lose their service. A queue is told apart from unrelated crashes by a cumulative sum of log
//! likelihood ratios: of workers that crash by themselves, as many run its tasks as of the others.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Evidence from which a queue is confined: the logarithm of how much likelier it is the cause than not.
const CONFINE_AT: f64 = 6.9;

/// Share of the crashes that other causes explain while a queue crashes workers.
const UNRELATED_SHARE: f64 = 0.05;

/// Time without a crash under a queue's tasks after which the queue runs everywhere again.
const RELEASE_AFTER: Duration = Duration::from_secs(5);

/// Workers that fall silent within this time count once: a cut takes many at the same moment.
const EVENT_PAUSE: Duration = Duration::from_millis(30);

/// Share of the workers that are the part of a confined queue, in percent.
const PART_PERCENT: u64 = 34;

/// Share of silent workers from which a confined queue runs only on its part, in percent. With fewer, all
/// queues have room, and they only prefer to run apart.
const STRICT_PERCENT: usize = 20;

/// Evidence against one queue.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    score: f64,
    last_crash: Instant,
    is_confined: bool,
}

/// A queue that a worker may run, and how common it is.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct QueueShare {
    pub(super) queue: Arc<str>,
    /// Share of the busy workers that run its tasks, from 0 to 1.
    pub(super) share: f64,
    /// Whether the worker that fell silent ran its tasks.
    pub(super) is_hit: bool,
}

/// The queues that crash workers.
#[derive(Debug, Default)]
pub(super) struct Bulkheads {
    /// Ordered map, so that equal schedulers decide alike.
    queues: BTreeMap<Arc<str>, Evidence>,
    last_event: Option<Instant>,
    /// Whether any queue is confined.
    has_confined: bool,
    /// Whether confined queues run only on their parts.
    is_strict: bool,
}

impl Bulkheads {
    /// Adds a worker that fell silent under its runs; returns the queues that are confined now.
    pub(super) fn worker_fell_silent(
        &mut self,
        now: Instant,
        queues: &[QueueShare],
    ) -> Vec<Arc<str>> {
        let is_pause = |at| now.saturating_duration_since(at) < EVENT_PAUSE;
        if self.last_event.is_some_and(is_pause) {
            return Vec::new();
        }
        self.last_event = Some(now);
        let mut confined = Vec::new();
        for QueueShare {
            queue,
            share,
            is_hit,
        } in queues
        {
            let evidence = self.queues.entry(Arc::clone(queue)).or_insert(Evidence {
                score: 0.0,
                last_crash: now,
                is_confined: false,
            });
            let ratio = if *is_hit {
                evidence.last_crash = now;
                (1.0 - UNRELATED_SHARE) / share
            } else {
                UNRELATED_SHARE / (1.0 - share)
            };
            evidence.score = (evidence.score + ratio.ln()).clamp(0.0, CONFINE_AT);
            if evidence.score >= CONFINE_AT && !evidence.is_confined {
                evidence.is_confined = true;
                confined.push(Arc::clone(queue));
            }
        }
        self.has_confined |= !confined.is_empty();
        confined
    }

    /// Drops the evidence against queues under whose tasks no worker has crashed lately; returns those that
    /// were confined.
    pub(super) fn release(&mut self, now: Instant) -> Vec<Arc<str>> {
        let is_over = |e: &Evidence| now.saturating_duration_since(e.last_crash) >= RELEASE_AFTER;
        let over = self.queues.extract_if(.., |_, e| is_over(e));
        let released = over.filter(|(_, e)| e.is_confined).map(|(q, _)| q);
        let released = released.collect();
        self.has_confined = self.queues.values().any(|e| e.is_confined);
        released
    }

    /// Sets how many of the workers are silent.
    pub(super) fn set_silent_workers(&mut self, silent: usize, listed: usize) {
        self.is_strict = silent * 100 >= listed * STRICT_PERCENT;
    }

    /// Whether all queues have the same workers to wait for.
    pub(super) fn is_open(&self) -> bool {
        !self.is_strict || !self.has_confined
    }

    /// Whether two queues have the same workers to wait for.
    pub(super) fn share_workers(&self, queue: &str, other: &str) -> bool {
        !self.is_strict || self.is_confined(queue) == self.is_confined(other)
    }

    /// Whether a queue may run on a worker.
    pub(super) fn may_run(&self, queue: &str, worker: SocketAddr) -> bool {
        !self.is_strict || !self.is_confined(queue) || is_in_part(queue, worker)
    }

    /// Whether a queue should rather run on another worker: a confined one runs on its part, and the
    /// others elsewhere.
    pub(super) fn is_misplaced(&self, queue: &str, worker: SocketAddr) -> bool {
        if !self.has_confined {
            return false;
        }
        if self.is_confined(queue) {
            return !is_in_part(queue, worker);
        }
        let confined = self.queues.iter().filter(|(_, e)| e.is_confined);
        let mut confined = confined.map(|(queue, _)| queue);
        confined.any(|queue| is_in_part(queue, worker))
    }

    fn is_confined(&self, queue: &str) -> bool {
        self.has_confined && self.queues.get(queue).is_some_and(|e| e.is_confined)
    }
}

/// Whether a worker belongs to a queue's part. Addresses outlast restarts, under whatever name, and all
/// schedulers draw the same part.
fn is_in_part(queue: &str, worker: SocketAddr) -> bool {
    let port = worker.port().to_be_bytes();
    let drawn = match worker.ip() {
        IpAddr::V4(ip) => hash(&[queue.as_bytes(), &ip.octets(), &port]),
        IpAddr::V6(ip) => hash(&[queue.as_bytes(), &ip.octets(), &port]),
    };
    drawn % 100 < PART_PERCENT
}

/// FNV-1a, with a final mix so that neighbouring addresses are drawn independently.
fn hash(parts: &[&[u8]]) -> u64 {
    let bytes = parts.iter().copied().flatten();
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |hash: u64, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}
