//! Waits of ready tasks for places near their data; the decision is in [`locality`](crate::leased::locality).

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::configs::locality::NearWaitPolicy;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::job::{Job, JobKey, NearWait, TaskKey};
use crate::leased::locality::{self, Decision, Inputs, NearPlaces, NearWorker};
use crate::leased::log_event::LogEvent;
use crate::leased::placement;
use crate::leased::spec::JobSpec;
use crate::leased::worker::{RunState, Worker, WorkerKey};

/// Multiple of the usual time from which a reading of a worker's clock is overdue, and the worker may be silent.
const MAX_CLOCK_READS: u32 = 5;

/// What one placement pass knows of the racks that its tasks prefer. Read at the first decision about a rack, so that
/// passes without such decisions cost nothing.
#[derive(Debug, Default)]
pub(super) struct NearPass {
    racks: BTreeMap<Arc<str>, NearPlaces>,
    /// Whether the waiting tasks need all free places; `None` until it is needed.
    is_contended: Option<bool>,
    /// Whether paused workers are excluded.
    respects_pauses: bool,
}

impl NearPass {
    pub(super) fn new(respects_pauses: bool) -> Self {
        Self {
            respects_pauses,
            ..Self::default()
        }
    }

    /// Notes a start, which takes a place on the racks of the worker.
    pub(super) fn started(&mut self, scheduler: &Scheduler, worker: WorkerKey) {
        if self.racks.is_empty() {
            return;
        }
        if let Some(run) = scheduler.workers[worker].runs.last() {
            let until = run.sent + run.expected;
            for places in self.racks.values_mut() {
                places.start(worker, run.size, until);
            }
        }
    }
}

impl Scheduler {
    /// Whether a task that could start on `worker` waits for a place near its data instead.
    pub(super) fn waits_for_near(
        &mut self,
        cx: &Context<'_>,
        task: TaskKey,
        worker: WorkerKey,
        pass: &mut NearPass,
        out: &mut Vec<Effect>,
    ) -> bool {
        let cfg = &cx.cfg.leased.locality;
        let job = &self.jobs[task.job];
        let step = job.step(task.position);
        let Some(rack) = step.preferred_rack.clone() else {
            return false;
        };
        // A limit for each worker or a task that may crash workers makes the places near the data hard to foresee.
        if cfg.remote_factor <= 1.0
            || cfg.policy == NearWaitPolicy::NoWait
            || step.is_near(&self.workers[worker])
            || step.max_per_worker.is_some()
            || job.task(task.position).is_suspect()
        {
            return false;
        }
        let size = step.size;
        let is_contended = *pass
            .is_contended
            .get_or_insert_with(|| self.is_far_contended(cx));
        let respects_pauses = pass.respects_pauses;
        let places = pass.racks.entry(Arc::clone(&rack));
        let places = places.or_insert_with(|| self.near_places(cx, &rack, respects_pauses));
        let place = self.first_near_place(cx, task, places);
        let inputs = self.near_inputs(cx, task, place.map(|(_, at)| at), is_contended);
        let inputs = Inputs {
            ahead: places.reserved(),
            ..inputs
        };
        match locality::decide(cfg, &inputs) {
            Decision::StartFar => false,
            Decision::Wait(until) => {
                if let Some((near, at)) = place {
                    places.reserve(near, size, at + inputs.run_near);
                }
                self.note_near_wait(cx, task.job, (rack, inputs, until), out);
                true
            }
        }
    }

    /// Expected wait of a new job for places near its data, if runs elsewhere would miss its objective; zero if they
    /// would not, or if no worker near the data is known. `None` if no near place is expected.
    pub(super) fn near_wait_on_arrival(&self, cx: &Context<'_>, key: JobKey) -> Option<Duration> {
        let job = &self.jobs[key];
        let preferring = job.ready.iter().copied();
        let preferring = preferring.filter(|&p| job.step(p).preferred_rack.is_some());
        if cx.cfg.leased.locality.remote_factor <= 1.0 {
            return Some(Duration::ZERO);
        }
        let mut racks: BTreeMap<Arc<str>, NearPlaces> = BTreeMap::new();
        let mut longest = Duration::ZERO;
        for position in preferring {
            let task = TaskKey { job: key, position };
            let inputs = self.near_inputs(cx, task, None, false);
            let step = job.step(position);
            let Some(rack) = &step.preferred_rack else {
                continue;
            };
            let knows_near = || {
                let could_run = |w| placement::could_run(w, job, position, &self.bulkheads);
                let mut workers = self.workers.values();
                workers.any(|w| w.has_label(rack) && could_run(w))
            };
            if cx.now + inputs.run_far <= inputs.latest_end || !knows_near() {
                continue;
            }
            let places = racks.entry(Arc::clone(rack)).or_insert_with(|| {
                let mut places = self.near_places(cx, rack, true);
                self.reserve_ahead(cx, key, rack, &mut places);
                places
            });
            let (worker, at) = self.first_near_place(cx, task, places)?;
            places.reserve(worker, step.size, at + inputs.run_near);
            let clock_read = cx.cfg.leased.locality.clock_read_time;
            let wait = at.saturating_duration_since(cx.now);
            longest = longest.max(wait.saturating_sub(clock_read));
        }
        Some(longest)
    }

    /// Reserves places for the tasks that wait for the same rack and go before a job.
    fn reserve_ahead(&self, cx: &Context<'_>, key: JobKey, rack: &str, places: &mut NearPlaces) {
        for &(_, other) in self.waiting.range(..(self.jobs[key].rank, key)) {
            let job = &self.jobs[other];
            for &position in &job.ready {
                let step = job.step(position);
                if step.preferred_rack.as_deref() != Some(rack) {
                    continue;
                }
                let task = TaskKey {
                    job: other,
                    position,
                };
                if let Some((worker, at)) = self.first_near_place(cx, task, places) {
                    places.reserve(worker, step.size, at + job.expected_run(position));
                }
            }
        }
    }

    fn first_near_place(
        &self,
        cx: &Context<'_>,
        task: TaskKey,
        places: &NearPlaces,
    ) -> Option<(WorkerKey, Instant)> {
        let job = &self.jobs[task.job];
        let may_use = |key| {
            let worker = &self.workers[key];
            let may_renew = !worker.has_durable_runs() || self.is_epoch_confirmed(cx);
            may_renew && placement::could_run(worker, job, task.position, &self.bulkheads)
        };
        places.first(cx.now, &job.step(task.position).size, may_use)
    }

    fn near_inputs(
        &self,
        cx: &Context<'_>,
        task: TaskKey,
        near_at: Option<Instant>,
        is_contended: bool,
    ) -> Inputs {
        let job = &self.jobs[task.job];
        let run_near = job.expected_run(task.position);
        let step = job.task(task.position).step;
        let rest = time_after_step(&job.spec, &job.expected, usize::from(step));
        let objective = job.times.objective;
        Inputs {
            now: cx.now,
            arrived: job.times.arrived,
            near_at,
            ahead: 0,
            run_near,
            run_far: run_near.mul_f64(cx.cfg.leased.locality.remote_factor),
            latest_end: objective.checked_sub(rest).unwrap_or(cx.now),
            deadline: job.times.deadline.checked_sub(rest).unwrap_or(cx.now),
            is_contended,
        }
    }

    /// Expected free places on the workers of a rack. Workers that are silent, cold, slow, paused or about to leave count
    /// for nothing, as nobody knows when they will have run a task.
    fn near_places(&self, cx: &Context<'_>, rack: &str, respects_pauses: bool) -> NearPlaces {
        let cfg = &cx.cfg.leased;
        let is_clock_overdue = |w: &Worker| {
            let sent = w.poll_state.in_flight_since;
            let age = sent.map(|at| cx.now.saturating_duration_since(at));
            w.poll_state.must_read_clock
                && age.is_some_and(|age| age > cfg.locality.clock_read_time * MAX_CLOCK_READS)
        };
        let is_open = |w: &Worker| {
            let is_paused = respects_pauses && !w.health.may_start(cx.now, w.runs.len());
            w.has_label(rack)
                && w.is_usable()
                && !w.missed_last_call()
                && !w.is_evacuated()
                && !w.is_cold(cx.now)
                && !is_paused
                && w.health.slowness(cfg) <= 1.0
                && w.unclaimed_runs.is_empty()
                && !w.runs.iter().any(|r| r.needs_own_worker)
                && !is_clock_overdue(w)
        };
        let workers = self.workers.iter().filter(|(_, w)| is_open(w));
        let workers = workers.map(|(key, w)| {
            let releases = w.runs.iter().map(|r| {
                let wait = if r.state == RunState::Stopping {
                    cfg.stop_grace
                } else {
                    // The remaining time of an overdue run is unknown; it counts with the time so far.
                    let took = cx.now.saturating_duration_since(r.sent);
                    r.expected.checked_sub(took).unwrap_or(took)
                };
                (cx.now + wait, r.size)
            });
            let mut releases: Vec<_> = releases.collect();
            releases.sort_by_key(|&(at, _)| at);
            let is_fresh = w.has_fresh_clock(cx.now, cfg.max_clock_age);
            let clock_read_at = cx.now + cfg.locality.clock_read_time;
            let opens_at = w.full_until.filter(|_| w.is_full(cx.now));
            let opens_at = opens_at.max((!is_fresh).then_some(clock_read_at));
            NearWorker {
                key,
                opens_at: opens_at.unwrap_or(cx.now),
                free: w.free(),
                releases,
            }
        });
        NearPlaces::new(workers.collect())
    }

    /// Whether the waiting tasks need all processor that is free.
    fn is_far_contended(&self, cx: &Context<'_>) -> bool {
        let usable = self.workers.values().filter(|w| w.is_usable());
        let free: u64 = usable.map(|w| w.free().cpu_milli).sum();
        let waiting = self.waiting.iter();
        let needed = waiting.map(|&(_, key)| self.jobs[key].ready_cpu(cx.now));
        needed.sum::<u64>() >= free
    }

    /// Logs the first wait of a job.
    fn note_near_wait(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        (rack, inputs, until): (Arc<str>, Inputs, Instant),
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        if job.near_wait.is_some() {
            return;
        }
        job.near_wait = Some(NearWait {
            since: cx.now,
            is_over: false,
        });
        out.push(Effect::LogEvent(LogEvent::NearWaitBegun {
            id: job.spec.id,
            rack,
            inputs,
            until,
        }));
    }

    /// Logs that no task of a job waits for a near place any more.
    pub(super) fn end_near_wait(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        (near, far): (usize, usize),
        out: &mut Vec<Effect>,
    ) {
        let job = &mut self.jobs[key];
        if let Some(wait) = job.near_wait.as_mut().filter(|w| !w.is_over) {
            wait.is_over = true;
            out.push(near_wait_ended(cx, job, (near, far)));
        }
    }
}

/// Log event for the end of a job's wait, with the tasks that started as it ended.
pub(super) fn near_wait_ended(cx: &Context<'_>, job: &Job, (near, far): (usize, usize)) -> Effect {
    let since = job.near_wait.map_or(cx.now, |w| w.since);
    Effect::LogEvent(LogEvent::NearWaitEnded {
        id: job.spec.id,
        waited: cx.now.saturating_duration_since(since),
        near,
        far,
        slack: job.times.objective.saturating_duration_since(cx.now),
    })
}

/// Expected run time, near the data, of the longest chain of steps that follow a step.
fn time_after_step(spec: &JobSpec, expected: &[Duration], step: usize) -> Duration {
    if spec.steps.len() == 1 {
        return Duration::ZERO;
    }
    // Steps only follow earlier ones.
    let mut rest = vec![None; spec.steps.len()];
    rest[step] = Some(Duration::ZERO);
    for later in step + 1..spec.steps.len() {
        let before = spec.steps[later].after.iter();
        let before = before.filter_map(|&s| *rest.get(usize::from(s))?);
        rest[later] = before.max().map(|time| time + expected[later]);
    }
    rest.into_iter().flatten().max().unwrap_or_default()
}
