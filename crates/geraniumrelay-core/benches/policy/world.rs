//! Simulation of one small data centre in virtual time: real dispatchers, fake targets and fixed
//! delays.

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

use crate::calls::{Call, JobsByTicket, PendingReply, Purpose, ReportedNotRun, job_result};
use crate::events::EventQueue;
use crate::faults::{self, CANCEL_DELAY, POLL_INTERVAL};
use crate::scenario::{
    ANSWER_DEADLINE, ARRIVALS_END, Deployment, FAULT_START, Fault, Scenario, TARGET_COUNT, WARM_UP,
};
use crate::tally::RunStats;
use crate::target::{SLOTS_PER_TARGET, StartRequest, Target};
use crate::workload::{self, Job};

/// Number of entry VMs.
pub const VM_COUNT: usize = 6;

/// One-way delay between two VMs.
pub const VM_DELAY: Duration = Duration::from_micros(500);

/// Longest interval between two ticks of a dispatcher.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest interval between two ticks of a dispatcher.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(100);

/// Time after which a connection attempt to a crashed VM fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Fraction of the calls that go to a random live entry VM instead of the owner of the ticket.
const RANDOM_ENTRY_SHARE: f64 = 0.1;

/// Time from the start of the fault after which no task may start on a leaving target.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Event of the simulation; a VM, target or job is given by its index.
#[derive(Debug)]
pub(super) enum Event {
    Call(usize),
    Command(usize, Command),
    Heartbeat(usize, PeerStatus),
    Tick(usize),
    Poll(usize),
    Start(usize, StartRequest),
    Stop(usize, TaskId),
    End(usize, TaskId, u64),
    Reply(Waiter, Reply),
    Fault,
    CancelQueuedJobs,
}

/// Entry VM with its dispatcher.
#[derive(Debug)]
pub struct Vm<P: Policy> {
    /// Dispatcher under test.
    pub dispatcher: Dispatcher<P>,
    mint: TicketMint,
    /// Whether the VM has not crashed.
    pub is_alive: bool,
    next_tick_at: Duration,
}

/// State of one simulation run.
#[derive(Debug)]
pub struct Simulation<P: Policy> {
    /// Instant of virtual time zero, from which `now` and the times of events count.
    pub(super) started_at: Instant,
    pub(super) now: Duration,
    pub(super) cfg: Config,
    pub(super) rng: StdRng,
    pub(super) scenario: Scenario,
    pub(super) deployment: Deployment,
    pub(super) events: EventQueue<Event>,
    pub(super) vms: Vec<Vm<P>>,
    pub(super) targets: Vec<Target>,
    pub(super) jobs: Vec<Job>,
    pub(super) calls: Vec<Option<Call>>,
    pub(super) jobs_by_ticket: JobsByTicket,
    pub(super) waiters: Vec<PendingReply>,
    pub(super) reported_not_run: ReportedNotRun,
    pub(super) stats: RunStats,
}

/// Runs one scenario until no events are left or [`ANSWER_DEADLINE`] has passed.
pub fn run<P: Policy>(scenario: Scenario, deployment: Deployment, seed: u64) -> RunStats {
    let mut simulation = Simulation::<P>::new(scenario, deployment, seed);
    simulation.schedule_initial_events();
    while let Some((at, event)) = simulation.events.pop() {
        if at > ANSWER_DEADLINE {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.finish()
}

impl<P: Policy> Simulation<P> {
    fn new(scenario: Scenario, deployment: Deployment, seed: u64) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let jobs = workload::make_jobs(seed, scenario.rates, ARRIVALS_END);
        let (started_at, cfg) = (Instant::now(), Config::default());
        let cx = Context::new(started_at, &cfg);
        let vms = (0..VM_COUNT).map(|n| make_vm(&cx, n)).collect();
        Self {
            started_at,
            now: Duration::ZERO,
            cfg,
            rng,
            scenario,
            deployment,
            events: EventQueue::new(),
            vms,
            targets: (0..TARGET_COUNT).map(|_| Target::default()).collect(),
            calls: vec![None; jobs.len()],
            jobs,
            jobs_by_ticket: JobsByTicket::new(),
            waiters: Vec::new(),
            reported_not_run: ReportedNotRun::default(),
            stats: RunStats::new(),
        }
    }

    fn schedule_initial_events(&mut self) {
        let sheet = Arc::new(workload::sheet(TARGET_COUNT, SLOTS_PER_TARGET));
        for vm in 0..VM_COUNT {
            let apply = Command::ApplySheet(Arc::clone(&sheet));
            self.events.push(Duration::ZERO, Event::Command(vm, apply));
            // Each VM polls from time zero and, in a second sequence, from an offset that spreads the
            // polls of the VMs over the poll interval.
            let offset = POLL_INTERVAL * u32::try_from(vm).unwrap_or(0) / 6;
            self.events.push(Duration::ZERO, Event::Poll(vm));
            self.events.push(offset, Event::Poll(vm));
        }
        for (n, job) in self.jobs.iter().enumerate() {
            self.events.push(job.arrives_at, Event::Call(n));
        }
        self.events.push(FAULT_START, Event::Fault);
        if self.scenario.fault == Fault::Cancel {
            self.events
                .push(FAULT_START + CANCEL_DELAY, Event::CancelQueuedJobs);
        }
    }

    fn finish(mut self) -> RunStats {
        for (job, call) in self.jobs.iter().zip(&self.calls) {
            if call.is_none_or(|call| !call.is_answered) {
                self.stats
                    .add_violation(format!("job of {:?} has no answer", job.arrives_at));
            }
        }
        self.reported_not_run.check(&mut self.stats);
        if self.stats.max_starts() > 1 {
            self.stats
                .add_violation("a task started more than once".to_owned());
        }
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(job) => self.submit_job(job),
            Event::Command(vm, cmd) => self.dispatch(vm, cmd),
            Event::Heartbeat(vm, status) => self.on_heartbeat(vm, status),
            Event::Tick(vm) => {
                if self.vms[vm].next_tick_at == self.now {
                    self.dispatch(vm, Command::Tick);
                }
            }
            Event::Poll(vm) => self.poll(vm),
            Event::Start(target, start) => self.start_task(target, start),
            Event::Stop(target, id) => self.stop_task(target, id),
            Event::End(target, id, number) => self.end_task(target, id, number),
            Event::Reply(waiter, reply) => self.receive_reply(waiter, &reply),
            Event::Fault => self.inject_fault(),
            Event::CancelQueuedJobs => self.cancel_queued_jobs(),
        }
    }

    pub(super) fn dispatch(&mut self, vm: usize, cmd: Command) {
        if !self.vms[vm].is_alive {
            return;
        }
        let mut effects = Vec::new();
        let cx = Context::new(self.started_at + self.now, &self.cfg);
        self.vms[vm].dispatcher.handle(&cx, cmd, &mut effects);
        for effect in effects {
            self.apply_effect(vm, effect);
        }
        self.schedule_tick(vm);
    }

    fn schedule_tick(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        let wake = state.dispatcher.next_wake();
        let wake = wake.map(|at| at.saturating_duration_since(self.started_at));
        let latest = self.now + MAX_TICK_INTERVAL;
        let at = wake
            .unwrap_or(latest)
            .clamp(self.now + MIN_TICK_INTERVAL, latest);
        if state.next_tick_at <= self.now || at < state.next_tick_at {
            state.next_tick_at = at;
            self.events.push(at, Event::Tick(vm));
        }
    }

    fn apply_effect(&mut self, vm: usize, effect: Effect) {
        let at = self.now + VM_DELAY;
        match effect {
            Effect::Start {
                task,
                id,
                address,
                payload,
                ..
            } => {
                let run_time =
                    Duration::from_micros(payload.parse().expect("run time in microseconds"));
                let start = StartRequest {
                    vm,
                    key: task,
                    id,
                    run_time,
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
                self.stats.heartbeat_messages += 2;
                self.events
                    .push(at, Event::Heartbeat(index_of(address), status));
            }
            Effect::Borrow { address, req } => self.borrow(vm, index_of(address), req),
            Effect::Return(returned) => {
                let cmd = Command::AcceptReturn {
                    loan: returned.loan,
                    slots: returned.slots,
                };
                self.stats.loan_messages += 1;
                let lender = index_of(returned.lender);
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

    fn submit_job(&mut self, job: usize) {
        let owner = self.random_live_vm();
        let Some(ticket) = self.vms[owner].mint.mint() else {
            return;
        };
        let is_random_entry = self.rng.random_bool(RANDOM_ENTRY_SHARE);
        let entry = if is_random_entry {
            self.random_live_vm()
        } else {
            owner
        };
        self.calls[job] = Some(Call {
            ticket,
            owner,
            is_answered: false,
            cancelled_at: None,
        });
        self.jobs_by_ticket.insert(ticket, job);
        let at = self.now + self.deployment.caller_delay;
        self.submit(at, entry, job, Purpose::Answer);
    }

    pub(super) fn random_live_vm(&mut self) -> usize {
        loop {
            let vm = self.rng.random_range(0..VM_COUNT);
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
            waiter: self.add_waiter(job, purpose),
            origin: Origin::Caller,
        };
        self.events.push(at, Event::Command(vm, cmd));
    }

    pub(super) fn add_waiter(&mut self, job: usize, purpose: Purpose) -> Waiter {
        self.waiters.push(PendingReply {
            job,
            purpose,
            forwarded_by: None,
        });
        Waiter(self.waiters.len() as u64 - 1)
    }

    fn forward(&mut self, from: usize, waiter: Waiter, to: usize, call: PeerCall) {
        let pending = &mut self.waiters[index_of_waiter(waiter)];
        pending.forwarded_by = Some(from);
        let job = pending.job;
        if !self.vms[to].is_alive {
            self.stats.wasted_messages += 1;
            let reply = Reply::Rejected(Rejection::may_have_run(Reason::OwnerUnreachable));
            let at = self.now + CONNECT_TIMEOUT + self.deployment.caller_delay;
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
            .push(self.now + VM_DELAY, Event::Command(to, cmd));
    }

    fn send_reply(&mut self, waiter: Waiter, reply: Reply) {
        let purpose = self.waiters[index_of_waiter(waiter)].purpose;
        if let (Purpose::Loan { borrower, lender }, Reply::Lent(grant)) = (purpose, &reply) {
            self.send_grant(borrower, lender, grant.clone());
            return;
        }
        let forwarded_by = self.waiters[index_of_waiter(waiter)].forwarded_by;
        let hop = forwarded_by.map_or(Duration::ZERO, |_| VM_DELAY);
        let at = self.now + hop + self.deployment.caller_delay;
        self.events.push(at, Event::Reply(waiter, reply));
    }

    fn receive_reply(&mut self, waiter: Waiter, reply: &Reply) {
        let PendingReply { job, purpose, .. } = self.waiters[index_of_waiter(waiter)];
        let Some(call) = self.calls[job] else {
            return;
        };
        let verdict = self
            .reported_not_run
            .record(&mut self.stats, &call, &self.jobs[job], reply);
        if purpose == Purpose::Duplicate && verdict != Verdict::NotRun {
            self.stats.add_violation(format!(
                "duplicate of refused submission {} did not get the verdict NotRun",
                call.ticket
            ));
        }
        if purpose != Purpose::Answer || call.is_answered {
            return;
        }
        self.calls[job] = Some(Call {
            is_answered: true,
            ..call
        });
        self.record_result(job, &call, verdict);
        if verdict == Verdict::NotRun {
            self.submit(self.now, call.owner, job, Purpose::Duplicate);
        }
    }

    fn record_result(&mut self, job: usize, call: &Call, verdict: Verdict) {
        let job = &self.jobs[job];
        if job.arrives_at < WARM_UP || call.cancelled_at.is_some() {
            return;
        }
        let ideal_time = job.longest_run_time + 2 * (self.deployment.caller_delay + VM_DELAY);
        self.stats
            .add_job(job_result(job, verdict, self.now, ideal_time, FAULT_START));
    }

    fn start_task(&mut self, target: usize, start: StartRequest) {
        match self.targets[target].start(start) {
            Ok(accepted) => {
                *self.stats.starts.entry(start.id).or_insert(0) += 1;
                self.check_start(target, start.id);
                let at = self.now + accepted.run_time;
                self.events
                    .push(at, Event::End(target, start.id, accepted.start_number));
            }
            Err(cause) => {
                self.stats.wasted_messages += 1;
                self.report_end(start, TaskOutcome::NotStarted { cause });
            }
        }
    }

    fn check_start(&mut self, target: usize, id: TaskId) {
        let is_leaving = self.scenario.fault == Fault::Leaving && faults::is_leaving(target);
        if is_leaving && self.now > FAULT_START + LEAVING_GRACE {
            self.stats
                .add_violation(format!("{id} started on a leaving target"));
        }
        let cancelled_at = self.jobs_by_ticket.get(&id.ticket).and_then(|job| {
            let call = self.calls[*job]?;
            call.cancelled_at
        });
        if cancelled_at.is_some_and(|at| self.now > at + VM_DELAY) {
            self.stats
                .add_violation(format!("{id} started after its cancellation"));
        }
    }

    fn end_task(&mut self, target: usize, id: TaskId, number: u64) {
        let Some(start) = self.targets[target].end(id, number) else {
            return;
        };
        let outcome = if self.targets[target].fails_all {
            TaskOutcome::Failed
        } else {
            TaskOutcome::Completed {
                output: start.run_time.as_micros().to_string(),
            }
        };
        self.report_end(start, outcome);
    }

    fn stop_task(&mut self, target: usize, id: TaskId) {
        match self.targets[target].stop(id) {
            Some(start) => self.report_end(start, TaskOutcome::Unknown),
            None => self.stats.wasted_messages += 1,
        }
    }

    fn report_end(&mut self, start: StartRequest, outcome: TaskOutcome) {
        let cmd = Command::EndTask {
            task: start.key,
            outcome,
        };
        let at = self.now + VM_DELAY;
        self.events.push(at, Event::Command(start.vm, cmd));
    }

    fn on_heartbeat(&mut self, vm: usize, status: PeerStatus) {
        let from = index_of(status.address);
        if !self.vms[vm].is_alive || self.is_partitioned(from, vm) {
            return;
        }
        self.dispatch(vm, Command::RecordHeartbeat(status));
        let reply = self.vms[vm].dispatcher.own_status();
        if !self.is_partitioned(vm, from) {
            let at = self.now + VM_DELAY;
            self.events
                .push(at, Event::Command(from, Command::RecordHeartbeat(reply)));
        }
    }
}

fn make_vm<P: Policy>(cx: &Context<'_>, n: usize) -> Vm<P> {
    let number = u64::try_from(n).unwrap_or(0);
    let identity = Identity {
        vm: format!("e{n}").parse().expect("valid name"),
        data_centre: workload::DATA_CENTRE.parse().expect("valid name"),
        peer_address: vm_address(n),
        incarnation: Incarnation(number + 1),
    };
    let key = TicketKey([7; 16]);
    let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
    Vm {
        dispatcher: Dispatcher::with_policy(cx, identity, mint.clone()),
        mint,
        is_alive: true,
        next_tick_at: Duration::ZERO,
    }
}

/// Returns the peer address of an entry VM; the port is the index of the VM.
pub fn vm_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], u16::try_from(n).unwrap_or(0)))
}

/// Returns the address of a target; the port is the index of the target.
pub fn target_address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], u16::try_from(n).unwrap_or(0)))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port())
}

fn index_of_waiter(waiter: Waiter) -> usize {
    usize::try_from(waiter.0).unwrap_or(usize::MAX)
}
