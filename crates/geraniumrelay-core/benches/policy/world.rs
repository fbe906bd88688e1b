//! One small data centre in virtual time: the real dispatchers, fake targets, fixed delays.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::policy::Policy;
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, Origin, PeerCall, Reason,
    Rejection, Reply, TaskId, TaskOutcome, TicketKey, TicketMint, Verdict, Waiter,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::calls::{Call, Claimed, Owners, Purpose, Waiting, ending};
use crate::events::Events;
use crate::faults::{self, CANCEL_AFTER, POLL};
use crate::scenario::{Deployment, END, FAULT, Fault, PATIENCE, Scenario, TARGETS, WARM_UP};
use crate::tally::Tally;
use crate::target::{SLOTS, Start, Target};
use crate::workload::{self, Job};

/// Entry VMs.
pub const VMS: usize = 6;

/// Delay one way between two VMs.
pub const BETWEEN_VMS: Duration = Duration::from_micros(500);

/// Longest time between two ticks.
const TICK: Duration = Duration::from_millis(50);

/// Shortest time between two ticks.
const MIN_TICK: Duration = Duration::from_micros(100);

/// Wait for a connection to a VM that is gone.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Share of the calls that reach another VM than the owner of their ticket.
const FOREIGN_CALLS: f64 = 0.1;

/// Time after which a leaving target gets nothing new.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// What happens next.
#[derive(Debug)]
pub(super) enum Event {
    Call(usize),
    Command(usize, Command),
    Heartbeat(usize, PeerStatus),
    Tick(usize),
    Poll(usize),
    Start(usize, Start),
    Stop(usize, TaskId),
    End(usize, TaskId, u64),
    Reply(Waiter, Reply),
    Fault,
    CancelWave,
}

/// One entry VM.
#[derive(Debug)]
pub struct Vm<P: Policy> {
    /// Its decisions.
    pub dispatcher: Dispatcher<P>,
    mint: TicketMint,
    /// Whether it has not died.
    pub is_alive: bool,
    tick_at: Duration,
}

/// State of one run.
#[derive(Debug)]
pub struct World<P: Policy> {
    pub(super) epoch: Instant,
    pub(super) now: Duration,
    pub(super) cfg: Config,
    pub(super) rng: StdRng,
    pub(super) scenario: Scenario,
    pub(super) deployment: Deployment,
    pub(super) events: Events<Event>,
    pub(super) vms: Vec<Vm<P>>,
    pub(super) targets: Vec<Target>,
    pub(super) jobs: Vec<Job>,
    pub(super) calls: Vec<Option<Call>>,
    pub(super) owners: Owners,
    pub(super) waiters: Vec<Waiting>,
    pub(super) claimed: Claimed,
    pub(super) tally: Tally,
}

/// Runs one scenario to its end.
pub fn run<P: Policy>(scenario: Scenario, deployment: Deployment, seed: u64) -> Tally {
    let mut world = World::<P>::new(scenario, deployment, seed);
    world.schedule();
    while let Some((at, event)) = world.events.pop() {
        if at > PATIENCE {
            break;
        }
        world.now = at;
        world.take(event);
    }
    world.finish()
}

impl<P: Policy> World<P> {
    fn new(scenario: Scenario, deployment: Deployment, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let jobs = workload::make_jobs(seed, scenario.rates, END);
        let (epoch, cfg) = (Instant::now(), Config::default());
        let cx = Context::new(epoch, &cfg);
        let vms = (0..VMS).map(|n| make_vm(&cx, n)).collect();
        Self {
            epoch,
            now: Duration::ZERO,
            cfg,
            rng,
            scenario,
            deployment,
            events: Events::new(),
            vms,
            targets: (0..TARGETS).map(|_| Target::default()).collect(),
            calls: vec![None; jobs.len()],
            jobs,
            owners: Owners::new(),
            waiters: Vec::new(),
            claimed: Claimed::default(),
            tally: Tally::new(),
        }
    }

    fn schedule(&mut self) {
        let sheet = Arc::new(workload::sheet(TARGETS, SLOTS));
        for vm in 0..VMS {
            let put = Command::ApplySheet(Arc::clone(&sheet));
            self.events.push(Duration::ZERO, Event::Command(vm, put));
            // Polls of the VMs are spread over their interval.
            let offset = POLL * u32::try_from(vm).unwrap_or(0) / 6;
            self.events.push(Duration::ZERO, Event::Poll(vm));
            self.events.push(offset, Event::Poll(vm));
        }
        for (n, job) in self.jobs.iter().enumerate() {
            self.events.push(job.at, Event::Call(n));
        }
        self.events.push(FAULT, Event::Fault);
        if self.scenario.fault == Fault::Cancel {
            self.events.push(FAULT + CANCEL_AFTER, Event::CancelWave);
        }
    }

    fn finish(mut self) -> Tally {
        for (job, call) in self.jobs.iter().zip(&self.calls) {
            if call.is_none_or(|call| !call.is_done) {
                self.tally
                    .violate(format!("job of {:?} has no answer", job.at));
            }
        }
        self.claimed.check(&mut self.tally);
        if self.tally.max_starts() > 1 {
            self.tally.violate("a task started twice".to_owned());
        }
        self.tally
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Call(job) => self.call(job),
            Event::Command(vm, cmd) => self.decide(vm, cmd),
            Event::Heartbeat(vm, status) => self.hear(vm, status),
            Event::Tick(vm) => {
                if self.vms[vm].tick_at == self.now {
                    self.decide(vm, Command::Tick);
                }
            }
            Event::Poll(vm) => self.poll(vm),
            Event::Start(target, start) => self.start(target, start),
            Event::Stop(target, id) => self.stop(target, id),
            Event::End(target, id, number) => self.end(target, id, number),
            Event::Reply(waiter, reply) => self.reply(waiter, &reply),
            Event::Fault => self.begin_fault(),
            Event::CancelWave => self.cancel_wave(),
        }
    }

    pub(super) fn decide(&mut self, vm: usize, cmd: Command) {
        if !self.vms[vm].is_alive {
            return;
        }
        let mut effects = Vec::new();
        let cx = Context::new(self.epoch + self.now, &self.cfg);
        self.vms[vm].dispatcher.handle(&cx, cmd, &mut effects);
        for effect in effects {
            self.carry_out(vm, effect);
        }
        self.schedule_tick(vm);
    }

    fn schedule_tick(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let wake = state.dispatcher.next_wake();
        let wake = wake.map(|at| at.saturating_duration_since(self.epoch));
        let latest = self.now + TICK;
        let at = wake.unwrap_or(latest).clamp(self.now + MIN_TICK, latest);
        if state.tick_at <= self.now || at < state.tick_at {
            state.tick_at = at;
            self.events.push(at, Event::Tick(vm));
        }
    }

    fn carry_out(&mut self, vm: usize, effect: Effect) {
        let at = self.now + BETWEEN_VMS;
        match effect {
            Effect::Start {
                task,
                id,
                address,
                payload,
                ..
            } => {
                let run = Duration::from_micros(payload.parse().expect("a run time"));
                let start = Start {
                    vm,
                    key: task,
                    id,
                    run,
                };
                self.events.push(at, Event::Start(index_of(address), start));
            }
            Effect::Stop { id, address } => {
                self.events.push(at, Event::Stop(index_of(address), id));
            }
            Effect::Reply { waiter, reply } => self.send_reply(waiter, reply),
            Effect::Forward {
                waiter,
                address,
                call,
                ..
            } => self.forward(vm, waiter, index_of(address), call),
            Effect::Heartbeat {
                address, status, ..
            } => {
                self.tally.control += 2;
                self.events
                    .push(at, Event::Heartbeat(index_of(address), status));
            }
            Effect::Borrow { address, req } => self.borrow(vm, index_of(address), req),
            Effect::Return(back) => {
                let cmd = Command::AcceptReturn {
                    loan: back.loan,
                    slots: back.slots,
                };
                self.tally.loans += 1;
                let lender = index_of(back.lender);
                self.events.push(at, Event::Command(lender, cmd));
            }
            Effect::TargetEjected { .. }
            | Effect::Journal(_)
            | Effect::FetchSheet { .. }
            | Effect::FetchTargets { .. }
            | Effect::SheetInForce { .. }
            | Effect::HandOver { .. }
            | Effect::ReportHandOver { .. }
            | Effect::ReportPeerChange(_)
            | Effect::Drained => {}
        }
    }

    fn call(&mut self, job: usize) {
        let owner = self.alive_vm();
        let Some(ticket) = self.vms[owner].mint.mint() else {
            return;
        };
        let is_foreign = self.rng.random_bool(FOREIGN_CALLS);
        let entry = if is_foreign { self.alive_vm() } else { owner };
        self.calls[job] = Some(Call {
            ticket,
            owner,
            is_done: false,
            cancelled_at: None,
        });
        self.owners.insert(ticket, job);
        let at = self.now + self.deployment.to_caller;
        self.submit(at, entry, job, Purpose::Answer);
    }

    pub(super) fn alive_vm(&mut self) -> usize {
        loop {
            let vm = self.rng.random_range(0..VMS);
            if self.vms[vm].is_alive {
                return vm;
            }
        }
    }

    pub(super) fn submit(&mut self, at: Duration, vm: usize, job: usize, purpose: Purpose) {
        let Some(call) = self.calls[job] else {
            return;
        };
        let cmd = Command::Submit {
            ticket: call.ticket,
            digest: job as u128,
            job: self.jobs[job].spec.clone(),
            waiter: self.waiter(job, purpose),
            origin: Origin::Caller,
        };
        self.events.push(at, Event::Command(vm, cmd));
    }

    pub(super) fn waiter(&mut self, job: usize, purpose: Purpose) -> Waiter {
        self.waiters.push(Waiting {
            job,
            purpose,
            via: None,
        });
        Waiter(self.waiters.len() as u64 - 1)
    }

    fn forward(&mut self, from: usize, waiter: Waiter, to: usize, call: PeerCall) {
        let waiting = &mut self.waiters[index_of_waiter(waiter)];
        waiting.via = Some(from);
        let job = waiting.job;
        if !self.vms[to].is_alive {
            self.tally.wasted += 1;
            let reply = Reply::Rejected(Rejection::may_have_run(Reason::OwnerUnreachable));
            let at = self.now + CONNECT_TIMEOUT + self.deployment.to_caller;
            self.events.push(at, Event::Reply(waiter, reply));
            return;
        }
        let PeerCall::Submit { ticket, job: spec } = call else {
            return;
        };
        let cmd = Command::Submit {
            ticket,
            digest: job as u128,
            job: spec,
            waiter,
            origin: Origin::Peer,
        };
        self.events
            .push(self.now + BETWEEN_VMS, Event::Command(to, cmd));
    }

    fn send_reply(&mut self, waiter: Waiter, reply: Reply) {
        let purpose = self.waiters[index_of_waiter(waiter)].purpose;
        if let (Purpose::Loan { borrower, lender }, Reply::Lent(grant)) = (purpose, &reply) {
            self.send_grant(borrower, lender, grant.clone());
            return;
        }
        let via = self.waiters[index_of_waiter(waiter)].via;
        let hop = via.map_or(Duration::ZERO, |_| BETWEEN_VMS);
        let at = self.now + hop + self.deployment.to_caller;
        self.events.push(at, Event::Reply(waiter, reply));
    }

    fn reply(&mut self, waiter: Waiter, reply: &Reply) {
        let Waiting { job, purpose, .. } = self.waiters[index_of_waiter(waiter)];
        let Some(call) = self.calls[job] else {
            return;
        };
        let verdict = self
            .claimed
            .note(&mut self.tally, &call, &self.jobs[job], reply);
        if purpose == Purpose::Copy && verdict != Verdict::NotRun {
            self.tally
                .violate(format!("{} was refused and is not spent", call.ticket));
        }
        if purpose != Purpose::Answer || call.is_done {
            return;
        }
        self.calls[job] = Some(Call {
            is_done: true,
            ..call
        });
        self.count(job, &call, verdict);
        if verdict == Verdict::NotRun {
            self.submit(self.now, call.owner, job, Purpose::Copy);
        }
    }

    fn count(&mut self, job: usize, call: &Call, verdict: Verdict) {
        let job = &self.jobs[job];
        if job.at < WARM_UP || call.cancelled_at.is_some() {
            return;
        }
        let ideal = job.longest + 2 * (self.deployment.to_caller + BETWEEN_VMS);
        self.tally.end(ending(job, verdict, self.now, ideal, FAULT));
    }

    fn start(&mut self, target: usize, start: Start) {
        match self.targets[target].start(start) {
            Ok(accepted) => {
                *self.tally.starts.entry(start.id).or_insert(0) += 1;
                self.check_start(target, start.id);
                let at = self.now + accepted.run;
                self.events
                    .push(at, Event::End(target, start.id, accepted.number));
            }
            Err(cause) => {
                self.tally.wasted += 1;
                self.end_task(start, TaskOutcome::NotStarted { cause });
            }
        }
    }

    fn check_start(&mut self, target: usize, id: TaskId) {
        let is_leaving = self.scenario.fault == Fault::Leaving && faults::is_leaving(target);
        if is_leaving && self.now > FAULT + LEAVING_GRACE {
            self.tally
                .violate(format!("{id} started on a leaving target"));
        }
        let cancelled_at = self.owners.get(&id.ticket).and_then(|job| {
            let call = self.calls[*job]?;
            call.cancelled_at
        });
        if cancelled_at.is_some_and(|at| self.now > at + BETWEEN_VMS) {
            self.tally
                .violate(format!("{id} started after its cancellation"));
        }
    }

    fn end(&mut self, target: usize, id: TaskId, number: u64) {
        let Some(start) = self.targets[target].end(id, number) else {
            return;
        };
        let outcome = if self.targets[target].fails_all {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Completed {
                output: start.run.as_micros().to_string(),
            }
        };
        self.end_task(start, outcome);
    }

    fn stop(&mut self, target: usize, id: TaskId) {
        match self.targets[target].stop(id) {
            Some(start) => self.end_task(start, TaskOutcome::Unknown),
            None => self.tally.wasted += 1,
        }
    }

    fn end_task(&mut self, start: Start, outcome: TaskOutcome) {
        let cmd = Command::EndTask {
            task: start.key,
            outcome,
        };
        let at = self.now + BETWEEN_VMS;
        self.events.push(at, Event::Command(start.vm, cmd));
    }

    fn hear(&mut self, vm: usize, status: PeerStatus) {
        let from = index_of(status.address);
        if !self.vms[vm].is_alive || self.is_cut(from, vm) {
            return;
        }
        self.decide(vm, Command::RecordHeartbeat(status));
        let reply = self.vms[vm].dispatcher.own_status();
        if !self.is_cut(vm, from) {
            let at = self.now + BETWEEN_VMS;
            self.events
                .push(at, Event::Command(from, Command::RecordHeartbeat(reply)));
        }
    }
}

fn make_vm<P: Policy>(cx: &Context<'_>, n: usize) -> Vm<P> {
    let number = u64::try_from(n).unwrap_or(0);
    let identity = Identity {
        vm: format!("e{n}").parse().expect("a name"),
        data_centre: workload::DATA_CENTRE.parse().expect("a name"),
        peer_address: vm_address(n),
        incarnation: Incarnation(number + 1),
    };
    let key = TicketKey([7; 16]);
    let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
    Vm {
        dispatcher: Dispatcher::with_policy(cx, identity, mint.clone()),
        mint,
        is_alive: true,
        tick_at: Duration::ZERO,
    }
}

/// Peer address of an entry VM.
pub fn vm_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(n).unwrap_or(0)))
}

pub fn target_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], u16::try_from(n).unwrap_or(0)))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port())
}

fn index_of_waiter(waiter: Waiter) -> usize {
    usize::try_from(waiter.0).unwrap_or(usize::MAX)
}
