//! Speed factors of workers: their refresh, and the search for a better worker for a run.

use std::time::Duration;

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::Effect;
use crate::leased::job::Job;
use crate::leased::log_event::LogEvent;
use crate::leased::placement;
use crate::leased::speed::SpeedChange;
use crate::leased::worker::{Run, Worker, WorkerKey};

impl Scheduler {
    /// Computes the factors of labels and workers from the runs so far, and logs which have become certain or
    /// uncertain.
    pub(super) fn refresh_speeds(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let speeds = &mut self.run_times.speeds;
        for change in speeds.refresh(cx.now, &cx.cfg.speed, &mut self.workers) {
            out.push(Effect::LogEvent(match change {
                SpeedChange::Label {
                    label,
                    factor,
                    deviation,
                    workers,
                    is_certain,
                } => LogEvent::LabelSpeedChanged {
                    label,
                    factor,
                    deviation,
                    workers,
                    is_certain,
                },
                SpeedChange::Workers {
                    named,
                    others,
                    is_certain,
                } => LogEvent::WorkerSpeedsChanged {
                    workers: named,
                    others,
                    is_certain,
                },
            }));
        }
    }

    /// Shortest expected run time that a task which runs on `on` would have on another worker with room for it
    /// now; `None` without such a worker.
    pub(super) fn run_time_elsewhere(
        &self,
        cx: &Context<'_>,
        on: WorkerKey,
        job: &Job,
        run: &Run,
    ) -> Option<Duration> {
        let position = run.task.position;
        let step = job.step(position);
        let is_open = |&(key, worker): &(WorkerKey, &Worker)| {
            key != on
                && worker.is_usable()
                && !worker.is_evacuated()
                && !worker.is_full(cx.now)
                && worker.health.slowness(&cx.cfg.leased) <= 1.0
                && worker.health.may_start(cx.now, worker.runs.len())
                && worker.free().has_room_for(&step.size)
                && placement::could_run(worker, job, position, &self.bulkheads)
        };
        let open = self.workers.iter().filter(is_open);
        let factors = open.map(|(_, worker)| self.run_times.factor(worker, step));
        let factor = factors.min_by(f64::total_cmp)?;
        Some(self.nominal_run(on, job, run).0.mul_f64(factor))
    }

    /// Whether a run takes longer than the speed of its worker explains.
    pub(super) fn is_run_too_long(
        &self,
        cx: &Context<'_>,
        on: WorkerKey,
        (job, run): (&Job, &Run),
        run_time: Duration,
    ) -> bool {
        let nominal = self.nominal_run(on, job, run);
        let speeds = &self.run_times.speeds;
        run_time > speeds.longest_run(&cx.cfg.speed, nominal, on)
    }

    /// Run time of a task on a nominal worker by the job's other tasks; without those, by its estimate. The second
    /// value tells which.
    fn nominal_run(&self, on: WorkerKey, job: &Job, run: &Run) -> (Duration, bool) {
        let speeds = &self.run_times.speeds;
        match speeds.nominal_run(&job.run_samples, run.name.step, on) {
            Some(nominal) => (nominal, false),
            None => (job.expected_run(run.task.position), true),
        }
    }

    /// Processor in use on usable workers, and their whole processor, in thousandths of a core of a nominal worker.
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "thousandths of a core are below 2^53"
    )]
    pub(super) fn effective_load(&self) -> (u64, u64) {
        let workers = self.workers.values();
        let usable = workers.filter(|w| w.is_usable() && !w.is_evacuated());
        let (used, capacity) = usable.fold((0.0, 0.0), |(used, capacity), w| {
            let used = used + w.used.cpu_milli as f64 / w.speed;
            (used, capacity + w.entry.capacity.cpu_milli as f64 / w.speed)
        });
        (used as u64, capacity as u64)
    }

    /// Whether fast workers are to be kept for the tasks that need them.
    pub(super) fn is_near_full(&self, cx: &Context<'_>) -> bool {
        let (used, capacity) = self.effective_load();
        used * 100 >= capacity * cx.cfg.speed.near_full_percent
    }
}
