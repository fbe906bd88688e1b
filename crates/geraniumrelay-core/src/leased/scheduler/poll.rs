//! Polls workers: renews leases, reads progress and acknowledges ends.

use std::time::{Duration, Instant};

use super::Scheduler;
use super::confirmations::{limited_lease, longest_lease, renewal_wait};
use crate::configs::leased::LeasedConfig;
use crate::context::Context;
use crate::leased::command::PollReply;
use crate::leased::effect::{Effect, PollCall};
use crate::leased::health::exponential_backoff;
use crate::leased::log_event::{
    EndEvidence, InstanceSource, LogEvent, SilenceCause, StopCause, WorkerCondition,
};
use crate::leased::names::TaskName;
use crate::leased::report::{EndKind, WorkerReport};
use crate::leased::unanswered_stop::UnansweredStop;
use crate::leased::worker::{
    MAX_MISSES, PollNumber, Run, RunState, UnclaimedRun, Worker, WorkerKey,
};
use crate::leased::worker_clock::WorkerClock;

/// Pause between polls of a worker with ends that are not stored yet; a store call takes a few
/// milliseconds.
const UNSTORED_END_PAUSE: Duration = Duration::from_millis(10);

/// Pause between polls of a worker with an end that may belong to a durable job whose record has
/// not been read, as while the store is unavailable. Polls are then as frequent as task
/// ends on a busy worker.
const UNCLASSIFIED_END_PAUSE: Duration = Duration::from_millis(50);

impl Scheduler {
    /// Processes the reply to a poll sent at `sent`; a poll that is not in flight any more has been
    /// given up, and its reply says nothing about the present.
    pub(super) fn poll_replied(
        &mut self,
        cx: &Context<'_>,
        (key, number): (WorkerKey, PollNumber),
        sent: Instant,
        reply: PollReply,
        out: &mut Vec<Effect>,
    ) {
        let Some(worker) = self.workers.get(key) else {
            return;
        };
        if !worker.poll_state.is_in_flight(number) {
            out.push(Effect::LogEvent(LogEvent::PollReplyIgnored {
                worker: worker.entry.name.clone(),
                age: cx.now.saturating_duration_since(sent),
            }));
            return;
        }
        match reply {
            PollReply::Report(report) if worker.is_superseded(&report, cx.now) => {
                let source = InstanceSource::Report;
                out.push(worker.instance_event(source, report.instance_started_unix_ms));
                self.poll_failed(cx, key, out);
            }
            PollReply::Report(report) => self.process_report(cx, key, sent, &report, out),
            PollReply::Fenced => self.on_higher_token(cx, key, out),
            PollReply::OtherInstance => self.on_other_instance(cx, key, sent, out),
            PollReply::Unanswered => {
                self.poll_failed(cx, key, out);
                if self.workers[key].poll_state.misses == MAX_MISSES {
                    self.worker_fell_silent(cx, key, out);
                }
            }
        }
        self.schedule_poll(cx, key, out);
    }

    /// Processes a worker's report, the reply to a poll sent at `sent`.
    fn process_report(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        let is_restarted = worker.is_other_instance(report);
        if is_restarted {
            let source = InstanceSource::Report;
            out.push(worker.instance_event(source, report.instance_started_unix_ms));
            out.push(worker.condition_event(WorkerCondition::Restarted, Duration::ZERO));
            worker.supersede_instance();
            worker.reset_instance();
        }
        let cause = if is_restarted {
            SilenceCause::Restarted
        } else {
            SilenceCause::OutOfReach
        };
        self.explain_silence(cx, key, cause, out);
        let worker = &mut self.workers[key];
        worker.instance = report.instance_started_unix_ms.or(worker.instance);
        worker.reported_at = Some(cx.now);
        worker.was_report_prompt = worker.poll_state.is_prompt;
        if worker.poll_state.misses >= MAX_MISSES {
            out.push(worker.condition_event(WorkerCondition::Responsive, Duration::ZERO));
        }
        worker.poll_state.in_flight_since = None;
        worker.poll_state.misses = 0;
        worker.higher_token_since = None;
        worker.poll_state.not_before = None;
        worker.clock = Some(WorkerClock::new(report.clock, cx.now));
        self.has_new_room |= std::mem::take(&mut worker.poll_state.must_read_clock);
        worker.note_others_leases(longest_lease(&cx.cfg.leased), cx.cfg.leased.max_clock_age);
        if worker.token_confirmed_at.is_none() {
            worker.confirm_token(cx.now, cx.cfg.leased.stop_grace);
            worker.add_former_leases(cx.now + cx.cfg.leased.takeover_wait);
            self.has_new_room = true;
        }
        self.process_ends(cx, key, report, out);
        // A poll returns at once while the worker lists unacknowledged ends, so polls are spaced
        // out.
        let worker = &mut self.workers[key];
        let pause = if worker.first_unclassified_end.is_some() {
            Some(UNCLASSIFIED_END_PAUSE)
        } else {
            (!worker.unstored_ends.is_empty()).then_some(UNSTORED_END_PAUSE)
        };
        worker.poll_state.not_before = pause.map(|p| cx.now + p);
        self.process_running(cx, key, report, out);
        if is_restarted {
            let crashed = self.runs_of_former_instance(key, sent, report);
            self.worker_restarted_under(cx, key, &crashed, out);
            self.stop_runs_of_former_instance(cx, key, sent, report, out);
        }
        self.confirm_refusals(cx, key, sent, report);
        self.end_missing_runs(cx, key, sent, report, out);
        self.stop_unconfirmed(cx, key, sent, out);
        self.check_paces(cx, key, out);
    }

    /// Updates known runs from a report, and adopts runs of earlier schedulers or lists them as
    /// unclaimed.
    fn process_running(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        for row in &report.running {
            let worker = &mut self.workers[key];
            if let Some(position) = worker.run_position(row.task, row.run) {
                let run = &mut worker.runs[position];
                if row.percent > run.percent {
                    run.percent = row.percent;
                    run.progressed_at = cx.now;
                }
                if matches!(run.state, RunState::Starting | RunState::Unconfirmed) {
                    run.state = RunState::Running;
                    run.confirmed_at = Some(cx.now);
                    run.unconfirmed_since = None;
                }
                continue;
            }
            let is_known = |u: &UnclaimedRun| u.name == row.task && u.run == row.run;
            let unclaimed = UnclaimedRun {
                name: row.task,
                run: row.run,
                since: cx.now,
                stop_sent: None,
                is_stop_confirmed: false,
                unanswered_stop: UnansweredStop::default(),
                unlisted_since: None,
            };
            if !worker.unclaimed_runs.iter().any(is_known) {
                worker.unclaimed_runs.push(unclaimed);
                out.push(Effect::LogEvent(LogEvent::RunUnclaimed {
                    task: row.task,
                    run: row.run,
                    worker: worker.entry.name.clone(),
                }));
            }
            if let Some(&job) = self.by_id.get(&row.task.job) {
                self.adopt(cx, job, key, &unclaimed);
            }
        }
    }

    /// Stops the runs that a restarted worker does not list, so that it refuses a start order which
    /// is still on its way. They count as ended once the stop is confirmed.
    fn stop_runs_of_former_instance(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        for (task, run) in self.runs_of_former_instance(key, sent, report) {
            let worker = &self.workers[key];
            let position = worker.run_position(task, run);
            if position.is_some_and(|p| worker.runs[p].state == RunState::Running) {
                self.stop_with_cause(cx, key, (task, run), StopCause::Restarted, out);
            }
        }
    }

    /// Runs that a restarted worker does not list, and that were ordered before it restarted. An order
    /// that was not answered may have been carried out.
    fn runs_of_former_instance(
        &self,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
    ) -> Vec<(TaskName, u32)> {
        let is_former = |r: &&Run| {
            matches!(r.state, RunState::Running | RunState::Unconfirmed)
                && r.is_settled_before(sent)
                && !report.may_list(r.name, r.run)
        };
        let runs = self.workers[key].runs.iter().filter(is_former);
        runs.map(|r| (r.name, r.run)).collect()
    }

    /// Ends confirmed runs, and drops unclaimed ones, that a report lists neither as running nor as
    /// ended. A run that another scheduler had stopped may be at work for a moment without being listed.
    fn end_missing_runs(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        worker.unclaimed_runs.retain_mut(|u| {
            if report.may_list(u.name, u.run) {
                return true;
            }
            // A run that is being stopped is not listed, but is still at work.
            let since = *u.unlisted_since.get_or_insert(cx.now);
            let unlisted = cx.now.saturating_duration_since(since);
            u.stop_sent.is_some() && unlisted < cx.cfg.leased.stop_grace
        });
        if !worker.lists_own_runs(sent) {
            return;
        }
        let mut position = 0;
        while position < self.workers[key].runs.len() {
            let run = &self.workers[key].runs[position];
            let is_confirmed = run.confirmed_at.is_some_and(|at| at < sent);
            if is_confirmed && !report.may_list(run.name, run.run) {
                let run = self.workers[key].remove_run(position);
                let end = (EndKind::Stopped, EndEvidence::NotListed);
                self.end_unreported_run(cx, key, &run, end, out);
            } else {
                position += 1;
            }
        }
    }

    /// Takes a report of an instance that knows a raised token for a confirmed stop of the runs that were ordered
    /// with a lower one for a former instance.
    fn confirm_refusals(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        report: &WorkerReport,
    ) {
        let worker = &mut self.workers[key];
        if worker.has_raised_token_since(sent) {
            return;
        }
        let token = worker.raised_token(self.token);
        for run in &mut worker.runs {
            let is_refused = run.is_unbegun_at_former_instance() && run.token < token;
            if is_refused && !report.may_list(run.name, run.run) {
                run.state = RunState::Stopping;
                // An earlier stop may have been carried out, and its run may go on for `stop_grace`.
                run.confirmed_at = Some(cx.now + cx.cfg.leased.stop_grace);
            }
        }
    }

    /// Stops runs whose start was not answered and that a later poll did not confirm.
    fn stop_unconfirmed(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        out: &mut Vec<Effect>,
    ) {
        let is_due = |r: &&Run| {
            r.state == RunState::Unconfirmed
                && r.unconfirmed_since.is_some_and(|since| since <= sent)
        };
        let due: Vec<_> = self.workers[key]
            .runs
            .iter()
            .filter(is_due)
            .map(|r| (r.name, r.run))
            .collect();
        if due.is_empty() {
            return;
        }
        let worker = &mut self.workers[key];
        if worker.raise_token(self.token, cx.now) {
            let name = worker.entry.name.clone();
            let known = self.raised_rounds.entry(name).or_default();
            *known = worker.raised_rounds.max(*known);
        }
        for run in due {
            self.stop_with_cause(cx, key, run, StopCause::OrderUnanswered, out);
        }
    }

    /// Counts a failed poll, and sets the earliest time of the next one.
    pub(super) fn poll_failed(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        worker.poll_state.in_flight_since = None;
        let cfg = &cx.cfg.leased;
        let misses = worker.poll_state.misses;
        worker.poll_state.misses += 1;
        if worker.poll_state.misses == MAX_MISSES {
            out.push(worker.condition_event(WorkerCondition::Unresponsive, Duration::ZERO));
        }
        // The first retry has no pause: a single call is occasionally lost.
        let pause = exponential_backoff(cfg.first_pause, misses.saturating_sub(1), cfg.max_pause);
        worker.poll_state.not_before = (misses > 0).then(|| cx.now + pause);
    }

    /// Handles a call sent at `sent` that another worker answered at the worker's address: what the
    /// worker ran before has ended with it. Polls go on with growing pauses until the entry is removed.
    pub(super) fn on_other_instance(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        out: &mut Vec<Effect>,
    ) {
        let worker = &mut self.workers[key];
        // Further polls of the address are refused as well.
        if worker.instance.is_some() || !worker.runs.is_empty() {
            out.push(worker.instance_event(InstanceSource::RefusedCall, None));
        }
        if worker.reported_at.is_some_and(|at| at >= sent) {
            worker.suspect_restart();
            return;
        }
        worker.reset_instance();
        worker.token_confirmed_at = Some(cx.now);
        worker.unclaimed_runs.retain(|u| u.since >= sent);
        self.explain_silence(cx, key, SilenceCause::Replaced, out);
        let mut lost = Vec::new();
        let mut position = 0;
        while let Some(run) = self.workers[key].runs.get(position) {
            if !run.is_settled_before(sent) {
                position += 1;
                continue;
            }
            lost.push(self.workers[key].remove_run(position));
        }
        self.runs_lost(cx, key, &lost, EndEvidence::OtherInstance, out);
        for run in &lost {
            let end = (EndKind::Lapsed, EndEvidence::OtherInstance);
            self.run_ended(cx, key, run, end, out);
        }
        while self.workers[key].poll_state.misses < MAX_MISSES {
            self.poll_failed(cx, key, out);
        }
        self.poll_failed(cx, key, out);
    }

    /// Sends a poll if one is due and none is in flight. Leases are not renewed for runs of durable
    /// jobs while the epoch is unconfirmed.
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
        let may_renew = is_confirmed || !worker.has_durable_runs();
        let is_early = worker.poll_state.not_before.is_some_and(|t| cx.now < t);
        let is_sought = !worker.is_absent(cx.now, cx.cfg.leased.departed_ttl)
            || worker.sought_until.is_some_and(|until| cx.now < until);
        if worker.poll_state.in_flight_since.is_some() || is_early || !needs_poll(worker, is_sought)
        {
            return;
        }
        let has_runs = !worker.runs.is_empty();
        let limit = self.lease_limit(cx, key);
        let has_durable_jobs = self.may_have_durable_jobs();
        let worker = &mut self.workers[key];
        let lease_until = worker
            .clock
            // A lease that an unresponsive worker may not have received must not delay the restart
            // of its tasks.
            .filter(|_| has_runs && worker.token_confirmed_at.is_some() && !worker.missed_last_call())
            .filter(|_| !worker.may_run_unclaimed())
            .filter(|_| may_renew && !worker.must_let_leases_lapse(cx.now, cx.cfg.leased.stale_end_drain))
            .map(|clock| limited_lease(cx, &clock, limit));
        if let Some(until) = lease_until {
            worker.extend_lease(until);
        }
        // An end of a durable job must not be lost to the acknowledgement of a former instance, also
        // not while the poll that carries it waits.
        let has_ends = worker.has_unsent_ack || !worker.unstored_ends.is_empty();
        let is_prompt = (has_durable_jobs && has_ends)
            || worker.token_confirmed_at.is_none()
            || worker.poll_state.must_read_clock
            || worker.poll_state.misses > 0;
        let last_processed_end = worker.take_ack(cx.now, has_durable_jobs);
        let number = worker.poll_state.begin(cx.now, is_prompt);
        out.push(Effect::Poll(PollCall {
            worker: key,
            name: worker.entry.name.clone(),
            address: worker.entry.address,
            lease_until,
            last_processed_end,
            number,
            wait: if is_prompt {
                Duration::ZERO
            } else {
                let wait = poll_wait(&cx.cfg.leased, worker, cx.now);
                limit.map_or(wait, |limit| wait.min(renewal_wait(cx, limit)))
            },
            token: worker.raised_token(self.token),
        }));
    }
}

/// Whether a worker has to be polled; with `is_sought`, also only to learn what runs there.
fn needs_poll(worker: &Worker, is_sought: bool) -> bool {
    let has_runs = !worker.runs.is_empty() || !worker.unclaimed_runs.is_empty();
    let is_unconfirmed = (is_sought && worker.token_confirmed_at.is_none())
        || (worker.is_listed && worker.poll_state.misses > 0);
    has_runs || worker.has_unsent_ack || worker.poll_state.must_read_clock || is_unconfirmed
}

/// Time that a poll waits for an end: until the first task is overdue.
fn poll_wait(cfg: &LeasedConfig, worker: &Worker, now: Instant) -> Duration {
    if worker.runs.iter().any(|r| r.state == RunState::Stopping)
        || !worker.unclaimed_runs.is_empty()
    {
        return cfg.min_poll_wait;
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
        .clamp(cfg.min_poll_wait, cfg.max_poll_wait)
}
