//! Places waiting tasks on workers.

use super::Scheduler;
use super::confirmations::limited_lease;
use super::earlier_runs::{StartGate, StartPermit};
use super::locality::NearPass;
use crate::context::Context;
use crate::leased::effect::{Effect, StartCall};
use crate::leased::job::{JobKey, TaskKey};
use crate::leased::log_event::LogEvent;
use crate::leased::placement::{self, Choice, PlacementRequest, SpeedRequest};
use crate::leased::record::RecordState;
use crate::leased::unanswered_stop::UnansweredStop;
use crate::leased::worker::{Run, RunState, Worker, WorkerKey};

impl Scheduler {
    /// Starts the tasks that fit, in order of job rank, until `scan_limit` jobs did not fit. A
    /// job that an earlier scheduler may have started waits while runs of the job may be unreported.
    pub(super) fn place_waiting(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let respects_pauses = self.are_pauses_respected(cx);
        let respects_slowness = self.is_slowness_respected(cx);
        let grace = cx.cfg.leased.stop_grace;
        let mut workers = self.workers.values();
        let are_all_runs_reported =
            self.knows_departed && workers.all(|w| w.reports_all_runs(cx.now, grace));
        let is_epoch_confirmed = self.is_epoch_confirmed(cx);
        let has_speeds = self.run_times.speeds.has_differences();
        let is_near_full = has_speeds && self.is_near_full(cx);
        let mut speeds = has_speeds.then_some(SpeedRequest {
            is_near_full,
            waiting: 0,
        });
        let mut unplaced_jobs = 0;
        let mut near_pass = NearPass::new(respects_pauses);
        let order: Vec<_> = self.waiting.iter().copied().collect();
        for (rank, key) in order {
            let earlier_runs_until = self.jobs[key].earlier_runs_until;
            if !are_all_runs_reported && let Some(until) = earlier_runs_until {
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
            }
            if let Some(record_sync) = &self.jobs[key].record_sync {
                let is_open = record_sync.state == RecordState::Open && !record_sync.blocks_starts;
                if !is_open || !is_epoch_confirmed || !self.knows_records {
                    continue;
                }
                if earlier_runs_until.is_some() {
                    self.invalidate_earlier_runs(cx, key, out);
                    continue;
                }
            }
            if self.jobs[key].is_sign_outdated(cx.now, cx.cfg.leased.start_ttl) {
                continue;
            }
            if !self.place_job(
                cx,
                key,
                (respects_pauses, respects_slowness, is_epoch_confirmed),
                (speeds, &mut near_pass),
                out,
            ) {
                unplaced_jobs += 1;
                if let Some(speeds) = &mut speeds {
                    speeds.waiting += self.jobs[key].ready.len();
                }
            }
            if self.jobs[key].ready.is_empty() {
                self.waiting.remove(&(rank, key));
            }
            if unplaced_jobs >= cx.cfg.leased.scan_limit {
                break;
            }
        }
    }

    /// Starts ready tasks of one job; `false` if one has to wait for a worker. A task that waits for a place near its data
    /// does not count, as it leaves free places to others.
    fn place_job(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        (respects_pauses, respects_slowness, may_renew_durable): (bool, bool, bool),
        (speeds, near_pass): (Option<SpeedRequest>, &mut NearPass),
        out: &mut Vec<Effect>,
    ) -> bool {
        let mut starts = Vec::new();
        let mut is_placed = true;
        let mut clock_reads = 0;
        let mut next = 0;
        let (mut near, mut far) = (0, 0);
        let mut waits_near = false;
        while let Some(&position) = self.jobs[key].ready.get(next) {
            if !self.jobs[key].may_start(position, cx.now) {
                next += 1;
                continue;
            }
            let task = TaskKey { job: key, position };
            let request = PlacementRequest {
                job: &self.jobs[key],
                task,
                now: cx.now,
                data_centre: &self.data_centre,
                respects_pauses,
                respects_slowness,
                bulkheads: &self.bulkheads,
                run_times: &self.run_times,
                may_renew_durable,
                speeds: speeds.map(|s| SpeedRequest {
                    waiting: s.waiting + self.jobs[key].ready.len(),
                    ..s
                }),
            };
            let choice = placement::choose(&cx.cfg.leased, &self.workers, request);
            if let Choice::Start(worker) | Choice::ReadClock(worker) = choice
                && self.waits_for_near(cx, task, worker, near_pass, out)
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
                    is_placed = false;
                    break;
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
            near_pass.started(self, worker);
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
        let slow = self.workers.values().filter(is_slow).count();
        slow * 100 <= self.workers.len() * cfg.max_paused_percent
    }

    /// Starts the next run of a task on a worker whose clock is known.
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
