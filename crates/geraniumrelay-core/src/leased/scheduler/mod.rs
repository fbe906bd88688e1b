//! The scheduler: takes commands, decides, and pushes effects.

mod ends;
mod epochs;
mod finish;
mod keep;
mod look;
mod pace;
mod place;
mod replies;
mod submit;
mod watch;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use super::cells::CellName;
use super::command::{Command, LookReply};
use super::effect::{Effect, JobOutcome};
use super::epoch::Epoch;
use super::estimates::Estimates;
use super::job::{Job, JobKey, JobState, Rank};
use super::names::{EntryVm, FencingToken, JobId, TaskName, WorkerName};
use super::note::Belief;
use super::worker::{Looking, MAX_MISSES, Worker, WorkerEntry, WorkerKey, WorkerState};
use crate::collections::Map;
use crate::context::Context;
use crate::modules::decayed::DecayingSum;

/// Places the tasks of all jobs on the workers of its data centres.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct Scheduler {
    token: FencingToken,
    data_centre: Arc<str>,
    workers: SlotMap<WorkerKey, Worker>,
    by_name: Map<WorkerName, WorkerKey>,
    jobs: SlotMap<JobKey, Job>,
    /// Ordered, as callers choose the ids.
    by_id: BTreeMap<JobId, JobKey>,
    waiting: BTreeSet<(Rank, JobKey)>,
    checks: BTreeSet<(Instant, JobKey)>,
    estimates: Estimates,
    /// Processor that admitted jobs of each priority take.
    demand: BTreeMap<u8, DecayingSum>,
    /// Ends of tasks whose jobs have not been passed on to this scheduler yet.
    unmatched_ends: BTreeMap<TaskName, Instant>,
    /// How jobs ended, for a while.
    outcomes: BTreeMap<JobId, (Instant, JobOutcome)>,
    outcome_ages: VecDeque<(Instant, JobId)>,
    /// Entry VMs whose links have broken, and when.
    disconnected_entries: Vec<(EntryVm, Instant)>,
    cell: CellName,
    /// The claim to the cell; absent while there are no kept jobs.
    epoch: Option<Epoch>,
    /// Whether all records of kept jobs are known.
    knows_records: bool,
    /// Version of the store at which they were listed.
    records_version: u64,
    /// Ended kept jobs, and since when.
    ended_job_ages: VecDeque<(Instant, JobId)>,
    /// Ended kept jobs, with those of their tasks some of whose runs count as lost, and the first run
    /// that does not.
    ended: BTreeMap<JobId, Vec<(TaskName, u32)>>,
    /// Whether all workers are known on which an earlier scheduler may have started tasks.
    knows_departed: bool,
    sequence: u64,
    /// Whether tasks may fit that did not fit before.
    has_new_room: bool,
    is_deposed: bool,
}

/// Figures of a scheduler at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Workers that are listed.
    pub workers: usize,
    /// Workers that can be given tasks.
    pub usable: usize,
    /// Workers set aside for faults.
    pub paused: usize,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with tasks that wait.
    pub waiting: usize,
    /// Runs that are known.
    pub runs: usize,
}

impl Scheduler {
    /// Makes a scheduler that has just taken over.
    pub fn new(token: FencingToken, data_centre: Arc<str>) -> Self {
        Self {
            token,
            data_centre,
            workers: SlotMap::with_key(),
            by_name: Map::default(),
            jobs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            waiting: BTreeSet::new(),
            checks: BTreeSet::new(),
            estimates: Estimates::default(),
            demand: BTreeMap::new(),
            unmatched_ends: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            outcome_ages: VecDeque::new(),
            disconnected_entries: Vec::new(),
            cell: CellName::single(),
            epoch: None,
            knows_records: true,
            records_version: 0,
            ended_job_ages: VecDeque::new(),
            ended: BTreeMap::new(),
            knows_departed: true,
            sequence: 0,
            has_new_room: false,
            is_deposed: false,
        }
    }

    /// The same scheduler with run times that another one has learnt.
    #[must_use]
    pub fn with_estimates(mut self, estimates: Estimates) -> Self {
        self.estimates = estimates;
        self
    }

    /// The same scheduler, told whether it knows all workers on which an earlier one may have
    /// started tasks.
    #[must_use]
    pub fn with_departed_known(mut self, knows_departed: bool) -> Self {
        self.knows_departed = knows_departed;
        self
    }

    /// The same scheduler for a cell with kept jobs, whose records it is still to be told.
    #[must_use]
    pub fn with_records(mut self, cell: CellName) -> Self {
        self.cell = cell;
        self.begin_epoch();
        self
    }

    /// The same scheduler for another cell than the single one.
    #[must_use]
    pub fn with_cell(mut self, cell: CellName) -> Self {
        self.cell = cell;
        self
    }

    /// Its rank.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Run times learnt so far.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Carries out one command; what the host has to do is pushed to `out`.
    pub fn handle(&mut self, cx: &Context<'_>, cmd: Command, out: &mut Vec<Effect>) {
        if self.is_deposed {
            return;
        }
        match cmd {
            Command::Submit(submission) => self.submit(cx, submission, out),
            Command::Withdraw { id, origin } => self.withdraw(cx, id, origin, out),
            Command::Cancel { id } => self.cancel(cx, id, out),
            Command::EntryLost(vm) => self.disconnected_entries.push((vm, cx.now)),
            Command::EntryLeft(vm) => self.drop_entry_jobs(cx, vm, cx.now, out),
            Command::WorkerSeen(entry) => self.worker_seen(cx, entry, out),
            Command::WorkersKnown { knows_departed } => self.knows_departed = knows_departed,
            Command::WorkerGone(name) => self.worker_gone(cx, &name),
            Command::StartReplied {
                worker,
                task,
                run,
                reply,
                clock,
            } => self.start_replied(cx, (worker, task, run), reply, clock, out),
            Command::StopReplied {
                worker,
                task,
                run,
                reply,
            } => self.stop_replied(cx, (worker, task, run), reply, out),
            Command::Looked {
                worker,
                sent,
                reply,
            } => self.poll_replied(cx, worker, sent, reply, out),
            Command::EpochReplied { sent, reply } => self.epoch_replied(cx, sent, reply, out),
            Command::Followed { since } => self.followed(since),
            Command::RecordReplied { id, attempt, reply } => {
                self.record_replied(cx, id, attempt, reply, out);
            }
            Command::RecordListed { record, version } => {
                self.record_listed(cx, &record, version, out);
            }
            Command::RecordSeen { record, version } => {
                // What is older has been listed, in its newest version.
                if self.knows_records && version > self.records_version {
                    self.record_listed(cx, &record, version, out);
                }
            }
            Command::RecordsKnown { version } => self.records_known(cx, version, out),
            Command::Tick => self.tick(cx, out),
        }
        if self.has_new_room && !self.is_deposed {
            self.has_new_room = false;
            self.place_waiting(cx, out);
        }
    }

    /// State of a job that has not ended.
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        let job = &self.jobs[*self.by_id.get(&id)?];
        Some(if job.has_started {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// Whether it knows all jobs of its cell.
    pub fn knows_jobs(&self) -> bool {
        self.knows_records
    }

    /// Jobs of each queue none of whose tasks has started.
    pub fn pending(&self) -> Map<Arc<str>, u32> {
        let mut pending = Map::default();
        for job in self.jobs.values().filter(|j| !j.has_started) {
            *pending.entry(Arc::clone(&job.spec.queue)).or_insert(0) += 1;
        }
        pending
    }

    /// Processor in use and waited for, in percent of the room of the workers that answer.
    pub fn load_percent(&self) -> u32 {
        let usable = self.workers.values().filter(|w| w.is_usable());
        let room: u64 = usable.clone().map(|w| w.entry.capacity.cpu_milli).sum();
        let used: u64 = usable.map(|w| w.used.cpu_milli).sum();
        let jobs = self.waiting.iter().map(|&(_, key)| &self.jobs[key]);
        let needs = |job: &Job| -> u64 {
            let cpu = |&p: &u32| job.step(p).size.cpu_milli;
            job.ready.iter().map(cpu).sum()
        };
        let waiting: u64 = jobs.map(needs).sum();
        let percent = ((used + waiting) * 100).checked_div(room);
        percent.map_or(u32::MAX, |p| u32::try_from(p).unwrap_or(u32::MAX))
    }

    /// Its figures.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let workers = self.workers.values();
        Snapshot {
            workers: workers.clone().filter(|w| w.is_listed).count(),
            usable: workers.clone().filter(|w| w.is_usable()).count(),
            paused: workers.clone().filter(|w| w.health.is_paused(now)).count(),
            jobs: self.jobs.len(),
            waiting: self.waiting.len(),
            runs: workers.map(|w| w.runs.len()).sum(),
        }
    }

    /// Time at which [`Command::Tick`] is due next, where nothing else happens before.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|&(at, _)| at)
    }

    fn poll_replied(
        &mut self,
        cx: &Context<'_>,
        key: WorkerKey,
        sent: Instant,
        reply: LookReply,
        out: &mut Vec<Effect>,
    ) {
        if !self.workers.contains_key(key) {
            return;
        }
        match reply {
            LookReply::Report(report) => self.process_report(cx, key, sent, &report, out),
            LookReply::Fenced => self.on_higher_token(cx, key, out),
            LookReply::OtherLife => self.on_other_instance(cx, key, out),
            LookReply::Unanswered => self.poll_failed(cx, key, out),
        }
        self.schedule_poll(cx, key, out);
    }

    fn worker_seen(&mut self, cx: &Context<'_>, entry: WorkerEntry, out: &mut Vec<Effect>) {
        let key = if let Some(&key) = self.by_name.get(&entry.name) {
            let worker = &mut self.workers[key];
            let is_other_life = worker.entry.address != entry.address
                || (entry.born.is_some() && entry.born != worker.entry.born);
            worker.entry = entry;
            worker.is_listed = true;
            worker.departed = None;
            worker.looking.not_before = None;
            if is_other_life {
                self.workers[key].looking = Looking::default();
                self.drop_runs(cx, key, out);
            }
            key
        } else {
            let name = entry.name.clone();
            let key = self.workers.insert(Worker::new(entry));
            self.by_name.insert(name, key);
            key
        };
        self.has_new_room = true;
        self.schedule_poll(cx, key, out);
    }

    fn worker_gone(&mut self, cx: &Context<'_>, name: &WorkerName) {
        let Some(&key) = self.by_name.get(name) else {
            return;
        };
        let worker = &mut self.workers[key];
        let is_silent = worker.entry.state == WorkerState::Ready;
        worker.is_listed = false;
        worker.departed = Some(cx.now);
        // A worker that went silent may live on and obey another scheduler.
        if is_silent {
            worker.fenced = None;
        }
    }

    /// Takes note that a worker has seen a higher token: another scheduler gives it orders. Load
    /// pattern: where a partition has just healed, the one on its other side has only some of the
    /// workers, and the others are served on until the two hear of each other.
    fn on_higher_token(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        let since = *worker.taken_since.get_or_insert(cx.now);
        worker.fenced = None;
        worker.looking.misses = worker.looking.misses.max(MAX_MISSES - 1);
        if since == cx.now {
            out.push(worker.believed(Belief::Taken, Duration::ZERO));
        }
        self.poll_failed(cx, key, out);
        let workers = self.workers.values().filter(|w| w.is_listed);
        let (mut listed, mut taken) = (0, 0);
        for worker in workers {
            listed += 1;
            taken += usize::from(worker.taken_since.is_some());
        }
        let patience = cx.cfg.leased.taken_patience;
        let is_old = cx.now.saturating_duration_since(since) >= patience;
        if taken * 2 > listed || is_old {
            self.is_deposed = true;
            out.push(Effect::Deposed {
                worker: self.workers[key].entry.name.clone(),
            });
        }
    }
}
