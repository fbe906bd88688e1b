//! Placement: the choice of a worker for a task.
//!
//! Load pattern: tasks that need about half a worker arrive while most workers are partly used. Best
//! fit, the fullest worker with enough room, leaves whole workers for large tasks.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::bulkhead::Bulkheads;
use super::job::{Job, TaskKey};
use super::run_time::RunTimes;
use super::worker::{Run, Worker, WorkerKey};
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

/// Multiple of the expected run time that must fit before the objective where a slow worker is preferred: run
/// times of a job and callers' estimates are off by some tens of percent.
const SLACK_FACTOR: f64 = 1.3;

/// Least remaining share of the expected run time of a run, as the end of an overdue run is unknown.
const MIN_REMAINING_SHARE: f64 = 0.25;

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
    /// How the speeds of the workers are weighed; `None` while no worker differs from the others.
    pub(super) speeds: Option<SpeedRequest>,
}

/// How speeds of workers are weighed in a choice.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpeedRequest {
    /// Whether fast workers are kept for the tasks that need them, as few workers are free.
    pub(super) is_near_full: bool,
    /// Number of tasks ahead that wait for room, and of the job's tasks that can start.
    pub(super) waiting: usize,
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
    let mut in_time = Candidates::default();
    let mut late = Candidates::default();
    let mut freed_in_time = 0;
    for (key, worker) in workers {
        let Some(score) = score(cfg, key, worker, request) else {
            let is_freed_in_time =
                request.speeds.is_some() && is_freed_in_time(cfg, worker, request);
            freed_in_time += usize::from(is_freed_in_time);
            continue;
        };
        let is_fresh = worker.has_fresh_clock(request.now, cfg.max_clock_age);
        if !is_fresh && worker.poll_state.must_read_clock {
            continue;
        }
        let is_late =
            request.speeds.is_some() && !is_in_time(request, expected_run(cfg, worker, request));
        let candidates = if is_late { &mut late } else { &mut in_time };
        candidates.add(score, key, is_fresh);
    }
    match (in_time.choice(), late.choice(), request.speeds) {
        (Choice::Wait, Choice::Start(_) | Choice::ReadClock(_), Some(speeds))
            if freed_in_time >= speeds.waiting =>
        {
            Choice::Wait
        }
        (Choice::Wait, late, _) => late,
        (in_time, _, _) => in_time,
    }
}

/// The workers with the lowest scores, by the age of the readings of their clocks.
#[derive(Debug, Default)]
struct Candidates {
    fresh: Best,
    stale: Best,
}

impl Candidates {
    fn add(&mut self, score: Score, key: WorkerKey, is_fresh: bool) {
        let best = if is_fresh {
            &mut self.fresh
        } else {
            &mut self.stale
        };
        best.add(score, key);
    }

    fn choice(&self) -> Choice {
        match (self.fresh.get(), self.stale.get()) {
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

/// Whether a worker without room for the task now will have it early enough for the objective, by the expected
/// ends of its runs.
fn is_freed_in_time(cfg: &LeasedConfig, worker: &Worker, request: PlacementRequest<'_>) -> bool {
    let step = request.job.step(request.task.position);
    let is_open = worker.is_usable()
        && !worker.is_closed_by_evacuation(request.now, cfg.evacuation_grace)
        && !worker.health.is_paused(request.now)
        && could_run(
            worker,
            request.job,
            request.task.position,
            request.bulkheads,
        );
    if !is_open || worker.free().has_room_for(&step.size) {
        return false;
    }
    let remaining = |run: &Run| {
        let took = request.now.saturating_duration_since(run.sent);
        let least = run.expected.mul_f64(MIN_REMAINING_SHARE);
        run.expected.saturating_sub(took).max(least)
    };
    let cpu_after = |run: &Run| worker.free().cpu_milli + run.size.cpu_milli;
    let suffices = |run: &&Run| cpu_after(run) >= step.size.cpu_milli;
    let first = worker.runs.iter().filter(suffices).map(remaining).min();
    let last = || worker.runs.iter().map(remaining).max();
    let wait = first.or_else(last);
    wait.is_some_and(|wait| is_in_time(request, wait + expected_run(cfg, worker, request)))
}

/// Expected run time of the task on a worker.
fn expected_run(cfg: &LeasedConfig, worker: &Worker, request: PlacementRequest<'_>) -> Duration {
    let position = request.task.position;
    let step = request.job.step(position);
    let factor = request.run_times.factor(worker, step) * worker.health.slowness(cfg);
    request.job.expected_run(position).mul_f64(factor)
}

/// Whether the worker could run the task if no other task ran there, on this side of the bulkheads.
pub(super) fn could_run(worker: &Worker, job: &Job, position: u32, bulkheads: &Bulkheads) -> bool {
    bulkheads.may_run(&job.spec.queue, worker.entry.address) && is_suitable(worker, job, position)
}

/// Whether the worker is listed, and of the service, size and label that the task needs.
pub(super) fn is_suitable(worker: &Worker, job: &Job, position: u32) -> bool {
    let step = job.step(position);
    worker.is_listed
        && *worker.entry.service == *job.spec.service
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
        || is_lease_unsuitable(cfg, worker, request)
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
    let expected = expected_run(cfg, worker, request);
    if request.respects_slowness && slowness > 1.0 && !is_in_time(request, expected) {
        return None;
    }
    let fit = (free.cpu_milli - step.size.cpu_milli) as f64;
    let run = expected.as_secs_f64();
    let excess = run - nominal.as_secs_f64();
    let is_slow_preferred = request.speeds.is_some_and(|s| s.is_near_full)
        && slowness <= 1.0
        && is_in_time(request, expected.mul_f64(SLACK_FACTOR));
    let slowness_score = if is_slow_preferred {
        -excess * SLOWNESS_PENALTY_PER_S
    } else {
        excess * SLOWNESS_PENALTY_PER_S
    };
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

/// Whether the task must not start on the worker because of its lease: it has to end soon, as a run whose caller has left
/// may be at work there, or it has been given for longer than the task may run.
fn is_lease_unsuitable(cfg: &LeasedConfig, worker: &Worker, request: PlacementRequest<'_>) -> bool {
    let limit = worker.lease_limit();
    let is_short = limit.is_some_and(|limit| limit < request.now + cfg.min_lease);
    let limit = request.job.may_run_until(cfg.confirmation_ttl);
    let is_long = limit.is_some_and(|limit| !worker.is_lease_over_by(limit + cfg.lease_excess));
    is_short || is_long
}

fn is_in_time(request: PlacementRequest<'_>, run: Duration) -> bool {
    request.now + run <= request.job.times.objective
}
