//! Choice of a worker for a task.
//!
//! Load pattern: tasks of about half a worker come while most workers are partly used. The fullest
//! worker that still has room leaves whole workers for large tasks.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::job::{Job, TaskKey};
use super::worker::{Worker, WorkerKey};
use crate::configs::leased::LeasedConfig;

/// Score of processor left idle on another data centre's worker, in thousandths of a core: a tie is
/// decided for the own data centre, which saves traffic between data centres.
const REMOTE_PENALTY: f64 = 4_000.0;

/// Score of a second of expected run time beyond that on a sound worker.
const SLOWNESS_PENALTY_PER_S: f64 = 1_000_000.0;

/// Score of a worker whose last call was not answered: others go first.
const DOUBT_PENALTY: f64 = 200_000.0;

/// Score of running away from the task's data.
const RACK_PENALTY: f64 = 50_000.0;

/// What a choice looks at.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlacementRequest<'a> {
    pub(super) job: &'a Job,
    pub(super) task: TaskKey,
    pub(super) now: Instant,
    /// Data centre of the scheduler.
    pub(super) data_centre: &'a str,
    /// Whether workers that were set aside are left out.
    pub(super) respects_pauses: bool,
    /// Whether slow workers only get what they can end in time.
    pub(super) respects_slowness: bool,
    /// Whether leases of kept tasks may be renewed, as a start does.
    pub(super) may_renew_durable: bool,
}

/// The best worker for a task; `None` where it has to wait.
pub(super) fn choose(
    cfg: &LeasedConfig,
    workers: &SlotMap<WorkerKey, Worker>,
    wish: PlacementRequest<'_>,
) -> Option<WorkerKey> {
    let mut best: Option<(f64, WorkerKey)> = None;
    for (key, worker) in workers {
        let Some(score) = score(cfg, key, worker, wish) else {
            continue;
        };
        if best.is_none_or(|(least, _)| score < least) {
            best = Some((score, key));
        }
    }
    best.map(|(_, key)| key)
}

/// Whether a worker could run the task if it were empty.
pub(super) fn could_run(worker: &Worker, job: &Job, position: u32) -> bool {
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
    wish: PlacementRequest<'_>,
) -> Option<f64> {
    let (job, position) = (wish.job, wish.task.position);
    let step = job.step(position);
    let free = worker.free();
    // A start renews the leases of all that runs there, also of what is to be stopped.
    if worker.is_full(wish.now)
        || !worker.unclaimed_runs.is_empty()
        || (!wish.may_renew_durable && worker.has_durable_runs())
        || !free.has_room_for(&step.size)
        || !worker.is_usable()
        || !could_run(worker, job, position)
    {
        return None;
    }
    let running = worker.runs.len() + worker.unclaimed_runs.len();
    if wish.respects_pauses && !worker.health.may_start(wish.now, running) {
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
    let expected = job.expected_run(position);
    let slowness = worker.health.slowness(cfg);
    let longer = expected.mul_f64(slowness - 1.0);
    if wish.respects_slowness && slowness > 1.0 && !is_in_time(wish, expected + longer) {
        return None;
    }
    let mut score = (free.cpu_milli - step.size.cpu_milli) as f64;
    score += longer.as_secs_f64() * SLOWNESS_PENALTY_PER_S;
    if worker.missed_last_call() {
        score += DOUBT_PENALTY;
    }
    if *worker.entry.data_centre != *wish.data_centre {
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

fn is_in_time(wish: PlacementRequest<'_>, run: Duration) -> bool {
    wish.now + run <= wish.job.times.objective
}
