//! State that the scheduler keeps of a worker: runs, leases, polls and unacknowledged ends.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::effect::Effect;
use super::health::Health;
use super::job::TaskKey;
use super::log_event::{InstanceSource, LogEvent, WorkerCondition};
use super::names::{FencingToken, JobId, RESERVED_ROUNDS, TaskName, WorkerName};
use super::report::WorkerReport;
use super::spec::Resources;
use super::unanswered_stop::UnansweredStop;
use super::worker_clock::{WorkerClock, WorkerTime};
use crate::configs::leased::LeasedConfig;

slotmap::new_key_type! {
    /// Key of a worker in the scheduler's arena; never reused for another worker.
    pub struct WorkerKey;
}

/// Number of a poll of a worker, counted by the scheduler that sends it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PollNumber(u64);

/// Unanswered calls in a row from which a worker gets no tasks. A single call is lost now and then
/// although the worker is healthy.
pub(super) const MAX_MISSES: u32 = 2;

/// Time after a report in which a poll may acknowledge its ends; shorter than the restart of a worker
/// and a task there take together.
const ACK_WINDOW: Duration = Duration::from_millis(50);

/// Time for which an order without an answer counts as still on its way; longer than the platform lists a
/// silent worker.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(6);

/// Number of earlier instances of a worker that are remembered.
const MAX_SUPERSEDED: usize = 8;

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum WorkerState {
    /// The worker takes new tasks.
    Ready,
    /// The worker finishes its runs and then leaves.
    Draining,
}

/// A worker's entry in the platform's store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Unique name; a restarted worker keeps it.
    pub name: WorkerName,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Address at which the worker takes orders and polls.
    pub address: SocketAddr,
    /// Data centre in which the worker runs.
    pub data_centre: Arc<str>,
    /// Whether the worker takes new tasks.
    pub state: WorkerState,
    /// Total resources, not what is free.
    pub capacity: Resources,
    /// Labels for the kind of the worker and its rack.
    pub labels: Vec<Arc<str>>,
    /// Time for which the worker stays slow after its start, as of its last change; zero once it is warm.
    pub cold_remaining: Duration,
    /// Start of this instance of the worker, in Unix milliseconds; `None` if the entry has none.
    pub instance_started_unix_ms: Option<u64>,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// The start order has not been answered yet.
    Starting,
    /// The worker has confirmed the start.
    Running,
    /// The start order was not answered in time: the worker may start the run, also later.
    Unconfirmed,
    /// A stop order was sent.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_field_names, reason = "the platform numbers runs, too")]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) name: TaskName,
    pub(super) run: u32,
    pub(super) size: Resources,
    pub(super) state: RunState,
    /// Fencing token of the start order.
    pub(super) token: FencingToken,
    /// Whether the start order was meant for a former instance of the worker.
    pub(super) is_for_former_instance: bool,
    /// When the start order was sent, or an earlier scheduler's run was adopted.
    pub(super) sent: Instant,
    /// A poll sent after this time that does not list the run proves that the run has ended. `None`
    /// until the worker has confirmed the start, or the stop.
    pub(super) confirmed_at: Option<Instant>,
    /// Whether the job is durable.
    pub(super) is_durable: bool,
    /// Expected run time on this worker.
    pub(super) expected: Duration,
    /// Factor of this worker in `expected`.
    pub(super) factor: f64,
    /// Part of `factor` that is the speed of the worker.
    pub(super) speed: f64,
    /// Last reported progress, 0 to 100.
    pub(super) percent: u8,
    /// When `percent` last increased.
    pub(super) progressed_at: Instant,
    /// Whether an earlier scheduler started the run, so that its start time is unknown.
    pub(super) is_adopted: bool,
    /// When the run became [`RunState::Unconfirmed`]; `None` if the start order was answered.
    pub(super) unconfirmed_since: Option<Instant>,
    /// Whether the run's slow pace has been added to the worker's health.
    pub(super) is_pace_counted: bool,
    /// When a stop order was last sent.
    pub(super) stop_sent: Option<Instant>,
    pub(super) unanswered_stop: UnansweredStop,
    /// Whether the task has lost a run with its worker before.
    pub(super) is_suspect: bool,
    /// Whether nothing may run beside it.
    pub(super) needs_own_worker: bool,
    /// Time beyond which no lease may be given while the run may be at work, as its caller may send the job
    /// again; `None` without a limit. It stays when the job ends.
    pub(super) may_run_until: Option<Instant>,
}

impl Run {
    /// Whether the worker has confirmed a stop of the run.
    pub(super) fn is_stop_confirmed(&self) -> bool {
        self.state == RunState::Stopping && self.confirmed_at.is_some()
    }

    /// Whether the start order was for a former instance and got no answer, nor has a stop.
    pub(super) fn is_unbegun_at_former_instance(&self) -> bool {
        let is_open = match self.state {
            RunState::Unconfirmed => true,
            RunState::Stopping => self.unconfirmed_since.is_some() && self.confirmed_at.is_none(),
            RunState::Starting | RunState::Running => false,
        };
        is_open && self.is_for_former_instance
    }

    /// Whether the worker has confirmed that the run has begun. An order without an answer may never
    /// have reached it.
    pub(super) fn has_begun(&self) -> bool {
        self.state == RunState::Running
    }

    /// Whether a restarted worker may carry the start order out later: nobody has answered it, and a cut
    /// may hold it up. A stop that nobody has confirmed changes nothing at the next instance.
    pub(super) fn may_begin_later(&self, now: Instant) -> bool {
        let is_open = self.state == RunState::Unconfirmed || self.is_unbegun_at_former_instance();
        let is_recent = |since| now.saturating_duration_since(since) < MAX_ORDER_DELAY;
        is_open && self.unconfirmed_since.is_some_and(is_recent)
    }

    /// Whether all that is known of the run, apart from a pending start order, dates from before
    /// `at`.
    pub(super) fn is_settled_before(&self, at: Instant) -> bool {
        let since = match self.state {
            RunState::Starting => None,
            RunState::Running => self.confirmed_at,
            RunState::Unconfirmed => self.unconfirmed_since,
            RunState::Stopping => self.stop_sent,
        };
        since.is_some_and(|since| since < at)
    }
}

/// A run of an earlier scheduler whose job no entry VM has claimed yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnclaimedRun {
    pub(super) name: TaskName,
    pub(super) run: u32,
    /// When a poll first listed the run.
    pub(super) since: Instant,
    /// When a stop order was last sent.
    pub(super) stop_sent: Option<Instant>,
    /// Whether the worker has confirmed a stop.
    pub(super) is_stop_confirmed: bool,
    pub(super) unanswered_stop: UnansweredStop,
    /// Since when polls list the run neither as running nor as ended.
    pub(super) unlisted_since: Option<Instant>,
}

/// State of the polls of a worker. At most one poll is in flight, and only its reply counts: each
/// report is thus of a later time than the one before.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PollState {
    /// Number of the last poll.
    pub(super) last: PollNumber,
    /// When the poll in flight was sent.
    pub(super) in_flight_since: Option<Instant>,
    /// Whether that poll does not wait for ends.
    pub(super) is_prompt: bool,
    /// Whether a poll has to be sent to read the clock, for which a task waits.
    pub(super) must_read_clock: bool,
    /// Polls in a row that were not answered.
    pub(super) misses: u32,
    /// Earliest time of the next poll.
    pub(super) not_before: Option<Instant>,
}

impl PollState {
    /// Starts the next poll, and returns its number.
    pub(super) fn begin(&mut self, now: Instant, is_prompt: bool) -> PollNumber {
        self.last.0 += 1;
        self.in_flight_since = Some(now);
        self.is_prompt = is_prompt;
        self.last
    }

    /// Whether a poll is the one in flight.
    pub(super) fn is_in_flight(&self, number: PollNumber) -> bool {
        self.in_flight_since.is_some() && self.last == number
    }

    /// Gives up the poll in flight, so that the next one can be sent at once.
    pub(super) fn abandon(&mut self) {
        *self = Self {
            last: self.last,
            ..Self::default()
        };
    }
}

/// A worker, its runs and what is known of its condition.
#[derive(Debug, Clone)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// Whether the platform lists the worker.
    pub(super) is_listed: bool,
    /// When the worker's entry was removed; `None` while the platform lists the worker.
    pub(super) departed: Option<Instant>,
    /// Until when the worker is polled although it departed long ago.
    pub(super) sought_until: Option<Instant>,
    /// Start of the instance that answered the last poll, in Unix milliseconds; `None` if unknown.
    pub(super) instance: Option<u64>,
    /// Starts of earlier instances, oldest first.
    pub(super) superseded: VecDeque<u64>,
    /// When the last report arrived.
    pub(super) reported_at: Option<Instant>,
    /// Whether the last report answered a poll that did not wait, so that it was recent on arrival.
    pub(super) was_report_prompt: bool,
    /// Last reading of that instance's clock.
    pub(super) clock: Option<WorkerClock>,
    /// When the worker first answered to this scheduler's token; since then it obeys no scheduler
    /// with a lower token.
    pub(super) token_confirmed_at: Option<Instant>,
    /// Whether another scheduler may have given the worker orders since its last report.
    pub(super) may_have_followed_other: bool,
    /// Until when a run that another scheduler has stopped may be at work without being listed.
    pub(super) others_stops_until: Option<Instant>,
    /// Since when the worker has followed a scheduler with a higher fencing token.
    pub(super) higher_token_since: Option<Instant>,
    /// Rounds by which this scheduler has raised its token at the worker.
    pub(super) raised_rounds: u64,
    /// When it last did so.
    pub(super) token_raised_at: Option<Instant>,
    /// When the longest lease given to the present instance lapses: on the scheduler's clock, and
    /// on the worker's.
    pub(super) lease: Option<(Instant, WorkerTime)>,
    /// When the longest lease that another scheduler may have given to the present instance lapses, on the worker's
    /// clock; `None` before its first report.
    pub(super) others_lease: Option<WorkerTime>,
    /// When leases that were given to a former instance, or by an earlier scheduler, have lapsed.
    pub(super) former_leases_until: Option<Instant>,
    pub(super) runs: Vec<Run>,
    pub(super) unclaimed_runs: Vec<UnclaimedRun>,
    /// Runs that ended as the worker was silent until its leases had lapsed, while it is not known
    /// whether the worker crashed; and whether each is known to have begun.
    pub(super) lost_runs: Vec<(TaskName, u32, bool)>,
    /// Resources of all `runs`.
    pub(super) used: Resources,
    /// Number of the highest end that has been processed.
    pub(super) last_processed_end: u64,
    /// Numbers of the ends that have been processed and that the worker still lists.
    pub(super) processed_ends: BTreeSet<u64>,
    /// Ends of durable jobs that must not be acknowledged before they are stored.
    pub(super) unstored_ends: Vec<(u64, JobId)>,
    /// Number of the first end whose job may be durable, as the job's record has not been read yet.
    pub(super) first_unclassified_end: Option<u64>,
    /// Number of the first successful end of an invalidated run, and when this end was processed. It
    /// is acknowledged only after the worker's leases have lapsed.
    pub(super) stale_end: Option<(u64, Instant)>,
    /// Whether a poll has to be sent to acknowledge ends.
    pub(super) has_unsent_ack: bool,
    pub(super) poll_state: PollState,
    /// Since when the evacuation of the worker's data centre is known; `None` if it is not evacuated.
    pub(super) evacuated_since: Option<Instant>,
    /// Until when the worker is cold, by its entry.
    pub(super) cold_until: Option<Instant>,
    /// Until when the worker counts as full, after it refused a task for lack of room.
    pub(super) full_until: Option<Instant>,
    pub(super) health: Health,
    /// Speed factor in run times: 1 is nominal, and more is slower. It stays 1 until it is certain to differ.
    pub(super) speed: f64,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            is_listed: true,
            departed: None,
            sought_until: None,
            instance: None,
            superseded: VecDeque::new(),
            reported_at: None,
            was_report_prompt: false,
            clock: None,
            token_confirmed_at: None,
            may_have_followed_other: false,
            others_stops_until: None,
            higher_token_since: None,
            raised_rounds: 0,
            token_raised_at: None,
            lease: None,
            others_lease: None,
            former_leases_until: None,
            runs: Vec::new(),
            unclaimed_runs: Vec::new(),
            lost_runs: Vec::new(),
            used: Resources::default(),
            last_processed_end: 0,
            processed_ends: BTreeSet::new(),
            unstored_ends: Vec::new(),
            first_unclassified_end: None,
            stale_end: None,
            has_unsent_ack: false,
            poll_state: PollState::default(),
            evacuated_since: None,
            cold_until: None,
            full_until: None,
            health: Health::default(),
            speed: 1.0,
        }
    }

    pub(super) fn free(&self) -> Resources {
        self.entry.capacity.without(&self.used)
    }

    /// Whether tasks can be placed: the worker is listed and ready, answers to this scheduler's token,
    /// and lists no stale end.
    pub(super) fn is_usable(&self) -> bool {
        self.is_listed
            && self.entry.state == WorkerState::Ready
            && self.token_confirmed_at.is_some()
            && self.clock.is_some()
            && self.stale_end.is_none()
            && self.poll_state.misses < MAX_MISSES
    }

    /// Whether a start order may use the reading of the worker's clock.
    pub(super) fn has_fresh_clock(&self, now: Instant, max_age: Duration) -> bool {
        let clock = self.clock.as_ref();
        clock.is_some_and(|c| c.is_fresh(now, max_age))
    }

    /// Whether the worker is listed and ready, and has not become unresponsive.
    pub(super) fn may_become_usable(&self) -> bool {
        let is_open_for_tasks = self.is_listed && self.entry.state == WorkerState::Ready;
        is_open_for_tasks && self.poll_state.misses < MAX_MISSES
    }

    /// Whether the worker's data centre is evacuated: new jobs can't use the worker.
    pub(super) fn is_evacuated(&self) -> bool {
        self.evacuated_since.is_some()
    }

    /// Whether no task at all may start, as the evacuation has been known for `grace`.
    pub(super) fn is_closed_by_evacuation(&self, now: Instant, grace: Duration) -> bool {
        let age = |since| now.saturating_duration_since(since);
        self.evacuated_since
            .is_some_and(|since| age(since) >= grace)
    }

    /// Whether the worker is still slow after its start.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Whether the worker refused a task for lack of room a moment ago.
    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether any run belongs to a durable job.
    pub(super) fn has_durable_runs(&self) -> bool {
        self.runs.iter().any(|r| r.is_durable)
    }

    /// Whether the leases must not be renewed: the ends of invalidated runs can be acknowledged only
    /// after the leases have lapsed. `drain` is the time for the worker to finish its other runs.
    pub(super) fn must_let_leases_lapse(&self, now: Instant, drain: Duration) -> bool {
        let is_drained = |since| now.saturating_duration_since(since) >= drain;
        self.stale_end.is_some_and(|(_, since)| is_drained(since))
    }

    /// Whether the last call to the worker was not answered.
    pub(super) fn missed_last_call(&self) -> bool {
        self.poll_state.misses > 0
    }

    /// Fencing token for the worker, of a scheduler with `token`.
    pub(super) fn raised_token(&self, token: FencingToken) -> FencingToken {
        token.raised_by(self.raised_rounds)
    }

    /// Raises the token if a run was ordered with the present one and for a former instance: once the present
    /// instance knows the higher one, it refuses that order, also if each stop is lost. Returns whether the token
    /// was raised.
    pub(super) fn raise_token(&mut self, token: FencingToken, now: Instant) -> bool {
        let present = self.raised_token(token);
        let is_former = |r: &Run| r.is_unbegun_at_former_instance() && r.token >= present;
        let must_raise = self.raised_rounds < RESERVED_ROUNDS && self.runs.iter().any(is_former);
        if must_raise {
            self.raised_rounds += 1;
            self.token_raised_at = Some(now);
        }
        must_raise
    }

    /// Whether a call sent at `sent` may have been refused because of a raised token of this scheduler.
    pub(super) fn has_raised_token_since(&self, sent: Instant) -> bool {
        self.token_raised_at.is_some_and(|at| sent < at)
    }

    /// Whether an order to stop a run may have been refused because of a raised token of this scheduler.
    pub(super) fn may_have_refused_own_stop(&self, (name, run): (TaskName, u32)) -> bool {
        let position = self.run_position(name, run);
        let sent = position.and_then(|p| self.runs[p].stop_sent);
        sent.is_some_and(|sent| self.has_raised_token_since(sent))
    }

    pub(super) fn run_position(&self, name: TaskName, run: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|r| r.name == name && r.run == run)
    }

    /// Orders to stop a run, which may be unclaimed; `None` where the run is unknown.
    pub(super) fn unanswered_stop(
        &mut self,
        name: TaskName,
        run: u32,
    ) -> Option<&mut UnansweredStop> {
        if let Some(position) = self.run_position(name, run) {
            return Some(&mut self.runs[position].unanswered_stop);
        }
        let mut unclaimed = self.unclaimed_runs.iter_mut();
        let unclaimed = unclaimed.find(|u| u.name == name && u.run == run)?;
        Some(&mut unclaimed.unanswered_stop)
    }

    pub(super) fn add_run(&mut self, run: Run) {
        self.used += run.size;
        self.runs.push(run);
    }

    pub(super) fn remove_run(&mut self, position: usize) -> Run {
        let run = self.runs.swap_remove(position);
        self.used -= run.size;
        run
    }

    /// Records a lease until `until` on the worker's clock, unless a longer one was given.
    pub(super) fn extend_lease(&mut self, until: WorkerTime) {
        let Some(clock) = self.clock else { return };
        let until = self.lease.map_or(until, |(_, known)| known.max(until));
        self.lease = Some((clock.lapse(until), until));
    }

    /// Time beyond which no lease may be given to the worker; `None` without a limit.
    pub(super) fn lease_limit(&self) -> Option<Instant> {
        let runs = self.runs.iter().filter(|r| !r.is_stop_confirmed());
        runs.filter_map(|r| r.may_run_until).min()
    }

    /// Whether a run may be at work of which nothing tells that its caller waits: no entry VM has claimed it, and its stop
    /// is not confirmed. No lease may be given to the worker then.
    pub(super) fn may_run_unclaimed(&self) -> bool {
        self.unclaimed_runs.iter().any(|u| !u.is_stop_confirmed)
    }

    /// Whether any lease that the worker may have, whoever gave it, ends by `limit` even on the slowest clock.
    pub(super) fn is_lease_over_by(&self, limit: Instant) -> bool {
        let longest = self.lease.map(|(_, until)| until).max(self.others_lease);
        let Some((clock, until)) = self.clock.zip(longest) else {
            return true;
        };
        until <= clock.latest_lease(limit)
    }

    /// Records the leases that others may have given until the last report, each for up to `lease`; since then the
    /// worker obeys this scheduler's token.
    pub(super) fn note_others_leases(&mut self, lease: Duration, max_clock_age: Duration) {
        if self.others_lease.is_none() || self.may_have_followed_other {
            self.others_lease = self.clock.map(|c| c.longest_lease(lease, max_clock_age));
        }
    }

    /// Whether all leases given to the worker have lapsed.
    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        let lapse = self.lease.map(|(lapse, _)| lapse);
        lapse
            .max(self.former_leases_until)
            .is_none_or(|at| now >= at)
    }

    /// Whether a report is of another instance than the reports before.
    pub(super) fn is_other_instance(&self, report: &WorkerReport) -> bool {
        match (self.instance, report.instance_started_unix_ms) {
            (Some(known), Some(reported)) => known != reported,
            // The clock of an instance never goes back.
            _ => self
                .clock
                .is_some_and(|clock| report.clock < clock.reading()),
        }
    }

    /// Whether a report is of an instance that another one has replaced: that process still serves the
    /// connections that it has accepted. Where the time of day jumps back, the present instance may
    /// name an earlier start again, but its clock goes on.
    pub(super) fn is_superseded(&self, report: &WorkerReport, now: Instant) -> bool {
        let instance = report.instance_started_unix_ms;
        let clock = self.clock.as_ref();
        instance.is_some_and(|i| self.superseded.contains(&i))
            && clock.is_some_and(|c| !c.may_read(report.clock, now))
    }

    /// Remembers that another instance has replaced the present one.
    pub(super) fn supersede_instance(&mut self) {
        if let Some(instance) = self.instance {
            self.superseded.push_back(instance);
            if self.superseded.len() > MAX_SUPERSEDED {
                self.superseded.pop_front();
            }
        }
    }

    /// Forgets what only holds for the former instance: its clock, its leases and the numbers of its
    /// ends. Its runs stay: which of them have ended is decided by what the new instance lists.
    pub(super) fn reset_instance(&mut self) {
        if let Some((lapse, _)) = self.lease.take() {
            self.add_former_leases(lapse);
        }
        self.others_lease = None;
        for run in &mut self.runs {
            run.is_for_former_instance = true;
        }
        self.instance = None;
        self.clock = None;
        self.token_confirmed_at = None;
        self.last_processed_end = 0;
        self.processed_ends.clear();
        self.unstored_ends.clear();
        self.first_unclassified_end = None;
        self.stale_end = None;
        self.has_unsent_ack = false;
    }

    /// Records leases of unknown length that others may have given, and that lapse by `until`.
    pub(super) fn add_former_leases(&mut self, until: Instant) {
        self.former_leases_until = self.former_leases_until.max(Some(until));
    }

    /// Updates the clock by a reading that does not tell its instance; ignores it if it can't be of
    /// the known one.
    pub(super) fn read_clock(&mut self, reading: WorkerTime, now: Instant) {
        if let Some(clock) = self.clock.as_mut().filter(|c| c.may_read(reading, now)) {
            *clock = WorkerClock::new(reading, now);
        }
    }

    /// Takes the worker out of use until a poll has told which instance answers.
    pub(super) fn suspect_restart(&mut self) {
        self.token_confirmed_at = None;
        self.poll_state.abandon();
    }

    /// Notes that the worker's entry was removed, or has another address now.
    pub(super) fn depart(&mut self, now: Instant) {
        self.is_listed = false;
        self.departed = Some(now);
        // A worker that left without draining may still run and follow another scheduler.
        if self.entry.state == WorkerState::Ready {
            self.token_confirmed_at = None;
        }
    }

    /// Notes that the worker obeys this scheduler's token from now on.
    pub(super) fn confirm_token(&mut self, now: Instant, stop_grace: Duration) {
        self.token_confirmed_at = Some(now);
        if std::mem::take(&mut self.may_have_followed_other) {
            self.others_stops_until = Some(now + stop_grace);
        }
    }

    /// Whether a poll sent at `sent` lists every run at work that this scheduler has not stopped.
    pub(super) fn lists_own_runs(&self, sent: Instant) -> bool {
        self.others_stops_until.is_none_or(|until| until <= sent)
    }

    /// Number of the highest end that the next poll acknowledges, or 0. The number means another end
    /// to another instance, so only a poll that soon follows a report acknowledges any, and only once.
    /// With `is_strict` that is a report which did not wait for ends.
    pub(super) fn take_ack(&mut self, now: Instant, is_strict: bool) -> u64 {
        let is_recent = |at| now.saturating_duration_since(at) <= ACK_WINDOW;
        if self.missed_last_call()
            || !self.reported_at.is_some_and(is_recent)
            || (is_strict && !self.was_report_prompt)
        {
            return 0;
        }
        if std::mem::take(&mut self.has_unsent_ack) {
            self.acknowledged()
        } else {
            0
        }
    }

    /// Whether a report lists every run on the worker. A run that an earlier scheduler had stopped
    /// is not listed while it ends, which takes up to `stop_grace`.
    pub(super) fn reports_all_runs(&self, now: Instant, stop_grace: Duration) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.token_confirmed_at
            .is_some_and(|at| age(at) >= stop_grace)
    }

    /// Number of the highest end that may be acknowledged.
    pub(super) fn acknowledged(&self) -> u64 {
        let unstored = self.unstored_ends.iter().map(|e| e.0);
        let stale = self.stale_end.map(|e| e.0);
        let first = unstored
            .chain(self.first_unclassified_end)
            .chain(stale)
            .min();
        first.map_or(self.last_processed_end, |first| first - 1)
    }

    /// Log event for a message that names another instance.
    pub(super) fn instance_event(&self, source: InstanceSource, seen: Option<u64>) -> Effect {
        Effect::LogEvent(LogEvent::InstanceChanged {
            worker: self.entry.name.clone(),
            source,
            known_unix_ms: self.instance,
            seen_unix_ms: seen,
            runs: self.runs.len(),
        })
    }

    /// Log event for a change of the worker's condition.
    pub(super) fn condition_event(&self, condition: WorkerCondition, pause: Duration) -> Effect {
        Effect::LogEvent(LogEvent::WorkerConditionChanged {
            worker: self.entry.name.clone(),
            belief: condition,
            misses: self.poll_state.misses,
            pause,
            runs: self.runs.len(),
        })
    }

    /// Whether the worker's entry was removed so long ago that only a scheduler beyond a cut can use the worker.
    pub(super) fn is_absent(&self, now: Instant, departed_ttl: Duration) -> bool {
        self.departed
            .is_some_and(|at| now.saturating_duration_since(at) >= departed_ttl)
    }

    /// Whether the worker can be dropped: its entry was removed and nothing can run on it any more. One that left without
    /// draining may run tasks of a scheduler beyond a cut, also after it has reported that it runs none.
    pub(super) fn is_removable(&self, now: Instant, cfg: &LeasedConfig) -> bool {
        let is_over = |at| {
            let has_left =
                self.entry.state == WorkerState::Draining && self.token_confirmed_at.is_some();
            has_left || now.saturating_duration_since(at) >= cfg.departed_ttl + cfg.absent_ttl
        };
        self.runs.is_empty() && self.unclaimed_runs.is_empty() && self.departed.is_some_and(is_over)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|l| **l == *label)
    }
}
