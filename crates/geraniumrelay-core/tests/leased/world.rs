//! Simulation of schedulers, workers and the store in virtual time, with lost and late replies,
//! delayed calls, network partitions and restarts of workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{
    Command, Effect, EntryVm, EpochReply, FencingToken, JobId, JobOutcome, JobRecord, JobSpec,
    LogEvent, PollCall, PollReply, RecordReply, Resources, Scheduler, StartCall, StartReply,
    StepSpec, StopCall, StopReply, Submission, TaskName, WorkerEntry, WorkerName, WorkerState,
    WorkerTime,
};
use geraniumrelay_core::{Config, Context};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::worker::FakeWorker;

/// Network latency in one direction between a scheduler and a worker.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);

/// Default latency of a call to the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Time-out of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest delay between a change of a record and its delivery to a scheduler.
const MAX_FEED_DELAY: Duration = Duration::from_millis(500);

/// Time-out of a call to a worker, in addition to the wait time that a poll asks for.
const CALL_TIMEOUT: Duration = Duration::from_millis(60);

/// Interval at which a worker with a waiting poll checks for ended runs.
const POLL_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// Interval between two ticks of a scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Time after which an unanswered start is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(20);

/// Start of the first instance of each worker, in Unix milliseconds.
const FIRST_INSTANCE_UNIX_MS: u64 = 1_790_000_000_000;

/// A call to a worker that is under way.
#[derive(Debug, Clone, Copy)]
struct Transit {
    host: usize,
    sent: Instant,
    /// When the caller stops waiting for the reply.
    times_out: Instant,
    /// `false` where the reply is lost.
    is_reply_delivered: bool,
    /// Instance that has received the call, and with which an unanswered call ends.
    received_by: Option<u64>,
    /// Whether this is the second copy of a call whose first copy is unanswered.
    is_resent: bool,
}

/// An earlier instance of a worker that has started again.
#[derive(Debug)]
struct FormerInstance {
    instance: FakeWorker,
    /// Its entry, which counts as departed.
    entry: WorkerEntry,
    /// Whether the instance goes on running, out of reach of all schedulers.
    is_up: bool,
}

/// A scheduled simulation event; `is_reply_delivered` is `false` where the reply to the call is
/// lost.
#[derive(Debug, Clone)]
enum Event {
    Submit {
        host: usize,
        job: JobId,
    },
    Start {
        call: StartCall,
        transit: Transit,
    },
    Stop {
        call: StopCall,
        transit: Transit,
    },
    Poll {
        call: PollCall,
        transit: Transit,
    },
    ResumePoll {
        call: PollCall,
        transit: Transit,
    },
    Record {
        host: usize,
        attempt: u32,
        record: JobRecord,
        expected: u64,
        epoch: u64,
        is_reply_delivered: bool,
    },
    Claim {
        host: usize,
        sent: Instant,
        is_reply_delivered: bool,
    },
    ReadRecords {
        host: usize,
    },
    Deliver {
        host: usize,
        cmd: Command,
    },
    Tick {
        host: usize,
    },
}

/// A scheduler and the state of its network.
#[derive(Debug)]
pub(crate) struct Host {
    /// `None` after [`Simulation::kill`].
    pub(crate) scheduler: Option<Scheduler>,
    /// Workers that the scheduler can't reach.
    pub(crate) unreachable_workers: BTreeSet<usize>,
    /// Whether the scheduler can't reach the store.
    pub(crate) is_store_unreachable: bool,
    pub(crate) is_deposed: bool,
    token: FencingToken,
}

/// A submitted job, and the values that its scheduler does not receive.
#[derive(Debug, Clone)]
pub(crate) struct TestJob {
    pub(crate) spec: JobSpec,
    /// Actual run time of each task on a worker without faults.
    pub(crate) run_time: Duration,
    pub(crate) remaining_wait: Duration,
    /// How long the job had waited before its submission to the scheduler.
    pub(crate) waited: Duration,
    pub(crate) submitted_at: Instant,
    pub(crate) may_have_started: bool,
    pub(crate) former_tokens: Vec<FencingToken>,
    pub(crate) has_alternative: bool,
}

impl TestJob {
    /// A job of one step whose tasks take 27 cores each.
    pub(crate) fn new(id: u64, tasks: u16, run_time: Duration) -> Self {
        let step = StepSpec {
            count: tasks,
            size: Resources {
                cpu_milli: 27_000,
                memory_mb: 64,
                gpus: 0,
            },
            estimate: run_time,
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
            run_time,
            remaining_wait: Duration::from_secs(4),
            waited: Duration::ZERO,
            submitted_at: Instant::now(),
            may_have_started: false,
            former_tokens: Vec::new(),
            has_alternative: false,
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

    pub(crate) fn with_remaining_wait(mut self, remaining_wait: Duration) -> Self {
        self.remaining_wait = remaining_wait;
        self
    }

    /// Sets a loose target latency of 5 s.
    pub(crate) fn with_slack(mut self) -> Self {
        self.spec.target_latency = Duration::from_secs(5);
        self
    }

    pub(crate) fn durable(mut self) -> Self {
        self.spec.is_durable = true;
        self
    }

    pub(crate) fn resubmitted(mut self) -> Self {
        self.may_have_started = true;
        self
    }

    fn objective(&self) -> Duration {
        self.run_time.mul_f64(self.spec.stretch) + self.spec.target_latency
    }
}

/// Simulated cell: its schedulers, workers, jobs and stored records.
#[derive(Debug)]
pub(crate) struct Simulation {
    pub(crate) now: Instant,
    pub(crate) started_at: Instant,
    pub(crate) cfg: Config,
    /// Present instance of each worker.
    pub(crate) workers: Vec<FakeWorker>,
    former_instances: Vec<FormerInstance>,
    /// Number of restarts of each restarted worker.
    restarts: BTreeMap<usize, u64>,
    /// Ports of the workers that have moved to another address.
    ports: BTreeMap<usize, u16>,
    pub(crate) hosts: Vec<Host>,
    pub(crate) jobs: BTreeMap<JobId, TestJob>,
    /// First outcome of each job, and its time.
    pub(crate) answers: BTreeMap<JobId, (JobOutcome, Instant)>,
    /// Number of accepted starts of each task.
    pub(crate) start_counts: BTreeMap<TaskName, u32>,
    /// Tasks that had two runs at the same time.
    pub(crate) concurrent_runs: Vec<TaskName>,
    /// Number of starts that a worker refused for lack of free capacity.
    pub(crate) refused_starts: u32,
    /// Task and time of each accepted start.
    pub(crate) start_times: Vec<(TaskName, Instant)>,
    /// Starts, stops and takeovers, for the message of a failed assertion.
    pub(crate) trace: Vec<String>,
    /// Stored records of durable jobs, and their versions.
    pub(crate) records: BTreeMap<JobId, (JobRecord, u64)>,
    /// Fencing token of the scheduler that has claimed the cell in the store, and the version of
    /// the claim.
    epoch: (FencingToken, u64),
    /// Whether the store is unavailable to all schedulers.
    pub(crate) is_store_down: bool,
    /// Latency of a call to the store.
    pub(crate) store_latency: Duration,
    /// Fraction of the writes to the store that take effect but whose reply is lost.
    pub(crate) lost_store_reply_share: f64,
    /// Fraction of the writes to the store that take effect 2 to 12 s late and whose reply is lost.
    pub(crate) delayed_write_share: f64,
    /// Fraction of the calls whose reply is lost.
    pub(crate) lost_reply_share: f64,
    /// Fraction of the replies of workers that arrive late, at most when the caller times out.
    pub(crate) late_reply_share: f64,
    /// Additional latency of the replies of single workers.
    pub(crate) reply_delays: BTreeMap<usize, Duration>,
    /// Whether a poll acknowledges also the ends that come while it waits at the worker.
    pub(crate) acks_while_waiting: bool,
    /// Workers that execute a start whose reply is lost, and then receive its second copy.
    pub(crate) workers_with_resent_starts: BTreeSet<usize>,
    /// Fraction of the calls that take effect 2 to 12 s late and whose reply is lost; polls and
    /// claims are not delayed.
    pub(crate) delayed_call_share: f64,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    rng: StdRng,
}

pub(crate) fn vm(number: u8) -> EntryVm {
    EntryVm(Ipv4Addr::new(10, 0, 0, number))
}

impl Simulation {
    /// Creates a simulation with one scheduler and `count` workers of 64 cores.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let worker = |_| {
            let mut worker = FakeWorker::new(now, 64_000);
            worker.instance_started_unix_ms = Some(FIRST_INSTANCE_UNIX_MS);
            worker
        };
        let mut sim = Self {
            now,
            started_at: now,
            cfg: Config::default(),
            workers: (0..count).map(worker).collect(),
            former_instances: Vec::new(),
            restarts: BTreeMap::new(),
            ports: BTreeMap::new(),
            hosts: Vec::new(),
            jobs: BTreeMap::new(),
            answers: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            concurrent_runs: Vec::new(),
            refused_starts: 0,
            start_times: Vec::new(),
            trace: Vec::new(),
            records: BTreeMap::new(),
            epoch: (FencingToken::default(), 0),
            is_store_down: false,
            store_latency: STORE_LATENCY,
            lost_store_reply_share: 0.0,
            delayed_write_share: 0.0,
            lost_reply_share: 0.0,
            late_reply_share: 0.0,
            reply_delays: BTreeMap::new(),
            acks_while_waiting: false,
            workers_with_resent_starts: BTreeSet::new(),
            delayed_call_share: 0.0,
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        };
        sim.add_host(1);
        sim.run_for(Duration::from_millis(20));
        sim
    }

    /// Adds a scheduler with a fencing token of `round` that knows all workers.
    pub(crate) fn add_host(&mut self, round: u64) -> usize {
        self.add_host_with(round, &BTreeSet::new(), true)
    }

    /// Adds a scheduler that claims the cell and reads the records of durable jobs, and can't reach
    /// the workers in `unreachable`.
    pub(crate) fn add_host_with_records(
        &mut self,
        round: u64,
        unreachable: &BTreeSet<usize>,
    ) -> usize {
        let host = self.add_host_with(round, unreachable, true);
        let scheduler = self.hosts[host].scheduler.take();
        let scheduler = scheduler.map(|s| s.with_records(CellName::single()));
        self.hosts[host].scheduler = scheduler;
        host
    }

    /// The same as [`Self::add_host`] without access to the workers in `unreachable`.
    /// `knows_departed` says whether the scheduler knows all workers on which an earlier one may
    /// have started tasks.
    pub(crate) fn add_host_with(
        &mut self,
        round: u64,
        unreachable: &BTreeSet<usize>,
        knows_departed: bool,
    ) -> usize {
        let host = self.hosts.len();
        let number = u8::try_from(host).unwrap() + 1;
        let token = FencingToken::new(round, vm(number));
        let ms = (self.now - self.started_at).as_millis();
        self.trace.push(format!(
            "{ms} ms: host {host} takes over, unreachable workers: {unreachable:?}"
        ));
        let scheduler = Scheduler::new(token, "a".into()).with_departed_known(knows_departed);
        self.hosts.push(Host {
            scheduler: Some(scheduler),
            unreachable_workers: unreachable.clone(),
            is_store_unreachable: false,
            is_deposed: false,
            token,
        });
        let former = self.former_instances.iter().filter(|f| f.is_up);
        let departed: Vec<_> = former.map(|f| f.entry.clone()).collect();
        for entry in departed {
            let name = entry.name.clone();
            self.handle_command(host, Command::WorkerSeen(entry));
            self.handle_command(host, Command::WorkerGone(name));
        }
        for worker in 0..self.workers.len() {
            let entry = self.worker_entry(worker);
            self.handle_command(host, Command::WorkerSeen(entry));
        }
        self.schedule(self.now, Event::Tick { host });
        host
    }

    pub(crate) fn worker_entry(&self, worker: usize) -> WorkerEntry {
        WorkerEntry {
            name: worker_name(worker),
            service: "service".into(),
            address: self.address(worker),
            data_centre: "a".into(),
            state: WorkerState::Ready,
            capacity: self.workers[worker].capacity,
            labels: vec![Arc::from("a"), Arc::from("r-1")],
            instance_started_unix_ms: self.workers[worker].instance_started_unix_ms,
        }
    }

    fn address(&self, worker: usize) -> SocketAddr {
        let first = 1_000 + u16::try_from(worker).unwrap();
        let port = self.ports.get(&worker).copied().unwrap_or(first);
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    /// Number of the present instance of a worker.
    fn instance_number(&self, worker: usize) -> u64 {
        self.restarts.get(&worker).copied().unwrap_or_default()
    }

    /// Restarts a worker at its address; its time of day is `clock_step_ms` ahead of that of the
    /// former instance. Schedulers get no entry of the new instance.
    pub(crate) fn restart_worker(&mut self, worker: usize, clock_step_ms: i64) {
        self.replace_instance(worker, clock_step_ms, false);
    }

    /// The same as [`Self::restart_worker`], but at another address, while the former instance goes
    /// on running out of reach.
    pub(crate) fn move_worker(&mut self, worker: usize, clock_step_ms: i64) {
        let port = self.address(worker).port() + 1_000;
        self.replace_instance(worker, clock_step_ms, true);
        self.ports.insert(worker, port);
    }

    fn replace_instance(&mut self, worker: usize, clock_step_ms: i64, is_up: bool) {
        self.advance_workers();
        let entry = self.worker_entry(worker);
        let former = &self.workers[worker];
        let cpu_milli = former.capacity.cpu_milli;
        let mut instance = FakeWorker::new(self.now, cpu_milli);
        instance.clock_rate = former.clock_rate;
        let started = former.instance_started_unix_ms;
        instance.instance_started_unix_ms =
            started.map(|ms| ms.checked_add_signed(clock_step_ms).unwrap());
        let instance = std::mem::replace(&mut self.workers[worker], instance);
        self.former_instances.push(FormerInstance {
            instance,
            entry,
            is_up,
        });
        *self.restarts.entry(worker).or_default() += 1;
        let former = if is_up { "goes on" } else { "is gone" };
        self.log(&format!(
            "another instance of worker {worker} starts, {clock_step_ms} ms later by its clock; the former {former}"
        ));
    }

    /// Whether a former instance of a worker may still run tasks.
    pub(crate) fn has_running_former_instance(&self) -> bool {
        let mut up = self.former_instances.iter().filter(|f| f.is_up);
        up.any(|f| f.instance.running().next().is_some())
    }

    /// Delivers an entry of a worker to a scheduler `after` this time.
    pub(crate) fn deliver_entry(&mut self, host: usize, after: Duration, entry: WorkerEntry) {
        let cmd = Command::WorkerSeen(entry);
        self.schedule(self.now + after, Event::Deliver { host, cmd });
    }

    /// Delivers the present entry of a worker to a scheduler at once.
    pub(crate) fn announce_worker(&mut self, host: usize, worker: usize) {
        let entry = self.worker_entry(worker);
        self.handle_command(host, Command::WorkerSeen(entry));
    }

    /// Adds a line to the trace.
    fn log(&mut self, text: &str) {
        let ms = (self.now - self.started_at).as_millis();
        self.trace.push(format!("{ms} ms: {text}"));
    }

    pub(crate) fn submit(&mut self, host: usize, after: Duration, mut job: TestJob) {
        let at = self.now + after;
        job.submitted_at = at;
        let id = job.spec.id;
        self.jobs.insert(id, job);
        self.schedule(at, Event::Submit { host, job: id });
    }

    /// Ends a scheduler without a hand-over, as when its process is killed.
    pub(crate) fn kill(&mut self, host: usize) {
        self.hosts[host].scheduler = None;
    }

    pub(crate) fn handle_command(&mut self, host: usize, cmd: Command) {
        let Some(scheduler) = &mut self.hosts[host].scheduler else {
            return;
        };
        if let Command::WorkerSeen(entry) = &cmd {
            let ms = (self.now - self.started_at).as_millis();
            self.trace.push(format!(
                "{ms} ms: host {host} reads the entry of {}, instance started at {:?}, address {}",
                entry.name, entry.instance_started_unix_ms, entry.address
            ));
        }
        let mut out = Vec::new();
        scheduler.handle(&Context::new(self.now, &self.cfg), cmd, &mut out);
        for effect in out {
            self.apply_effect(host, effect);
        }
    }

    /// Raises the token of a scheduler to `round`.
    pub(crate) fn raise_token(&mut self, host: usize, round: u64) {
        let Host {
            scheduler, token, ..
        } = &mut self.hosts[host];
        let scheduler = scheduler.as_mut().unwrap();
        let number = u8::try_from(host).unwrap() + 1;
        *token = FencingToken::new(round, vm(number));
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        scheduler.raise_token(&cx, *token, &mut out);
        for effect in out {
            self.apply_effect(host, effect);
        }
    }

    pub(crate) fn run_for(&mut self, duration: Duration) {
        let until = self.now + duration;
        while let Some((&(at, sequence), _)) = self.events.first_key_value() {
            if at > until {
                break;
            }
            let event = self.events.remove(&(at, sequence)).unwrap();
            self.now = self.now.max(at);
            self.process_event(event);
        }
        self.now = until;
        self.advance_workers();
    }

    /// Number of the jobs matching `filter` that were completed within their objective.
    pub(crate) fn count_in_time(&self, filter: impl Fn(&TestJob) -> bool) -> usize {
        let is_in_time = |job: &TestJob| {
            self.answers
                .get(&job.spec.id)
                .is_some_and(|&(outcome, at)| {
                    outcome == JobOutcome::Completed && at <= job.submitted_at + job.objective()
                })
        };
        self.jobs
            .values()
            .filter(|j| filter(j) && is_in_time(j))
            .count()
    }

    /// Number of the jobs matching `filter`.
    pub(crate) fn count_jobs(&self, filter: impl Fn(&TestJob) -> bool) -> usize {
        self.jobs.values().filter(|j| filter(j)).count()
    }

    pub(crate) fn outcome(&self, id: u64) -> Option<JobOutcome> {
        self.answers.get(&JobId(id)).map(|a| a.0)
    }

    /// The lines of the trace that name a job or an instance of a worker.
    pub(crate) fn trace_of(&self, id: JobId) -> String {
        let id = id.to_string();
        let is_relevant = |l: &&String| l.contains(&id) || l.contains("instance");
        let lines = self.trace.iter().filter(is_relevant);
        lines.cloned().collect::<Vec<_>>().join("\n")
    }

    /// Jobs that were refused although at least one of their tasks had started.
    pub(crate) fn false_refusals(&self) -> Vec<JobId> {
        let refused = self
            .answers
            .iter()
            .filter(|(_, (outcome, _))| matches!(outcome, JobOutcome::Refused { .. }));
        let ids = refused.map(|(&id, _)| id);
        ids.filter(|&id| self.start_counts.keys().any(|name| name.job == id))
            .collect()
    }

    pub(crate) fn random(&mut self) -> f64 {
        self.rng.random()
    }

    pub(crate) fn random_below(&mut self, limit: u16) -> u16 {
        self.rng.random_range(0..limit)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Submit { host, job } => self.submit_job(host, job),
            Event::Start { call, transit } => self.start_task(&call, transit),
            Event::Stop { call, transit } => self.stop_run(&call, transit),
            Event::Poll { call, transit } => self.poll_worker(call, transit),
            Event::ResumePoll { call, transit } => self.resume_poll(call, transit),
            Event::Record {
                host,
                attempt,
                record,
                expected,
                epoch,
                is_reply_delivered,
            } => {
                let id = record.spec.id;
                let reply = self.store_record(record, (expected, epoch));
                let is_stored = matches!(reply, RecordReply::Stored { .. });
                let cmd = Command::RecordReplied { id, attempt, reply };
                self.send_store_reply(host, is_reply_delivered, cmd);
                if is_stored {
                    self.publish_record(id);
                }
            }
            Event::Claim {
                host,
                sent,
                is_reply_delivered,
            } => {
                let reply = self.claim_epoch(host);
                let cmd = Command::EpochReplied { sent, reply };
                self.send_store_reply(host, is_reply_delivered, cmd);
            }
            Event::ReadRecords { host } if self.is_store_unavailable(host) => {
                self.schedule(self.now + CALL_TIMEOUT, Event::ReadRecords { host });
            }
            Event::ReadRecords { host } => self.deliver_records(host),
            Event::Deliver { host, cmd } => self.handle_command(host, cmd),
            Event::Tick { host } => {
                self.handle_command(host, Command::Tick);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick { host });
            }
        }
    }

    fn submit_job(&mut self, host: usize, id: JobId) {
        let job = &self.jobs[&id];
        let submission = Submission {
            spec: job.spec.clone(),
            origin: vm(100),
            waited: job.waited,
            remaining_wait: job.remaining_wait,
            may_have_started: job.may_have_started,
            former_tokens: job.former_tokens.clone(),
            has_alternative: job.has_alternative,
        };
        self.handle_command(host, Command::Submit(submission));
    }

    fn apply_effect(&mut self, host: usize, effect: Effect) {
        match effect {
            Effect::Start(call) => self.send_start(host, call),
            Effect::Stop(call) => self.send_stop(host, call),
            Effect::Poll(call) => self.send_poll(host, call),
            Effect::Answer { id, outcome, .. } => {
                self.answers.entry(id).or_insert((outcome, self.now));
            }
            Effect::LogEvent(event) => self.log_event(host, &event),
            Effect::EpochLost { .. } => {}
            Effect::Record {
                attempt,
                record,
                expected,
                epoch,
            } => self.send_record(host, attempt, record, (expected, epoch)),
            Effect::ClaimEpoch => self.send_claim(host),
            Effect::ReadRecords => {
                let at = self.now + self.store_latency;
                self.schedule(at, Event::ReadRecords { host });
            }
            Effect::Deposed { .. } => self.hosts[host].is_deposed = true,
        }
    }

    fn log_event(&mut self, host: usize, event: &LogEvent) {
        match event {
            LogEvent::RunEnded {
                task,
                run,
                worker,
                kind,
                evidence,
                ..
            } => self.log(&format!(
                "host {host} ends {task} run {run} on {worker}: {kind:?}, {evidence:?}"
            )),
            LogEvent::InstanceChanged { worker, source, .. } => self.log(&format!(
                "host {host} learns of another instance of {worker}: {source:?}"
            )),
            _ => {}
        }
    }

    fn send_start(&mut self, host: usize, call: StartCall) {
        let worker = worker_index(&call.name);
        if self.workers_with_resent_starts.contains(&worker)
            && !self.is_unreachable(host, &call.name)
        {
            let first = Transit {
                host,
                sent: self.now,
                times_out: self.now + RESEND_AFTER + CALL_TIMEOUT,
                is_reply_delivered: false,
                received_by: None,
                is_resent: false,
            };
            let second = Transit {
                is_reply_delivered: true,
                is_resent: true,
                ..first
            };
            let at = self.now + ONE_WAY_LATENCY;
            let event = Event::Start {
                call: call.clone(),
                transit: first,
            };
            self.schedule(at, event);
            let event = Event::Start {
                call,
                transit: second,
            };
            self.schedule(at + RESEND_AFTER, event);
            return;
        }
        let timeout = start_timeout(&call);
        let name = call.name.clone();
        self.send_call(host, &name, timeout, |transit| Event::Start {
            call,
            transit,
        });
    }

    fn send_stop(&mut self, host: usize, call: StopCall) {
        let timeout = stop_timeout(&call);
        let name = call.name.clone();
        self.send_call(host, &name, timeout, |transit| Event::Stop {
            call,
            transit,
        });
    }

    fn send_poll(&mut self, host: usize, call: PollCall) {
        let sent = self.now;
        let times_out = self.now + call.wait + CALL_TIMEOUT;
        let is_unreachable = self.is_unreachable(host, &call.name);
        let is_reply_delivered = self.draw_reply_delivered();
        if !is_reply_delivered || is_unreachable {
            let cmd = poll_timeout(&call, sent);
            self.schedule(times_out, Event::Deliver { host, cmd });
        }
        if !is_unreachable {
            let transit = Transit {
                host,
                sent,
                times_out,
                is_reply_delivered,
                received_by: None,
                is_resent: false,
            };
            let at = self.now + ONE_WAY_LATENCY;
            self.schedule(at, Event::Poll { call, transit });
        }
    }

    /// Sends a call to a worker. If no reply arrives, the scheduler handles `timeout` instead.
    fn send_call(
        &mut self,
        host: usize,
        to: &WorkerName,
        timeout: Command,
        event: impl FnOnce(Transit) -> Event,
    ) {
        let is_unreachable = self.is_unreachable(host, to);
        let is_delayed = self.draw_call_delayed();
        let is_reply_delivered = self.draw_reply_delivered() && !is_delayed;
        let times_out = self.now + CALL_TIMEOUT;
        if !is_reply_delivered || is_unreachable {
            self.schedule(times_out, Event::Deliver { host, cmd: timeout });
        }
        if !is_unreachable {
            let at = self.now + self.delay(is_delayed);
            let instance = self.instance_number(worker_index(to));
            let transit = Transit {
                host,
                sent: self.now,
                times_out,
                is_reply_delivered,
                received_by: is_delayed.then_some(instance),
                is_resent: false,
            };
            self.schedule(at, event(transit));
        }
    }

    /// The worker whose present instance receives a call to an address; without one, the caller
    /// times out.
    fn receiver(
        &mut self,
        (name, address): (&WorkerName, SocketAddr),
        transit: Transit,
        timeout: Command,
    ) -> Option<usize> {
        let worker = worker_index(name);
        let instance = self.instance_number(worker);
        if address == self.address(worker) && transit.received_by.is_none_or(|i| i == instance) {
            return Some(worker);
        }
        if transit.is_reply_delivered {
            let event = Event::Deliver {
                host: transit.host,
                cmd: timeout,
            };
            self.schedule(transit.times_out.max(self.now), event);
        }
        None
    }

    fn start_task(&mut self, call: &StartCall, transit: Transit) {
        let to = (&call.name, call.address);
        let Some(worker) = self.receiver(to, transit, start_timeout(call)) else {
            return;
        };
        let host = transit.host;
        let (task, run) = (call.task, call.run);
        let job = &self.jobs[&task.job];
        let size = job.spec.steps[usize::from(task.step)].size;
        let lease = (call.lease_until, call.token);
        let run_time = job.run_time;
        self.advance_workers();
        let was_running = self.workers[worker].running().any(|r| r == (task, run));
        let mut reply = self.workers[worker].start(self.now, (task, run), size, run_time, lease);
        if reply == StartReply::Accepted && !was_running {
            *self.start_counts.entry(task).or_insert(0) += 1;
            self.start_times.push((task, self.now));
            let former = self.former_instances.iter().filter(|f| f.is_up);
            let others = self.workers.iter().chain(former.map(|f| &f.instance));
            let others = others.flat_map(FakeWorker::running);
            if others.filter(|r| r.0 == task).count() > 1 {
                self.concurrent_runs.push(task);
            }
        }
        self.log(&format!(
            "host {host} starts {task} run {run} on worker {worker}: {reply:?}"
        ));
        if self.concurrent_runs.last() == Some(&task) {
            self.log(&format!("{task} has two runs"));
        }
        if reply == StartReply::NoRoom {
            self.refused_starts += 1;
        }
        let mut clock = Some(self.workers[worker].clock(self.now));
        let is_conclusive = matches!(reply, StartReply::Accepted | StartReply::OtherInstance);
        if transit.is_resent && !is_conclusive {
            // The first copy may have started the run.
            (reply, clock) = (StartReply::Unanswered, None);
        }
        let cmd = Command::StartReplied {
            worker: call.worker,
            task,
            run,
            reply,
            clock,
        };
        self.send_reply(worker, transit, cmd, start_timeout(call));
    }

    fn stop_run(&mut self, call: &StopCall, transit: Transit) {
        let to = (&call.name, call.address);
        let Some(worker) = self.receiver(to, transit, stop_timeout(call)) else {
            return;
        };
        let (host, run) = (transit.host, (call.task, call.run));
        let reply = self.workers[worker].stop(self.now, run, call.token);
        self.log(&format!(
            "host {host} stops {} run {} on worker {worker}: {reply:?}",
            call.task, call.run
        ));
        let cmd = Command::StopReplied {
            worker: call.worker,
            task: call.task,
            run: call.run,
            reply,
        };
        self.send_reply(worker, transit, cmd, stop_timeout(call));
    }

    fn is_store_unavailable(&self, host: usize) -> bool {
        self.is_store_down || self.hosts[host].is_store_unreachable
    }

    fn send_record(
        &mut self,
        host: usize,
        attempt: u32,
        record: JobRecord,
        (expected, epoch): (u64, u64),
    ) {
        let id = record.spec.id;
        let is_delayed = self.random() < self.delayed_write_share || self.draw_call_delayed();
        let is_reply_delivered = self.random() >= self.lost_store_reply_share
            && self.draw_reply_delivered()
            && !is_delayed;
        let is_unavailable = self.is_store_unavailable(host);
        if !is_reply_delivered || is_unavailable {
            let reply = RecordReply::Unanswered;
            let cmd = Command::RecordReplied { id, attempt, reply };
            self.schedule(self.now + STORE_TIMEOUT, Event::Deliver { host, cmd });
        }
        if !is_unavailable {
            let at = self.now + self.store_latency + self.delay(is_delayed);
            let event = Event::Record {
                host,
                attempt,
                record,
                expected,
                epoch,
                is_reply_delivered,
            };
            self.schedule(at, event);
        }
    }

    /// Stores a record if the stored version and the claim of the cell are the expected ones.
    fn store_record(&mut self, record: JobRecord, (expected, epoch): (u64, u64)) -> RecordReply {
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

    /// Delivers the stored record of a job to all schedulers after a random delay, as the feed of
    /// changes does.
    fn publish_record(&mut self, id: JobId) {
        let (record, version) = self.records[&id].clone();
        for host in 0..self.hosts.len() {
            if self.is_store_unavailable(host) {
                continue;
            }
            let record = record.clone();
            let cmd = Command::RecordSeen { record, version };
            let at = self.now + MAX_FEED_DELAY.mul_f64(self.random());
            self.schedule(at, Event::Deliver { host, cmd });
        }
    }

    fn send_claim(&mut self, host: usize) {
        let sent = self.now;
        let is_reply_delivered = self.draw_reply_delivered();
        let is_unavailable = self.is_store_unavailable(host);
        if !is_reply_delivered || is_unavailable {
            let reply = EpochReply::Unanswered;
            let cmd = Command::EpochReplied { sent, reply };
            self.schedule(self.now + STORE_TIMEOUT, Event::Deliver { host, cmd });
        }
        if !is_unavailable {
            let event = Event::Claim {
                host,
                sent,
                is_reply_delivered,
            };
            self.schedule(self.now + self.store_latency, event);
        }
    }

    fn claim_epoch(&mut self, host: usize) -> EpochReply {
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

    /// Tasks of durable jobs that were started again after an acknowledged end as done. Ends that
    /// were acknowledged only after the lease of their worker had lapsed don't count.
    pub(crate) fn tasks_restarted_after_ack(&self) -> Vec<TaskName> {
        let former = self.former_instances.iter().map(|f| &f.instance);
        let instances = self.workers.iter().chain(former);
        let ends = instances.flat_map(|w| w.acknowledged_ends.iter());
        let ends = ends.filter(|(task, _)| self.jobs[&task.job].spec.is_durable);
        let restarted = ends.filter(|(task, ended_at)| {
            let starts = self.start_times.iter();
            starts
                .into_iter()
                .any(|(t, started_at)| t == task && started_at > ended_at)
        });
        restarted.map(|(task, _)| *task).collect()
    }

    /// Delivers all stored records to a scheduler.
    fn deliver_records(&mut self, host: usize) {
        for (record, version) in self.records.clone().into_values() {
            self.handle_command(host, Command::RecordListed { record, version });
        }
        let version = self.sequence;
        self.handle_command(host, Command::RecordsKnown { version });
    }

    fn advance_workers(&mut self) {
        let former = self.former_instances.iter_mut().filter(|f| f.is_up);
        let former = former.map(|f| &mut f.instance);
        for worker in self.workers.iter_mut().chain(former) {
            worker.advance(self.now);
        }
    }

    fn poll_worker(&mut self, call: PollCall, mut transit: Transit) {
        let to = (&call.name, call.address);
        let timeout = poll_timeout(&call, transit.sent);
        let Some(worker) = self.receiver(to, transit, timeout) else {
            return;
        };
        transit.received_by = Some(self.instance_number(worker));
        let may_wait = !call.wait.is_zero();
        self.answer_poll(worker, (call.lease_until, may_wait), call, transit);
    }

    fn resume_poll(&mut self, call: PollCall, transit: Transit) {
        let to = (&call.name, call.address);
        let timeout = poll_timeout(&call, transit.sent);
        if transit.is_reply_delivered && self.is_unreachable(transit.host, &call.name) {
            // The connection broke while the poll was waiting at the worker.
            let event = Event::Deliver {
                host: transit.host,
                cmd: timeout,
            };
            self.schedule(transit.times_out.max(self.now), event);
            return;
        }
        let Some(worker) = self.receiver(to, transit, timeout) else {
            return;
        };
        let may_wait = self.now < transit.sent + call.wait;
        self.answer_poll(worker, (None, may_wait), call, transit);
    }

    /// Answers a poll, or lets it check for ended runs again after [`POLL_CHECK_INTERVAL`].
    fn answer_poll(
        &mut self,
        worker: usize,
        (lease, may_wait): (Option<WorkerTime>, bool),
        call: PollCall,
        transit: Transit,
    ) {
        let lease = (lease, call.token);
        let is_waiting = self.now > transit.sent + ONE_WAY_LATENCY;
        let acknowledged = if is_waiting && !self.acks_while_waiting {
            0
        } else {
            call.last_processed_end
        };
        let reply = self.workers[worker].poll(self.now, lease, acknowledged, may_wait);
        let Some(reply) = reply else {
            let at = self.now + POLL_CHECK_INTERVAL;
            self.schedule(at, Event::ResumePoll { call, transit });
            return;
        };
        let cmd = Command::PollReplied {
            worker: call.worker,
            number: call.number,
            sent: transit.sent,
            reply,
        };
        let timeout = poll_timeout(&call, transit.sent);
        self.send_reply(worker, transit, cmd, timeout);
    }

    /// Delivers a reply of a worker to the scheduler that sent the call, or `timeout` if the reply
    /// is later than the caller waits for it.
    fn send_reply(&mut self, worker: usize, transit: Transit, cmd: Command, timeout: Command) {
        let Transit {
            host, times_out, ..
        } = transit;
        if !transit.is_reply_delivered {
            return;
        }
        let mut at = self.now + ONE_WAY_LATENCY;
        at += self.reply_delays.get(&worker).copied().unwrap_or_default();
        if self.late_reply_share > 0.0 && self.random() < self.late_reply_share {
            at += times_out
                .saturating_duration_since(at)
                .mul_f64(self.random());
        }
        let (at, cmd) = if at > times_out.max(self.now + ONE_WAY_LATENCY) {
            (times_out, timeout)
        } else {
            (at, cmd)
        };
        self.schedule(at, Event::Deliver { host, cmd });
    }

    fn send_store_reply(&mut self, host: usize, is_reply_delivered: bool, cmd: Command) {
        if is_reply_delivered {
            self.schedule(self.now + ONE_WAY_LATENCY, Event::Deliver { host, cmd });
        }
    }

    fn is_unreachable(&self, host: usize, name: &WorkerName) -> bool {
        self.hosts[host]
            .unreachable_workers
            .contains(&worker_index(name))
    }

    fn draw_reply_delivered(&mut self) -> bool {
        let share = self.lost_reply_share;
        self.random() >= share
    }

    fn draw_call_delayed(&mut self) -> bool {
        let share = self.delayed_call_share;
        self.random() < share
    }

    fn delay(&mut self, is_delayed: bool) -> Duration {
        if is_delayed {
            Duration::from_secs_f64(2.0 + 10.0 * self.random())
        } else {
            ONE_WAY_LATENCY
        }
    }
}

impl Host {
    /// Fencing token of the scheduler, which stays known after [`Simulation::kill`].
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }
}

fn start_timeout(call: &StartCall) -> Command {
    Command::StartReplied {
        worker: call.worker,
        task: call.task,
        run: call.run,
        reply: StartReply::Unanswered,
        clock: None,
    }
}

fn stop_timeout(call: &StopCall) -> Command {
    Command::StopReplied {
        worker: call.worker,
        task: call.task,
        run: call.run,
        reply: StopReply::Unanswered,
    }
}

fn poll_timeout(call: &PollCall, sent: Instant) -> Command {
    Command::PollReplied {
        worker: call.worker,
        number: call.number,
        sent,
        reply: PollReply::Unanswered,
    }
}

pub(crate) fn worker_name(worker: usize) -> WorkerName {
    WorkerName(format!("w-{worker}").into())
}

fn worker_index(name: &WorkerName) -> usize {
    name.0.trim_start_matches("w-").parse().unwrap()
}
