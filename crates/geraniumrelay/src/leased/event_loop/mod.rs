//! The event loop: owns the elections, the schedulers and the pending jobs of this process, and
//! executes the effects of their decisions.

mod cancellations;
mod configuration;
mod confirmations;
mod connections;
mod crossings;
mod election;
mod evacuation;
mod heartbeat_clock;
mod jobs;
mod records;
mod tables;

use std::cell::Cell as Flag;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use flume::Receiver;
use geraniumrelay_adapter::StoreClient;
use geraniumrelay_core::collections::Map;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::config_transfer::{ConfigDownload, ConfigUploads};
use geraniumrelay_core::leased::evacuation::Evacuations;
use geraniumrelay_core::leased::{
    Command, DeparturesKnown, Effect, EntryVm, FencingToken, JobId, Scheduler, Submission,
};
use geraniumrelay_core::{Config, Context};
use geraniumrelay_wire::leased::Beat;
use geraniumrelay_wire::leased::peer_message::Body;
use log::info;
use tokio::task::yield_now;
use tokio::time::timeout_at;

use self::connections::Admission;
use self::crossings::Crossings;
use self::heartbeat_clock::HeartbeatClock;
use crate::leased::Routes;
use crate::leased::archive::Archive;
use crate::leased::cancellations::Cancellations;
use crate::leased::cell::Cell;
use crate::leased::convert;
use crate::leased::decision_log;
use crate::leased::directory::Directory;
use crate::leased::durable_jobs::DurableJobStore;
use crate::leased::input::{IncomingConnection, Input, InputTx};
use crate::leased::lag::Lag;
use crate::leased::link_load::TotalLoad;
use crate::leased::links::{self, Link};
use crate::leased::metrics::LeasedMetrics;
use crate::leased::pause::PauseDetector;
use crate::leased::pending_jobs::PendingJobs;
use crate::leased::readiness::Readiness;
use crate::leased::store_health::StoreHealth;
use crate::leased::worker_calls::WorkerCalls;

/// Interval at which deadlines and elections are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between heartbeats of a VM that schedules a cell.
const SCHEDULER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Interval between heartbeats of a VM that schedules no cell.
const FOLLOWER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Same in a large group, because each entry VM receives the heartbeats of all others.
const LARGE_GROUP_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of links to other entry VMs from which the group counts as large.
const LARGE_GROUP_LINKS: usize = 12;

/// Time without a scheduler after which this VM reports that it is not ready; longer than a
/// takeover.
const NO_SCHEDULER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of further inputs handled before the next check of the time.
const INPUT_BATCH: usize = 64;

/// Identity, settings and collaborators of an event loop.
pub(super) struct Components {
    pub(super) vm: EntryVm,
    pub(super) incarnation: u64,
    /// Whether no entry process has run before in this deployment; from the settings.
    pub(super) is_first_start: bool,
    pub(super) data_centre: Arc<str>,
    pub(super) cpu_tenths: u32,
    pub(super) cfg: Config,
    pub(super) store: StoreClient,
    pub(super) durable_jobs: DurableJobStore,
    pub(super) archive: Archive,
    pub(super) worker_calls: WorkerCalls,
    pub(super) routes: Routes,
    pub(super) readiness: Rc<Readiness>,
    /// Whether this VM schedules a cell; set at each tick, and read by the table watches.
    pub(super) is_scheduler: Rc<Flag<bool>>,
    pub(super) tx: InputTx,
    pub(super) metrics: Arc<LeasedMetrics>,
    /// Clock that goes on while the VM is suspended; time since any fixed moment.
    pub(super) boot_clock: fn() -> Duration,
}

/// The event loop with its state.
pub(super) struct EventLoop {
    components: Components,
    cells: BTreeMap<CellName, Cell>,
    directory: Directory,
    pending_jobs: PendingJobs,
    cancellations: Cancellations,
    links: Map<EntryVm, Link>,
    link_load: TotalLoad,
    /// The last connection from each entry VM, while it is established.
    connections: Map<EntryVm, IncomingConnection>,
    /// The other entry VMs that are registered in the store.
    members: Arc<[EntryVm]>,
    evacuations: Evacuations,
    /// The row of the configuration in force, for peers that the store does not serve.
    configuration: Rc<[u8]>,
    config_download: ConfigDownload,
    config_uploads: ConfigUploads,
    /// Time from which a refused upload is logged again.
    next_upload_refusal_line: Instant,
    crossings: Crossings,
    store_health: StoreHealth,
    next_tick: Instant,
    next_heartbeat: Instant,
    next_confirmation: Instant,
    heartbeat_clock: HeartbeatClock,
    /// Until when no job is passed on, after a pause of this process.
    holds_jobs_until: Instant,
    next_plan: Instant,
    no_scheduler_since: Instant,
    /// Since when an evacuation leaves no cell with workers in reach.
    no_open_cell_since: Option<Instant>,
    lag: Lag,
    pause: PauseDetector,
    is_stopping: bool,
}

impl EventLoop {
    pub(super) fn new(components: Components) -> Self {
        let now = Instant::now();
        let vm = components.vm;
        let pause = PauseDetector::new((components.boot_clock)());
        let directory = Directory::new(&components.cfg.leased, components.is_first_start);
        let mut event_loop = Self {
            components,
            cells: BTreeMap::new(),
            directory,
            pending_jobs: PendingJobs::new(rand::random()),
            cancellations: Cancellations::default(),
            links: Map::default(),
            link_load: TotalLoad::default(),
            connections: Map::default(),
            members: Arc::default(),
            evacuations: Evacuations::default(),
            configuration: Rc::default(),
            config_download: ConfigDownload::new(vm),
            config_uploads: ConfigUploads::default(),
            next_upload_refusal_line: now,
            crossings: Crossings::default(),
            store_health: StoreHealth::default(),
            next_tick: now,
            next_heartbeat: now,
            next_confirmation: now,
            heartbeat_clock: HeartbeatClock::new(now),
            holds_jobs_until: now,
            next_plan: now,
            no_scheduler_since: now,
            no_open_cell_since: None,
            lag: Lag::default(),
            pause,
            is_stopping: false,
        };
        event_loop.reset_cells(now);
        event_loop
    }

    /// Handles inputs and ticks until the process ends.
    pub(super) async fn run(mut self, rx: Receiver<Input>) {
        let mut last_pass = Instant::now();
        loop {
            let received = timeout_at(self.next_tick.into(), rx.recv_async()).await;
            if Instant::now() >= self.next_tick {
                self.read_callers().await;
            }
            self.observe_pause(&mut last_pass);
            if let Ok(Ok(input)) = received {
                self.handle(input);
                self.handle_queued(&rx);
            }
            if self.heartbeat_clock.has_new_vm() {
                self.read_callers().await;
                self.observe_pause(&mut last_pass);
                self.handle_queued(&rx);
                self.send_unsent_jobs();
            }
            let now = Instant::now();
            if now >= self.next_tick {
                self.lag
                    .add_sample(now.saturating_duration_since(self.next_tick));
                self.tick(now);
                self.next_tick = now + TICK_INTERVAL;
            }
        }
    }

    fn handle_queued(&mut self, rx: &Receiver<Input>) {
        for input in rx.try_iter().take(INPUT_BATCH) {
            self.handle(input);
        }
    }

    fn observe_pause(&mut self, last_pass: &mut Instant) {
        let steady_pause = last_pass.elapsed();
        *last_pass += steady_pause;
        if let Some(pause) = self.pause.observe((self.components.boot_clock)()) {
            self.on_paused(pause, steady_pause);
        }
    }

    /// Lets the requests of callers that have left end, before any later heartbeat is handled. The task is woken after
    /// the runtime has polled its sockets, and so behind the tasks of all connections that have ended by then.
    async fn read_callers(&mut self) {
        yield_now().await;
        self.heartbeat_clock.callers_read();
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Job {
                spec,
                max_wait,
                reply,
            } => {
                if spec.is_durable {
                    self.store_health.durable_job_seen();
                }
                if self.pending_jobs.add(spec, max_wait, reply, Instant::now()) {
                    self.send_unsent_jobs();
                }
            }
            Input::Abandoned { id } => self.abandon(id),
            Input::Cancel {
                id,
                reply,
                confirmed,
            } => {
                // The send fails only where the requester has dropped its receiver.
                let _ = reply.send(self.cancel_waiting(id));
                self.cancel(id, confirmed);
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
                as_of,
                table,
                is_snapshot,
                rows,
                revision,
            } => self.apply_rows(table, is_snapshot, &rows, (revision, as_of)),
            Input::StoreHealth { table, is_healthy } => self.on_store_health(table, is_healthy),
            Input::Peer {
                from,
                connection,
                body,
            } => {
                let is_repeated =
                    matches!(body, Body::Submit(_) | Body::Confirm(_) | Body::Beat(_));
                let is_up_to_date = match self.admit_connection(from, connection) {
                    Admission::Present => true,
                    // The peer has passed its jobs on again since, without those whose callers have left, and may
                    // follow another scheduler now.
                    Admission::Former => !is_repeated,
                    Admission::Ended => false,
                };
                if is_up_to_date {
                    self.on_peer_message(from, body);
                }
            }
            Input::LinkLost { from, connection } => {
                // The end of a former connection was handled when the next one was established.
                if self.connections.get(&from) == Some(&connection) {
                    self.connections.remove(&from);
                    self.on_link_lost(from);
                }
            }
            Input::LinkUp { to } => self.on_link_up(to),
            Input::SchedulerReply {
                cell,
                token,
                command,
            } => {
                // The request may come from a former scheduler of the cell in this process.
                if self.cells.get(&cell).is_some_and(|c| c.is_own_reply(token)) {
                    self.handle_command(&cell, command);
                }
            }
            Input::Stop => self.stop(),
        }
    }

    /// Token of the cell's scheduler in this process; `None` where another VM schedules the cell.
    fn own_token(&self, cell: &CellName) -> Option<FencingToken> {
        let scheduler = self.cells.get(cell)?.scheduler.as_ref();
        scheduler.map(Scheduler::token)
    }

    /// Whether this VM knows all that a scheduler needs, and goes on running.
    fn can_schedule(&self) -> bool {
        !self.is_stopping && self.directory.can_schedule() && self.evacuations.is_known()
    }

    fn cell_names(&self) -> Vec<CellName> {
        self.cells.keys().cloned().collect()
    }

    fn tick(&mut self, now: Instant) {
        self.set_fitness(now);
        for name in self.cell_names() {
            self.tick_cell(&name, now);
        }
        for (id, outcome) in self.pending_jobs.overdue(now) {
            self.withdraw(id);
            self.answer(id, outcome);
        }
        self.send_unsent_jobs();
        self.resend_cancellations(now);
        self.tick_configuration(now);
        self.set_readiness(now);
        self.propose_plan(now);
        let is_scheduler = self.cells.values().any(|c| c.scheduler.is_some());
        self.components.is_scheduler.set(is_scheduler);
        if now >= self.next_heartbeat {
            self.send_heartbeat(None);
            self.next_heartbeat = now + self.heartbeat_interval(is_scheduler);
        }
        self.send_confirmations(now);
    }

    fn heartbeat_interval(&self, is_scheduler: bool) -> Duration {
        if is_scheduler {
            SCHEDULER_HEARTBEAT_INTERVAL
        } else {
            self.follower_heartbeat_interval()
        }
    }

    /// Interval between heartbeats of a VM that schedules no cell, by the size of the group.
    fn follower_heartbeat_interval(&self) -> Duration {
        if self.links.len() >= LARGE_GROUP_LINKS {
            LARGE_GROUP_HEARTBEAT_INTERVAL
        } else {
            FOLLOWER_HEARTBEAT_INTERVAL
        }
    }

    /// Sets the readiness and its reason, as reported to the load balancer.
    fn set_readiness(&mut self, now: Instant) {
        if self.cells.values().any(|c| c.election.current().is_some()) {
            self.no_scheduler_since = now;
        }
        let without_scheduler = now.saturating_duration_since(self.no_scheduler_since);
        let (can_serve, reason) = if self.components.routes.borrow().is_none() {
            (false, "no configuration")
        } else if without_scheduler >= NO_SCHEDULER_TIMEOUT {
            (false, "no scheduler")
        } else if self.has_no_open_cell(now) {
            (false, "evacuated, and no other data centre in reach")
        } else {
            (true, "configuration and scheduler are known")
        };
        let is_shut_out = !can_serve && self.no_open_cell_since.is_some();
        self.components.readiness.set_shut_out(is_shut_out);
        self.components.readiness.set(can_serve, reason);
    }

    /// Sends a heartbeat to the other entry VMs, with the successor of a cell on a hand-over.
    fn send_heartbeat(&mut self, successor: Option<(&CellName, EntryVm)>) {
        let successor_of = |name: &CellName| successor.filter(|s| s.0 == name).map(|s| s.1);
        let now = Instant::now();
        let cells = self.cells.values_mut();
        let cells = cells
            .map(|cell| cell.heartbeat(successor_of(&cell.name), now))
            .collect();
        let (evacuation_revision, evacuated) = self.evacuations_to_wire(Instant::now());
        let heartbeat = Beat {
            has_store: self.store_health.has_store(),
            is_barred: !self.can_schedule(),
            knows_departed: self.directory.departures_known(now) >= DeparturesKnown::Recent,
            data_centre: self.components.data_centre.to_string(),
            cpu_tenths: self.components.cpu_tenths,
            config_version: self.config_version(),
            cells,
            has_kept_jobs: self.store_health.has_durable_jobs(),
            lag_us: u32::try_from(self.lag.mean().as_micros()).unwrap_or(u32::MAX),
            evacuation_revision,
            evacuated,
            sent_ms: self.heartbeat_clock.sent_ms(now),
        };
        let message = links::frame(Body::Beat(heartbeat));
        for link in self.links.values() {
            link.send(message.clone());
        }
        self.components.metrics.set_lag(self.lag.mean());
        let schedulers = self.cells.values().filter_map(|c| c.scheduler.as_ref());
        for scheduler in schedulers {
            let snapshot = scheduler.snapshot(Instant::now());
            self.components.metrics.set_snapshot(&snapshot);
        }
    }

    fn on_peer_message(&mut self, from: EntryVm, body: Body) {
        match body {
            Body::Beat(heartbeat) => self.on_heartbeat(from, &heartbeat),
            Body::Submit(submit) => {
                let cell = CellName(submit.cell.as_str().into());
                let as_of = self.heartbeat_clock.time_of(submit.as_of_ms);
                let submission = Submission {
                    as_of,
                    ..convert::submission_from_wire(submit, from)
                };
                self.handle_command(&cell, Command::Submit(submission));
            }
            Body::Withdraw(withdraw) => {
                let cell = CellName(withdraw.cell.into());
                let (id, origin) = (JobId(withdraw.id), from);
                self.handle_command(&cell, Command::Withdraw { id, origin });
            }
            Body::Confirm(confirm) => self.on_confirmation(from, confirm),
            Body::Cancel(cancel) => {
                let (id, cell) = (JobId(cancel.id), CellName(cancel.cell.into()));
                self.on_cancel(id, &cell, from);
            }
            Body::CancelReply(reply) => self.on_cancel_reply(&reply, from),
            Body::Answer(answer) => {
                let (id, submission, outcome) = convert::answer_from_wire(&answer);
                let cell = CellName(answer.cell.into());
                self.on_answer((id, submission), outcome, &cell, FencingToken(answer.token));
            }
            Body::Losses(losses) => {
                let id = JobId(losses.id);
                let losses = convert::losses_from(id, &losses.tasks);
                self.pending_jobs.set_losses(id, losses);
            }
            Body::Configuration(configuration) => {
                let change = convert::configuration_change(configuration.row);
                self.apply_configuration(change, Some(from));
            }
            Body::FetchConfiguration(fetch) => self.on_part_request(from, &fetch),
            Body::ConfigurationPart(part) => self.on_part(from, part),
            Body::Hello(hello) => {
                if let Some(link) = self.links.get(&from) {
                    link.peer_connected(hello.incarnation);
                }
            }
        }
    }

    fn on_heartbeat(&mut self, from: EntryVm, heartbeat: &Beat) {
        let now = Instant::now();
        if heartbeat.has_kept_jobs {
            self.store_health.durable_job_seen();
        }
        self.heartbeat_clock.heard(from, heartbeat.sent_ms);
        self.on_peer_evacuations(from, heartbeat);
        for name in self.cell_names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            let own = convert::heartbeat_from_wire(heartbeat, &name);
            let transition = cell.election.on_heartbeat(from, own, now);
            let is_scheduler = cell.election.current().is_some_and(|(vm, _)| vm == from);
            let of_cell = heartbeat.cells.iter().find(|c| c.cell == *name.0);
            if let Some(of_cell) = of_cell.filter(|_| is_scheduler) {
                cell.apply_status(of_cell, now);
            }
            self.apply_transition(&name, transition);
            if self.follows_other_scheduler(&name, own.follows) {
                self.handle_command(&name, Command::EntryLeft(from));
            }
        }
        self.on_peer_version(from, heartbeat);
    }

    /// Whether an entry VM whose heartbeat names this token follows another scheduler of the cell than the one here.
    fn follows_other_scheduler(&self, cell: &CellName, follows: Option<FencingToken>) -> bool {
        let scheduler = self.cells.get(cell).and_then(|c| c.scheduler.as_ref());
        let Some((scheduler, follows)) = scheduler.zip(follows) else {
            return false;
        };
        !scheduler.has_had_token(follows)
    }

    /// Passes a command to a cell's scheduler, if it runs here, and executes the effects.
    fn handle_command(&mut self, name: &CellName, cmd: Command) {
        let cell = self.cells.get_mut(name);
        let Some(scheduler) = cell.and_then(|c| c.scheduler.as_mut()) else {
            return;
        };
        let token = scheduler.token();
        let cx = Context::new(Instant::now(), &self.components.cfg);
        let mut out = Vec::new();
        scheduler.handle(&cx, cmd, &mut out);
        for effect in out {
            self.execute(name, token, effect);
        }
    }

    fn execute(&mut self, name: &CellName, token: FencingToken, effect: Effect) {
        let worker_calls = &self.components.worker_calls;
        match effect {
            Effect::Start(call) => worker_calls.start(name.clone(), call),
            Effect::Stop(call) => worker_calls.stop(name.clone(), call),
            Effect::Poll(call) => worker_calls.poll(name.clone(), call),
            Effect::Answer {
                origin,
                id,
                submission,
                outcome,
            } => {
                if origin == self.components.vm {
                    self.on_answer((id, submission), outcome, name, token);
                } else {
                    let submission = (id, submission);
                    let answer = convert::answer_to_wire(submission, outcome, name, token);
                    self.send(origin, Body::Answer(answer));
                }
            }
            Effect::Losses { origin, id, losses } => {
                if origin == self.components.vm {
                    self.pending_jobs.set_losses(id, losses);
                } else {
                    let losses = convert::losses_to_wire(id, &losses);
                    self.send(origin, Body::Losses(losses));
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
            Effect::LogEvent(event) => {
                self.components.metrics.count_event(&event);
                decision_log::write(name, &event);
            }
            Effect::Deposed { worker } => {
                info!(cell:% = name, worker:% = worker, token:% = token; "scheduler_deposed");
                if let Some(cell) = self.cells.get_mut(name) {
                    let transition = cell.election.on_fenced(Instant::now());
                    self.apply_transition(name, transition);
                }
            }
        }
    }

    /// Makes this VM ineligible in the elections, and resigns from all cells that it schedules.
    fn stop(&mut self) {
        self.is_stopping = true;
        let now = Instant::now();
        self.set_fitness(now);
        for name in self.cell_names() {
            let Some(cell) = self.cells.get_mut(&name) else {
                continue;
            };
            if cell.election.is_scheduler() {
                let transition = cell.election.resign(now);
                self.apply_transition(&name, transition);
            }
        }
    }
}
