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

/// Penalty of a worker outside the rack of the task's data.
const RACK_PENALTY: f64 = 50_000.0;

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

/// The worker with the lowest score for the task, first among those whose clocks were read lately.
pub(super) fn choose(
    cfg: &LeasedConfig,
    workers: &SlotMap<WorkerKey, Worker>,
    request: PlacementRequest<'_>,
) -> Choice {
    let mut best: Option<(f64, WorkerKey)> = None;
    let mut best_stale: Option<(f64, WorkerKey)> = None;
    for (key, worker) in workers {
        let Some(score) = score(cfg, key, worker, request) else {
            continue;
        };
        let best = if worker.has_fresh_clock(request.now, cfg.max_clock_age) {
            &mut best
        } else if worker.poll_state.must_read_clock {
            continue;
        } else {
            &mut best_stale
        };
        if best.is_none_or(|(least, _)| score < least) {
            *best = Some((score, key));
        }
    }
    match (best, best_stale) {
        (Some((_, key)), _) => Choice::Start(key),
        (None, Some((_, key))) => Choice::ReadClock(key),
        (None, None) => Choice::Wait,
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
) -> Option<f64> {
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
    let mut score = (free.cpu_milli - step.size.cpu_milli) as f64;
    score += (expected.as_secs_f64() - nominal.as_secs_f64()) * SLOWNESS_PENALTY_PER_S;
    if is_cold || worker.is_evacuated() {
        score += LAST_RESORT_PENALTY;
    }
    if worker.missed_last_call() {
        score += MISSED_CALL_PENALTY;
    }
    if job.task(position).is_suspect() || worker.runs.iter().any(|r| r.is_suspect) {
        score += running as f64 * SUSPECT_PENALTY;
    }
    if request
        .bulkheads
        .is_misplaced(&job.spec.queue, worker.entry.address)
    {
        score += MISPLACED_PENALTY;
    }
    if *worker.entry.data_centre != *request.data_centre {
        score += REMOTE_PENALTY;
    }
    if step
        .preferred_rack
        .as_ref()
        .is_some_and(|rack| !worker.has_label(rack))
    {
        score += RACK_PENALTY;
    }
    if job.task(position).failed_on == Some(key) {
        score += SLOWNESS_PENALTY_PER_S;
    }
    Some(score)
}

fn is_in_time(request: PlacementRequest<'_>, run: Duration) -> bool {
    request.now + run <= request.job.times.objective
}
