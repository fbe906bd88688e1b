//! Looks at workers: leases renewed, progress read, ends acknowledged.

use std::time::{Duration, Instant};

use super::Scheduler;
use crate::configs::leased::LeasedConfig;
use crate::context::Context;
use crate::leased::effect::{Effect, LookCall};
use crate::leased::health::doubled;
use crate::leased::names::TaskName;
use crate::leased::note::{Belief, StopCause};
use crate::leased::report::{EndKind, WorkerReport};
use crate::leased::worker::{MAX_MISSES, Orphan, Run, RunState, Worker, WorkerKey};
use crate::leased::worker_clock::WorkerClock;

/// Pause between looks at a worker whose ends can't be acknowledged yet; a call to the store takes
/// a few milliseconds.
const UNSTORED_END_PAUSE: Duration = Duration::from_millis(10);

/// The same where it is not known whether an end is one of a kept job, as while the store is away: as
/// many looks as tasks end on a busy worker.
const UNCLASSIFIED_END_PAUSE: Duration = Duration::from_millis(50);

impl Scheduler {
    pub(super) fn process_report(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let known = self.workers[key].entry.born;
        if known.is_some() && report.born.is_some() && known != report.born {
            self.workers[key].entry.born = report.born;
            self.drop_runs(cx, key, out);
        }
        let worker = &mut self.workers[key];
        if worker.looking.misses >= MAX_MISSES {
            out.push(worker.believed(Belief::Answers, Duration::ZERO));
        }
        worker.looking.out_since = None;
        worker.looking.misses = 0;
        worker.taken_since = None;
        worker.looking.not_before = None;
        worker.clock = Some(WorkerClock::new(report.clock, cx.now));
        if worker.fenced.is_none() {
            worker.fenced = Some(cx.now);
            self.has_new_room = true;
        }
        self.process_ends(cx, key, report, out);
        // Ends that can't be acknowledged yet come again at once.
        let worker = &mut self.workers[key];
        let pause = if worker.first_unknown_end.is_some() {
            Some(UNCLASSIFIED_END_PAUSE)
        } else {
            (!worker.held_ends.is_empty()).then_some(UNSTORED_END_PAUSE)
        };
        worker.looking.not_before = pause.map(|p| cx.now + p);
        self.process_running(cx, key, report);
        self.end_missing_runs(cx, key, sent, report, out);
        self.stop_unconfirmed(cx, key, sent, out);
        self.check_paces(cx, key, out);
    }

    fn process_running(&mut self, cx: &Context<'_>, key: WorkerKey, report: &WorkerReport) {
        for row in &report.running {
            let worker = &mut self.workers[key];
            if let Some(position) = worker.run_position(row.task, row.run) {
                let run = &mut worker.runs[position];
                if row.percent > run.percent {
                    run.percent = row.percent;
                    run.moved = cx.now;
                }
                if matches!(run.state, RunState::Starting | RunState::Unsure) {
                    run.state = RunState::Running;
                    run.settled = Some(cx.now);
                }
                continue;
            }
            let is_known = |o: &Orphan| o.name == row.task && o.run == row.run;
            let unclaimed = Orphan {
                name: row.task,
                run: row.run,
                since: cx.now,
                stop_sent: None,
            };
            if !worker.orphans.iter().any(is_known) {
                worker.orphans.push(unclaimed);
            }
            if let Some(&job) = self.by_id.get(&row.task.job) {
                self.adopt(cx, job, key, &unclaimed);
            }
        }
    }

    /// Ends the runs that a worker should know, but doesn't.
    fn end_missing_runs(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        // An end that is passed over for now is read again.
        let is_listed = |name: TaskName, run: u32| {
            let mut running = report.running.iter();
            let mut ended = report.ended.iter();
            running.any(|row| row.task == name && row.run == run)
                || ended.any(|end| end.task == name && end.run == run)
        };
        let worker = &mut self.workers[key];
        worker.orphans.retain(|o| is_listed(o.name, o.run));
        let mut position = 0;
        while position < self.workers[key].runs.len() {
            let run = &self.workers[key].runs[position];
            let is_settled = run.settled.is_some_and(|at| at < sent);
            if is_settled && !is_listed(run.name, run.run) {
                let run = self.workers[key].remove_run(position);
                self.end_unreported_run(cx, key, &run, EndKind::Stopped, out);
            } else {
                position += 1;
            }
        }
    }

    /// Stops runs of unanswered orders that a later look did not show.
    fn stop_unconfirmed(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        out: &mut Vec<Effect>,
    ) {
        let is_due = |r: &&Run| {
            r.state == RunState::Unsure && r.unsure_since.is_some_and(|since| since <= sent)
        };
        let due: Vec<_> = self.workers[key]
            .runs
            .iter()
            .filter(is_due)
            .map(|r| (r.name, r.run))
            .collect();
        for run in due {
            self.stop_with_cause(cx, key, run, StopCause::OrderUnanswered, out);
        }
    }

    pub(super) fn poll_failed(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        worker.looking.out_since = None;
        let cfg = &cx.cfg.leased;
        let misses = worker.looking.misses;
        worker.looking.misses += 1;
        if worker.looking.misses == MAX_MISSES {
            out.push(worker.believed(Belief::Silent, Duration::ZERO));
        }
        // The first repeat is sent at once: a single call gets lost now and then.
        let pause = doubled(cfg.first_pause, misses.saturating_sub(1), cfg.max_pause);
        worker.looking.not_before = (misses > 0).then(|| cx.now + pause);
    }

    /// Takes note that another worker answers at a worker's address: nothing of the one that was
    /// meant runs any more. Looks go on, ever more rarely, until its entry is gone.
    pub(super) fn on_other_instance(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        out: &mut Vec<Effect>,
    ) {
        self.drop_runs(cx, key, out);
        self.workers[key].fenced = Some(cx.now);
        while self.workers[key].looking.misses < MAX_MISSES {
            self.poll_failed(cx, key, out);
        }
        self.poll_failed(cx, key, out);
    }

    /// Sends a look where one is due and none is under way.
    pub(super) fn schedule_poll(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        out: &mut Vec<Effect>,
    ) {
        let is_confirmed = self.is_epoch_confirmed(cx);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let may_go_on = is_confirmed || !worker.has_kept_runs();
        let is_early = worker.looking.not_before.is_some_and(|t| cx.now < t);
        if worker.looking.out_since.is_some() || is_early || !needs_poll(worker) {
            return;
        }
        let has_runs = !worker.runs.is_empty();
        let lease_until = worker
            .clock
            // What a silent worker may or may not have heard must not prolong the wait for its tasks.
            .filter(|_| has_runs && worker.fenced.is_some() && !worker.is_doubtful())
            .filter(|_| may_go_on && !worker.must_rest(cx.now, cx.cfg.leased.void_drain))
            .map(|clock| clock.at(cx.now).after(cx.cfg.leased.lease));
        if let Some(until) = lease_until {
            worker.note_lease(until);
        }
        worker.looking.out_since = Some(cx.now);
        worker.owes_ack = false;
        let is_first = worker.fenced.is_none() || worker.looking.misses > 0;
        out.push(Effect::Look(LookCall {
            worker: key,
            name: worker.entry.name.clone(),
            address: worker.entry.address,
            lease_until,
            last_seen: worker.acknowledged(),
            wait: if is_first {
                Duration::ZERO
            } else {
                poll_wait(&cx.cfg.leased, worker, cx.now)
            },
            token: self.token,
        }));
    }
}

fn needs_poll(worker: &Worker) -> bool {
    let has_runs = !worker.runs.is_empty() || !worker.orphans.is_empty();
    let must_answer = worker.fenced.is_none() || (worker.is_listed && worker.looking.misses > 0);
    has_runs || worker.owes_ack || must_answer
}

/// How long a look waits for an end: until the first task is overdue.
fn poll_wait(cfg: &LeasedConfig, worker: &Worker, now: Instant) -> Duration {
    if worker.runs.iter().any(|r| r.state == RunState::Stopping) || !worker.orphans.is_empty() {
        return cfg.min_look_wait;
    }
    let ends = worker
        .runs
        .iter()
        .map(|r| r.sent + r.expected + cfg.overdue_slack);
    let Some(first) = ends.min() else {
        return Duration::ZERO;
    };
    first
        .saturating_duration_since(now)
        .clamp(cfg.min_look_wait, cfg.max_look_wait)
}
