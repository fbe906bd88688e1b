//! Evacuated data centres: no job is admitted to their workers, and nothing starts there after a grace.
//!
//! Load pattern: all traffic of a data centre moves to the others at one moment, and jobs are waiting in its cells. New
//! jobs are refused at once, so that their entry VMs send them elsewhere while their slack lasts; waiting ones may
//! start in the grace, and leave after it.

use std::sync::Arc;
use std::time::Instant;

use super::Scheduler;
use crate::context::Context;
use crate::leased::effect::{Effect, JobOutcome, RefusalReason};
use crate::leased::evacuation::EvacuatedSince;
use crate::leased::job::{Job, JobKey};
use crate::leased::log_event::LogEvent;
use crate::leased::placement;
use crate::leased::worker::Worker;

impl Scheduler {
    /// Replaces the set of evacuated data centres.
    pub(super) fn set_evacuated(
        &mut self,
        cx: &Context<'_>,
        evacuated: EvacuatedSince,
        out: &mut Vec<Effect>,
    ) {
        self.evacuated = evacuated;
        self.workers_version += 1;
        let evacuated = &self.evacuated;
        self.evacuations_in_force
            .retain(|name| evacuated.contains_key(name));
        for worker in self.workers.values_mut() {
            worker.evacuated_since = self.evacuated.get(&worker.entry.data_centre).copied();
        }
        self.has_new_room = true;
        self.tick_evacuations(cx, out);
    }

    /// Logs the evacuations whose grace is over, and ends the jobs that they shut out.
    pub(super) fn tick_evacuations(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let grace = cx.cfg.leased.evacuation_grace;
        for (name, &since) in &self.evacuated {
            let known_for = cx.now.saturating_duration_since(since);
            if known_for < grace || !self.evacuations_in_force.insert(Arc::clone(name)) {
                continue;
            }
            self.workers_version += 1;
            let workers = self.workers.values();
            let workers = workers.filter(|w| w.entry.data_centre == *name);
            let runs = workers.map(|w| w.runs.len()).sum();
            out.push(Effect::LogEvent(LogEvent::EvacuationInForce {
                data_centre: Arc::clone(name),
                known_for,
                runs,
            }));
        }
        self.end_unplaceable_jobs(cx, out);
    }

    /// Whether the job could run if no data centre were evacuated, while now one of its tasks can't.
    pub(super) fn is_shut_out(&self, job: &Job) -> bool {
        if self.evacuated.is_empty() {
            return false;
        }
        let is_open = |w: &&Worker| !w.is_evacuated();
        let can_run = |p| {
            let mut open = self.workers.values().filter(is_open);
            open.any(|w| placement::could_run(w, job, p, &self.bulkheads))
        };
        !(0..)
            .zip(&job.tasks)
            .all(|(p, t)| t.index > 0 || can_run(p))
    }

    /// Ends the waiting jobs whose tasks can start nowhere any more, as the grace is over: one that has not started is
    /// refused, and its entry VM sends it to another data centre. Durable jobs wait for the end of the evacuation.
    fn end_unplaceable_jobs(&mut self, cx: &Context<'_>, out: &mut Vec<Effect>) {
        let grace = cx.cfg.leased.evacuation_grace;
        let is_over = |since: &Instant| cx.now.saturating_duration_since(*since) >= grace;
        if !self.evacuated.values().any(is_over) {
            return;
        }
        let is_closed = |job: &Job| {
            // A task that fits no worker at all waits for one to be listed, as without an evacuation.
            let is_shut_out = |p| {
                let could_run = |w: &&Worker| placement::could_run(w, job, p, &self.bulkheads);
                let mut able = self.workers.values().filter(could_run).peekable();
                able.peek().is_some() && able.all(|w| w.is_closed_by_evacuation(cx.now, grace))
            };
            // Runs of an earlier scheduler may still be found.
            let is_held = job.waits_for_earlier_runs(cx.now);
            job.record_sync.is_none() && !is_held && job.ready.iter().copied().any(is_shut_out)
        };
        let waiting = self.waiting.iter().map(|&(_, key)| key);
        let closed: Vec<JobKey> = waiting.filter(|&k| is_closed(&self.jobs[k])).collect();
        if closed.is_empty() {
            return;
        }
        out.push(Effect::LogEvent(LogEvent::JobsEvacuated {
            jobs: closed.len(),
            data_centres: self.evacuated.keys().cloned().collect(),
        }));
        for key in closed {
            if self.jobs[key].may_have_run() {
                self.finish(cx, key, JobOutcome::TimedOut, out);
            } else {
                self.refuse(cx, key, RefusalReason::Evacuated, out);
            }
        }
    }
}
