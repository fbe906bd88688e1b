//! Places waiting tasks on workers.

use super::Scheduler;
use super::confirmations::limited_lease;
use super::earlier_runs::{ReportedRuns, StartGate, StartPermit};
use super::locality::NearPass;
use crate::context::Context;
use crate::leased::effect::{Effect, StartCall};
use crate::leased::job::{EarlierRuns, JobKey, LackOfWorker, Rank, TaskKey};
use crate::leased::log_event::{LogEvent, NoRunsEvidence};
use crate::leased::placement::{self, Choice, PlacementRequest, SpeedRequest};
use crate::leased::record::RecordState;
use crate::leased::unanswered_stop::UnansweredStop;
use crate::leased::worker::{Run, RunState, Worker, WorkerKey};

/// What all decisions of a placement pass share.
#[derive(Debug)]
struct PlacementPass {
    /// Whether paused workers are excluded.
    respects_pauses: bool,
    /// Whether slow workers only get tasks that can end in time there.
    respects_slowness: bool,
    reported_runs: ReportedRuns,
    /// Whether tasks of durable jobs may start.
    is_epoch_confirmed: bool,
    /// How the speeds of the workers are weighed; `None` while no worker differs from the others.
    speeds: Option<SpeedRequest>,
    near: NearPass,
}

impl Scheduler {
    /// Starts the tasks that fit, in order of job rank, until `scan_limit` jobs did not fit. At a tick the jobs behind
    /// these get their turn, as many again: the next tick goes on where this one has ended. Load pattern: many jobs wait
    /// for the same few workers, and jobs that other workers could run are behind them.
    pub(super) fn place_waiting(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let mut pass = self.placement_pass(cx);
        let left_out = self.place_from(cx, None, &mut pass, out);
        if std::mem::take(&mut self.resumes_scan) {
            let resumed =
                left_out.map(|first| self.scan_resumes_at.map_or(first, |at| at.max(first)));
            self.scan_resumes_at =
                resumed.and_then(|from| self.place_from(cx, Some(from), &mut pass, out));
        }
    }

    fn placement_pass(&self, cx: &Context<'_>) -> PlacementPass {
        let respects_pauses = self.are_pauses_respected(cx);
        let has_speeds = self.run_times.speeds.has_differences();
        PlacementPass {
            respects_pauses,
            respects_slowness: self.is_slowness_respected(cx),
            reported_runs: self.reported_runs(cx),
            is_epoch_confirmed: self.is_epoch_confirmed(cx),
            speeds: has_speeds.then(|| SpeedRequest {
                is_near_full: self.is_near_full(cx),
                waiting: 0,
            }),
            near: NearPass::new(respects_pauses),
        }
    }

    /// Places the waiting jobs from one on, or from the first one, until `scan_limit` jobs did not fit; returns the first
    /// job that was left out. A job that an earlier scheduler may have started waits while runs of the job may be
    /// unreported.
    fn place_from(
        &mut self,
        cx: &Context<'_>,
        from: Option<(Rank, JobKey)>,
        pass: &mut PlacementPass,
        out: &mut Vec<Effect>,
    ) -> Option<(Rank, JobKey)> {
        let mut unplaced_jobs = 0;
        let order: Vec<_> = match from {
            Some(from) => self.waiting.range(from..).copied().collect(),
            None => self.waiting.iter().copied().collect(),
        };
        for (rank, key) in order {
            if unplaced_jobs >= cx.cfg.leased.scan_limit {
                return Some((rank, key));
            }
            let earlier_runs = self.jobs[key].earlier_runs;
            if let Some(EarlierRuns { until, .. }) = earlier_runs {
                let evidence = if self.are_earlier_runs_reported(key, pass.reported_runs) {
                    NoRunsEvidence::Reports
                } else {
                    // An entry VM that has passed the job on to a later scheduler, which may have adopted a run and
                    // renewed its lease, gives no signs here any more.
                    let last_sign = self.jobs[key].last_sign();
                    if cx.now < until || last_sign.is_some_and(|at| at < until) {
                        continue;
                    }
                    self.suspect_earlier_runs(cx, key, out);
                    if !self.jobs.contains_key(key) {
                        continue;
                    }
                    NoRunsEvidence::Bound
                };
                self.log_exclusion(cx, key, evidence, out);
            }
            if let Some(record_sync) = &self.jobs[key].record_sync {
                let is_open = record_sync.state == RecordState::Open && !record_sync.blocks_starts;
                if !is_open || !pass.is_epoch_confirmed || !self.knows_records {
                    continue;
                }
                if earlier_runs.is_some() {
                    self.invalidate_earlier_runs(cx, key, out);
                    continue;
                }
            }
            if self.jobs[key].is_sign_outdated(cx.now, cx.cfg.leased.start_ttl) {
                continue;
            }
            if !self.place_job(cx, key, pass, out) {
                unplaced_jobs += 1;
                if let Some(speeds) = &mut pass.speeds {
                    speeds.waiting += self.jobs[key].ready.len();
                }
            }
            if self.jobs[key].ready.is_empty() {
                self.waiting.remove(&(rank, key));
            }
        }
        None
    }

    /// Starts ready tasks of one job; `false` if one has to wait for room. A task that waits for a place near its data
    /// does not count, as it leaves free places to others, nor does one that no worker could run. A step without a place
    /// does not keep the job's other steps from starting.
    fn place_job(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        pass: &mut PlacementPass,
        out: &mut Vec<Effect>,
    ) -> bool {
        let mut starts = Vec::new();
        let mut is_placed = true;
        let mut clock_reads = 0;
        let mut next = 0;
        let (mut near, mut far) = (0, 0);
        let mut waits_near = false;
        let mut full_steps: Vec<u16> = Vec::new();
        while let Some(&position) = self.jobs[key].ready.get(next) {
            let step = self.jobs[key].task(position).step;
            if !self.jobs[key].may_start(position, cx.now)
                || full_steps.contains(&step)
                || self.jobs[key].lacks_worker(step, self.workers_version)
            {
                next += 1;
                continue;
            }
            let task = TaskKey { job: key, position };
            let request = PlacementRequest {
                job: &self.jobs[key],
                task,
                now: cx.now,
                data_centre: &self.data_centre,
                respects_pauses: pass.respects_pauses,
                respects_slowness: pass.respects_slowness,
                bulkheads: &self.bulkheads,
                run_times: &self.run_times,
                may_renew_durable: pass.is_epoch_confirmed,
                speeds: pass.speeds.map(|s| SpeedRequest {
                    waiting: s.waiting + self.jobs[key].ready.len(),
                    ..s
                }),
            };
            let choice = placement::choose(&cx.cfg.leased, &self.workers, request);
            if let Choice::Start(worker) | Choice::ReadClock(worker) = choice
                && self.waits_for_near(cx, task, worker, &mut pass.near, out)
            {
                waits_near = true;
                next += 1;
                continue;
            }
            let worker = match choice {
                Choice::Start(worker) => worker,
                Choice::ReadClock(worker) if clock_reads < self.jobs[key].ready.len() => {
                    clock_reads += 1;
                    self.workers[worker].poll_state.must_read_clock = true;
                    self.schedule_poll(cx, worker, out);
                    continue;
                }
                Choice::ReadClock(_) | Choice::Wait => {
                    is_placed &= self.find_lack_of_worker(cx, task);
                    // A task that may crash its worker has conditions of its own.
                    if !self.jobs[key].task(position).is_suspect() {
                        full_steps.push(step);
                    }
                    next += 1;
                    continue;
                }
            };
            let permit = match self.start_gate(cx, task) {
                StartGate::Open(permit) => permit,
                StartGate::Adopted => continue,
                StartGate::Held => {
                    next += 1;
                    continue;
                }
            };
            self.start(cx, permit, worker, out);
            pass.near.started(self, worker);
            let step = self.jobs[key].step(position);
            if step.preferred_rack.is_some() {
                let is_near = step.is_near(&self.workers[worker]);
                near += usize::from(is_near);
                far += usize::from(!is_near);
            }
            let job = &self.jobs[key];
            let name = self.workers[worker].entry.name.clone();
            starts.push((job.name(position), job.task(position).last_run, name));
        }
        if !starts.is_empty() {
            let id = self.jobs[key].spec.id;
            out.push(Effect::LogEvent(LogEvent::TasksStarted {
                id,
                starts,
                near,
                far,
            }));
        }
        if !waits_near && is_placed {
            self.end_near_wait(cx, key, (near, far), out);
        }
        is_placed
    }

    /// Finds out whether a task without a place waits for a worker to come or change, rather than for room.
    fn find_lack_of_worker(&mut self, cx: &Context<'_>, task: TaskKey) -> bool {
        let job = &self.jobs[task.job];
        let grace = cx.cfg.leased.evacuation_grace;
        let is_suitable = |w: &Worker| {
            placement::is_suitable(w, job, task.position)
                && !w.is_closed_by_evacuation(cx.now, grace)
        };
        if self.workers.values().any(is_suitable) {
            return false;
        }
        let workers_version = self.workers_version;
        let job = &mut self.jobs[task.job];
        let step = job.task(task.position).step;
        if job.lack_of_worker.workers_version != workers_version {
            job.lack_of_worker = LackOfWorker {
                workers_version,
                steps: Vec::new(),
            };
        }
        job.lack_of_worker.steps.push(step);
        true
    }

    /// Whether paused workers are left out of placement: only while they are few.
    fn are_pauses_respected(&self, cx: &Context<'_>) -> bool {
        let snapshot = self.snapshot(cx.now);
        snapshot.paused * 100 <= snapshot.workers * cx.cfg.leased.max_paused_percent
    }

    /// Whether slowness of workers is considered: if most workers seem slow, the expected run times
    /// are wrong.
    pub(super) fn is_slowness_respected(&self, cx: &Context<'_>) -> bool {
        let cfg = &cx.cfg.leased;
        let is_slow = |w: &&Worker| w.health.slowness(cfg) > 1.0;
        let listed = self.workers.values().filter(|w| w.is_listed);
        let slow = listed.clone().filter(is_slow).count();
        slow * 100 <= listed.count() * cfg.max_paused_percent
    }

    /// Starts the next run of a task on a worker whose clock is known.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is good for one start"
    )]
    fn start(
        &mut self,
        cx: &Context<'_>,
        permit: StartPermit,
        to: WorkerKey,
        out: &mut Vec<Effect>,
    ) {
        let task = permit.task();
        let job = &mut self.jobs[task.job];
        let has_started_before = job.has_started;
        job.first_start.get_or_insert(cx.now);
        job.mark_placed(task.position);
        job.task_mut(task.position).last_run += 1;
        let (name, run) = (job.name(task.position), job.task(task.position).last_run);
        let worker = &mut self.workers[to];
        let Some(clock) = worker.clock else { return };
        let factor = self.run_times.factor(worker, job.step(task.position));
        let may_run_until = job.may_run_until(cx.cfg.leased.confirmation_ttl);
        let limits = worker.lease_limit().into_iter().chain(may_run_until);
        let lease_until = limited_lease(cx, &clock, limits.min());
        worker.extend_lease(lease_until);
        let token = worker.raised_token(self.token);
        worker.add_run(Run {
            task,
            name,
            run,
            size: job.step(task.position).size,
            state: RunState::Starting,
            token,
            is_for_former_instance: false,
            sent: cx.now,
            confirmed_at: None,
            expected: job.expected_run(task.position).mul_f64(factor),
            factor,
            speed: worker.speed,
            is_durable: job.record_sync.is_some(),
            percent: 0,
            progressed_at: cx.now,
            is_adopted: false,
            unconfirmed_since: None,
            is_pace_counted: false,
            stop_sent: None,
            unanswered_stop: UnansweredStop::default(),
            is_suspect: job.task(task.position).is_suspect(),
            needs_own_worker: job.task(task.position).needs_own_worker(),
            may_run_until,
        });
        out.push(Effect::Start(StartCall {
            worker: to,
            name: worker.entry.name.clone(),
            address: worker.entry.address,
            task: name,
            run,
            payload: job.payload(),
            lease_until,
            token,
        }));
        if !has_started_before {
            self.schedule_check(task.job);
        }
    }
}
