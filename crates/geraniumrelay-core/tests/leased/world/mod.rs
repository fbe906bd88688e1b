//! Simulation of schedulers, workers and the store in virtual time, with lost and late replies,
//! delayed calls, network partitions and restarts of workers.

mod callers;
mod calls;
mod cells;
mod checks;
mod crashes;
mod cuts;
mod entries;
mod entry_jobs;
mod evacuation;
mod heartbeats;
mod instances;
mod job;
mod links;
mod store;
mod vms;

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::contention::Change;
use geraniumrelay_core::leased::evacuation::EvacuatedSince;
use geraniumrelay_core::leased::{
    Command, DeparturesKnown, Effect, EntryVm, FencingToken, JobId, JobOutcome, JobRecord,
    LogEvent, LostRun, PollCall, RecordReply, Scheduler, StartCall, StopCall, Submission,
    SubmissionId, TaskName, WorkerEntry, WorkerName,
};
use geraniumrelay_core::{Config, Context};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

pub(crate) use self::crashes::{CrashMode, Return};
use self::entries::{EntryEvent, EntryVms};
pub(crate) use self::job::TestJob;
use self::vms::Vm;
use crate::worker::FakeWorker;

/// Network latency in one direction between a scheduler and a worker.
const ONE_WAY_LATENCY: Duration = Duration::from_micros(500);

/// Default latency of a call to the store.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Time-out of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest delay between a change of a record and its delivery to a scheduler.
const MAX_FEED_DELAY: Duration = Duration::from_millis(500);

/// Rounds from one token to the next that the election gives.
const ROUND_STEP: u64 = 4;

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
    Crash {
        worker: usize,
        instance: u64,
    },
    Restart {
        worker: usize,
    },
    EntryRemoved {
        worker: usize,
        instance: u64,
    },
    EntryVm(EntryEvent),
}

/// A scheduler and the state of its network.
#[derive(Debug)]
pub(crate) struct Host {
    /// `None` after [`Simulation::kill`].
    pub(crate) scheduler: Option<Scheduler>,
    /// Workers that the scheduler can't reach.
    pub(crate) unreachable_workers: BTreeSet<usize>,
    /// Workers that get the scheduler's calls, but whose replies are lost.
    pub(crate) unheard_workers: BTreeSet<usize>,
    pub(crate) cell: usize,
    /// Whether the scheduler can't reach the store.
    pub(crate) is_store_unreachable: bool,
    pub(crate) is_deposed: bool,
    token: FencingToken,
    /// When the next scheduler of the cell took over.
    followed_until: Option<Instant>,
    /// When the scheduler reads the workers' entries next.
    next_list: Instant,
    /// Which departed workers the scheduler is told of at its next reads.
    pub(crate) departures: DeparturesKnown,
}

/// Simulated cells: their schedulers, workers, jobs and stored records, and the entry VMs.
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
    /// Data centres of the workers that are not in `a`, where the schedulers run.
    data_centres: BTreeMap<usize, &'static str>,
    /// Evacuated data centres, as each new scheduler learns them.
    evacuated: EvacuatedSince,
    pub(crate) hosts: Vec<Host>,
    /// Cells of the workers that are not in cell 0.
    worker_cells: BTreeMap<usize, usize>,
    pub(crate) entry_vms: EntryVms,
    /// The VMs of the entry VMs, in tests where schedulers run on them.
    pub(crate) vms: Vec<Vm>,
    pub(crate) jobs: BTreeMap<JobId, TestJob>,
    /// All answers of schedulers: the entry VM, the copy that is answered, and the outcome.
    pub(crate) named_answers: Vec<(EntryVm, JobId, Option<SubmissionId>, JobOutcome)>,
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
    /// Worker and time of each accepted start.
    start_places: Vec<(usize, Instant)>,
    /// Task and worker of each accepted start.
    pub(crate) placements: Vec<(TaskName, usize)>,
    /// Number of runs that were stopped as being on a slow worker.
    pub(crate) slow_worker_stops: u32,
    /// Events that tell of learnt speeds of workers.
    pub(crate) speed_events: Vec<LogEvent>,
    /// Starts, stops and takeovers, for the message of a failed assertion.
    pub(crate) trace: Vec<String>,
    /// Stored records of durable jobs, and their versions.
    pub(crate) records: BTreeMap<JobId, (JobRecord, u64)>,
    /// Fencing token of the scheduler that has claimed each cell in the store, and the version of the
    /// claim.
    epochs: BTreeMap<usize, (FencingToken, u64)>,
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
    /// Schedulers whose stops are lost.
    pub(crate) hosts_with_lost_stops: BTreeSet<usize>,
    /// Workers that carry out stop orders 2 to 12 s late and do not answer them, while they answer polls.
    pub(crate) workers_with_late_stops: BTreeSet<usize>,
    /// Whether start orders to a worker that can't be reached are held up, rather than lost.
    pub(crate) holds_up_starts: bool,
    /// Start orders that are held up.
    held_up_starts: Vec<(StartCall, Transit)>,
    /// How tasks crash their workers, and how these return.
    pub(crate) crash_mode: CrashMode,
    /// Racks of the workers, in turn; all are on `r-1` if there is none.
    pub(crate) racks: Vec<std::sync::Arc<str>>,
    /// Starts of tasks with a preferred rack: there, and elsewhere.
    pub(crate) preferred_starts: (usize, usize),
    /// Jobs whose wait for a near place has begun, and those whose wait has ended.
    pub(crate) near_waits: (Vec<JobId>, Vec<JobId>),
    /// Workers that have crashed and are not back.
    down_workers: BTreeSet<usize>,
    /// Workers that the platform does not list any more.
    removed_entries: BTreeSet<usize>,
    /// Those of them that are up, and when their entries were removed.
    unlisted_workers: BTreeMap<usize, Instant>,
    /// Lost runs of the open jobs, as the entry VM keeps them.
    pub(crate) losses: BTreeMap<JobId, Vec<(TaskName, Vec<LostRun>)>>,
    /// Evacuations that a scheduler has reported as in force, and when.
    pub(crate) evacuations_in_force: Vec<(String, Instant)>,
    /// Queues that a scheduler has confined to a part of the workers.
    pub(crate) confined_queues: Vec<String>,
    /// Queues that have exceeded their shares or returned to them, and when.
    pub(crate) share_changes: Vec<(Instant, Change)>,
    /// Each crash: its time, and the tasks that ran on the worker.
    pub(crate) crashes: Vec<(Instant, Vec<TaskName>)>,
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
        let mut sim = Self::without_hosts(count, seed);
        sim.add_host(1);
        sim.run_for(Duration::from_millis(20));
        sim
    }

    fn without_hosts(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let worker = |_| {
            let mut worker = FakeWorker::new(now, 64_000);
            worker.instance_started_unix_ms = Some(FIRST_INSTANCE_UNIX_MS);
            worker
        };
        Self {
            now,
            started_at: now,
            cfg: Config::default(),
            workers: (0..count).map(worker).collect(),
            former_instances: Vec::new(),
            restarts: BTreeMap::new(),
            ports: BTreeMap::new(),
            data_centres: BTreeMap::new(),
            evacuated: EvacuatedSince::new(),
            hosts: Vec::new(),
            worker_cells: BTreeMap::new(),
            entry_vms: EntryVms::default(),
            vms: Vec::new(),
            jobs: BTreeMap::new(),
            named_answers: Vec::new(),
            answers: BTreeMap::new(),
            start_counts: BTreeMap::new(),
            concurrent_runs: Vec::new(),
            refused_starts: 0,
            start_times: Vec::new(),
            start_places: Vec::new(),
            placements: Vec::new(),
            slow_worker_stops: 0,
            speed_events: Vec::new(),
            trace: Vec::new(),
            records: BTreeMap::new(),
            epochs: BTreeMap::new(),
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
            hosts_with_lost_stops: BTreeSet::new(),
            workers_with_late_stops: BTreeSet::new(),
            holds_up_starts: false,
            held_up_starts: Vec::new(),
            crash_mode: CrashMode::default(),
            racks: Vec::new(),
            preferred_starts: (0, 0),
            near_waits: (Vec::new(), Vec::new()),
            down_workers: BTreeSet::new(),
            removed_entries: BTreeSet::new(),
            unlisted_workers: BTreeMap::new(),
            losses: BTreeMap::new(),
            evacuations_in_force: Vec::new(),
            confined_queues: Vec::new(),
            share_changes: Vec::new(),
            crashes: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
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
        let scheduler = scheduler.map(|s| s.with_records(self.cell_name(0)));
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
        self.add_cell_host((0, round), unreachable, knows_departed)
    }

    /// The same as [`Self::add_host_with`] for any cell.
    pub(crate) fn add_cell_host(
        &mut self,
        (cell, round): (usize, u64),
        unreachable: &BTreeSet<usize>,
        knows_departed: bool,
    ) -> usize {
        let host = self.hosts.len();
        let number = u8::try_from(host).unwrap() + 1;
        let token = FencingToken::new(round * ROUND_STEP, vm(number));
        let ms = (self.now - self.started_at).as_millis();
        self.trace.push(format!(
            "{ms} ms: host {host} takes over, unreachable workers: {unreachable:?}"
        ));
        let departures = if knows_departed {
            DeparturesKnown::All
        } else {
            DeparturesKnown::None
        };
        let (now, ttl) = (self.now, self.cfg.leased.predecessor_ttl);
        let mut predecessors = Vec::new();
        for former in self.hosts.iter_mut().filter(|h| h.cell == cell) {
            let followed_until = *former.followed_until.get_or_insert(now);
            predecessors.push((former.token, followed_until + ttl));
        }
        let scheduler = Scheduler::new(token, "a".into())
            .with_departures_known(departures)
            .with_predecessors(predecessors)
            .with_cell(self.cell_name(cell));
        self.hosts.push(Host {
            scheduler: Some(scheduler),
            unreachable_workers: unreachable.clone(),
            unheard_workers: BTreeSet::new(),
            cell,
            is_store_unreachable: false,
            is_deposed: false,
            token,
            followed_until: None,
            next_list: self.now,
            departures,
        });
        let evacuated = self.evacuated.clone();
        self.handle_command(host, Command::Evacuated(evacuated));
        let former = self.former_instances.iter().filter(|f| f.is_up);
        let mut departed: Vec<_> = former.map(|f| (f.entry.clone(), self.now)).collect();
        let unlisted = self.unlisted_workers.iter();
        let unlisted = unlisted.filter(|&(&worker, _)| self.cell_of(worker) == cell);
        departed.extend(unlisted.map(|(&worker, &at)| (self.worker_entry(worker), at)));
        for (entry, at) in departed {
            self.handle_command(host, Command::WorkerDeparted { entry, at });
        }
        for worker in (0..self.workers.len())
            .filter(|&w| self.is_listed(w) && self.cell_of(w) == cell)
            .collect::<Vec<_>>()
        {
            let entry = self.worker_entry(worker);
            self.handle_command(host, Command::WorkerSeen(entry));
        }
        self.schedule(self.now, Event::Tick { host });
        self.begin_heartbeats(host);
        host
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
        *token = FencingToken::new(round * ROUND_STEP, vm(number));
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
                let reply = self.store_record(host, record, (expected, epoch));
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
                self.read_list(host);
                self.handle_command(host, Command::Tick);
                self.schedule(self.now + TICK_INTERVAL, Event::Tick { host });
            }
            Event::Crash { worker, instance } => self.crash_worker(worker, instance),
            Event::Restart { worker } => self.return_worker(worker),
            Event::EntryRemoved { worker, instance } => self.remove_entry(worker, instance),
            Event::EntryVm(event) => self.process_entry_event(event),
        }
    }

    fn submit_job(&mut self, host: usize, id: JobId) {
        let job = &self.jobs[&id];
        let (may_have_started, former_tokens) = (job.may_have_started, job.former_tokens.clone());
        let submission = self.submission(id, vm(100), may_have_started, former_tokens);
        self.handle_command(host, Command::Submit(submission));
    }

    fn submission(
        &self,
        id: JobId,
        origin: EntryVm,
        may_have_started: bool,
        former_tokens: Vec<FencingToken>,
    ) -> Submission {
        let job = &self.jobs[&id];
        Submission {
            spec: job.spec.clone(),
            origin,
            name: None,
            waited: job.waited,
            remaining_wait: job.remaining_wait,
            as_of: job.heartbeat_age.and_then(|age| self.now.checked_sub(age)),
            may_have_started,
            former_tokens,
            has_alternative: job.has_alternative,
            losses: self.losses.get(&id).cloned().unwrap_or_default(),
        }
    }

    fn apply_effect(&mut self, host: usize, effect: Effect) {
        let token = match &effect {
            Effect::Start(call) => Some(call.token),
            Effect::Stop(call) => Some(call.token),
            Effect::Poll(call) => Some(call.token),
            _ => None,
        };
        let scheduler = self.hosts[host].scheduler.as_ref();
        if let Some((token, scheduler)) = token.zip(scheduler) {
            let is_own = scheduler.has_had_token(token);
            assert!(is_own, "replies to calls with {token} would be ignored");
        }
        match effect {
            Effect::Start(call) => self.send_start(host, call),
            Effect::Stop(call) => self.send_stop(host, call),
            Effect::Poll(call) => self.send_poll(host, call),
            Effect::Answer {
                origin,
                id,
                submission,
                outcome,
            } => {
                self.named_answers.push((origin, id, submission, outcome));
                self.send_answer(host, origin, (id, submission), outcome);
                self.answers.entry(id).or_insert((outcome, self.now));
                self.losses.remove(&id);
            }
            Effect::LogEvent(event) => self.log_event(host, &event),
            Effect::Losses { id, losses, .. } => {
                self.losses.insert(id, losses);
            }
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
}

impl Host {
    /// Fencing token of the scheduler, which stays known after [`Simulation::kill`].
    pub(crate) fn token(&self) -> FencingToken {
        self.token
    }
}

pub(crate) fn worker_name(worker: usize) -> WorkerName {
    WorkerName(format!("w-{worker}").into())
}

fn worker_index(name: &WorkerName) -> usize {
    name.0.trim_start_matches("w-").parse().unwrap()
}
