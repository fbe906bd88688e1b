//! Contention: shares of the queues of a service in its capacity, and whether a queue exceeds its share.
//!
//! Load pattern: the callers of one queue send a burst of 2.6 times its usual traffic for some seconds, and all
//! queues together ask for more than the capacity. Without shares the burst takes capacity from the other queues,
//! and most jobs of long tasks are refused. Weights are the usual demands, so that a queue keeps what it usually has.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::names::JobId;
use crate::configs::contention::ContentionConfig;

/// Share of the capacity from which a queue counts as asking for any.
const MIN_DEMAND: f64 = 0.001;

/// Usual demand, in thousandths of a core, below which an idle queue is forgotten.
const FORGET_BELOW: f64 = 1.0;

/// Demand of a queue, in thousandths of a core that it would use on average.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Demand {
    /// Mean of about a second.
    pub recent: f64,
    /// Mean of about ten seconds: the weight of the queue.
    pub usual: f64,
}

/// Demand of a queue beside its share, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Standing {
    /// Recent demand, admitted or not.
    pub demand: f64,
    /// Share of the capacity.
    pub share: f64,
    /// Capacity of the service.
    pub capacity: f64,
}

impl Standing {
    /// Demand above the share, as a multiple of the share.
    pub fn excess(&self) -> f64 {
        (self.demand / self.share.max(f64::MIN_POSITIVE) - 1.0).max(0.0)
    }

    /// Whether a demand is above `percent` of the share.
    fn is_above(&self, demand: f64, percent: u32) -> bool {
        demand * 100.0 > self.share * f64::from(percent)
    }
}

/// Whether the queue of an arriving job exceeds its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Shares do not matter to the job: the service is not overloaded, no queue exceeds its share, or too little of the
    /// queue's share has been admitted lately.
    Unlimited,
    /// Another queue exceeds its share, and this one does not: admitted as if that excess were not there.
    WithinShare,
    /// The queue exceeds its share: the job must not wait.
    AboveShare,
}

/// A queue that has exceeded its share, or has returned to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Service whose capacity is shared.
    pub service: Arc<str>,
    /// Queue concerned.
    pub queue: Arc<str>,
    /// Whether the queue exceeds its share now.
    pub exceeds: bool,
    /// Its demand and share.
    pub standing: Standing,
}

/// Load of a service as an arriving job finds it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Processor of its workers, in thousandths of a core.
    pub capacity: f64,
    /// Whether its recent work exceeds the capacity.
    pub is_overloaded: bool,
}

/// Exponential mean of work per second. [`DecayingSum`](crate::modules::decaying_sum::DecayingSum) would halve a
/// mean of one second every half second, and the ratios of demand and share with it.
#[derive(Debug, Clone, Copy)]
struct Mean {
    sum: f64,
    at: Instant,
}

impl Mean {
    fn new(now: Instant) -> Self {
        Self { sum: 0.0, at: now }
    }

    fn add(&mut self, now: Instant, window: Duration, work: f64) {
        self.sum = self.decayed(now, window) + work;
        self.at = self.at.max(now);
    }

    fn per_second(&self, now: Instant, window: Duration) -> f64 {
        self.decayed(now, window) / window.as_secs_f64()
    }

    fn decayed(&self, now: Instant, window: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-age / window.as_secs_f64()).exp()
    }
}

/// What is known of a queue.
#[derive(Debug)]
struct Queue {
    recent: Mean,
    /// Squares of the recent work, over half the window: the variance of `recent`.
    squares: Mean,
    usual: Mean,
    /// Recent work of admitted jobs.
    admitted: Mean,
    /// Priority of its last job.
    priority: u8,
    /// Demand and share when a job of the queue last arrived under overload, while the queue exceeds its share.
    exceeding: Option<Standing>,
}

impl Queue {
    /// Standard deviation of the recent demand, for jobs that arrive independently of each other: large for a queue of
    /// a few long jobs a second.
    fn deviation(&self, cfg: &ContentionConfig, now: Instant) -> f64 {
        let squares = self.squares.decayed(now, cfg.recent_window / 2);
        squares.max(0.0).sqrt() / cfg.recent_window.as_secs_f64()
    }

    fn demand(&self, cfg: &ContentionConfig, now: Instant) -> Demand {
        Demand {
            recent: self.recent.per_second(now, cfg.recent_window),
            usual: self.usual.per_second(now, cfg.usual_window),
        }
    }
}

/// The queues of a service.
#[derive(Debug, Default)]
struct Service {
    /// Ordered map, so that equal schedulers decide alike.
    queues: BTreeMap<Arc<str>, Queue>,
    /// Until when the service counts as overloaded.
    overloaded_until: Option<Instant>,
}

impl Service {
    fn is_overloaded(&self, now: Instant) -> bool {
        self.overloaded_until.is_some_and(|until| now < until)
    }

    /// Demand and share of a queue.
    fn standing(
        &self,
        cfg: &ContentionConfig,
        now: Instant,
        (queue, capacity): (&str, f64),
    ) -> Option<Standing> {
        let demands: Vec<Demand> = self.queues.values().map(|q| q.demand(cfg, now)).collect();
        let min_share = capacity * f64::from(cfg.min_share_percent) / 100.0;
        let shares = shares(capacity, min_share, &demands);
        let own = self.queues.keys().position(|q| **q == *queue)?;
        Some(Standing {
            demand: demands[own].recent,
            share: shares[own],
            capacity,
        })
    }
}

/// Demand of all queues, and which of them exceed their shares.
#[derive(Debug, Default)]
pub struct Contention {
    services: BTreeMap<Arc<str>, Service>,
}

impl Contention {
    /// Adds the work of an arriving job, in thousandths of a core times seconds, whether or not it is admitted.
    pub fn add(
        &mut self,
        cfg: &ContentionConfig,
        now: Instant,
        (service, queue): (&Arc<str>, &Arc<str>),
        (work, priority): (f64, u8),
    ) {
        let service = self.services.entry(Arc::clone(service)).or_default();
        let queue = service
            .queues
            .entry(Arc::clone(queue))
            .or_insert_with(|| Queue {
                recent: Mean::new(now),
                squares: Mean::new(now),
                usual: Mean::new(now),
                admitted: Mean::new(now),
                priority,
                exceeding: None,
            });
        queue.priority = priority;
        queue.recent.add(now, cfg.recent_window, work);
        queue.squares.add(now, cfg.recent_window / 2, work * work);
        let excess = queue.exceeding.map_or(0.0, |s| 1.0 - s.share / s.demand);
        let counted = 1.0 - excess * (1.0 - f64::from(cfg.excess_weight_percent) / 100.0);
        queue.usual.add(now, cfg.usual_window, work * counted);
    }

    /// Adds the work of an admitted job.
    pub fn add_admitted(
        &mut self,
        cfg: &ContentionConfig,
        now: Instant,
        (service, queue): (&str, &str),
        work: f64,
    ) {
        let service = self.services.get_mut(service);
        if let Some(queue) = service.and_then(|s| s.queues.get_mut(queue)) {
            queue.admitted.add(now, cfg.recent_window, work);
        }
    }

    /// Judges a job that has arrived and whose work was added. The change is that of its own queue.
    pub fn judge(
        &mut self,
        cfg: &ContentionConfig,
        now: Instant,
        (service, queue): (&Arc<str>, &Arc<str>),
        load: Load,
    ) -> (Verdict, Option<Change>) {
        let Some(state) = self.services.get_mut(service) else {
            return (Verdict::Unlimited, None);
        };
        if load.is_overloaded {
            state.overloaded_until = Some(now + cfg.overload_hold);
        }
        if !state.is_overloaded(now) {
            return (Verdict::Unlimited, None);
        }
        let Some(standing) = state.standing(cfg, now, (queue, load.capacity)) else {
            return (Verdict::Unlimited, None);
        };
        let Some(own) = state.queues.get_mut(queue) else {
            return (Verdict::Unlimited, None);
        };
        let was_exceeding = own.exceeding.is_some();
        let exceeds = if was_exceeding {
            standing.is_above(standing.demand, cfg.returns_percent)
        } else {
            let certain = standing.demand - own.deviation(cfg, now);
            standing.is_above(certain, cfg.exceeds_percent)
        };
        own.exceeding = exceeds.then_some(standing);
        let admitted = own.admitted.per_second(now, cfg.recent_window);
        let has_its_share = admitted * 100.0 >= standing.share * f64::from(cfg.admitted_percent);
        let change = (exceeds != was_exceeding).then(|| Change {
            service: Arc::clone(service),
            queue: Arc::clone(queue),
            exceeds,
            standing,
        });
        let priority = own.priority;
        let is_asking =
            |q: &Queue| q.recent.per_second(now, cfg.recent_window) >= load.capacity * MIN_DEMAND;
        // A queue is an equal of the others if all of them exceed their shares; then the most urgent one may wait.
        let is_restricted = state.queues.values().any(|q| {
            let is_more_urgent = q.exceeding.is_some() && q.priority < priority;
            is_more_urgent || (q.exceeding.is_none() && is_asking(q))
        });
        let is_any_above = state.queues.values().any(|q| q.exceeding.is_some());
        let verdict = if exceeds && has_its_share && is_restricted {
            Verdict::AboveShare
        } else if !exceeds && is_any_above {
            Verdict::WithinShare
        } else {
            Verdict::Unlimited
        };
        (verdict, change)
    }

    /// Returns the queues that have returned to their shares, also because the overload is over, and forgets idle
    /// queues.
    pub fn refresh(&mut self, cfg: &ContentionConfig, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        for (name, service) in &mut self.services {
            let is_overloaded = service.is_overloaded(now);
            let exceeding = service.queues.iter();
            let exceeding =
                exceeding.filter_map(|(q, state)| Some((Arc::clone(q), state.exceeding?)));
            for (queue, last) in exceeding.collect::<Vec<_>>() {
                let capacity = last.capacity;
                let standing = service.standing(cfg, now, (&queue, capacity));
                let limit = cfg.returns_percent;
                let still_exceeds = standing.is_some_and(|s| s.is_above(s.demand, limit));
                if is_overloaded && still_exceeds {
                    continue;
                }
                if let Some(state) = service.queues.get_mut(&queue) {
                    state.exceeding = None;
                }
                changes.push(Change {
                    service: Arc::clone(name),
                    queue,
                    exceeds: false,
                    standing: standing.unwrap_or(last),
                });
            }
            let is_kept = |q: &Queue| {
                q.exceeding.is_some() || q.usual.per_second(now, cfg.usual_window) >= FORGET_BELOW
            };
            service.queues.retain(|_, q| is_kept(q));
        }
        self.services.retain(|_, s| !s.queues.is_empty());
        changes
    }

    /// Whether a queue exceeds its share.
    pub fn exceeds(&self, service: &str, queue: &str) -> bool {
        let queue = self.services.get(service).and_then(|s| s.queues.get(queue));
        queue.is_some_and(|q| q.exceeding.is_some())
    }

    /// Retry delay of a refused job, if its service is overloaded: the expected wait, and the time in which the
    /// queue's share serves what the queue asked for beyond it in the recent window. Spread over three times that, as
    /// callers that are refused in the same burst would return in another one.
    pub fn retry_after(
        &self,
        cfg: &ContentionConfig,
        now: Instant,
        (service, queue): (&str, &str),
        (wait, id): (Duration, JobId),
    ) -> Option<Duration> {
        let service = self.services.get(service)?;
        if !service.is_overloaded(now) {
            return None;
        }
        let exceeding = service.queues.get(queue).and_then(|q| q.exceeding);
        let excess = exceeding.map_or(0.0, |s| s.excess());
        Some(retry_after(cfg, wait, excess, id))
    }
}

/// Retry delay of a job whose queue has an excess of `excess` times its share.
pub fn retry_after(cfg: &ContentionConfig, wait: Duration, excess: f64, id: JobId) -> Duration {
    let limit = cfg.max_retry_after;
    let excess_time = cfg.recent_window.as_secs_f64() * excess;
    let excess_time = Duration::try_from_secs_f64(excess_time).unwrap_or(limit);
    let base = wait.max(cfg.min_retry_after).saturating_add(excess_time);
    let base = base.min(limit);
    base + base.mul_f64(2.0 * fraction(id))
}

/// Weighted max-min fair shares of a capacity: no queue gets more than its recent demand, what one leaves goes to the
/// others in proportion to their usual demands, and all capacity is given while there is demand. A queue gets at
/// least `min_share`, or an equal part of the capacity with many queues, if it asks for it.
pub fn shares(capacity: f64, min_share: f64, demands: &[Demand]) -> Vec<f64> {
    #[expect(clippy::cast_precision_loss, reason = "a number of queues")]
    let equal_share = capacity / demands.len().max(1) as f64;
    let min_share = min_share.min(equal_share);
    let total: f64 = demands.iter().map(|d| d.recent).sum();
    if total <= capacity {
        return demands.iter().map(|d| d.recent).collect();
    }
    // A queue without a usual demand weighs as much as one that usually has the minimum share.
    let weight = |d: &Demand| d.usual.max(min_share).max(f64::MIN_POSITIVE);
    // The level rises from step to step; each queue joins at the level of the minimum share, and leaves when its
    // demand is met.
    let mut levels: Vec<(f64, f64)> = Vec::with_capacity(demands.len() * 2);
    let mut given = 0.0;
    for demand in demands {
        let weight = weight(demand);
        let least = demand.recent.min(min_share);
        given += least;
        if demand.recent > least {
            levels.push((least / weight, weight));
            levels.push((demand.recent / weight, -weight));
        }
    }
    levels.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut level, mut rate) = (0.0, 0.0);
    for (next, change) in levels {
        let step = rate * (next - level);
        if given + step >= capacity {
            break;
        }
        given += step;
        level = next;
        rate += change;
    }
    if rate > 0.0 {
        level += (capacity - given).max(0.0) / rate;
    }
    let share = |d: &Demand| d.recent.min((weight(d) * level).max(min_share));
    demands.iter().map(share).collect()
}

/// A number from 0 to 1 by the job's id, the same at all schedulers.
#[expect(clippy::cast_precision_loss, reason = "32 bits")]
fn fraction(id: JobId) -> f64 {
    let mixed = (id.0 ^ (id.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed >> 32) as f64 / f64::from(u32::MAX)
}
