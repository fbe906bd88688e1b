//! The hub: owns the decisions and carries out their effects.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use flume::Receiver;
use geraniumrelay_adapter::store::configuration;
use geraniumrelay_adapter::worker_entry::worker_entry;
use geraniumrelay_adapter::{Change, Table, WorkerClient};
use geraniumrelay_core::collections::{Map, Set};
use geraniumrelay_core::leased::election::{Election, ElectionConfig, Step};
use geraniumrelay_core::leased::estimates::Estimates;
use geraniumrelay_core::leased::{
    Command, Effect, EntryVm, FencingToken, JobId, JobOutcome, JobState, LookReply, Scheduler,
    Submission, WorkerEntry, WorkerName, WorkerState,
};
use geraniumrelay_core::{Config, Context};
use geraniumrelay_wire::leased::peer_message::Body;
use geraniumrelay_wire::leased::{Cancel, Configuration, QueueCount, Withdraw};
use log::{debug, info, trace, warn};
use tokio::task::spawn_local;
use tokio::time::timeout_at;

use super::Routes;
use super::balance::Readiness;
use super::convert;
use super::desk::Desk;
use super::input::{Input, InputTx};
use super::links::{self, Link};
use super::metrics::LeasedMetrics;

/// Time between two looks at deadlines and elections.
const TICK: Duration = Duration::from_millis(25);

/// Time between two beats of the scheduler.
const SCHEDULER_BEAT: Duration = Duration::from_millis(100);

/// Time between two beats of the others.
const BEAT: Duration = Duration::from_millis(250);

/// Time without a scheduler after which this VM turns callers away; longer than a takeover.
const READINESS_PATIENCE: Duration = Duration::from_secs(1);

/// Inputs handled before the next look at the time.
const BATCH: usize = 64;

/// Time between two copies of the configuration to the same peer.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(500);

/// What a hub is made of.
pub(super) struct Parts {
    pub(super) vm: EntryVm,
    pub(super) incarnation: u64,
    /// Whether no entry process has run before.
    pub(super) is_first_start: bool,
    pub(super) data_centre: Arc<str>,
    pub(super) cfg: Config,
    pub(super) workers: WorkerClient,
    pub(super) routes: Routes,
    pub(super) readiness: Rc<Readiness>,
    /// Told to the feeds.
    pub(super) is_scheduler: Rc<Cell<bool>>,
    pub(super) tx: InputTx,
    pub(super) metrics: Arc<LeasedMetrics>,
}

/// The hub.
pub(super) struct Hub {
    parts: Parts,
    election: Election,
    scheduler: Option<Scheduler>,
    estimates: Estimates,
    desk: Desk,
    links: Map<EntryVm, Link>,
    /// Workers as the store lists them.
    entries: Map<WorkerName, WorkerEntry>,
    /// Since when the workers' entries are followed.
    workers_since: Option<Instant>,
    /// Workers that went silent, and since when the store does not list them.
    departed: Map<WorkerName, (WorkerEntry, Instant)>,
    /// Names under which entry VMs are listed.
    members: BTreeMap<String, SocketAddr>,
    /// The configuration's row, to pass on.
    configuration: Change,
    sent_configuration: Map<EntryVm, Instant>,
    /// Waiting jobs of each queue, as the scheduler told.
    pending: Map<Arc<str>, u32>,
    sick_tables: Set<&'static str>,
    next_tick: Instant,
    next_beat: Instant,
    no_scheduler_since: Instant,
    is_stopping: bool,
    out: Vec<Effect>,
}

impl Hub {
    pub(super) fn new(parts: Parts) -> Self {
        let now = Instant::now();
        Self {
            election: Election::new(ElectionConfig::default(), parts.vm, now),
            parts,
            scheduler: None,
            estimates: Estimates::default(),
            desk: Desk::default(),
            links: Map::default(),
            entries: Map::default(),
            workers_since: None,
            departed: Map::default(),
            members: BTreeMap::new(),
            configuration: convert::configuration_from(Vec::new()),
            sent_configuration: Map::default(),
            pending: Map::default(),
            sick_tables: Set::default(),
            next_tick: now,
            next_beat: now,
            no_scheduler_since: now,
            is_stopping: false,
            out: Vec::new(),
        }
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
                self.tick(now);
                self.next_tick = now + TICK;
            }
        }
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Job {
                spec,
                patience,
                reply,
            } => {
                if self.desk.open(spec, patience, reply, Instant::now()) {
                    self.pass_jobs_on();
                }
            }
            Input::Abandoned { id } => self.abandon(id),
            Input::Cancel { id, reply } => {
                let is_open = self.desk.has(id);
                self.cancel(id);
                // Whoever asked may have gone away.
                let _ = reply.send(is_open);
            }
            Input::StateOf { id, reply } => {
                let _ = reply.send(self.state_of(id));
            }
            Input::Pending { queue, reply } => {
                let _ = reply.send(self.pending_of(&queue));
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
            Input::Worker { token, command } => {
                // Another scheduler of this process may have been asking.
                if self.scheduler.as_ref().is_some_and(|s| s.token() == token) {
                    self.command(command);
                }
            }
            Input::Stop => self.stop(),
        }
    }

    fn tick(&mut self, now: Instant) {
        let is_barred = self.is_stopping || self.entries.is_empty();
        let has_store = self.sick_tables.is_empty();
        self.election.set_own(is_barred, has_store, now);
        self.election.set_knows_departed(self.knows_departed(now));
        let step = self.election.tick(now, SystemTime::now());
        self.follow(step);
        if self.scheduler.is_some() {
            for vm in self.election.silent_peers(now) {
                self.command(Command::EntryLeft(vm));
            }
            self.command(Command::Tick);
        }
        for (id, outcome) in self.desk.overdue(now) {
            self.withdraw(id);
            self.answer(id, outcome);
        }
        self.set_readiness(now);
        self.parts.is_scheduler.set(self.scheduler.is_some());
        if now >= self.next_beat {
            self.beat(None);
            let pause = if self.scheduler.is_some() {
                SCHEDULER_BEAT
            } else {
                BEAT
            };
            self.next_beat = now + pause;
        }
    }

    fn set_readiness(&mut self, now: Instant) {
        if self.election.current().is_some() {
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
    fn beat(&mut self, successor: Option<EntryVm>) {
        let own = self.election.own_beat(successor);
        let version = self.config_version();
        let pending = self.scheduler.as_ref().map(Scheduler::pending);
        let counts = pending.into_iter().flatten();
        let counts = counts.map(|(queue, pending)| QueueCount {
            queue: queue.to_string(),
            pending,
        });
        let beat = convert::beat_to(own, version, counts.collect());
        let message = links::frame(Body::Beat(beat));
        for link in self.links.values() {
            link.send(message.clone());
        }
        if let Some(scheduler) = &self.scheduler {
            self.parts
                .metrics
                .set_snapshot(&scheduler.snapshot(Instant::now()));
        }
    }

    fn config_version(&self) -> u64 {
        let routes = self.parts.routes.borrow();
        routes.as_ref().map_or(0, |routes| routes.version)
    }

    fn hear(&mut self, from: EntryVm, body: Body) {
        match body {
            Body::Beat(beat) => {
                let own = convert::beat_from(&beat);
                let step = self.election.hear(from, own, Instant::now());
                self.follow(step);
                if own.follows > self.scheduler.as_ref().map(Scheduler::token) {
                    self.command(Command::EntryLeft(from));
                }
                if self.election.current().is_some_and(|(vm, _)| vm == from) {
                    let count = |c: &QueueCount| (c.queue.as_str().into(), c.pending);
                    self.pending = beat.pending.iter().map(count).collect();
                }
                self.pass_configuration_on(from, beat.config_version);
            }
            Body::Submit(submit) => {
                self.command(Command::Submit(convert::submit_from(submit, from)));
            }
            Body::Withdraw(withdraw) => self.command(Command::Withdraw {
                id: JobId(withdraw.id),
                origin: from,
            }),
            Body::Cancel(cancel) => self.command(Command::Cancel {
                id: JobId(cancel.id),
            }),
            Body::Answer(answer) => {
                let (id, outcome) = convert::answer_from(&answer);
                self.take_answer(id, outcome, FencingToken(answer.token));
            }
            Body::Configuration(configuration) => {
                let change = convert::configuration_from(configuration.row);
                self.take_configuration(change, "peer");
            }
            Body::Hello(_) => {}
        }
    }

    fn link_lost(&mut self, from: EntryVm) {
        let step = self.election.link_lost(from, Instant::now());
        self.follow(step);
        self.command(Command::EntryLost(from));
        // The next in line may be this VM.
        self.next_tick = Instant::now();
    }

    /// Passes everything on again: messages on the former connection may be lost.
    fn link_up(&mut self, to: EntryVm) {
        if self.election.current().is_some_and(|(vm, _)| vm == to) {
            self.desk.mark_all_unsent();
            self.pass_jobs_on();
        }
    }

    /// Does what the election decided.
    fn follow(&mut self, step: Step) {
        match step {
            Step::Stay => {}
            Step::TakeOver(token) => self.take_over(token),
            Step::Yield(vm) => {
                info!(to:% = vm, reason = "higher token"; "scheduling_ended");
                self.drop_scheduler();
                self.pass_jobs_on();
            }
            Step::HandOver(vm) => {
                info!(to:% = vm, reason = "handed over"; "scheduling_ended");
                self.drop_scheduler();
                self.beat(Some(vm));
            }
            Step::Follow(vm, token) => {
                info!(vm:% = vm, token:% = token; "scheduler_followed");
                self.drop_scheduler();
                self.parts.metrics.set_token(token.0);
                self.pass_jobs_on();
            }
            Step::Lose => {
                info!(open_jobs = self.desk.len(); "scheduler_lost");
                self.drop_scheduler();
                self.desk.mark_all_unsent();
            }
        }
    }

    fn drop_scheduler(&mut self) {
        if let Some(scheduler) = self.scheduler.take() {
            self.estimates = scheduler.estimates().clone();
        }
    }

    fn take_over(&mut self, token: FencingToken) {
        info!(token:% = token, round = token.round(), workers = self.entries.len(), open_jobs = self.desk.len(); "scheduling_begun");
        self.parts.metrics.note_takeover();
        self.parts.metrics.set_token(token.0);
        let data_centre = Arc::clone(&self.parts.data_centre);
        let scheduler = Scheduler::new(token, data_centre);
        let scheduler = scheduler.with_estimates(self.estimates.clone());
        let knows_departed = self.knows_departed(Instant::now());
        self.scheduler = Some(scheduler.with_departed_known(knows_departed));
        let entries: Vec<WorkerEntry> = self.entries.values().cloned().collect();
        for entry in entries {
            self.command(Command::WorkerSeen(entry));
        }
        self.forget_departed();
        let departed: Vec<WorkerEntry> = self.departed.values().map(|d| d.0.clone()).collect();
        for entry in departed {
            let name = entry.name.clone();
            self.command(Command::WorkerSeen(entry));
            self.command(Command::WorkerGone(name));
        }
        self.beat(None);
        self.pass_jobs_on();
    }

    /// Gives the present scheduler the jobs that it has not been given.
    fn pass_jobs_on(&mut self) {
        let Some((vm, token)) = self.election.current() else {
            return;
        };
        let own = self.parts.vm;
        for submission in self.desk.unsent(token, own, Instant::now()) {
            self.pass_job_on(vm, submission);
        }
    }

    fn pass_job_on(&mut self, to: EntryVm, submission: Submission) {
        if to == self.parts.vm {
            self.command(Command::Submit(submission));
            return;
        }
        let id = submission.spec.id;
        let message = links::frame(Body::Submit(convert::submit_to(&submission)));
        let is_sent = self.links.get(&to).is_some_and(|link| link.send(message));
        if !is_sent {
            warn!(id:% = id, to:% = to; "job_not_passed_on");
            self.desk.mark_unsent(id);
        }
    }

    fn abandon(&mut self, id: JobId) {
        let was_sent = self.desk.was_sent(id);
        if self.desk.abandon(id) {
            info!(id:% = id, was_sent; "caller_left");
            self.withdraw(id);
        }
    }

    /// Tells the scheduler that nobody here waits for a job any more.
    fn withdraw(&mut self, id: JobId) {
        match self.election.current() {
            Some((vm, _)) if vm == self.parts.vm => {
                let origin = self.parts.vm;
                self.command(Command::Withdraw { id, origin });
            }
            Some((vm, _)) => self.send(vm, Body::Withdraw(Withdraw { id: id.0 })),
            None => {}
        }
    }

    fn cancel(&mut self, id: JobId) {
        match self.election.current() {
            Some((vm, _)) if vm == self.parts.vm => self.command(Command::Cancel { id }),
            Some((vm, _)) => self.send(vm, Body::Cancel(Cancel { id: id.0 })),
            None => {}
        }
    }

    fn send(&self, to: EntryVm, body: Body) {
        let message = links::frame(body);
        if !self.links.get(&to).is_some_and(|link| link.send(message)) {
            warn!(to:% = to; "message_dropped");
        }
    }

    fn state_of(&self, id: JobId) -> Option<JobState> {
        let known = self.scheduler.as_ref().and_then(|s| s.state_of(id));
        known.or_else(|| self.desk.has(id).then_some(JobState::Queued))
    }

    fn pending_of(&self, queue: &str) -> u32 {
        let own = self.scheduler.as_ref().map(Scheduler::pending);
        let pending = own.as_ref().unwrap_or(&self.pending);
        pending.get(queue).copied().unwrap_or(0)
    }

    /// Takes a scheduler's word on a job. Where another one has been given the job since, only the
    /// word that it has ended still holds.
    fn take_answer(&mut self, id: JobId, outcome: JobOutcome, token: FencingToken) {
        if self.desk.is_with(id, token) {
            self.answer(id, outcome);
        } else if matches!(outcome, JobOutcome::Completed | JobOutcome::Failed) {
            self.withdraw(id);
            self.answer(id, outcome);
        }
    }

    fn answer(&mut self, id: JobId, outcome: JobOutcome) {
        let Some(job) = self.desk.answer(id, outcome) else {
            return;
        };
        let took_ms = job.took.as_millis();
        let (queue, tasks, estimate_ms) = (&*job.queue, job.tasks, job.estimate.as_millis());
        match outcome {
            JobOutcome::Refused {
                reason,
                retry_after,
            } => {
                let retry_after_ms = retry_after.as_millis();
                info!(id:% = id, outcome = "refused", reason:% = reason, retry_after_ms, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
            other => {
                info!(id:% = id, outcome:? = other, took_ms, queue, tasks, estimate_ms; "job_answered");
            }
        }
    }

    /// Hands a command to the scheduler, if it is here, and carries out what it decides.
    fn command(&mut self, cmd: Command) {
        let Some(scheduler) = &mut self.scheduler else {
            return;
        };
        let cx = Context::new(Instant::now(), &self.parts.cfg);
        let mut out = std::mem::take(&mut self.out);
        scheduler.handle(&cx, cmd, &mut out);
        for effect in out.drain(..) {
            self.carry_out(effect);
        }
        self.out = out;
    }

    fn carry_out(&mut self, effect: Effect) {
        let (workers, tx) = (self.parts.workers.clone(), self.parts.tx.clone());
        let metrics = Arc::clone(&self.parts.metrics);
        match effect {
            Effect::Start(call) => {
                debug!(task:% = call.task, run = call.run, worker:% = call.name, lease_until:% = call.lease_until; "start_ordered");
                spawn_local(async move {
                    let (worker, task, run) = (call.worker, call.task, call.run);
                    let token = call.token;
                    let name = call.name.clone();
                    let (reply, clock) = workers.start(call).await;
                    metrics.note_start(&format!("{reply:?}"));
                    if reply != geraniumrelay_core::leased::StartReply::Accepted {
                        info!(task:% = task, run, worker:% = name, reply:? = reply; "start_not_accepted");
                    }
                    let command = Command::StartReplied {
                        worker,
                        task,
                        run,
                        reply,
                        clock,
                    };
                    tx.send(Input::Worker { token, command }).await;
                });
            }
            Effect::Stop(call) => {
                debug!(task:% = call.task, run = call.run, worker:% = call.name; "stop_ordered");
                spawn_local(async move {
                    let (worker, task, run) = (call.worker, call.task, call.run);
                    let token = call.token;
                    let reply = workers.stop(call).await;
                    debug!(task:% = task, run, reply:? = reply; "stop_replied");
                    let command = Command::StopReplied {
                        worker,
                        task,
                        run,
                        reply,
                    };
                    tx.send(Input::Worker { token, command }).await;
                });
            }
            Effect::Look(call) => {
                spawn_local(async move {
                    let (worker, sent) = (call.worker, Instant::now());
                    let token = call.token;
                    let name = call.name.clone();
                    let reply = workers.look(call).await;
                    trace!(worker:% = name, reply:? = reply; "looked");
                    metrics.note_look(look_label(&reply));
                    let command = Command::Looked {
                        worker,
                        sent,
                        reply,
                    };
                    tx.send(Input::Worker { token, command }).await;
                });
            }
            Effect::Answer {
                origin,
                id,
                outcome,
            } => {
                let token = self.scheduler.as_ref().map(Scheduler::token);
                let token = token.unwrap_or_default();
                if origin == self.parts.vm {
                    self.take_answer(id, outcome, token);
                } else {
                    let answer = convert::answer_to(id, outcome, token);
                    self.send(origin, Body::Answer(answer));
                }
            }
            Effect::Deposed { worker } => {
                info!(worker:% = worker; "scheduler_deposed");
                let step = self.election.fenced(Instant::now());
                self.follow(step);
            }
        }
    }

    fn take_rows(&mut self, table: Table, is_whole: bool, rows: &[Change], revision: u64) {
        info!(table:% = table, revision, is_whole, rows = rows.len(); "rows_read");
        match table {
            Table::Configuration => {
                for change in rows {
                    self.take_configuration(change.clone(), "store");
                }
            }
            Table::Workers => self.take_workers(is_whole, rows),
            Table::EntryVms => self.take_members(is_whole, rows),
        }
    }

    fn take_configuration(&mut self, change: Change, source: &str) {
        let routes = match configuration(&change) {
            Some(Ok(routes)) => routes,
            Some(Err(e)) => {
                warn!(reason:% = e, source; "configuration_refused");
                return;
            }
            None => return,
        };
        let known = self.config_version();
        if routes.version <= known {
            return;
        }
        info!(version = routes.version, previous = known, routes = routes.len(), source; "configuration_in_force");
        self.parts.metrics.set_configuration(routes.version);
        self.configuration = change;
        *self.parts.routes.borrow_mut() = Some(Rc::new(routes));
    }

    fn pass_configuration_on(&mut self, to: EntryVm, version: u64) {
        if version >= self.config_version() {
            return;
        }
        let now = Instant::now();
        let last = self.sent_configuration.get(&to);
        if last.is_some_and(|&at| now.saturating_duration_since(at) < CONFIGURATION_PAUSE) {
            return;
        }
        self.sent_configuration.insert(to, now);
        let row = self.configuration.value.clone().unwrap_or_default();
        self.send(to, Body::Configuration(Configuration { row }));
    }

    fn take_workers(&mut self, is_whole: bool, rows: &[Change]) {
        let mut listed: Set<WorkerName> = Set::default();
        for change in rows {
            let name = WorkerName(change.key.as_str().into());
            let Some(value) = &change.value else {
                self.worker_gone(&name);
                continue;
            };
            match worker_entry(&change.key, value) {
                Ok(entry) => {
                    listed.insert(name);
                    self.worker_seen(entry);
                }
                Err(e) => {
                    warn!(worker = change.key.as_str(), reason:% = e; "worker_entry_refused");
                    self.worker_gone(&name);
                }
            }
        }
        if is_whole {
            self.workers_since.get_or_insert_with(Instant::now);
            let gone: Vec<WorkerName> = self
                .entries
                .keys()
                .filter(|n| !listed.contains(n))
                .cloned()
                .collect();
            for name in gone {
                self.worker_gone(&name);
            }
        }
    }

    fn worker_seen(&mut self, entry: WorkerEntry) {
        let known = self.entries.get(&entry.name);
        if known == Some(&entry) {
            return;
        }
        info!(worker:% = entry.name, state:% = entry.state, address:% = entry.address, born = entry.born.unwrap_or(0); "worker_seen");
        self.departed.remove(&entry.name);
        self.entries.insert(entry.name.clone(), entry.clone());
        self.command(Command::WorkerSeen(entry));
    }

    fn worker_gone(&mut self, name: &WorkerName) {
        let Some(entry) = self.entries.remove(name) else {
            return;
        };
        info!(worker:% = name, state:% = entry.state; "worker_gone");
        if entry.state == WorkerState::Ready {
            self.departed.insert(name.clone(), (entry, Instant::now()));
        }
        self.command(Command::WorkerGone(name.clone()));
    }

    /// Whether every worker that may still run something is known here.
    fn knows_departed(&self, now: Instant) -> bool {
        let ttl = self.parts.cfg.leased.departed_ttl;
        self.workers_since.is_some_and(|since| {
            self.parts.is_first_start || now.saturating_duration_since(since) >= ttl
        })
    }

    fn forget_departed(&mut self) {
        let (now, ttl) = (Instant::now(), self.parts.cfg.leased.departed_ttl);
        self.departed
            .retain(|_, (_, at)| now.saturating_duration_since(*at) < ttl);
    }

    fn take_members(&mut self, is_whole: bool, rows: &[Change]) {
        if is_whole {
            self.members.clear();
        }
        for change in rows {
            let text = change
                .value
                .as_deref()
                .and_then(|v| std::str::from_utf8(v).ok());
            match text.and_then(|t| t.parse::<SocketAddr>().ok()) {
                Some(address) => {
                    self.members.insert(change.key.clone(), address);
                }
                None => {
                    self.members.remove(&change.key);
                }
            }
        }
        let own = self.parts.vm;
        let mut listed: Map<EntryVm, SocketAddr> = Map::default();
        for &address in self.members.values() {
            if let std::net::IpAddr::V4(ip) = address.ip()
                && EntryVm(ip) != own
            {
                listed.insert(EntryVm(ip), address);
            }
        }
        self.links.retain(|vm, _| listed.contains_key(vm));
        for (vm, address) in listed {
            self.link_to(vm, address);
        }
    }

    fn link_to(&mut self, vm: EntryVm, address: SocketAddr) {
        let (own, incarnation) = (self.parts.vm, self.parts.incarnation);
        let tx = self.parts.tx.clone();
        self.links
            .entry(vm)
            .or_insert_with(|| Link::start(own, incarnation, (vm, address), tx));
    }

    fn store_health(&mut self, table: Table, is_healthy: bool) {
        let name = match table {
            Table::Configuration => "configuration",
            Table::Workers => "workers",
            Table::EntryVms => "entry-vms",
        };
        if is_healthy {
            self.sick_tables.remove(name);
        } else {
            self.parts.metrics.note_store_error(name);
            self.sick_tables.insert(name);
        }
        info!(table = name, is_healthy; "store_health_changed");
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        let now = Instant::now();
        let has_store = self.sick_tables.is_empty();
        self.election.set_own(true, has_store, now);
        if self.election.is_scheduler() {
            let step = self.election.resign(now);
            self.follow(step);
        }
    }
}

fn look_label(reply: &LookReply) -> &'static str {
    match reply {
        LookReply::Report(_) => "report",
        LookReply::Fenced => "fenced",
        LookReply::OtherLife => "other-life",
        LookReply::Unanswered => "unanswered",
    }
}
