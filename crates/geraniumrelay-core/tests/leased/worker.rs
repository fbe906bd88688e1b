//! Simulated worker: leases, fencing, ended runs, capacity and faults.

use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{
    EndKind, EndedRun, FencingToken, PollReply, Resources, RunningTask, StartReply, StopReply,
    TaskName, WorkerReport, WorkerTime,
};

/// Time between a stop call and the end of the run; polls don't report the run as running
/// meanwhile.
const STOP_DURATION: Duration = Duration::from_millis(40);

/// Longest lease that a worker grants.
const MAX_LEASE: Duration = Duration::from_secs(1);

/// Largest number of ends that a worker lists in a reply; it lists the others once these are
/// acknowledged.
const MAX_LISTED_ENDS: usize = 500;

/// How a worker executes the tasks that it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// Each task takes its actual run time.
    Healthy,
    /// Each task takes this many times its actual run time.
    Slow(f64),
    /// Tasks make no progress and never end.
    Hanging,
    /// Each task fails after 5 ms.
    Failing,
}

#[derive(Debug, Clone)]
#[expect(
    clippy::struct_field_names,
    reason = "`run` is the run number, as the platform calls it"
)]
struct Run {
    task: TaskName,
    run: u32,
    size: Resources,
    started_at: Instant,
    /// `None` where the run never ends.
    ends_at: Option<Instant>,
    kind: EndKind,
    /// When a stop call takes effect; `None` before such a call.
    stops_at: Option<Instant>,
}

/// A simulated worker.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) capacity: Resources,
    /// Whether the worker refuses what does not fit.
    pub(crate) enforces_capacity: bool,
    /// Number of starts that brought the worker over its capacity.
    pub(crate) starts_over_capacity: u32,
    pub(crate) behaviour: Behaviour,
    /// Factor of run times on this worker: 1 is nominal, and more is slower.
    pub(crate) speed: f64,
    pub(crate) labels: Vec<Arc<str>>,
    /// Start of this instance in Unix milliseconds, as its reports tell it.
    pub(crate) instance_started_unix_ms: Option<u64>,
    /// Whether another worker instance now answers at the address.
    pub(crate) is_replaced: bool,
    /// Number of polls answered, not counting those refused by the fencing token.
    pub(crate) answered_polls: u32,
    /// Rate of the worker's clock relative to the simulated time.
    pub(crate) clock_rate: f64,
    started_at: Instant,
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    next_end: u64,
    token: FencingToken,
    lease: WorkerTime,
    /// Tasks whose end as done was acknowledged before the lease lapsed, and the time of the end.
    pub(crate) acknowledged_ends: Vec<(TaskName, Instant)>,
    /// Unacknowledged ends as done: number of the end, task and time.
    unacknowledged_ends: Vec<(u64, TaskName, Instant)>,
    failed_runs: usize,
    /// Task and number of each run that ended or was stopped; start calls for these and for
    /// lower run numbers of the same task are outdated.
    finished_runs: Vec<(TaskName, u32)>,
}

impl FakeWorker {
    pub(crate) fn new(now: Instant, cpu_milli: u64) -> Self {
        Self {
            capacity: Resources {
                cpu_milli,
                memory_mb: 65_536,
                gpus: 0,
            },
            enforces_capacity: true,
            starts_over_capacity: 0,
            behaviour: Behaviour::Healthy,
            speed: 1.0,
            labels: vec![Arc::from("a"), Arc::from("r-1")],
            instance_started_unix_ms: None,
            is_replaced: false,
            answered_polls: 0,
            clock_rate: 1.0,
            started_at: now,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            token: FencingToken::default(),
            lease: WorkerTime(0),
            acknowledged_ends: Vec::new(),
            unacknowledged_ends: Vec::new(),
            failed_runs: 0,
            finished_runs: Vec::new(),
        }
    }

    pub(crate) fn clock(&self, now: Instant) -> WorkerTime {
        let age = now.saturating_duration_since(self.started_at);
        WorkerTime(u64::try_from(age.mul_f64(self.clock_rate).as_millis()).unwrap())
    }

    /// Runs in progress, including those that are being stopped.
    pub(crate) fn running(&self) -> impl Iterator<Item = (TaskName, u32)> {
        self.runs.iter().map(|r| (r.task, r.run))
    }

    /// CPU in use, in thousandths of a core.
    pub(crate) fn used_cpu_milli(&self) -> u64 {
        self.runs.iter().map(|r| r.size.cpu_milli).sum()
    }

    /// Number of ends that no poll has acknowledged.
    pub(crate) fn listed_end_count(&self) -> usize {
        self.ended.len()
    }

    /// Number of runs that have failed so far.
    pub(crate) fn failed_run_count(&self) -> usize {
        self.failed_runs
    }

    /// Ends the runs that are finished, stopped or lapsed at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let has_lapsed = self.clock(now) >= self.lease;
        let mut position = 0;
        while position < self.runs.len() {
            let run = &self.runs[position];
            let kind = match (run.stops_at, run.ends_at) {
                (Some(at), _) if at <= now => Some(EndKind::Stopped),
                (None, Some(at)) if at <= now => Some(run.kind),
                _ if has_lapsed => Some(EndKind::Lapsed),
                _ => None,
            };
            match kind {
                Some(kind) => {
                    let run = self.runs.remove(position);
                    if kind == EndKind::Done {
                        let at = run.ends_at.unwrap_or(now);
                        self.unacknowledged_ends.push((self.next_end, run.task, at));
                    }
                    self.add_end(run.task, run.run, kind);
                }
                None => position += 1,
            }
        }
        if has_lapsed {
            // A scheduler may start these tasks again once the lease has lapsed, so a later
            // acknowledgement must not count.
            self.unacknowledged_ends.clear();
        }
    }

    fn add_end(&mut self, task: TaskName, run: u32, kind: EndKind) {
        self.failed_runs += usize::from(kind == EndKind::Failed);
        self.finished_runs.push((task, run));
        self.ended.push(EndedRun {
            number: self.next_end,
            task,
            run,
            kind,
        });
        self.next_end += 1;
    }

    fn extend_lease(&mut self, now: Instant, until: WorkerTime) {
        let latest = self.clock(now).after(MAX_LEASE);
        self.lease = self.lease.max(until.min(latest));
    }

    /// Ends all runs without a trace, as the process is gone.
    pub(crate) fn crash(&mut self) {
        self.runs.clear();
        self.unacknowledged_ends.clear();
    }

    /// Handles a start call for a task that takes `run_time` on a worker without faults.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        (task, run): (TaskName, u32),
        size: Resources,
        run_time: Duration,
        (lease, token): (WorkerTime, FencingToken),
    ) -> StartReply {
        self.advance(now);
        if self.is_replaced {
            return StartReply::OtherInstance;
        }
        if token < self.token {
            return StartReply::Fenced;
        }
        self.token = token;
        if lease <= self.clock(now) {
            return StartReply::TooLate;
        }
        self.extend_lease(now, lease);
        if self.running().any(|r| r == (task, run)) {
            return StartReply::Accepted;
        }
        if self
            .finished_runs
            .iter()
            .any(|&(t, r)| t == task && r >= run)
        {
            return StartReply::Outdated;
        }
        if self.used_cpu_milli() + size.cpu_milli > self.capacity.cpu_milli {
            if self.enforces_capacity {
                return StartReply::NoRoom;
            }
            self.starts_over_capacity += 1;
        }
        let run_time = run_time.mul_f64(self.speed);
        let (ends_at, kind) = match self.behaviour {
            Behaviour::Healthy => (Some(now + run_time), EndKind::Done),
            Behaviour::Slow(factor) => (Some(now + run_time.mul_f64(factor)), EndKind::Done),
            Behaviour::Hanging => (None, EndKind::Done),
            Behaviour::Failing => (Some(now + Duration::from_millis(5)), EndKind::Failed),
        };
        self.runs.push(Run {
            task,
            run,
            size,
            started_at: now,
            ends_at,
            kind,
            stops_at: None,
        });
        StartReply::Accepted
    }

    /// Handles a stop call; an unknown run is recorded as stopped, so that a delayed start is
    /// refused.
    pub(crate) fn stop(
        &mut self,
        now: Instant,
        (task, run): (TaskName, u32),
        token: FencingToken,
    ) -> StopReply {
        self.advance(now);
        if token < self.token {
            return StopReply::Fenced;
        }
        self.token = token;
        let found = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        match found {
            Some(run) => {
                run.stops_at.get_or_insert(now + STOP_DURATION);
            }
            None => self.finished_runs.push((task, run)),
        }
        StopReply::Accepted
    }

    /// Handles a poll; `None` while the poll waits for an ended run.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        (lease, token): (Option<WorkerTime>, FencingToken),
        last_processed_end: u64,
        may_wait: bool,
    ) -> Option<PollReply> {
        self.advance(now);
        if self.is_replaced {
            self.answered_polls += 1;
            return Some(PollReply::OtherInstance);
        }
        if token < self.token {
            return Some(PollReply::Fenced);
        }
        self.token = token;
        if let Some(lease) = lease {
            self.extend_lease(now, lease);
        }
        self.ended.retain(|e| e.number > last_processed_end);
        let acknowledged = self
            .unacknowledged_ends
            .iter()
            .filter(|e| e.0 <= last_processed_end);
        self.acknowledged_ends
            .extend(acknowledged.map(|&(_, task, at)| (task, at)));
        self.unacknowledged_ends
            .retain(|e| e.0 > last_processed_end);
        if self.ended.is_empty() && may_wait {
            return None;
        }
        let reported = self.runs.iter().filter(|r| r.stops_at.is_none());
        let running = reported.map(|r| RunningTask {
            task: r.task,
            run: r.run,
            percent: percent(r, now),
        });
        self.answered_polls += 1;
        Some(PollReply::Report(WorkerReport {
            instance_started_unix_ms: self.instance_started_unix_ms,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.iter().take(MAX_LISTED_ENDS).copied().collect(),
            has_more_ends: self.ended.len() >= MAX_LISTED_ENDS,
        }))
    }
}

fn percent(run: &Run, now: Instant) -> u8 {
    let Some(ends_at) = run.ends_at else { return 0 };
    let total_s = ends_at
        .saturating_duration_since(run.started_at)
        .as_secs_f64();
    let elapsed_s = now.saturating_duration_since(run.started_at).as_secs_f64();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "from 0 to 100"
    )]
    let percent = (elapsed_s / total_s.max(1e-9) * 100.0).clamp(0.0, 100.0) as u8;
    percent
}
