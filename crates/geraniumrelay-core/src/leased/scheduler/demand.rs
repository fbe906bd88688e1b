//! Recent demand, by which admission judges an arriving job: of each priority, and of each service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::Scheduler;
use crate::context::Context;
use crate::leased::job::JobKey;
use crate::modules::decaying_sum::DecayingSum;

/// Window over which the processor demand of each priority is averaged: spans several bursts and
/// several tasks.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Recent processor demand per second of jobs with lower priority numbers, in thousandths of a
    /// core.
    pub(super) fn urgent_demand(&self, now: Instant, priority: u8) -> f64 {
        let urgent = self.demand.range(..priority);
        let demand: f64 = urgent.map(|(_, demand)| demand.get(now)).sum();
        demand / DEMAND_WINDOW.as_secs_f64()
    }

    /// Processor that the jobs of a service in the last second use on average, in thousandths of a core.
    pub(super) fn work_asked_for(&self, now: Instant, service: &str) -> f64 {
        let work = self.work.get(service).map_or(0.0, |work| work.get(now));
        work / DEMAND_WINDOW.as_secs_f64()
    }

    /// Adds the work of a job, admitted or not, to that of its service and of its queue.
    pub(super) fn add_work(&mut self, cx: &Context<'_>, key: JobKey) {
        let job = &self.jobs[key];
        let work = job.work();
        let new_sum = || DecayingSum::new(cx.now, DEMAND_WINDOW);
        let sum = self.work.entry(Arc::clone(&job.spec.service));
        sum.or_insert_with(new_sum).add(cx.now, work);
        let queue = (&job.spec.service, &job.spec.queue);
        let cfg = &cx.cfg.contention;
        self.contention
            .add(cfg, cx.now, queue, (work, job.spec.priority));
    }

    /// Adds the processor need of a job's tasks to the demand of its priority. A job above its queue's share takes
    /// no capacity for which jobs of other queues wait.
    #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
    pub(super) fn add_demand(&mut self, cx: &Context<'_>, key: JobKey) {
        let now = cx.now;
        let job = &self.jobs[key];
        let queue = (&*job.spec.service, &*job.spec.queue);
        let cfg = &cx.cfg.contention;
        self.contention.add_admitted(cfg, now, queue, job.work());
        if job.rank.is_above_share {
            return;
        }
        let tasks = (0..).zip(&job.tasks);
        let cpu: u64 = tasks.map(|(p, _)| job.step(p).size.cpu_milli).sum();
        let new_sum = || DecayingSum::new(now, DEMAND_WINDOW);
        let demand = self.demand.entry(job.spec.priority).or_insert_with(new_sum);
        demand.add(now, cpu as f64);
    }
}
