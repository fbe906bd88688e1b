//! The scheduler: a state machine that takes commands and emits effects.

mod cancel;
mod confirmations;
mod contention;
mod demand;
mod durable;
mod earlier_runs;
mod ends;
mod epochs;
mod evacuation;
mod finish;
mod locality;
mod losses;
mod outcomes;
mod pace;
mod place;
mod poll;
mod replies;
mod speeds;
mod submit;
mod tick;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use slotmap::SlotMap;

use self::cancel::Cancellations;
use self::outcomes::Outcomes;

use super::bulkhead::Bulkheads;
use super::cells::CellName;
use super::command::{Command, DeparturesKnown};
use super::contention::Contention;
use super::effect::Effect;
use super::epoch::Epoch;
use super::estimates::Estimates;
use super::evacuation::EvacuatedSince;
use super::job::{Job, JobKey, JobState, Rank};
use super::log_event::{EntryLossCause, InstanceSource, WorkerCondition};
use super::losses::Losses;
use super::names::{EntryVm, FencingToken, JobId, RESERVED_ROUNDS, TaskName, WorkerName};
use super::run_time::RunTimes;
use super::worker::{MAX_MISSES, Worker, WorkerEntry, WorkerKey};
use crate::collections::Map;
use crate::context::Context;
use crate::modules::decaying_sum::DecayingSum;

/// Places the tasks of all jobs on the workers of its data centres.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts")]
pub struct Scheduler {
    token: FencingToken,
    /// Token with which this scheduler took over; it may have raised it since.
    first_token: FencingToken,
    /// Highest token of another scheduler that an entry VM has named.
    highest_other_token: FencingToken,
    /// When the workers without a recent report were last polled for runs of another scheduler.
    silent_checked_at: Option<Instant>,
    data_centre: Arc<str>,
    workers: SlotMap<WorkerKey, Worker>,
    /// Workers by name: several where the entry's address has changed, as the instance at the former
    /// address may be up.
    by_name: Map<WorkerName, Vec<WorkerKey>>,
    /// Rounds by which the token is raised at single workers, also at those that are not listed at present.
    raised_rounds: Map<WorkerName, u64>,
    jobs: SlotMap<JobKey, Job>,
    /// Ordered map, as callers choose the ids.
    by_id: BTreeMap<JobId, JobKey>,
    waiting: BTreeSet<(Rank, JobKey)>,
    checks: BTreeSet<(Instant, JobKey)>,
    estimates: Estimates,
    run_times: RunTimes,
    /// Evacuated data centres.
    evacuated: EvacuatedSince,
    /// Evacuations whose grace is over.
    evacuations_in_force: BTreeSet<Arc<str>>,
    /// Recent processor demand of admitted jobs in thousandths of a core, by priority.
    demand: BTreeMap<u8, DecayingSum>,
    /// Recent work of all jobs in thousandths of a core times seconds, by service.
    work: Map<Arc<str>, DecayingSum>,
    contention: Contention,
    losses: Losses,
    bulkheads: Bulkheads,
    /// Successful ends of tasks whose jobs have not been submitted to this scheduler yet, and when
    /// each was reported.
    unmatched_ends: BTreeMap<TaskName, Instant>,
    outcomes: Outcomes,
    cancellations: Cancellations,
    /// Entry VMs whose connections have broken, and when.
    disconnected_entries: Vec<(EntryVm, Instant)>,
    cell: CellName,
    /// Claim of the cell in the store; `None` until there may be durable jobs.
    epoch: Option<Epoch>,
    /// Whether all records of durable jobs have been read.
    knows_records: bool,
    /// Whether any durable job is or was known.
    has_durable_jobs: bool,
    /// Version of the store at which the records were listed.
    records_version: u64,
    /// Ended durable jobs and the times at which their ends were recorded, oldest first.
    ended_job_ages: VecDeque<(Instant, JobId)>,
    /// Ended durable jobs, with their tasks that have invalidated runs and the first valid run of
    /// each.
    ended_jobs: BTreeMap<JobId, Vec<(TaskName, u32)>>,
    /// Which workers are known that may run tasks of an earlier scheduler although they have departed.
    departures_known: DeparturesKnown,
    /// Time up to which all changes of the workers' entries are known; `None` before the first read.
    workers_listed_as_of: Option<Instant>,
    /// Schedulers that this VM followed before, and until when each counts as using listed workers only.
    predecessors: Vec<(FencingToken, Instant)>,
    sequence: u64,
    /// Increased whenever a worker comes, leaves or changes, so that it may run other tasks than before.
    workers_version: u64,
    /// First job that the last tick has left out of placement; `None` once all have had their turn.
    scan_resumes_at: Option<(Rank, JobKey)>,
    /// Whether the next placement pass resumes the scan there.
    resumes_scan: bool,
    /// Whether waiting tasks may fit now, so that placement runs after the current command.
    has_new_room: bool,
    is_deposed: bool,
}

/// Counts of a scheduler's workers, jobs and runs at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Workers that the platform lists.
    pub workers: usize,
    /// Workers that respond and accept tasks, including paused ones.
    pub usable: usize,
    /// Workers that are paused because of faults.
    pub paused: usize,
    /// Jobs that have not ended.
    pub jobs: usize,
    /// Jobs with tasks that wait for a worker.
    pub waiting: usize,
    /// Runs on workers, without unclaimed ones.
    pub runs: usize,
}

impl Scheduler {
    /// Creates a scheduler that has just taken over, without workers, jobs or a claim of its cell.
    pub fn new(token: FencingToken, data_centre: Arc<str>) -> Self {
        Self {
            token,
            first_token: token,
            highest_other_token: FencingToken::default(),
            silent_checked_at: None,
            data_centre,
            workers: SlotMap::with_key(),
            by_name: Map::default(),
            raised_rounds: Map::default(),
            jobs: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            waiting: BTreeSet::new(),
            checks: BTreeSet::new(),
            estimates: Estimates::default(),
            run_times: RunTimes::default(),
            evacuated: EvacuatedSince::new(),
            evacuations_in_force: BTreeSet::new(),
            demand: BTreeMap::new(),
            work: Map::default(),
            contention: Contention::default(),
            losses: Losses::default(),
            bulkheads: Bulkheads::default(),
            unmatched_ends: BTreeMap::new(),
            outcomes: Outcomes::default(),
            cancellations: Cancellations::default(),
            disconnected_entries: Vec::new(),
            cell: CellName::single(),
            epoch: None,
            knows_records: true,
            has_durable_jobs: false,
            records_version: 0,
            ended_job_ages: VecDeque::new(),
            ended_jobs: BTreeMap::new(),
            departures_known: DeparturesKnown::All,
            workers_listed_as_of: None,
            predecessors: Vec::new(),
            sequence: 0,
            workers_version: 1,
            scan_resumes_at: None,
            resumes_scan: false,
            has_new_room: false,
            is_deposed: false,
        }
    }

    /// Sets the estimated run times, taken over from another scheduler.
    #[must_use]
    pub fn with_estimates(mut self, estimates: Estimates) -> Self {
        self.estimates = estimates;
        self
    }

    /// Sets the speed factors of labels of workers, taken over from another scheduler.
    #[must_use]
    pub fn with_speeds(mut self, factors: &[(Arc<str>, f64)]) -> Self {
        self.run_times.speeds.inherit(factors);
        self
    }

    /// Sets which workers are known that have departed before; [`DeparturesKnown::All`] by default.
    #[must_use]
    pub fn with_departures_known(mut self, known: DeparturesKnown) -> Self {
        self.departures_known = known;
        self
    }

    /// Sets the schedulers that this VM followed before, and when each counts as a stranger: from then on it may use
    /// workers that are not known here.
    #[must_use]
    pub fn with_predecessors(mut self, predecessors: Vec<(FencingToken, Instant)>) -> Self {
        self.predecessors = predecessors;
        self
    }

    /// Sets the cell and starts to claim it; the records of its durable jobs are read after the
    /// claim.
    #[must_use]
    pub fn with_records(mut self, cell: CellName) -> Self {
        self.cell = cell;
        self.begin_epoch();
        self
    }

    /// Sets the cell; [`CellName::single`] by default.
    #[must_use]
    pub fn with_cell(mut self, cell: CellName) -> Self {
        self.cell = cell;
        self
    }

    /// Fencing token of this scheduler; the scheduler with the highest token prevails.
    pub fn token(&self) -> FencingToken {
        self.token
    }

    /// Whether the token may be raised. `false` once there are durable jobs, which only the claim of the cell with
    /// this token may change.
    pub fn can_raise_token(&self) -> bool {
        !self.has_durable_jobs && !self.is_deposed
    }

    /// Whether a listed worker follows a scheduler with a higher token.
    pub fn is_fenced(&self) -> bool {
        let mut workers = self.workers.values();
        workers.any(|w| w.is_listed && w.higher_token_since.is_some())
    }

    /// Goes on with a higher token, once the workers have answered to it.
    pub fn raise_token(&mut self, cx: &Context<'_>, token: FencingToken, out: &mut Vec<Effect>) {
        self.token = token;
        // Another scheduler may have held the cell meanwhile, and stored jobs.
        if self.epoch.is_some() {
            self.epoch = Some(Epoch::begun_at(cx.now));
            self.knows_records = false;
        }
        self.raised_rounds.clear();
        for worker in self.workers.values_mut() {
            worker.raised_rounds = 0;
        }
        self.void_confirmations(cx, out);
    }

    /// Whether a token is, or was, the one of this scheduler, also at a single worker.
    pub fn has_had_token(&self, token: FencingToken) -> bool {
        let highest = self.token.raised_by(RESERVED_ROUNDS);
        (self.first_token..=highest).contains(&token) && token.is_of_same_vm(self.token)
    }

    /// Estimated run times by queue.
    pub fn estimates(&self) -> &Estimates {
        &self.estimates
    }

    /// Speed factors of the labels of workers that are certain to differ from 1.
    pub fn label_speeds(&self) -> Vec<(Arc<str>, f64)> {
        self.run_times.speeds.by_label()
    }

    /// Processes one command and pushes the effects for the host to `out`; does nothing once the
    /// scheduler is deposed.
    pub fn handle(&mut self, cx: &Context<'_>, cmd: Command, out: &mut Vec<Effect>) {
        if self.is_deposed {
            return;
        }
        self.run_times.remote_factor = cx.cfg.leased.locality.remote_factor;
        match cmd {
            Command::Submit(submission) => self.submit(cx, submission, out),
            Command::Withdraw { id, origin } => self.withdraw(cx, id, origin, out),
            Command::Confirm {
                origin,
                as_of,
                jobs,
            } => self.confirm(cx, origin, as_of, &jobs, out),
            Command::Cancel { id } => self.cancel(cx, id, out),
            Command::EntryLost(vm) => self.disconnected_entries.push((vm, cx.now)),
            Command::EntryLeft(vm) => {
                let loss = (EntryLossCause::FollowsOther, cx.now);
                self.drop_entry_jobs(cx, vm, cx.now, loss, out);
            }
            Command::EntrySilent { vm, since } => {
                let loss = (EntryLossCause::Silent, since);
                self.drop_entry_jobs(cx, vm, cx.now, loss, out);
            }
            Command::WorkerSeen(entry) => self.worker_seen(cx, entry, out),
            Command::WorkerDeparted { entry, at } => self.worker_departed(cx, &entry, at, out),
            Command::WorkersListed { as_of, departures } => {
                self.workers_listed_as_of = self.workers_listed_as_of.max(Some(as_of));
                self.departures_known = departures;
            }
            Command::WorkerGone(name) => self.worker_gone(cx, &name, out),
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
            Command::PollReplied {
                worker,
                number,
                sent,
                reply,
            } => self.poll_replied(cx, (worker, number), sent, reply, out),
            Command::Evacuated(evacuated) => self.set_evacuated(cx, evacuated, out),
            Command::EpochReplied { sent, reply } => self.epoch_replied(cx, sent, reply, out),
            Command::Followed { since } => self.confirm_epoch(since),
            Command::RecordReplied { id, attempt, reply } => {
                self.record_replied(cx, id, attempt, reply, out);
            }
            Command::RecordListed { record, version } => {
                self.record_listed(cx, &record, version, out);
            }
            Command::RecordSeen { record, version } => {
                // Older versions are covered by the listing.
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

    /// State of a job; `None` if it is unknown or has ended.
    pub fn state_of(&self, id: JobId) -> Option<JobState> {
        let job = &self.jobs[*self.by_id.get(&id)?];
        Some(if job.has_started {
            JobState::Running
        } else {
            JobState::Queued
        })
    }

    /// Whether all jobs of the cell are known; `false` until the records of durable jobs are read.
    pub fn knows_jobs(&self) -> bool {
        self.knows_records
    }

    /// Whether any job has not ended.
    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Number of jobs without a started task, by queue.
    pub fn pending(&self) -> Map<Arc<str>, u32> {
        let mut pending = Map::default();
        for job in self.jobs.values().filter(|j| !j.has_started) {
            *pending.entry(Arc::clone(&job.spec.queue)).or_insert(0) += 1;
        }
        pending
    }

    /// Processor that running and waiting tasks need, in percent of the capacity of the usable
    /// workers, divided by their speed factors; `u32::MAX` without capacity.
    pub fn load_percent(&self) -> u32 {
        let (used, capacity) = self.effective_load();
        let jobs = self.waiting.iter().map(|&(_, key)| &self.jobs[key]);
        let ready_cpu = |job: &Job| -> u64 {
            let cpu = |&p: &u32| job.step(p).size.cpu_milli;
            job.ready.iter().map(cpu).sum()
        };
        let waiting: u64 = jobs.map(ready_cpu).sum();
        let percent = ((used + waiting) * 100).checked_div(capacity);
        percent.map_or(u32::MAX, |p| u32::try_from(p).unwrap_or(u32::MAX))
    }

    /// Current counts; `now` tells which pauses are over.
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

    /// Time of the next job check, at which a [`Command::Tick`] is due; `None` if none is
    /// scheduled.
    pub fn next_check(&self) -> Option<Instant> {
        self.checks.first().map(|&(at, _)| at)
    }

    /// Adds or updates a worker. An entry does not tell which instance is up now: it may be late, and
    /// the worker may have restarted since. Thus it ends no runs, but a poll is sent at once where
    /// it names another instance than the last report.
    fn worker_seen(&mut self, cx: &Context<'_>, entry: WorkerEntry, out: &mut Vec<Effect>) {
        let key = self.worker_of_entry(cx, &entry);
        self.workers_version += 1;
        let worker = &mut self.workers[key];
        let instance = entry.instance_started_unix_ms;
        if instance.is_some() && worker.instance.is_some_and(|known| Some(known) != instance) {
            out.push(worker.instance_event(InstanceSource::Entry, instance));
            worker.suspect_restart();
        }
        worker.evacuated_since = self.evacuated.get(&entry.data_centre).copied();
        let cold_until = cx.now.checked_add(entry.cold_remaining);
        worker.cold_until = cold_until.filter(|_| !entry.cold_remaining.is_zero());
        worker.entry = entry;
        worker.is_listed = true;
        worker.departed = None;
        worker.poll_state.not_before = None;
        self.has_new_room = true;
        self.schedule_poll(cx, key, out);
    }

    /// Finds or adds the worker that an entry describes. Workers of the same name at other addresses
    /// count as departed.
    fn worker_of_entry(&mut self, cx: &Context<'_>, entry: &WorkerEntry) -> WorkerKey {
        let keys = self.by_name.entry(entry.name.clone()).or_default();
        let workers = &mut self.workers;
        let known = keys
            .iter()
            .copied()
            .find(|&key| workers[key].entry.address == entry.address);
        for &other in keys.iter().filter(|&&key| Some(key) != known) {
            if workers[other].is_listed {
                workers[other].depart(cx.now);
            }
        }
        known.unwrap_or_else(|| {
            let mut worker = Worker::new(entry.clone());
            worker.raised_rounds = self.raised_rounds.get(&entry.name).copied().unwrap_or(0);
            let key = workers.insert(worker);
            self.run_times.speeds.worker_added();
            keys.push(key);
            key
        })
    }

    /// Adds a worker whose entry was removed at `at`.
    fn worker_departed(
        &mut self,
        cx: &Context<'_>,
        entry: &WorkerEntry,
        at: Instant,
        out: &mut Vec<Effect>,
    ) {
        let key = self.worker_of_entry(cx, entry);
        self.workers_version += 1;
        self.workers[key].depart(at);
        self.schedule_poll(cx, key, out);
    }

    fn worker_gone(&mut self, cx: &Context<'_>, name: &WorkerName, out: &mut Vec<Effect>) {
        let keys = self.by_name.get(name).cloned().unwrap_or_default();
        self.workers_version += 1;
        for key in keys {
            if self.workers[key].is_listed {
                self.workers[key].depart(cx.now);
                self.explain_removal(cx, key, out);
            }
        }
    }

    /// Handles a worker that follows a scheduler with a higher fencing token. This scheduler is
    /// deposed once most listed workers follow such a scheduler, or one has done so for
    /// `higher_token_timeout`. Load pattern: after a partition has healed, the scheduler on its other
    /// side has only some of the workers, and this scheduler serves the others until the entry VMs
    /// of both sides exchange heartbeats.
    fn on_higher_token(&mut self, cx: &Context<'_>, key: WorkerKey, out: &mut Vec<Effect>) {
        let worker = &mut self.workers[key];
        let since = *worker.higher_token_since.get_or_insert(cx.now);
        worker.token_confirmed_at = None;
        worker.may_have_followed_other = true;
        worker.poll_state.misses = worker.poll_state.misses.max(MAX_MISSES - 1);
        if since == cx.now {
            out.push(worker.condition_event(WorkerCondition::FollowsHigherToken, Duration::ZERO));
        }
        self.poll_failed(cx, key, out);
        let workers = self.workers.values().filter(|w| w.is_listed);
        let (mut listed, mut following_other) = (0, 0);
        for worker in workers {
            listed += 1;
            following_other += usize::from(worker.higher_token_since.is_some());
        }
        let timeout = cx.cfg.leased.higher_token_timeout;
        let is_timed_out = cx.now.saturating_duration_since(since) >= timeout;
        if following_other * 2 > listed || is_timed_out {
            self.is_deposed = true;
            out.push(Effect::Deposed {
                worker: self.workers[key].entry.name.clone(),
            });
        }
    }
}
