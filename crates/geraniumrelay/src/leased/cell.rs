//! A cell's state in this process: its election, its scheduler and its reported load.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use geraniumrelay_core::collections::Map;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::election::{Election, ElectionConfig, Transition};
use geraniumrelay_core::leased::estimates::Estimates;
use geraniumrelay_core::leased::{EntryVm, FencingToken, Scheduler};
use geraniumrelay_wire::leased::{CellBeat, QueueCount};
use tokio::task::JoinSet;

use super::convert;

/// Time after which the holder of a cell counts as lost unless a peer announces it; longer than a
/// takeover.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum age of a reported load: three reports at ticks of 25 ms. Less than the time-out of a silent scheduler.
const LOAD_TTL: Duration = Duration::from_millis(250);

/// Load that a cell counts as having at least without a recent report, in percent: no job is sent there from
/// another cell.
const UNKNOWN_LOAD_PERCENT: u32 = 200;

/// Maximum age of a count of pending jobs; the platform accepts counts up to 2 s old.
const PENDING_TTL: Duration = Duration::from_millis(1_500);

/// One cell of the plan, with what this process knows about it.
#[derive(Debug)]
pub(super) struct Cell {
    pub(super) name: CellName,
    pub(super) election: Election,
    /// The cell's scheduler, where it runs in this process.
    pub(super) scheduler: Option<Scheduler>,
    /// When the scheduler here was created.
    pub(super) scheduling_since: Option<Instant>,
    /// Estimated run times from the last time this process scheduled the cell.
    pub(super) estimates: Estimates,
    /// Speed factors of labels of workers, as last reported by a scheduler of the cell.
    pub(super) speeds: Vec<(Arc<str>, f64)>,
    /// Token of the scheduler that holds the cell's row in the store in place of the scheduler
    /// here, and the time at which this process learned of it.
    pub(super) epoch_lost: Option<(FencingToken, Instant)>,
    /// Schedulers that this VM has followed or was, and when each was last known to use listed workers only.
    followed: Vec<(FencingToken, Instant)>,
    /// Load of the cell in percent of its capacity, as reported by its scheduler.
    load_percent: u32,
    /// Time of the last report of the load.
    load_reported_at: Option<Instant>,
    /// The task that reads the records of durable jobs for the scheduler here.
    record_read: JoinSet<()>,
    /// Pending jobs by queue, as reported by the scheduler, and the time of the report; `None`
    /// while the scheduler has not read all jobs.
    pending: Option<(Map<Arc<str>, u32>, Instant)>,
}

impl Cell {
    pub(super) fn new(name: CellName, vm: EntryVm, now: Instant) -> Self {
        Self {
            name,
            election: Election::new(ElectionConfig::default(), vm, now),
            scheduler: None,
            scheduling_since: None,
            estimates: Estimates::default(),
            speeds: Vec::new(),
            epoch_lost: None,
            followed: Vec::new(),
            load_percent: 0,
            load_reported_at: None,
            record_read: JoinSet::new(),
            pending: None,
        }
    }

    /// Records whether the present scheduler uses listed workers only, and forgets those of more than `ttl` ago.
    pub(super) fn note_scheduler(&mut self, now: Instant, ttl: Duration) {
        let present = self.election.current().map(|(_, token)| token);
        let is_kept = |&(token, at): &(FencingToken, Instant)| {
            Some(token) != present && now.saturating_duration_since(at) < ttl
        };
        self.followed.retain(is_kept);
        if self.election.is_scheduler_up_to_date(now) {
            self.followed.extend(present.map(|token| (token, now)));
        }
    }

    /// Schedulers that were followed here and used listed workers only within the last `ttl`, and when this time is over
    /// for each.
    pub(super) fn predecessors(&self, now: Instant, ttl: Duration) -> Vec<(FencingToken, Instant)> {
        let until = self.followed.iter().map(|&(token, at)| (token, at + ttl));
        until.filter(|&(_, until)| now < until).collect()
    }

    /// The cell's part of the heartbeat to the other entry VMs; `successor` is set on a hand-over.
    pub(super) fn heartbeat(&mut self, successor: Option<EntryVm>, now: Instant) -> CellBeat {
        let own = self.election.own_heartbeat(successor);
        let mut counts = Vec::new();
        let mut knows_jobs = false;
        let mut speeds = Vec::new();
        if let Some(scheduler) = &self.scheduler {
            self.load_percent = scheduler.load_percent();
            self.load_reported_at = Some(now);
            knows_jobs = scheduler.knows_jobs();
            let count = |(queue, pending): (Arc<str>, u32)| QueueCount {
                queue: queue.to_string(),
                pending,
            };
            counts = scheduler.pending().into_iter().map(count).collect();
            self.speeds = scheduler.label_speeds();
            speeds = convert::label_speeds_to_wire(&self.speeds);
        }
        let pending = (knows_jobs, counts);
        CellBeat {
            speeds,
            ..convert::cell_heartbeat_to_wire(&self.name, &own, self.load_percent, pending)
        }
    }

    /// Records the load, the pending jobs and the speeds of workers from a heartbeat of the cell's scheduler.
    pub(super) fn apply_status(&mut self, heartbeat: &CellBeat, now: Instant) {
        self.load_percent = heartbeat.load_percent;
        self.speeds = convert::label_speeds_from_wire(&heartbeat.speeds);
        self.load_reported_at = Some(now);
        let count = |c: &QueueCount| (c.queue.as_str().into(), c.pending);
        let counts = heartbeat.pending.iter().map(count).collect();
        self.pending = heartbeat.knows_jobs.then_some((counts, now));
    }

    /// Load of the cell in percent of its capacity, for the choice of a job's cell: `u32::MAX` without capacity.
    pub(super) fn load(&self, now: Instant) -> u32 {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < LOAD_TTL;
        if self.load_reported_at.is_some_and(is_fresh) {
            self.load_percent
        } else {
            self.load_percent.max(UNKNOWN_LOAD_PERCENT)
        }
    }

    /// Number of jobs of a queue of which no task has started; `None` while the scheduler has not
    /// read all jobs, or its last report is too old.
    pub(super) fn pending_of(&self, queue: &str, now: Instant) -> Option<u32> {
        if let Some(scheduler) = &self.scheduler {
            let pending = scheduler.pending();
            let pending = pending.get(queue).copied().unwrap_or(0);
            return scheduler.knows_jobs().then_some(pending);
        }
        let (pending, reported_at) = self.pending.as_ref()?;
        let is_fresh = now.saturating_duration_since(*reported_at) < PENDING_TTL;
        is_fresh.then(|| pending.get(queue).copied().unwrap_or(0))
    }

    /// Gives up scheduling in order to take over with a token above that of the cell's holder in
    /// the store. It does so once the holder has been known for `HOLDER_TIMEOUT` and no connected
    /// entry VM announces it, because the cell's durable jobs would make no progress otherwise.
    pub(super) fn outrank_holder(&mut self, now: Instant) -> Option<Transition> {
        let (holder, since) = self.epoch_lost?;
        let has_timed_out = now.saturating_duration_since(since) >= HOLDER_TIMEOUT;
        if !has_timed_out || self.election.is_announced(holder) {
            return None;
        }
        self.epoch_lost = None;
        Some(self.election.outrank(holder, now))
    }

    /// A higher token for the scheduler here if single workers have fenced it and no other VM can be
    /// scheduling the cell.
    pub(super) fn token_to_raise(&mut self, now: Instant) -> Option<FencingToken> {
        let scheduler = self.scheduler.as_ref()?;
        if !scheduler.can_raise_token() || !scheduler.is_fenced() {
            return None;
        }
        self.election.raise_token(now, SystemTime::now())
    }

    /// Whether a reply to a call with `token` is for the scheduler here.
    pub(super) fn is_own_reply(&self, token: FencingToken) -> bool {
        let scheduler = self.scheduler.as_ref();
        scheduler.is_some_and(|s| s.has_had_token(token))
    }

    /// Starts the read of the records for the scheduler here, in place of an earlier one.
    pub(super) fn start_record_read(&mut self, read: impl Future<Output = ()> + 'static) {
        // A dropped set aborts its tasks.
        self.record_read = JoinSet::new();
        self.record_read.spawn_local(read);
    }

    /// Drops the scheduler, and keeps its estimated run times and speeds of workers for a later takeover.
    pub(super) fn drop_scheduler(&mut self) {
        self.record_read.abort_all();
        self.scheduling_since = None;
        if let Some(scheduler) = self.scheduler.take() {
            self.estimates = scheduler.estimates().clone();
            self.speeds = scheduler.label_speeds();
        }
    }
}
