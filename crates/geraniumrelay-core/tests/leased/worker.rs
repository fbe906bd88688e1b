//! A stand-in worker: leases, fences, ends, capacity, and what can go wrong with it.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{
    EndKind, EndedRun, FencingToken, PollReply, Resources, RunningTask, StartReply, StopReply,
    TaskName, WorkerReport, WorkerTime,
};

/// Time that a stop takes; the run is not listed meanwhile.
const STOP_TIME: Duration = Duration::from_millis(40);

/// Longest lease that a worker grants.
const MAX_LEASE: Duration = Duration::from_secs(1);

/// How a worker treats the tasks that it starts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// Runs them.
    Healthy,
    /// Takes this many times as long.
    Slow(f64),
    /// Never makes progress.
    Hanging,
    /// Fails them at once.
    Failing,
}

#[derive(Debug, Clone)]
#[expect(clippy::struct_field_names, reason = "the platform numbers runs, too")]
struct Run {
    task: TaskName,
    run: u32,
    size: Resources,
    started: Instant,
    /// `None` where it never ends.
    ends: Option<Instant>,
    kind: EndKind,
    /// When a stop takes effect.
    stops: Option<Instant>,
}

/// A stand-in worker.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) capacity: Resources,
    pub(crate) behaviour: Behaviour,
    /// Whether another worker has taken its address.
    pub(crate) is_replaced: bool,
    /// Looks that it has answered.
    pub(crate) looks: u32,
    /// Rate of its clock against the world's.
    pub(crate) clock_rate: f64,
    born: Instant,
    runs: Vec<Run>,
    ended: Vec<EndedRun>,
    next_end: u64,
    token: FencingToken,
    lease: WorkerTime,
    /// Tasks that ended as done, and when, where the end was acknowledged before a lease lapsed.
    pub(crate) noted: Vec<(TaskName, Instant)>,
    /// Ends as done that are not acknowledged yet: their number, task and time.
    open_ends: Vec<(u64, TaskName, Instant)>,
    failed: usize,
    /// Highest run that ended or was stopped, by task.
    past: Vec<(TaskName, u32)>,
}

impl FakeWorker {
    pub(crate) fn new(now: Instant, cpu_milli: u64) -> Self {
        Self {
            capacity: Resources {
                cpu_milli,
                memory_mb: 65_536,
                gpus: 0,
            },
            behaviour: Behaviour::Healthy,
            is_replaced: false,
            looks: 0,
            clock_rate: 1.0,
            born: now,
            runs: Vec::new(),
            ended: Vec::new(),
            next_end: 1,
            token: FencingToken::default(),
            lease: WorkerTime(0),
            noted: Vec::new(),
            open_ends: Vec::new(),
            failed: 0,
            past: Vec::new(),
        }
    }

    pub(crate) fn clock(&self, now: Instant) -> WorkerTime {
        let age = now.saturating_duration_since(self.born);
        WorkerTime(u64::try_from(age.mul_f64(self.clock_rate).as_millis()).unwrap())
    }

    /// Tasks that run, those that are being stopped included.
    pub(crate) fn running(&self) -> impl Iterator<Item = (TaskName, u32)> {
        self.runs.iter().map(|r| (r.task, r.run))
    }

    /// Processor in use.
    pub(crate) fn used(&self) -> u64 {
        self.runs.iter().map(|r| r.size.cpu_milli).sum()
    }

    /// Runs that have failed so far.
    pub(crate) fn failed_ends(&self) -> usize {
        self.failed
    }

    /// Ends what is over by `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        let has_lapsed = self.clock(now) >= self.lease;
        let mut position = 0;
        while position < self.runs.len() {
            let run = &self.runs[position];
            let kind = match (run.stops, run.ends) {
                (Some(at), _) if at <= now => Some(EndKind::Stopped),
                (None, Some(at)) if at <= now => Some(run.kind),
                _ if has_lapsed => Some(EndKind::Lapsed),
                _ => None,
            };
            match kind {
                Some(kind) => {
                    let run = self.runs.remove(position);
                    if kind == EndKind::Done {
                        let at = run.ends.unwrap_or(now);
                        self.open_ends.push((self.next_end, run.task, at));
                    }
                    self.list_end(run.task, run.run, kind);
                }
                None => position += 1,
            }
        }
        if has_lapsed {
            // Whoever acknowledges these now has not relied on them.
            self.open_ends.clear();
        }
    }

    fn list_end(&mut self, task: TaskName, run: u32, kind: EndKind) {
        self.failed += usize::from(kind == EndKind::Failed);
        self.past.push((task, run));
        self.ended.push(EndedRun {
            number: self.next_end,
            task,
            run,
            kind,
        });
        self.next_end += 1;
    }

    fn extend(&mut self, now: Instant, until: WorkerTime) {
        let longest = self.clock(now).after(MAX_LEASE);
        self.lease = self.lease.max(until.min(longest));
    }

    /// Takes an order to start a task that takes `work` on a sound worker.
    pub(crate) fn start(
        &mut self,
        now: Instant,
        (task, run): (TaskName, u32),
        size: Resources,
        work: Duration,
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
        self.extend(now, lease);
        if self.running().any(|r| r == (task, run)) {
            return StartReply::Accepted;
        }
        if self.past.iter().any(|&(t, r)| t == task && r >= run) {
            return StartReply::Outdated;
        }
        if self.used() + size.cpu_milli > self.capacity.cpu_milli {
            return StartReply::NoRoom;
        }
        let (ends, kind) = match self.behaviour {
            Behaviour::Healthy => (Some(now + work), EndKind::Done),
            Behaviour::Slow(factor) => (Some(now + work.mul_f64(factor)), EndKind::Done),
            Behaviour::Hanging => (None, EndKind::Done),
            Behaviour::Failing => (Some(now + Duration::from_millis(5)), EndKind::Failed),
        };
        self.runs.push(Run {
            task,
            run,
            size,
            started: now,
            ends,
            kind,
            stops: None,
        });
        StartReply::Accepted
    }

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
        let known = self
            .runs
            .iter_mut()
            .find(|r| r.task == task && r.run == run);
        match known {
            Some(known) => {
                known.stops.get_or_insert(now + STOP_TIME);
            }
            None => self.past.push((task, run)),
        }
        StopReply::Accepted
    }

    /// Takes a look; `None` where it waits for an end.
    pub(crate) fn poll(
        &mut self,
        now: Instant,
        (lease, token): (Option<WorkerTime>, FencingToken),
        last_seen: u64,
        may_wait: bool,
    ) -> Option<PollReply> {
        self.advance(now);
        if self.is_replaced {
            self.looks += 1;
            return Some(PollReply::OtherInstance);
        }
        if token < self.token {
            return Some(PollReply::Fenced);
        }
        self.token = token;
        if let Some(lease) = lease {
            self.extend(now, lease);
        }
        self.ended.retain(|e| e.number > last_seen);
        let noted = self.open_ends.iter().filter(|e| e.0 <= last_seen);
        self.noted.extend(noted.map(|&(_, task, at)| (task, at)));
        self.open_ends.retain(|e| e.0 > last_seen);
        if self.ended.is_empty() && may_wait {
            return None;
        }
        let listed = self.runs.iter().filter(|r| r.stops.is_none());
        let running = listed.map(|r| RunningTask {
            task: r.task,
            run: r.run,
            percent: percent(r, now),
        });
        self.looks += 1;
        Some(PollReply::Report(WorkerReport {
            instance_started_unix_ms: None,
            clock: self.clock(now),
            running: running.collect(),
            ended: self.ended.clone(),
        }))
    }
}

fn percent(run: &Run, now: Instant) -> u8 {
    let Some(ends) = run.ends else { return 0 };
    let whole = ends.saturating_duration_since(run.started).as_secs_f64();
    let done = now.saturating_duration_since(run.started).as_secs_f64();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "from 0 to 100"
    )]
    let percent = (done / whole.max(1e-9) * 100.0).clamp(0.0, 100.0) as u8;
    percent
}
