//! Data locality: whether a task starts away from its data now, or waits for a place near it.
//!
//! Load pattern: many jobs prefer the same rack, and on any other one their tasks take 1.5 to 3 times as long. Without
//! a wait, the tasks that find the rack full for some milliseconds take the longer run time, often miss their
//! objective by it, and use capacity of other racks that their jobs did not need. With a fixed wait, tasks wait also
//! where the rack stays full.

use std::time::{Duration, Instant};

use super::spec::Resources;
use super::worker::WorkerKey;
use crate::configs::locality::{LocalityConfig, NearWaitPolicy};

/// Multiple of the time that a run near the data saves up to which a task waits while other tasks wait for the places
/// elsewhere: a run there would keep such a place from them for the saved time as well.
const CONTENDED_GAIN: u32 = 2;

/// Part of the time until the latest start elsewhere in which the near place must be expected while other tasks wait for
/// the places elsewhere: after a longer wait, none of these may be free.
const CONTENDED_SHARE: u32 = 2;

/// What the decision for one task depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Inputs {
    /// Time of the decision.
    pub now: Instant,
    /// Arrival of the job.
    pub arrived: Instant,
    /// When a near place is expected to be free for the task, after the tasks ahead; `None` if none is expected.
    pub near_at: Option<Instant>,
    /// Number of tasks that wait for the same rack and go first.
    pub ahead: usize,
    /// Expected run time near the data.
    pub run_near: Duration,
    /// Expected run time elsewhere.
    pub run_far: Duration,
    /// Latest end of the task with which its job meets its objective.
    pub latest_end: Instant,
    /// Latest end of the task with which the caller still waits for the job.
    pub deadline: Instant,
    /// Whether the waiting tasks need all places that are free elsewhere.
    pub is_contended: bool,
}

/// Decision for one task, until the next placement pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Start away from the data.
    StartFar,
    /// Wait for a near place, at most until this time.
    Wait(Instant),
}

/// Decides whether a task for which a place is free elsewhere, and none near its data, starts there.
pub fn decide(cfg: &LocalityConfig, inputs: &Inputs) -> Decision {
    let latest_far_start = latest_far_start(cfg, inputs);
    match cfg.policy {
        NearWaitPolicy::NoWait => Decision::StartFar,
        NearWaitPolicy::FixedWait(wait) => {
            let until = inputs.arrived + wait;
            if inputs.now < until {
                Decision::Wait(until)
            } else {
                Decision::StartFar
            }
        }
        NearWaitPolicy::ExpectedTime => {
            let Some(near_at) = inputs.near_at else {
                return Decision::StartFar;
            };
            match latest_far_start {
                Some(until) => wait_within_slack(inputs, near_at, until),
                None => wait_without_far_slack(inputs, near_at),
            }
        }
    }
}

/// Latest start elsewhere that meets the objective, less the margin; `None` if no start there meets it any more.
fn latest_far_start(cfg: &LocalityConfig, inputs: &Inputs) -> Option<Instant> {
    let is_met_far = inputs.now + inputs.run_far <= inputs.latest_end;
    let until = inputs
        .latest_end
        .checked_sub(inputs.run_far + cfg.start_margin);
    is_met_far.then(|| until.unwrap_or(inputs.now))
}

/// A run elsewhere meets the objective if it starts by `until`.
fn wait_within_slack(inputs: &Inputs, near_at: Instant, until: Instant) -> Decision {
    let saved = inputs.run_far.saturating_sub(inputs.run_near);
    let mut latest_near = until;
    let mut gain = saved;
    if inputs.is_contended {
        gain *= CONTENDED_GAIN;
        let slack = until.saturating_duration_since(inputs.now);
        latest_near = inputs.now + slack / CONTENDED_SHARE;
    }
    if until > inputs.now && near_at <= latest_near.min(inputs.now + gain) {
        Decision::Wait(until)
    } else {
        Decision::StartFar
    }
}

/// A run elsewhere misses the objective. The task waits while a near run can still meet it, also if its place is expected
/// later, as expected releases are rough; then for the earlier end. A run that ends after the caller has left is never
/// begun.
fn wait_without_far_slack(inputs: &Inputs, near_at: Instant) -> Decision {
    let latest_near_start = inputs.latest_end.checked_sub(inputs.run_near);
    if let Some(until) = latest_near_start.filter(|&until| inputs.now < until) {
        return Decision::Wait(until);
    }
    let far_end = inputs.now + inputs.run_far;
    if near_at + inputs.run_near < far_end || far_end > inputs.deadline {
        Decision::Wait(inputs.deadline)
    } else {
        Decision::StartFar
    }
}

/// Expected free places on one worker near the data.
#[derive(Debug, Clone)]
pub struct NearWorker {
    /// Key of the worker.
    pub key: WorkerKey,
    /// Time before which nothing starts there.
    pub opens_at: Instant,
    /// Resources that are free now.
    pub free: Resources,
    /// Resources that running tasks release, and when; in order of time.
    pub releases: Vec<(Instant, Resources)>,
}

impl NearWorker {
    /// When a task of `size` is expected to fit; `None` if never.
    fn fits_at(&self, now: Instant, size: &Resources) -> Option<Instant> {
        let from = self.opens_at.max(now);
        let mut free = self.free;
        if free.has_room_for(size) {
            return Some(from);
        }
        for &(at, released) in &self.releases {
            free += released;
            if free.has_room_for(size) {
                return Some(from.max(at));
            }
        }
        None
    }

    /// Takes `size` out of what is free first, and releases it at `until`.
    fn take(&mut self, mut size: Resources, until: Instant) {
        let whole = size;
        let releases = self.releases.iter_mut().map(|(_, released)| released);
        for part in std::iter::once(&mut self.free).chain(releases) {
            let rest = size.without(part);
            *part = part.without(&size);
            size = rest;
        }
        let position = self.releases.partition_point(|&(at, _)| at <= until);
        self.releases.insert(position, (until, whole));
    }
}

/// Expected free places on one rack during a placement pass.
#[derive(Debug, Clone, Default)]
pub struct NearPlaces {
    workers: Vec<NearWorker>,
    reserved: usize,
}

impl NearPlaces {
    /// Places on these workers.
    pub fn new(workers: Vec<NearWorker>) -> Self {
        Self {
            workers,
            reserved: 0,
        }
    }

    /// Number of tasks for which places are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved
    }

    /// The first place for a task of `size` on a worker that `may_use` accepts, and when it is free.
    pub fn first(
        &self,
        now: Instant,
        size: &Resources,
        may_use: impl Fn(WorkerKey) -> bool,
    ) -> Option<(WorkerKey, Instant)> {
        let usable = self.workers.iter().filter(|w| may_use(w.key));
        let places = usable.filter_map(|w| Some((w.key, w.fits_at(now, size)?)));
        places.min_by_key(|&(_, at)| at)
    }

    /// Reserves a place that [`Self::first`] has found for a task that waits, until the end of its run.
    pub fn reserve(&mut self, worker: WorkerKey, size: Resources, until: Instant) {
        self.reserved += 1;
        self.start(worker, size, until);
    }

    /// Notes that a task has started on a worker, if the worker is on this rack.
    pub fn start(&mut self, worker: WorkerKey, size: Resources, until: Instant) {
        if let Some(worker) = self.workers.iter_mut().find(|w| w.key == worker) {
            worker.take(size, until);
        }
    }
}
