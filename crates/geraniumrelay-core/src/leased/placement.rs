//! Placement: the choice of a worker for a task.
//!
//! Load pattern: tasks that need about half a worker arrive while most workers are partly used. Best
//! fit, the fullest worker with enough room, leaves whole workers for large tasks.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::bulkhead::Bulkheads;
use super::job::{Job, TaskKey};
use super::run_time::RunTimes;
use super::worker::{Worker, WorkerKey};
use crate::configs::leased::LeasedConfig;

/// Penalty of a worker in another data centre, in thousandths of a core left idle: between similar
/// workers the local one is chosen, which saves traffic between data centres.
const REMOTE_PENALTY: f64 = 4_000.0;

/// Penalty per second of expected run time beyond that on a healthy worker.
const SLOWNESS_PENALTY_PER_S: f64 = 1_000_000.0;

/// Penalty of a worker whose last call was not answered, so that other workers are preferred.
const MISSED_CALL_PENALTY: f64 = 200_000.0;

/// Penalty for each run beside a task that may crash its worker: both prefer to run apart.
const SUSPECT_PENALTY: f64 = 150_000.0;

/// Penalty of a worker on the other side of a bulkhead.
const MISPLACED_PENALTY: f64 = 150_000.0;

/// Penalty of a worker that is cold, or whose data centre is evacuated: it is used after all others.
const LAST_RESORT_PENALTY: f64 = 300_000.0;

/// A task to place, and the constraints of its placement.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub(super) job: &'a Job,
    pub(super) task: TaskKey,
    pub(super) now: Instant,
    /// Data centre in which the scheduler runs.
    pub(super) data_centre: &'a str,
    /// Whether paused workers are excluded.
    pub(super) respects_pauses: bool,
    /// Whether slow workers only get tasks that can end in time there.
    pub(super) respects_slowness: bool,
    pub(super) bulkheads: &'a Bulkheads,
    pub(super) run_times: &'a RunTimes,
    /// Whether leases of durable tasks may be renewed, which a start order does.
    pub(super) may_renew_durable: bool,
}

/// The worker that the task can start on, by the age of the reading of its clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Choice {
    /// The task can start now.
    Start(WorkerKey),
    /// The task can start once the clock of this worker has been read.
    ReadClock(WorkerKey),
    /// The task has to wait for room.
    Wait,
}

/// The worker with the lowest score for the task, first among those whose clocks were read lately. For a task with a
/// preferred rack, workers on it go first unless the expected run there is longer, or something speaks against them;
/// also those whose clocks have to be read, which takes less time than a run elsewhere costs.
pub(super) fn choose(
    cfg: &LeasedConfig,
    workers: &SlotMap<WorkerKey, Worker>,
    request: PlacementRequest<'_>,
) -> Choice {
    let (mut fresh, mut stale) = (Best::default(), Best::default());
    for (key, worker) in workers {
        let Some(score) = score(cfg, key, worker, request) else {
            continue;
        };
        let best = if worker.has_fresh_clock(request.now, cfg.max_clock_age) {
            &mut fresh
        } else if worker.poll_state.must_read_clock {
            continue;
        } else {
            &mut stale
        };
        best.add(score, key);
    }
    match (fresh.get(), stale.get()) {
        (Some((fresh, _)), Some((stale, key)))
            if stale.is_near && !fresh.is_near && stale.goes_before_far(&fresh) =>
        {
            Choice::ReadClock(key)
        }
        (Some((_, key)), _) => Choice::Start(key),
        (None, Some((_, key))) => Choice::ReadClock(key),
        (None, None) => Choice::Wait,
    }
}

/// Workers with the lowest scores, near the data of a task and elsewhere.
#[derive(Debug, Default)]
struct Best {
    near: Option<(Score, WorkerKey)>,
    far: Option<(Score, WorkerKey)>,
}

impl Best {
    fn add(&mut self, score: Score, key: WorkerKey) {
        let best = if score.is_near {
            &mut self.near
        } else {
            &mut self.far
        };
        if best.is_none_or(|(least, _)| score.total < least.total) {
            *best = Some((score, key));
        }
    }

    fn get(&self) -> Option<(Score, WorkerKey)> {
        match (self.near, self.far) {
            (Some(near), Some(far)) if !near.0.goes_before_far(&far.0) => Some(far),
            (near, far) => near.or(far),
        }
    }
}

/// Score of a worker for a task; lower is better.
#[derive(Debug, Clone, Copy)]
struct Score {
    total: f64,
    /// Part of `total` for what speaks against the worker, apart from the fit, the run time and the distance.
    reluctance: f64,
    /// Expected run time in seconds.
    run: f64,
    is_near: bool,
}

impl Score {
    /// Whether this worker near the data goes before `far`. The fit does not count: a run elsewhere takes its place for
    /// longer than a better fit of a larger task is worth.
    fn goes_before_far(&self, far: &Self) -> bool {
        self.reluctance <= far.reluctance && self.run <= far.run
    }
}

/// Whether the worker could run the task if no other task ran there.
pub(super) fn could_run(worker: &Worker, job: &Job, position: u32, bulkheads: &Bulkheads) -> bool {
    let step = job.step(position);
    worker.is_listed
        && *worker.entry.service == *job.spec.service
        && bulkheads.may_run(&job.spec.queue, worker.entry.address)
        && worker.entry.capacity.has_room_for(&step.size)
        && step
            .required_label
            .as_ref()
            .is_none_or(|l| worker.has_label(l))
}

#[expect(clippy::cast_precision_loss, reason = "a score")]
fn score(
    cfg: &LeasedConfig,
    key: WorkerKey,
    worker: &Worker,
    request: PlacementRequest<'_>,
) -> Option<Score> {
    let (job, position) = (request.job, request.task.position);
    let step = job.step(position);
    let free = worker.free();
    // A start order renews the leases of all runs on the worker, also of those to be stopped.
    if worker.is_full(request.now)
        || !worker.unclaimed_runs.is_empty()
        || worker.is_closed_by_evacuation(request.now, cfg.evacuation_grace)
        || (!request.may_renew_durable && worker.has_durable_runs())
        || !free.has_room_for(&step.size)
        || !worker.is_usable()
        || !could_run(worker, job, position, request.bulkheads)
    {
        return None;
    }
    // A run that an earlier scheduler had stopped takes room until it has ended.
    if !job.spec.enforces_capacity && !worker.reports_all_runs(request.now, cfg.stop_grace) {
        return None;
    }
    let running = worker.runs.len() + worker.unclaimed_runs.len();
    let is_occupied = job.task(position).needs_own_worker() && running > 0;
    if is_occupied || worker.runs.iter().any(|r| r.needs_own_worker) {
        return None;
    }
    // A cold worker takes several times as long for its first tasks.
    let is_cold = worker.is_cold(request.now);
    if is_cold && running > 0 {
        return None;
    }
    if request.respects_pauses && !worker.health.may_start(request.now, running) {
        return None;
    }
    if job.task(position).failed_on == Some(key) && running > 0 {
        return None;
    }
    if let Some(max) = step.max_per_worker {
        let of_step = |name: &super::TaskName| {
            name.job == job.spec.id && name.step == job.task(position).step
        };
        if worker.runs.iter().filter(|r| of_step(&r.name)).count() >= usize::from(max) {
            return None;
        }
    }
    let nominal = job.expected_run(position);
    let slowness = worker.health.slowness(cfg);
    let expected = nominal.mul_f64(request.run_times.factor(worker, step) * slowness);
    if request.respects_slowness && slowness > 1.0 && !is_in_time(request, expected) {
        return None;
    }
    let fit = (free.cpu_milli - step.size.cpu_milli) as f64;
    let run = expected.as_secs_f64();
    let slowness_score = (run - nominal.as_secs_f64()) * SLOWNESS_PENALTY_PER_S;
    let mut reluctance = 0.0;
    if is_cold || worker.is_evacuated() {
        reluctance += LAST_RESORT_PENALTY;
    }
    if worker.missed_last_call() {
        reluctance += MISSED_CALL_PENALTY;
    }
    if job.task(position).is_suspect() || worker.runs.iter().any(|r| r.is_suspect) {
        reluctance += running as f64 * SUSPECT_PENALTY;
    }
    if request
        .bulkheads
        .is_misplaced(&job.spec.queue, worker.entry.address)
    {
        reluctance += MISPLACED_PENALTY;
    }
    let distance = if *worker.entry.data_centre == *request.data_centre {
        0.0
    } else {
        REMOTE_PENALTY
    };
    if job.task(position).failed_on == Some(key) {
        reluctance += SLOWNESS_PENALTY_PER_S;
    }
    Some(Score {
        total: fit + slowness_score + distance + reluctance,
        reluctance,
        run,
        is_near: step.is_near(worker),
    })
}

fn is_in_time(request: PlacementRequest<'_>, run: Duration) -> bool {
    request.now + run <= request.job.times.objective
}
