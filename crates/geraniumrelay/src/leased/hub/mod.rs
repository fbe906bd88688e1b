//! The hub: owns the decisions and carries out their effects.

mod election;
mod jobs;
mod records;
mod tables;

use std::cell::Cell as Flag;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::Receiver;
use geraniumrelay_adapter::{Change, StoreClient};
use geraniumrelay_core::collections::{Map, Set};
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, Effect, EntryVm, FencingToken, JobId, Scheduler};
use geraniumrelay_core::{Config, Context};
use geraniumrelay_wire::leased::Beat;
use geraniumrelay_wire::leased::peer_message::Body;
use log::info;
use tokio::time::timeout_at;

use crate::leased::Routes;
use crate::leased::archive::Archive;
use crate::leased::balance::Readiness;
use crate::leased::cell::Cell;
use crate::leased::convert;
use crate::leased::desk::PendingJobs;
use crate::leased::input::{Input, InputTx};
use crate::leased::kept::DurableJobStore;
use crate::leased::lag::Lag;
use crate::leased::links::{self, Link};
use crate::leased::metrics::LeasedMetrics;
use crate::leased::notes;
use crate::leased::roster::Directory;
use crate::leased::worker_calls::WorkerCalls;

/// Time between two looks at deadlines and elections.
const TICK: Duration = Duration::from_millis(25);

/// Time between two beats of a scheduler.
const SCHEDULER_BEAT: Duration = Duration::from_millis(60);

/// Time between two beats of the others.
const BEAT: Duration = Duration::from_millis(150);

/// The same where entry VMs are many, and each hears all others.
const RARE_BEAT: Duration = Duration::from_millis(400);

/// Entry VMs from which they are many.
const MANY_VMS: usize = 12;

/// Time without a scheduler after which this VM turns callers away; longer than a takeover.
const READINESS_PATIENCE: Duration = Duration::from_secs(1);

/// Inputs handled before the next look at the time.
const BATCH: usize = 64;

/// What a hub is made of.
pub(super) struct Components {
    pub(super) vm: EntryVm,
    pub(super) incarnation: u64,
    /// Whether no entry process has run before.
    pub(super) is_first_start: bool,
    pub(super) data_centre: Arc<str>,
    pub(super) cpu_tenths: u32,
    pub(super) cfg: Config,
    pub(super) store: StoreClient,
    pub(super) kept: DurableJobStore,
    pub(super) archive: Archive,
    pub(super) worker_calls: WorkerCalls,
    pub(super) routes: Routes,
    pub(super) readiness: Rc<Readiness>,
    /// Told to the feeds.
    pub(super) is_scheduler: Rc<Flag<bool>>,
    pub(super) tx: InputTx,
    pub(super) metrics: Arc<LeasedMetrics>,
}

/// The hub.
pub(super) struct EventLoop {
    parts: Components,
    cells: BTreeMap<CellName, Cell>,
    roster: Directory,
    desk: PendingJobs,
    links: Map<EntryVm, Link>,
    /// The other entry VMs that have entered themselves.
    members: Arc<[EntryVm]>,
    /// The configuration's row, to pass on.
    configuration: Change,
    sent_configuration: Map<EntryVm, Instant>,
    sick_tables: Set<&'static str>,
    next_tick: Instant,
    next_beat: Instant,
    next_plan: Instant,
    no_scheduler_since: Instant,
    lag: Lag,
    /// Whether there are jobs that must be kept.
    has_kept_jobs: bool,
    /// Whether their records have been read, so that it is known if there are none.
    knows_kept_jobs: bool,
    is_stopping: bool,
}

impl EventLoop {
    pub(super) fn new(parts: Components) -> Self {
        let now = Instant::now();
        let roster = Directory::new(parts.cfg.leased.departed_ttl, parts.is_first_start);
        let mut hub = Self {
            parts,
            cells: BTreeMap::new(),
            roster,
            desk: PendingJobs::default(),
            links: Map::default(),
            members: Arc::default(),
            configuration: convert::configuration_change(Vec::new()),
            sent_configuration: Map::default(),
            sick_tables: Set::default(),
            next_tick: now,
            next_beat: now,
            next_plan: now,
            no_scheduler_since: now,
            lag: Lag::default(),
            has_kept_jobs: false,
            knows_kept_jobs: false,
            is_stopping: false,
        };
        hub.make_cells(now);
        hub
    }

    /// Handles inputs until the process ends.
    pub(super) async fn run(mut self, rx: Receiver<Input>) {
        loop {
            if let Ok(Ok(input)) = timeout_at(self.next_tick.into(), rx.recv_async()).await {
                self.handle(input);
                for input in rx.try_iter().take(BATCH) {
                    self.handle(input);
                }
            }
            let now = Instant::now();
            if now >= self.next_tick {
                self.lag.note(now.saturating_duration_since(self.next_tick));
                self.tick(now);
                self.next_tick = now + TICK;
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Job {
                spec,
                max_wait,
                reply,
            } => {
                self.has_kept_jobs |= spec.is_durable;
                if self.desk.add(spec, max_wait, reply, Instant::now()) {
                    self.pass_jobs_on();
                }
            }
            Input::Abandoned { id } => self.abandon(id),
            Input::Cancel { id, reply } => {
                let is_open = self.desk.contains(id);
                self.cancel(id);
                // Whoever asked may have gone away.
                let _ = reply.send(is_open);
            }
            Input::StateOf { id, reply } => {
                let _ = reply.send(self.state_of(id));
            }
            Input::Pending { queue, reply } => {
                let now = Instant::now();
                let pending = self.cells.values().map(|c| c.pending_of(&queue, now));
                let _ = reply.send(pending.sum());
            }
            Input::Rows {
                table,
                is_whole,
                rows,
                revision,
            } => self.take_rows(table, is_whole, &rows, revision),
            Input::StoreHealth { table, is_healthy } => self.store_health(table, is_healthy),
            Input::Peer { from, body } => self.hear(from, body),
            Input::LinkLost { from } => self.link_lost(from),
            Input::LinkUp { to } => self.link_up(to),
            Input::Worker {
                cell,
                token,
                command,
            } => {
                // Another scheduler of this process may have been asking.
                if self.own_token(&cell) == Some(token) {
                    self.command(&cell, command);
                }
            }
            Input::Stop => self.stop(),
        }
    }

    fn own_token(&self, cell: &CellName) -> Option<FencingToken> {
        let scheduler = self.cells.get(cell)?.scheduler.as_ref();
        scheduler.map(Scheduler::token)
    }

    fn names(&self) -> Vec<CellName> {
        self.cells.keys().cloned().collect()
    }

    fn tick(&mut self, now: Instant) {
        self.set_fitness(now);
        for name in self.names() {
            self.tick_cell(&name, now);
        }
        for (id, outcome) in self.desk.overdue(now) {
            self.withdraw(id);
            self.answer(id, outcome);
        }
        self.pass_jobs_on();
        self.set_readiness(now);
        self.propose_plan(now);
        let is_scheduler = self.cells.values().any(|c| c.scheduler.is_some());
        self.parts.is_scheduler.set(is_scheduler);
        if now >= self.next_beat {
            self.beat(None);
            self.next_beat = now + self.beat_pause(is_scheduler);
        }
    }

    fn beat_pause(&self, is_scheduler: bool) -> Duration {
        if is_scheduler {
            SCHEDULER_BEAT
        } else {
            self.follower_beat()
        }
    }

    /// Time between two beats of a VM that schedules nothing.
    fn follower_beat(&self) -> Duration {
        if self.links.len() >= MANY_VMS {
            RARE_BEAT
        } else {
            BEAT
        }
    }

    fn set_readiness(&mut self, now: Instant) {
        if self.cells.values().any(|c| c.election.current().is_some()) {
            self.no_scheduler_since = now;
        }
        let silence = now.saturating_duration_since(self.no_scheduler_since);
        let (can_serve, reason) = if self.parts.routes.borrow().is_none() {
            (false, "no configuration")
        } else if silence >= READINESS_PATIENCE {
            (false, "no scheduler")
        } else {
            (true, "configuration and scheduler are known")
        };
        self.parts.readiness.set(can_serve, reason);
    }

    /// Sends what this VM says of itself to the others.
    fn beat(&mut self, successor: Option<(&CellName, EntryVm)>) {
        let successor_of = |name: &CellName| successor.filter(|s| s.0 == name).map(|s| s.1);
        let cells = self.cells.values_mut();
        let cells = cells
            .map(|cell| cell.beat(successor_of(&cell.name)))
            .collect();
        let beat = Beat {
            has_store: self.sick_tables.is_empty(),
            is_barred: self.is_stopping || !self.roster.is_known(),
            knows_departed: self.roster.knows_departed(Instant::now()),
            data_centre: self.parts.data_centre.to_string(),
            cpu_tenths: self.parts.cpu_tenths,
            config_version: self.config_version(),
            cells,
            has_kept_jobs: self.has_kept_jobs,
            lag_us: u32::try_from(self.lag.mean().as_micros()).unwrap_or(u32::MAX),
        };
        let message = links::frame(Body::Beat(beat));
        for link in self.links.values() {
            link.send(message.clone());
        }
        self.parts.metrics.set_lag(self.lag.mean());
        let schedulers = self.cells.values().filter_map(|c| c.scheduler.as_ref());
        for scheduler in schedulers {
            let snapshot = scheduler.snapshot(Instant::now());
            self.parts.metrics.set_snapshot(&snapshot);
        }
    }

    fn config_version(&self) -> u64 {
        let routes = self.parts.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version)
    }

    fn hear(&mut self, from: EntryVm, body: Body) {
        match body {
            Body::Beat(beat) => self.hear_beat(from, &beat),
            Body::Submit(submit) => {
                let cell = CellName(submit.cell.as_str().into());
                let submission = convert::submission_from_wire(submit, from);
                self.command(&cell, Command::Submit(submission));
            }
            Body::Withdraw(withdraw) => {
                let cell = CellName(withdraw.cell.into());
                let (id, origin) = (JobId(withdraw.id), from);
                self.command(&cell, Command::Withdraw { id, origin });
            }
            Body::Cancel(cancel) => {
                let cell = CellName(cancel.cell.into());
                self.command(
                    &cell,
                    Command::Cancel {
                        id: JobId(cancel.id),
                    },
                );
            }
            Body::Answer(answer) => {
                let (id, outcome) = convert::answer_from_wire(&answer);
                let cell = CellName(answer.cell.into());
                self.take_answer(id, outcome, &cell, FencingToken(answer.token));
            }
            Body::Configuration(configuration) => {
                let change = convert::configuration_change(configuration.row);
                self.take_configuration(change, "peer");
            }
            Body::Hello(hello) => {
                if let Some(link) = self.links.get(&from) {
                    link.peer_connected(hello.incarnation);
                }
            }
        }
    }

    fn hear_beat(&mut self, from: EntryVm, beat: &Beat) {
        let now = Instant::now();
        self.has_kept_jobs |= beat.has_kept_jobs;
        for name in self.names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let own = convert::heartbeat_from_wire(beat, &name);
            let step = cell.election.hear(from, own, now);
            let is_scheduler = cell.election.current().is_some_and(|(vm, _)| vm == from);
            let of_cell = beat.cells.iter().find(|c| c.cell == *name.0);
            if let Some(of_cell) = of_cell.filter(|_| is_scheduler) {
                cell.take_figures(of_cell, now);
            }
            self.follow(&name, step);
            if self
                .own_token(&name)
                .is_some_and(|token| own.follows > Some(token))
            {
                self.command(&name, Command::EntryLeft(from));
            }
        }
        self.pass_configuration_on(from, beat.config_version);
    }

    fn link_lost(&mut self, from: EntryVm) {
        for name in self.names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let step = cell.election.link_lost(from, Instant::now());
            self.follow(&name, step);
            self.command(&name, Command::EntryLost(from));
        }
        // The next in line may be this VM.
        self.next_tick = Instant::now();
    }

    /// Passes everything on again: messages on the former connection may be lost.
    fn link_up(&mut self, to: EntryVm) {
        for cell in self.cells.values() {
            if cell.election.current().is_some_and(|(vm, _)| vm == to) {
                self.desk.mark_unsent(&cell.name);
            }
        }
        self.pass_jobs_on();
        // A VM that has just started learns from it whether there is a scheduler.
        self.next_beat = Instant::now();
    }

    /// Hands a command to a cell's scheduler, if it is here, and carries out what it decides.
    fn command(&mut self, name: &CellName, cmd: Command) {
        let cell = self.cells.get_mut(name);
        let Some(scheduler) = cell.and_then(|c| c.scheduler.as_mut()) else {
            return;
        };
        let token = scheduler.token();
        let cx = Context::new(Instant::now(), &self.parts.cfg);
        let mut out = Vec::new();
        scheduler.handle(&cx, cmd, &mut out);
        for effect in out {
            self.carry_out(name, token, effect);
        }
    }

    fn carry_out(&mut self, name: &CellName, token: FencingToken, effect: Effect) {
        let worker_calls = &self.parts.worker_calls;
        match effect {
            Effect::Start(call) => worker_calls.start(name.clone(), call),
            Effect::Stop(call) => worker_calls.stop(name.clone(), call),
            Effect::Poll(call) => worker_calls.poll(name.clone(), call),
            Effect::Answer {
                origin,
                id,
                outcome,
            } => {
                if origin == self.parts.vm {
                    self.take_answer(id, outcome, name, token);
                } else {
                    let answer = convert::answer_to_wire(id, outcome, name, token);
                    self.send(origin, Body::Answer(answer));
                }
            }
            Effect::Record {
                attempt,
                record,
                expected,
                epoch,
            } => self.store_record((name, token), (record, attempt), expected, epoch),
            Effect::ClaimEpoch => self.claim_epoch(name, token),
            Effect::EpochLost { token: holder } => {
                info!(cell:% = name, token:% = token, holder:% = holder; "epoch_lost");
                if let Some(cell) = self.cells.get_mut(name) {
                    cell.epoch_lost = Some((holder, Instant::now()));
                }
            }
            Effect::ReadRecords => self.read_records(name, token),
            Effect::LogEvent(note) => notes::write(name, &note),
            Effect::Deposed { worker } => {
                info!(cell:% = name, worker:% = worker, token:% = token; "scheduler_deposed");
                if let Some(cell) = self.cells.get_mut(name) {
                    let step = cell.election.on_fenced(Instant::now());
                    self.follow(name, step);
                }
            }
        }
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        let now = Instant::now();
        self.set_fitness(now);
        for name in self.names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            if cell.election.is_scheduler() {
                let step = cell.election.resign(now);
                self.follow(&name, step);
            }
        }
    }
}
