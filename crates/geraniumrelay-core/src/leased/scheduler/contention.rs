//! Applies the shares of queues to arriving and waiting jobs.

use std::sync::Arc;
use std::time::Duration;

use super::Scheduler;
use crate::context::Context;
use crate::leased::admission::{self, Backlog};
use crate::leased::contention::{Change, Load, Verdict};
use crate::leased::effect::Effect;
use crate::leased::job::JobKey;
use crate::leased::log_event::LogEvent;

impl Scheduler {
    /// Judges an arriving job by the share of its queue. Queues that a bulkhead keeps apart do not share one capacity.
    pub(super) fn judge(
        &mut self,
        cx: &Context<'_>,
        key: JobKey,
        backlog: &Backlog,
        out: &mut Vec<Effect>,
    ) -> Verdict {
        if !self.bulkheads.is_open() {
            return Verdict::Unlimited;
        }
        let spec = &self.jobs[key].spec;
        let (service, queue) = (Arc::clone(&spec.service), Arc::clone(&spec.queue));
        #[expect(clippy::cast_precision_loss, reason = "a rough estimate")]
        let load = Load {
            capacity: backlog.capacity as f64,
            is_overloaded: admission::is_overloaded(&cx.cfg.leased, backlog),
        };
        let cfg = &cx.cfg.contention;
        let (verdict, change) = self.contention.judge(cfg, cx.now, (&service, &queue), load);
        if let Some(change) = change {
            self.share_changed(change, out);
        }
        verdict
    }

    /// Ranks a job behind those of the queues within their shares, and returns the wait expected there.
    pub(super) fn wait_above_share(&mut self, cx: &Context<'_>, key: JobKey) -> Option<Duration> {
        self.jobs[key].rank.is_above_share = true;
        let backlog = self.backlog(cx, key);
        let wait = admission::expected_wait(&backlog);
        self.jobs[key].admission = Some((backlog, wait));
        wait
    }

    /// Retry delay of a refused job whose service is overloaded.
    pub(super) fn contended_retry_after(
        &self,
        cx: &Context<'_>,
        key: JobKey,
        wait: Duration,
    ) -> Option<Duration> {
        let spec = &self.jobs[key].spec;
        let queue = (&*spec.service, &*spec.queue);
        let cfg = &cx.cfg.contention;
        self.contention
            .retry_after(cfg, cx.now, queue, (wait, spec.id))
    }

    /// Takes note of the queues that have returned to their shares.
    pub(super) fn tick_contention(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        for change in self.contention.refresh(&cx.cfg.contention, cx.now) {
            self.share_changed(change, out);
        }
    }

    /// Ranks the jobs of a queue by whether it exceeds its share. The other tasks of a job that has started keep their
    /// place in a burst, as its work would be wasted. Jobs that do not wait now are ranked as well, as a task whose
    /// run is lost waits again.
    fn share_changed(&mut self, change: Change, out: &mut Vec<Effect>) {
        for (key, job) in &mut self.jobs {
            let is_of_queue = job.spec.queue == change.queue && job.spec.service == change.service;
            if !is_of_queue || (change.exceeds && job.has_started) {
                continue;
            }
            let was_waiting = self.waiting.remove(&(job.rank, key));
            job.rank.is_above_share = change.exceeds;
            if was_waiting {
                self.waiting.insert((job.rank, key));
            }
        }
        self.has_new_room = true;
        out.push(Effect::LogEvent(LogEvent::ShareChanged(change)));
    }
}
