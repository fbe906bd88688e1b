//! Schedulers and stand-in workers in virtual time, with calls that get lost, late or cut.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    Command, Effect, EntryVm, EpochReply, FencingToken, JobId, JobOutcome, JobRecord, JobSpec,
    PollCall, PollReply, RecordReply, Resources, Scheduler, StartCall, StartReply, StepSpec,
    StopCall, StopReply, Submission, TaskName, WorkerEntry, WorkerName, WorkerState,
};
use geraniumrelay_core::{Config, Context};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::worker::FakeWorker;

/// One way between a scheduler and a worker.
const ONE_WAY: Duration = Duration::from_micros(500);

/// Time that a call to the store takes.
const STORE_TIME: Duration = Duration::from_millis(4);

/// Time after which a call to the store counts as unanswered.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest time between two reads of what has changed.
const FEED_GAP: Duration = Duration::from_millis(500);

/// Time after which a call counts as unanswered, beside its wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Time after which a worker that holds a look back checks for an end again.
const LOOK_STEP: Duration = Duration::from_millis(1);

/// Time between two ticks of a scheduler.
const TICK: Duration = Duration::from_millis(25);

/// What happens at some time.
#[derive(Debug, Clone)]
enum Event {
    Arrive {
        host: usize,
        job: JobId,
    },
    Start {
        host: usize,
        call: StartCall,
        is_heard: bool,
    },
    Stop {
        host: usize,
        call: StopCall,
        is_heard: bool,
    },
    Poll {
        host: usize,
        call: PollCall,
        sent: Instant,
        is_heard: bool,
    },
    LookEnds {
        host: usize,
        call: PollCall,
        sent: Instant,
        is_heard: bool,
    },
    Record {
        host: usize,
        attempt: u32,
        record: JobRecord,
        expected: u64,
        epoch: u64,
        is_heard: bool,
    },
    Claim {
        host: usize,
        sent: Instant,
        is_heard: bool,
    },
    ReadRecords {
        host: usize,
    },
    Tell {
        host: usize,
        cmd: Command,
    },
    Tick {
        host: usize,
    },
}

/// A scheduler and what it can reach.
#[derive(Debug)]
pub(crate) struct Host {
    pub(crate) scheduler: Option<Scheduler>,
    /// Workers that it can't reach.
    pub(crate) cut: BTreeSet<usize>,
    /// Whether it can't reach the store.
    pub(crate) is_store_cut: bool,
    pub(crate) is_deposed: bool,
    token: FencingToken,
}

/// A job as the caller knows it.
#[derive(Debug, Clone)]
pub(crate) struct TestJob {
    pub(crate) spec: JobSpec,
    /// True run time of each task.
    pub(crate) work: Duration,
    pub(crate) remaining_wait: Duration,
    /// How long it had waited when the scheduler was given it.
    pub(crate) waited: Duration,
    pub(crate) arrived: Instant,
    pub(crate) may_have_started: bool,
}

impl TestJob {
    /// A job of one step whose tasks take 27 cores each.
    pub(crate) fn new(id: u64, tasks: u16, work: Duration) -> Self {
        let step = StepSpec {
            count: tasks,
            size: Resources {
                cpu_milli: 27_000,
                memory_mb: 64,
                gpus: 0,
            },
            estimate: work,
            after: Vec::new(),
            required_label: None,
            preferred_rack: None,
            max_per_worker: None,
        };
        let spec = JobSpec {
            id: JobId(id),
            queue: "queue".into(),
            service: "service".into(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.6,
            target_latency: Duration::from_millis(60),
            payload: "payload".into(),
            is_durable: false,
            steps: vec![step],
        };
        Self {
            spec,
            work,
            remaining_wait: Duration::from_secs(4),
            waited: Duration::ZERO,
            arrived: Instant::now(),
            may_have_started: false,
        }
    }

    pub(crate) fn with_priority(mut self, priority: u8) -> Self {
        self.spec.priority = priority;
        self.spec.queue = format!("queue-{priority}").into();
        self
    }

    pub(crate) fn with_estimate(mut self, estimate: Duration) -> Self {
        self.spec.steps[0].estimate = estimate;
        self
    }

    pub(crate) fn with_patience(mut self, remaining_wait: Duration) -> Self {
        self.remaining_wait = remaining_wait;
        self
    }

    /// The same job with an objective that is far away.
    pub(crate) fn with_slack(mut self) -> Self {
        self.spec.target_latency = Duration::from_secs(5);
        self
    }

    pub(crate) fn kept(mut self) -> Self {
        self.spec.is_durable = true;
        self
    }

    pub(crate) fn passed_on_again(mut self) -> Self {
        self.may_have_started = true;
        self
    }

    fn objective(&self) -> Duration {
        self.work.mul_f64(self.spec.stretch) + self.spec.target_latency
    }
}

/// Everything that happens in a test.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: Instant,
    pub(crate) started: Instant,
    pub(crate) cfg: Config,
    pub(crate) workers: Vec<FakeWorker>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) jobs: BTreeMap<JobId, TestJob>,
    /// First answer to each job, and when.
    pub(crate) answers: BTreeMap<JobId, (JobOutcome, Instant)>,
    /// Tasks that a worker has begun, and how often.
    pub(crate) starts: BTreeMap<TaskName, u32>,
    /// Two runs of one task at a time.
    pub(crate) twice: Vec<TaskName>,
    pub(crate) no_room: u32,
    /// Tasks that a worker has begun, and when.
    pub(crate) begun: Vec<(TaskName, Instant)>,
    /// What workers and schedulers did, to explain a failure.
    pub(crate) trace: Vec<String>,
    /// What is stored of kept jobs, and its version.
    pub(crate) records: BTreeMap<JobId, (JobRecord, u64)>,
    /// The scheduler that has claimed the cell in the store, and the row's version.
    epoch: (FencingToken, u64),
    /// Whether no call to the store is answered.
    pub(crate) is_store_down: bool,
    /// Time that a call to the store takes.
    pub(crate) store_time: Duration,
    /// Share of the calls to the store that are carried out and not answered.
    pub(crate) store_lost: f64,
    /// Share of the calls to the store that are carried out seconds later and not answered.
    pub(crate) store_late: f64,
    /// Share of the calls whose answer is lost.
    pub(crate) lost_answers: f64,
    /// Share of the orders that are lost, and carried out seconds later.
    pub(crate) late_orders: f64,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    rng: StdRng,
}

pub(crate) fn vm(number: u8) -> EntryVm {
    EntryVm(Ipv4Addr::new(10, 0, 0, number))
}

impl World {
    /// A world with one scheduler that knows `count` workers of 64 cores.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            started: now,
            cfg: Config::default(),
            workers: (0..count).map(|_| FakeWorker::new(now, 64_000)).collect(),
            hosts: Vec::new(),
            jobs: BTreeMap::new(),
            answers: BTreeMap::new(),
            starts: BTreeMap::new(),
            twice: Vec::new(),
            no_room: 0,
            begun: Vec::new(),
            trace: Vec::new(),
            records: BTreeMap::new(),
            epoch: (FencingToken::default(), 0),
            is_store_down: false,
            store_time: STORE_TIME,
            store_lost: 0.0,
            store_late: 0.0,
            lost_answers: 0.0,
            late_orders: 0.0,
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        world.add_host(1);
        world.run_for(Duration::from_millis(20));
        world
    }

    /// Adds a scheduler with the token of `round`, that knows all workers.
    pub(crate) fn add_host(&mut self, round: u64) -> usize {
        self.add_host_with(round, &BTreeSet::new(), true)
    }

    /// Adds a scheduler that reads the records of kept jobs first.
    pub(crate) fn add_keeping_host(&mut self, round: u64, cut: &BTreeSet<usize>) -> usize {
        let host = self.add_host_with(round, cut, true);
        let scheduler = self.hosts[host].scheduler.take();
        let scheduler = scheduler.map(|s| s.with_records(CellName::single()));
        self.hosts[host].scheduler = scheduler;
        host
    }

    /// The same as [`Self::add_host`], cut off from some workers.
    pub(crate) fn add_host_with(
        &mut self,
        round: u64,
        cut: &BTreeSet<usize>,
        knows_departed: bool,
    ) -> usize {
        let host = self.hosts.len();
        let number = u8::try_from(host).unwrap() + 1;
        let token = FencingToken::new(round, vm(number));
        let ms = (self.now - self.started).as_millis();
        self.trace
            .push(format!("{ms} ms: host {host} takes over, cut from {cut:?}"));
        let scheduler = Scheduler::new(token, "a".into()).with_departed_known(knows_departed);
        self.hosts.push(Host {
            scheduler: Some(scheduler),
            cut: cut.clone(),
            is_store_cut: false,
            is_deposed: false,
            token,
        });
        for worker in 0..self.workers.len() {
            let entry = self.entry(worker);
            self.tell(host, Command::WorkerSeen(entry));
        }
        self.at(self.now, Event::Tick { host });
        host
    }

    pub(crate) fn entry(&self, worker: usize) -> WorkerEntry {
        let port = 1_000 + u16::try_from(worker).unwrap();
        WorkerEntry {
            name: name_of(worker),
            service: "service".into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            data_centre: "a".into(),
            state: WorkerState::Ready,
            capacity: self.workers[worker].capacity,
            labels: vec![Arc::from("a"), Arc::from("r-1")],
            instance_started_unix_ms: None,
        }
    }

    pub(crate) fn submit(&mut self, host: usize, after: Duration, mut job: TestJob) {
        let at = self.now + after;
        job.arrived = at;
        let id = job.spec.id;
        self.jobs.insert(id, job);
        self.at(at, Event::Arrive { host, job: id });
    }

    /// Ends a scheduler without a word, as a kill does.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].scheduler = None;
    }

    pub(crate) fn tell(&mut self, host: usize, cmd: Command) {
        let Some(scheduler) = &mut self.hosts[host].scheduler else {
            return;
        };
        let mut out = Vec::new();
        scheduler.handle(&Context::new(self.now, &self.cfg), cmd, &mut out);
        for effect in out {
            self.carry_out(host, effect);
        }
    }

    pub(crate) fn run_for(&mut self, d: Duration) {
        let until = self.now + d;
        while let Some((&(at, sequence), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let event = self.events.remove(&(at, sequence)).unwrap();
            self.now = self.now.max(at);
            self.happen(event);
        }
        self.now = until;
        self.settle_all();
    }

    /// Jobs that were completed within their objective.
    pub(crate) fn in_time(&self, of: impl Fn(&TestJob) -> bool) -> usize {
        let is_in_time = |job: &TestJob| {
            self.answers
                .get(&job.spec.id)
                .is_some_and(|&(outcome, at)| {
                    outcome == JobOutcome::Completed && at <= job.arrived + job.objective()
                })
        };
        self.jobs
            .values()
            .filter(|j| of(j) && is_in_time(j))
            .count()
    }

    pub(crate) fn count(&self, of: impl Fn(&TestJob) -> bool) -> usize {
        self.jobs.values().filter(|j| of(j)).count()
    }

    pub(crate) fn outcome(&self, id: u64) -> Option<JobOutcome> {
        self.answers.get(&JobId(id)).map(|a| a.0)
    }

    /// What was done to a job.
    pub(crate) fn trace_of(&self, id: JobId) -> String {
        let lines = self.trace.iter().filter(|l| l.contains(&id.to_string()));
        lines.cloned().collect::<Vec<_>>().join("\n")
    }

    /// Jobs that were refused, though a task of theirs has started.
    pub(crate) fn false_refusals(&self) -> Vec<JobId> {
        let refused = self
            .answers
            .iter()
            .filter(|(_, (outcome, _))| matches!(outcome, JobOutcome::Refused { .. }));
        let ids = refused.map(|(&id, _)| id);
        ids.filter(|&id| self.starts.keys().any(|name| name.job == id))
            .collect()
    }

    pub(crate) fn random(&mut self) -> f64 {
        self.rng.random()
    }

    pub(crate) fn random_below(&mut self, limit: u16) -> u16 {
        self.rng.random_range(0..limit)
    }

    fn at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive { host, job } => self.arrive(host, job),
            Event::Start {
                host,
                call,
                is_heard,
            } => self.start(host, &call, is_heard),
            Event::Stop {
                host,
                call,
                is_heard,
            } => {
                let worker = index_of(&call.name);
                let order = (call.task, call.run);
                let reply = self.workers[worker].stop(self.now, order, call.token);
                let ms = (self.now - self.started).as_millis();
                self.trace.push(format!(
                    "{ms} ms: host {host} stops {} run {} on {worker}: {reply:?}",
                    call.task, call.run
                ));
                let cmd = Command::StopReplied {
                    worker: call.worker,
                    task: call.task,
                    run: call.run,
                    reply,
                };
                self.reply(host, is_heard, cmd);
            }
            Event::Poll {
                host,
                call,
                sent,
                is_heard,
            } => self.poll(host, call, sent, is_heard),
            Event::LookEnds {
                host,
                call,
                sent,
                is_heard,
            } => {
                self.look_ends(host, call, sent, is_heard);
            }
            Event::Record {
                host,
                attempt,
                record,
                expected,
                epoch,
                is_heard,
            } => {
                let id = record.spec.id;
                let reply = self.store(record, (expected, epoch));
                let is_stored = matches!(reply, RecordReply::Stored { .. });
                let cmd = Command::RecordReplied { id, attempt, reply };
                self.reply(host, is_heard, cmd);
                if is_stored {
                    self.feed(id);
                }
            }
            Event::Claim {
                host,
                sent,
                is_heard,
            } => {
                let reply = self.claim(host);
                self.reply(host, is_heard, Command::EpochReplied { sent, reply });
            }
            Event::ReadRecords { host } if self.is_store_away(host) => {
                self.at(self.now + CALL_TIMEOUT, Event::ReadRecords { host });
            }
            Event::ReadRecords { host } => self.tell_records(host),
            Event::Tell { host, cmd } => self.tell(host, cmd),
            Event::Tick { host } => {
                self.tell(host, Command::Tick);
                self.at(self.now + TICK, Event::Tick { host });
            }
        }
    }

    fn arrive(&mut self, host: usize, id: JobId) {
        let job = &self.jobs[&id];
        let submission = Submission {
            spec: job.spec.clone(),
            origin: vm(100),
            waited: job.waited,
            remaining_wait: job.remaining_wait,
            may_have_started: job.may_have_started,
        };
        self.tell(host, Command::Submit(submission));
    }

    fn carry_out(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Start(call) => self.send_start(host, call),
            Effect::Stop(call) => {
                let timeout = Command::StopReplied {
                    worker: call.worker,
                    task: call.task,
                    run: call.run,
                    reply: StopReply::Unanswered,
                };
                let name = call.name.clone();
                self.send_order(host, &name, timeout, |is_heard| Event::Stop {
                    host,
                    call,
                    is_heard,
                });
            }
            Effect::Poll(call) => {
                let sent = self.now;
                let timeout = Command::PollReplied {
                    worker: call.worker,
                    sent,
                    reply: PollReply::Unanswered,
                };
                let limit = self.now + call.wait + CALL_TIMEOUT;
                let is_cut = self.is_cut(host, &call.name);
                let is_heard = self.is_heard();
                if !is_heard || is_cut {
                    self.at(limit, Event::Tell { host, cmd: timeout });
                }
                if !is_cut {
                    let at = self.now + ONE_WAY;
                    self.at(
                        at,
                        Event::Poll {
                            host,
                            call,
                            sent,
                            is_heard,
                        },
                    );
                }
            }
            Effect::Answer { id, outcome, .. } => {
                self.answers.entry(id).or_insert((outcome, self.now));
            }
            Effect::LogEvent(_) | Effect::EpochLost { .. } => {}
            Effect::Record {
                attempt,
                record,
                expected,
                epoch,
            } => self.send_record(host, attempt, record, (expected, epoch)),
            Effect::ClaimEpoch => self.send_claim(host),
            Effect::ReadRecords => {
                let at = self.now + self.store_time;
                self.at(at, Event::ReadRecords { host });
            }
            Effect::Deposed { .. } => self.hosts[host].is_deposed = true,
        }
    }

    fn send_start(&mut self, host: usize, call: StartCall) {
        let timeout = Command::StartReplied {
            worker: call.worker,
            task: call.task,
            run: call.run,
            reply: StartReply::Unanswered,
            clock: None,
        };
        let name = call.name.clone();
        self.send_order(host, &name, timeout, |is_heard| Event::Start {
            host,
            call,
            is_heard,
        });
    }

    /// Sends an order to a worker. Where no answer comes, the scheduler is told `timeout`.
    fn send_order(
        &mut self,
        host: usize,
        to: &WorkerName,
        timeout: Command,
        order: impl FnOnce(bool) -> Event,
    ) {
        let is_cut = self.is_cut(host, to);
        let is_late = self.is_late();
        let is_heard = self.is_heard() && !is_late;
        if !is_heard || is_cut {
            self.at(self.now + CALL_TIMEOUT, Event::Tell { host, cmd: timeout });
        }
        if !is_cut {
            let at = self.now + self.delay(is_late);
            self.at(at, order(is_heard));
        }
    }

    fn start(&mut self, host: usize, call: &StartCall, is_heard: bool) {
        let worker = index_of(&call.name);
        let (task, run) = (call.task, call.run);
        let job = &self.jobs[&task.job];
        let size = job.spec.steps[usize::from(task.step)].size;
        let lease = (call.lease_until, call.token);
        let work = job.work;
        self.settle_all();
        let was_running = self.workers[worker].running().any(|r| r == (task, run));
        let reply = self.workers[worker].start(self.now, (task, run), size, work, lease);
        if reply == StartReply::Accepted && !was_running {
            *self.starts.entry(task).or_insert(0) += 1;
            self.begun.push((task, self.now));
            let others = self.workers.iter().flat_map(FakeWorker::running);
            if others.filter(|r| r.0 == task).count() > 1 {
                self.twice.push(task);
            }
        }
        let ms = (self.now - self.started).as_millis();
        self.trace.push(format!(
            "{ms} ms: host {host} starts {task} run {run} on {worker}: {reply:?}"
        ));
        if reply == StartReply::NoRoom {
            self.no_room += 1;
        }
        let clock = Some(self.workers[worker].clock(self.now));
        let cmd = Command::StartReplied {
            worker: call.worker,
            task,
            run,
            reply,
            clock,
        };
        self.reply(host, is_heard, cmd);
    }

    fn is_store_away(&self, host: usize) -> bool {
        self.is_store_down || self.hosts[host].is_store_cut
    }

    fn send_record(
        &mut self,
        host: usize,
        attempt: u32,
        record: JobRecord,
        (expected, epoch): (u64, u64),
    ) {
        let id = record.spec.id;
        let is_late = self.random() < self.store_late || self.is_late();
        let is_heard = self.random() >= self.store_lost && self.is_heard() && !is_late;
        let is_away = self.is_store_away(host);
        if !is_heard || is_away {
            let reply = RecordReply::Unanswered;
            let cmd = Command::RecordReplied { id, attempt, reply };
            self.at(self.now + STORE_TIMEOUT, Event::Tell { host, cmd });
        }
        if !is_away {
            let at = self.now + self.store_time + self.delay(is_late);
            let event = Event::Record {
                host,
                attempt,
                record,
                expected,
                epoch,
                is_heard,
            };
            self.at(at, event);
        }
    }

    /// Stores a record where the expected version is stored, and the cell is claimed as expected.
    fn store(&mut self, record: JobRecord, (expected, epoch): (u64, u64)) -> RecordReply {
        if epoch != self.epoch.1 {
            return RecordReply::EpochOver;
        }
        let id = record.spec.id;
        let stored = self.records.get(&id);
        if stored.map_or(0, |s| s.1) != expected {
            let stored = stored.cloned();
            return RecordReply::Conflict { stored };
        }
        self.sequence += 1;
        let version = self.sequence;
        self.records.insert(id, (record, version));
        RecordReply::Stored { version }
    }

    /// Tells all schedulers what is stored of a job, as those that follow the records hear it.
    fn feed(&mut self, id: JobId) {
        let (record, version) = self.records[&id].clone();
        for host in 0..self.hosts.len() {
            if self.is_store_away(host) {
                continue;
            }
            let record = record.clone();
            let cmd = Command::RecordSeen { record, version };
            let at = self.now + FEED_GAP.mul_f64(self.random());
            self.at(at, Event::Tell { host, cmd });
        }
    }

    fn send_claim(&mut self, host: usize) {
        let sent = self.now;
        let is_heard = self.is_heard();
        let is_away = self.is_store_away(host);
        if !is_heard || is_away {
            let reply = EpochReply::Unanswered;
            let cmd = Command::EpochReplied { sent, reply };
            self.at(self.now + STORE_TIMEOUT, Event::Tell { host, cmd });
        }
        if !is_away {
            let event = Event::Claim {
                host,
                sent,
                is_heard,
            };
            self.at(self.now + self.store_time, event);
        }
    }

    fn claim(&mut self, host: usize) -> EpochReply {
        let token = self.hosts[host].token;
        let (holder, version) = self.epoch;
        if holder > token {
            return EpochReply::HeldByOther { token: holder };
        }
        if holder == token {
            return EpochReply::Held { version };
        }
        self.sequence += 1;
        self.epoch = (token, self.sequence);
        EpochReply::Held {
            version: self.sequence,
        }
    }

    /// Tasks of kept jobs that were started after they had ended as done, where that end was acknowledged while
    /// its worker's lease had not lapsed since.
    pub(crate) fn started_again(&self) -> Vec<TaskName> {
        let ends = self.workers.iter().flat_map(|w| w.noted.iter());
        let ends = ends.filter(|(task, _)| self.jobs[&task.job].spec.is_durable);
        let again = ends.filter(|(task, at)| {
            let begun = self.begun.iter();
            begun
                .into_iter()
                .any(|(t, started)| t == task && started > at)
        });
        again.map(|(task, _)| *task).collect()
    }

    /// Tells a scheduler all records.
    fn tell_records(&mut self, host: usize) {
        for (record, version) in self.records.clone().into_values() {
            self.tell(host, Command::RecordListed { record, version });
        }
        let version = self.sequence;
        self.tell(host, Command::RecordsKnown { version });
    }

    fn settle_all(&mut self) {
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
    }

    fn poll(&mut self, host: usize, call: PollCall, sent: Instant, is_heard: bool) {
        let worker = index_of(&call.name);
        let may_wait = !call.wait.is_zero();
        let lease = (call.lease_until, call.token);
        let reply = self.workers[worker].poll(self.now, lease, call.last_processed_end, may_wait);
        if let Some(reply) = reply {
            self.looked(host, &call, sent, is_heard, reply);
            return;
        }
        self.hold_back(host, call, sent, is_heard);
    }

    /// Lets a worker check for an end again a little later.
    fn hold_back(&mut self, host: usize, call: PollCall, sent: Instant, is_heard: bool) {
        let event = Event::LookEnds {
            host,
            call,
            sent,
            is_heard,
        };
        self.at(self.now + LOOK_STEP, event);
    }

    fn look_ends(&mut self, host: usize, call: PollCall, sent: Instant, is_heard: bool) {
        let worker = index_of(&call.name);
        if is_heard && self.is_cut(host, &call.name) {
            // The cut came while the worker held the look back.
            let cmd = Command::PollReplied {
                worker: call.worker,
                sent,
                reply: PollReply::Unanswered,
            };
            let limit = (sent + call.wait + CALL_TIMEOUT).max(self.now);
            self.at(limit, Event::Tell { host, cmd });
            return;
        }
        let waits_on = self.now < sent + call.wait;
        let order = (None, call.token);
        let reply = self.workers[worker].poll(self.now, order, call.last_processed_end, waits_on);
        if let Some(reply) = reply {
            self.looked(host, &call, sent, is_heard, reply);
            return;
        }
        self.hold_back(host, call, sent, is_heard);
    }

    fn looked(
        &mut self,
        host: usize,
        call: &PollCall,
        sent: Instant,
        is_heard: bool,
        reply: PollReply,
    ) {
        let cmd = Command::PollReplied {
            worker: call.worker,
            sent,
            reply,
        };
        self.reply(host, is_heard, cmd);
    }

    /// Replies belong to the scheduler that asked: a host keeps its scheduler for life.
    fn reply(&mut self, host: usize, is_heard: bool, cmd: Command) {
        if is_heard {
            self.at(self.now + ONE_WAY, Event::Tell { host, cmd });
        }
    }

    fn is_cut(&self, host: usize, name: &WorkerName) -> bool {
        self.hosts[host].cut.contains(&index_of(name))
    }

    fn is_heard(&mut self) -> bool {
        let share = self.lost_answers;
        self.random() >= share
    }

    fn is_late(&mut self) -> bool {
        let share = self.late_orders;
        self.random() < share
    }

    fn delay(&mut self, is_late: bool) -> Duration {
        if is_late {
            Duration::from_secs_f64(2.0 + 10.0 * self.random())
        } else {
            ONE_WAY
        }
    }
}

impl Host {
    /// Its fencing token.
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }
}

pub(crate) fn name_of(worker: usize) -> WorkerName {
    WorkerName(format!("w-{worker}").into())
}

fn index_of(name: &WorkerName) -> usize {
    name.0.trim_start_matches("w-").parse().unwrap()
}
