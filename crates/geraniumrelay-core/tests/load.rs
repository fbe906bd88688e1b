//! Decisions of one dispatcher under load and faults, and slot loans between two dispatchers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::{TargetInfo, TaskKey};
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, JobSpec, Origin, Reason,
    Reply, TaskOutcome, Ticket, TicketKey, TicketMint, Verdict, Waiter,
};

const SHEET: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                     idempotent,deadline_ms,state,team,team_share\n\
                     till,szeged,2,2,64,hold,urgent,no,10000,active,,\n\
                     till,szeged,2,2,64,report,bulk,yes,60000,active,,\n";

/// One entry VM with two targets of two slots each.
struct Vm {
    dispatcher: Dispatcher,
    mint: TicketMint,
    cfg: Config,
    now: Instant,
    started: Vec<(Ticket, TaskKey)>,
    replies: Vec<(Waiter, Reply)>,
    other_effects: Vec<Effect>,
    next_waiter: u64,
}

impl Vm {
    fn new(n: u16, cfg: Config) -> Self {
        let now = Instant::now();
        let identity = Identity {
            vm: format!("e{n}").parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], n)),
            incarnation: Incarnation(n.into()),
        };
        let key = TicketKey([7; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let mut vm = Self {
            dispatcher: Dispatcher::new(&Context::new(now, &cfg), identity, mint.clone()),
            mint,
            cfg,
            now,
            started: Vec::new(),
            replies: Vec::new(),
            other_effects: Vec::new(),
            next_waiter: 0,
        };
        vm.handle(Command::ApplySheet(Arc::new(
            parse_sheet(1, SHEET).unwrap(),
        )));
        vm.handle(Command::UpdateTargets((0..2).map(target).collect()));
        vm
    }

    fn handle(&mut self, cmd: Command) {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, id, .. } => self.started.push((id.ticket, task)),
                Effect::Reply { waiter, reply } => self.replies.push((waiter, reply)),
                other => self.other_effects.push(other),
            }
        }
    }

    fn submit(&mut self, kind: &str, tasks: usize) -> (Ticket, Waiter) {
        let ticket = self.mint.mint().unwrap();
        (
            ticket,
            self.submit_copy(ticket, kind, tasks, Origin::Caller),
        )
    }

    /// Submits a copy of a job, sent by a caller or passed on by another entry VM.
    fn submit_copy(&mut self, ticket: Ticket, kind: &str, tasks: usize, origin: Origin) -> Waiter {
        let task = TaskSpec {
            payload: "x".into(),
            expected_ms: None,
        };
        let waiter = Waiter(self.next_waiter);
        self.next_waiter += 1;
        self.handle(Command::Submit {
            ticket,
            digest: 1,
            job: JobSpec {
                service: "till".parse().unwrap(),
                kind: kind.parse().unwrap(),
                team: None,
                deadline_ms: None,
                tasks: vec![task; tasks],
            },
            waiter,
            origin,
        });
        waiter
    }

    fn end_task(&mut self, task: TaskKey, outcome: TaskOutcome) {
        self.handle(Command::EndTask { task, outcome });
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.handle(Command::Tick);
    }

    fn start_count(&self, ticket: Ticket) -> usize {
        self.started
            .iter()
            .filter(|(started, _)| *started == ticket)
            .count()
    }

    fn reply_for(&self, waiter: Waiter) -> Option<&Reply> {
        let mut replies = self.replies.iter();
        replies
            .find(|(to, _)| *to == waiter)
            .map(|(_, reply)| reply)
    }
}

fn target(n: u16) -> TargetInfo {
    TargetInfo {
        vm: format!("t{n}").parse().unwrap(),
        service: "till".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 2], n + 1)),
        is_leaving: false,
    }
}

fn completed() -> TaskOutcome {
    TaskOutcome::Completed {
        output: String::new(),
    }
}

#[test]
fn queued_bulk_job_is_displaced_by_an_urgent_job_and_refused_as_not_run_at_once() {
    let mut cfg = Config::default();
    cfg.admission.max_queued_tasks = 4;
    let mut vm = Vm::new(1, cfg);
    vm.submit("hold", 4);
    let (bulk, displaced) = vm.submit("report", 4);
    assert_eq!(vm.start_count(bulk), 0);
    vm.submit("hold", 2);
    assert_matches!(
        vm.reply_for(displaced),
        Some(Reply::Rejected(rejection)) if (rejection.verdict, rejection.reason)
            == (Verdict::NotRun, Reason::QueueFull) && rejection.retry_after.is_some()
    );
    let (_, refused) = vm.submit("report", 4);
    assert_matches!(
        vm.reply_for(refused),
        Some(Reply::Rejected(rejection)) if rejection.verdict == Verdict::NotRun
    );
    for (_, task) in vm.started.clone() {
        vm.end_task(task, completed());
    }
    assert_eq!(vm.start_count(bulk), 0, "a refusal is permanent");
}

/// REFUSED: a copy that arrives late from another entry VM must not run although there is room by then.
#[test]
fn a_further_copy_of_a_refused_job_is_refused_although_there_is_room() {
    let mut cfg = Config::default();
    cfg.admission.max_queued_tasks = 4;
    let mut vm = Vm::new(1, cfg);
    vm.submit("hold", 4);
    vm.submit("report", 4);
    let (refused, first) = vm.submit("report", 4);
    let running = std::mem::take(&mut vm.started);
    for (_, task) in running {
        vm.end_task(task, completed());
    }
    let copies = [Origin::Caller, Origin::Peer];
    let copies = copies.map(|origin| vm.submit_copy(refused, "report", 4, origin));
    for waiter in [first].into_iter().chain(copies) {
        assert_matches!(
            vm.reply_for(waiter),
            Some(Reply::Rejected(rejection)) if (rejection.verdict, rejection.reason)
                == (Verdict::NotRun, Reason::QueueFull)
        );
    }
    assert_eq!(vm.start_count(refused), 0);
}

#[test]
fn queued_job_that_cannot_meet_its_deadline_is_refused_before_the_deadline() {
    let mut vm = Vm::new(1, Config::default());
    vm.submit("hold", 1);
    let (_, task) = vm.started[0];
    vm.now += Duration::from_secs(4);
    vm.end_task(task, completed());
    let (running, _) = vm.submit("hold", 4);
    assert_eq!(vm.start_count(running), 4);
    let (late, waiter) = vm.submit("hold", 1);
    vm.advance(Duration::from_secs(6) + Duration::from_millis(1));
    assert_matches!(
        vm.reply_for(waiter),
        Some(Reply::Rejected(rejection)) if (rejection.verdict, rejection.reason)
            == (Verdict::NotRun, Reason::DeadlineUnreachable) && rejection.retry_after.is_some()
    );
    assert_eq!(vm.start_count(late), 0);
}

#[test]
fn expired_lease_fails_the_job_and_starts_no_task_again() {
    let mut vm = Vm::new(1, Config::default());
    let (ticket, waiter) = vm.submit("hold", 1);
    vm.advance(Duration::from_secs(10));
    assert_matches!(
        vm.reply_for(waiter),
        Some(Reply::Answer { answer, .. }) if answer.verdict == Verdict::MayHaveRun
    );
    assert_eq!(vm.dispatcher.load().running, 1);
    vm.advance(Duration::from_secs(3));
    assert_eq!(vm.dispatcher.load().running, 0, "the slot is free again");
    let (_, task) = vm.started[0];
    vm.end_task(task, completed());
    assert_eq!(vm.start_count(ticket), 1);
}

#[test]
fn mass_cancellation_starts_no_queued_task() {
    let mut vm = Vm::new(1, Config::default());
    vm.submit("hold", 4);
    let queued: Vec<_> = (0..50).map(|_| vm.submit("hold", 3)).collect();
    for (ticket, waiter) in &queued {
        vm.handle(Command::Cancel {
            ticket: *ticket,
            waiter: Waiter(1_000 + waiter.0),
            origin: Origin::Caller,
        });
        assert_matches!(
            vm.reply_for(*waiter),
            Some(Reply::Answer { answer, .. }) if answer.verdict == Verdict::NotRun
        );
    }
    for (_, task) in vm.started.clone() {
        vm.end_task(task, completed());
    }
    assert_eq!(vm.started.len(), 4);
    assert_eq!(vm.dispatcher.load().queued.map(|(_, tasks)| tasks), [0; 3]);
}

#[test]
fn target_that_fails_all_tasks_is_ejected_while_the_other_target_serves() {
    let mut cfg = Config::default();
    cfg.health.max_ejected_percent = 50;
    let mut vm = Vm::new(1, cfg);
    for _ in 0..8 {
        let (ticket, _) = vm.submit("hold", 2);
        let job_starts = vm.started.iter().filter(|(started, _)| *started == ticket);
        let tasks: Vec<TaskKey> = job_starts.map(|(_, task)| *task).collect();
        // The tasks of a job are assigned to the targets in turn.
        vm.end_task(tasks[0], completed());
        vm.end_task(tasks[1], TaskOutcome::Failed);
    }
    let ejected = vm
        .other_effects
        .iter()
        .filter(|effect| matches!(effect, Effect::TargetEjected { .. }));
    assert_eq!(ejected.count(), 1);
    assert_eq!(vm.dispatcher.load().ejected, 1);
}

#[test]
fn slots_are_borrowed_in_one_exchange_and_returned_after_use() {
    let mut cfg = Config::default();
    cfg.loans.min_free = 1;
    let (mut borrower, mut lender) = (Vm::new(1, cfg.clone()), Vm::new(2, cfg));
    lender.handle(Command::RecordHeartbeat(borrower.dispatcher.own_status()));
    lender.advance(Duration::ZERO);
    borrower.handle(Command::RecordHeartbeat(lender.dispatcher.own_status()));
    let (ticket, _) = borrower.submit("hold", 4);
    assert_eq!(
        borrower.start_count(ticket),
        2,
        "one of the two targets is assigned to the borrower"
    );
    let req = borrower
        .other_effects
        .iter()
        .find_map(|effect| match effect {
            Effect::Borrow { req, .. } => Some(*req),
            _ => None,
        });
    let (req, waiter) = (req.expect("a borrow request"), Waiter(99));
    lender.handle(Command::LendSlots { req, waiter });
    let Some(Reply::Lent(grant)) = lender.reply_for(waiter).cloned() else {
        panic!("the reply has no grant");
    };
    assert_eq!(lender.dispatcher.load().free_slots, 0);
    borrower.handle(Command::ReceiveGrant {
        service: req.service,
        lender: SocketAddr::from(([127, 0, 0, 1], 2)),
        grant: Some(grant),
    });
    assert_eq!(borrower.start_count(ticket), 4);
    for (_, task) in borrower.started.clone() {
        borrower.end_task(task, completed());
    }
    for effect in std::mem::take(&mut borrower.other_effects) {
        if let Effect::Return(returned) = effect {
            let (loan, slots) = (returned.loan, returned.slots);
            lender.handle(Command::AcceptReturn { loan, slots });
        }
    }
    assert_eq!(lender.dispatcher.load().free_slots, 2);
}
