//! A worker, as the scheduler sees it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::effect::Effect;
use super::health::Health;
use super::job::TaskKey;
use super::names::{JobId, TaskName, WorkerName};
use super::note::{LogEvent, WorkerCondition};
use super::spec::Resources;
use super::worker_clock::{WorkerClock, WorkerTime};

slotmap::new_key_type! {
    /// Key of a worker in the scheduler's arena.
    pub struct WorkerKey;
}

/// Calls in a row without an answer from which a worker gets no tasks. One call is lost now and
/// then while the worker is sound.
pub(super) const MAX_MISSES: u32 = 2;

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum WorkerState {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A worker's entry, as the platform lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// Its name.
    pub name: WorkerName,
    /// Service whose tasks it runs.
    pub service: Arc<str>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// Whether it takes new tasks.
    pub state: WorkerState,
    /// Its size.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
    /// Start of this life, in Unix milliseconds.
    pub instance_started_unix_ms: Option<u64>,
}

/// Where a run is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// The order is under way.
    Starting,
    /// The worker has confirmed it.
    Running,
    /// It may run, now or later: the order was not answered.
    Unconfirmed,
    /// It has been told to stop.
    Stopping,
}

/// A run of a task on a worker.
#[derive(Debug, Clone)]
#[expect(clippy::struct_field_names, reason = "the platform numbers runs, too")]
pub(super) struct Run {
    pub(super) task: TaskKey,
    pub(super) name: TaskName,
    pub(super) run: u32,
    pub(super) size: Resources,
    pub(super) state: RunState,
    /// When the order was sent.
    pub(super) sent: Instant,
    /// From when on a look that does not list it proves that it is over; unknown until the worker
    /// has confirmed the start, or the stop.
    pub(super) confirmed_at: Option<Instant>,
    /// Whether its job must be kept.
    pub(super) is_durable: bool,
    pub(super) expected: Duration,
    pub(super) percent: u8,
    /// When `percent` last grew.
    pub(super) progressed_at: Instant,
    /// Whether an earlier scheduler started it, so that its start is not known.
    pub(super) is_adopted: bool,
    /// Since when it is not known whether it runs.
    pub(super) unconfirmed_since: Option<Instant>,
    /// Whether its pace has been held against the worker.
    pub(super) is_pace_counted: bool,
    /// When a stop was last sent.
    pub(super) stop_sent: Option<Instant>,
}

/// A run of an earlier scheduler that nobody has asked for yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct UnclaimedRun {
    pub(super) name: TaskName,
    pub(super) run: u32,
    pub(super) since: Instant,
    pub(super) stop_sent: Option<Instant>,
}

/// Looks at a worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PollState {
    /// When the look that is under way was sent.
    pub(super) in_flight_since: Option<Instant>,
    /// Looks in a row that were not answered.
    pub(super) misses: u32,
    /// Earliest time of the next look.
    pub(super) not_before: Option<Instant>,
}

/// A worker.
#[derive(Debug, Clone)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    /// Whether the platform lists it.
    pub(super) is_listed: bool,
    /// Since when the platform does not list it.
    pub(super) departed: Option<Instant>,
    pub(super) clock: Option<WorkerClock>,
    /// When it answered to this scheduler's token: no other one gives it orders since.
    pub(super) token_confirmed_at: Option<Instant>,
    /// Since when it obeys another scheduler.
    pub(super) higher_token_since: Option<Instant>,
    /// When the longest lease given to it lapses, and on its own clock.
    pub(super) lease: Option<(Instant, WorkerTime)>,
    pub(super) runs: Vec<Run>,
    pub(super) unclaimed_runs: Vec<UnclaimedRun>,
    pub(super) used: Resources,
    /// Highest end that has been taken note of.
    pub(super) last_processed_end: u64,
    /// Ends that have been taken note of and are listed still.
    pub(super) processed_ends: BTreeSet<u64>,
    /// Ends of kept jobs that are not stored yet, and must not be acknowledged before.
    pub(super) unstored_ends: Vec<(u64, JobId)>,
    /// First end of a job that may be a kept one whose record is still to come.
    pub(super) first_unclassified_end: Option<u64>,
    /// First successful end of a run that counts as lost, and since when it is known. It is
    /// acknowledged only after the worker's leases have lapsed.
    pub(super) stale_end: Option<(u64, Instant)>,
    /// Whether `last_processed_end` has grown since it was last sent.
    pub(super) has_unsent_ack: bool,
    pub(super) poll_state: PollState,
    /// Until when it counts as full, though it seemed to have room.
    pub(super) full_until: Option<Instant>,
    pub(super) health: Health,
}

impl Worker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            is_listed: true,
            departed: None,
            clock: None,
            token_confirmed_at: None,
            higher_token_since: None,
            lease: None,
            runs: Vec::new(),
            unclaimed_runs: Vec::new(),
            used: Resources::default(),
            last_processed_end: 0,
            processed_ends: BTreeSet::new(),
            unstored_ends: Vec::new(),
            first_unclassified_end: None,
            stale_end: None,
            has_unsent_ack: false,
            poll_state: PollState::default(),
            full_until: None,
            health: Health::default(),
        }
    }

    pub(super) fn free(&self) -> Resources {
        self.entry.capacity.without(&self.used)
    }

    /// Whether it answers, takes tasks and holds only runs that are known.
    pub(super) fn is_usable(&self) -> bool {
        self.is_listed
            && self.entry.state == WorkerState::Ready
            && self.token_confirmed_at.is_some()
            && self.clock.is_some()
            && self.stale_end.is_none()
            && self.poll_state.misses < MAX_MISSES
    }

    /// Whether it answers, as far as is known, and takes tasks.
    pub(super) fn may_become_usable(&self) -> bool {
        let is_open = self.is_listed && self.entry.state == WorkerState::Ready;
        is_open && self.poll_state.misses < MAX_MISSES
    }

    /// Whether it said a moment ago that it has no room.
    pub(super) fn is_full(&self, now: Instant) -> bool {
        self.full_until.is_some_and(|until| now < until)
    }

    /// Whether it holds runs of kept jobs.
    pub(super) fn has_durable_runs(&self) -> bool {
        self.runs.iter().any(|r| r.is_durable)
    }

    /// Whether its leases must not be renewed, so that ends of lost runs can be acknowledged.
    pub(super) fn must_let_leases_lapse(&self, now: Instant, drain: Duration) -> bool {
        let is_drained = |since| now.saturating_duration_since(since) >= drain;
        self.stale_end.is_some_and(|(_, since)| is_drained(since))
    }

    /// Whether its last call was not answered.
    pub(super) fn missed_last_call(&self) -> bool {
        self.poll_state.misses > 0
    }

    pub(super) fn run_position(&self, name: TaskName, run: u32) -> Option<usize> {
        self.runs
            .iter()
            .position(|r| r.name == name && r.run == run)
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

    /// Notes a lease until `until` on the worker's clock.
    pub(super) fn extend_lease(&mut self, until: WorkerTime) {
        let Some(clock) = self.clock else { return };
        let until = self.lease.map_or(until, |(_, known)| known.max(until));
        self.lease = Some((clock.lapse(until), until));
    }

    /// Whether every lease given to it has lapsed.
    pub(super) fn has_lapsed(&self, now: Instant) -> bool {
        self.lease.is_none_or(|(lapse, _)| now >= lapse)
    }

    /// Whether it lists all that runs there: what an earlier scheduler had told it to stop is not
    /// listed and has ended by now.
    pub(super) fn reports_all_runs(&self, now: Instant, stop_grace: Duration) -> bool {
        let age = |at| now.saturating_duration_since(at);
        self.token_confirmed_at
            .is_some_and(|at| age(at) >= stop_grace)
    }

    /// The last end that may be acknowledged.
    pub(super) fn acknowledged(&self) -> u64 {
        let held = self.unstored_ends.iter().map(|h| h.0);
        let void = self.stale_end.map(|v| v.0);
        let first = held.chain(self.first_unclassified_end).chain(void).min();
        first.map_or(self.last_processed_end, |first| first - 1)
    }

    /// Says that something else is believed of it.
    pub(super) fn condition_event(&self, belief: WorkerCondition, pause: Duration) -> Effect {
        Effect::LogEvent(LogEvent::WorkerConditionChanged {
            worker: self.entry.name.clone(),
            belief,
            misses: self.poll_state.misses,
            pause,
            runs: self.runs.len(),
        })
    }

    /// Whether nothing more can be running there.
    pub(super) fn is_removable(&self, now: Instant, departed_ttl: Duration) -> bool {
        let is_settled = |at| {
            self.token_confirmed_at.is_some() || now.saturating_duration_since(at) >= departed_ttl
        };
        self.runs.is_empty()
            && self.unclaimed_runs.is_empty()
            && self.departed.is_some_and(is_settled)
    }

    pub(super) fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|l| **l == *label)
    }
}
