//! Decisions under load and faults at one dispatcher, and loans between two.

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
    other: Vec<Effect>,
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
            other: Vec::new(),
            next_waiter: 0,
        };
        vm.tell(Command::ApplySheet(Arc::new(
            parse_sheet(1, SHEET).unwrap(),
        )));
        vm.tell(Command::UpdateTargets((0..2).map(target).collect()));
        vm
    }

    fn tell(&mut self, cmd: Command) {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, id, .. } => self.started.push((id.ticket, task)),
                Effect::Reply { waiter, reply } => self.replies.push((waiter, reply)),
                other => self.other.push(other),
            }
        }
    }

    fn submit(&mut self, kind: &str, tasks: usize) -> (Ticket, Waiter) {
        let task = TaskSpec {
            payload: "x".into(),
            expected_ms: None,
        };
        let (ticket, waiter) = (self.mint.mint().unwrap(), Waiter(self.next_waiter));
        self.next_waiter += 1;
        self.tell(Command::Submit {
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
            origin: Origin::Caller,
        });
        (ticket, waiter)
    }

    fn end(&mut self, task: TaskKey, outcome: TaskOutcome) {
        self.tell(Command::EndTask { task, outcome });
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
        self.tell(Command::Tick);
    }

    fn starts_of(&self, ticket: Ticket) -> usize {
        self.started.iter().filter(|(of, _)| *of == ticket).count()
    }

    fn reply_to(&self, waiter: Waiter) -> Option<&Reply> {
        let mut replies = self.replies.iter();
        replies.find(|(to, _)| *to == waiter).map(|(_, r)| r)
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

fn done() -> TaskOutcome {
    TaskOutcome::Completed {
        output: String::new(),
    }
}

#[test]
fn bulk_gives_way_and_is_told_at_once_that_it_did_not_run() {
    let mut cfg = Config::default();
    cfg.admission.max_queued_tasks = 4;
    let mut vm = Vm::new(1, cfg);
    vm.submit("hold", 4);
    let (bulk, displaced) = vm.submit("report", 4);
    assert_eq!(vm.starts_of(bulk), 0);
    vm.submit("hold", 2);
    assert_matches!(
        vm.reply_to(displaced),
        Some(Reply::Rejected(r)) if (r.verdict, r.reason) == (Verdict::NotRun, Reason::QueueFull)
            && r.retry_after.is_some()
    );
    let (_, refused) = vm.submit("report", 4);
    assert_matches!(
        vm.reply_to(refused),
        Some(Reply::Rejected(r)) if r.verdict == Verdict::NotRun
    );
    for (_, task) in vm.started.clone() {
        vm.end(task, done());
    }
    assert_eq!(vm.starts_of(bulk), 0, "a refusal is final");
}

#[test]
fn a_queued_job_that_is_too_late_is_answered_before_its_deadline() {
    let mut vm = Vm::new(1, Config::default());
    vm.submit("hold", 1);
    let (_, task) = vm.started[0];
    vm.now += Duration::from_secs(4);
    vm.end(task, done());
    let (running, _) = vm.submit("hold", 4);
    assert_eq!(vm.starts_of(running), 4);
    let (late, waiter) = vm.submit("hold", 1);
    vm.pass(Duration::from_secs(6) + Duration::from_millis(1));
    assert_matches!(
        vm.reply_to(waiter),
        Some(Reply::Rejected(r)) if (r.verdict, r.reason)
            == (Verdict::NotRun, Reason::DeadlineUnreachable) && r.retry_after.is_some()
    );
    assert_eq!(vm.starts_of(late), 0);
}

#[test]
fn a_lapsed_lease_fails_its_job_and_starts_nothing_again() {
    let mut vm = Vm::new(1, Config::default());
    let (ticket, waiter) = vm.submit("hold", 1);
    vm.pass(Duration::from_secs(10));
    assert_matches!(
        vm.reply_to(waiter),
        Some(Reply::Answer { answer, .. }) if answer.verdict == Verdict::MayHaveRun
    );
    assert_eq!(vm.dispatcher.load().running, 1);
    vm.pass(Duration::from_secs(3));
    assert_eq!(vm.dispatcher.load().running, 0, "its slot is free again");
    let (_, task) = vm.started[0];
    vm.end(task, done());
    assert_eq!(vm.starts_of(ticket), 1);
}

#[test]
fn a_wave_of_cancellations_starts_nothing_that_was_queued() {
    let mut vm = Vm::new(1, Config::default());
    vm.submit("hold", 4);
    let queued: Vec<_> = (0..50).map(|_| vm.submit("hold", 3)).collect();
    for (ticket, waiter) in &queued {
        vm.tell(Command::Cancel {
            ticket: *ticket,
            waiter: Waiter(1_000 + waiter.0),
            origin: Origin::Caller,
        });
        assert_matches!(
            vm.reply_to(*waiter),
            Some(Reply::Answer { answer, .. }) if answer.verdict == Verdict::NotRun
        );
    }
    for (_, task) in vm.started.clone() {
        vm.end(task, done());
    }
    assert_eq!(vm.started.len(), 4);
    assert_eq!(vm.dispatcher.load().queued.map(|(_, tasks)| tasks), [0; 3]);
}

#[test]
fn a_target_that_fails_all_is_ejected_while_others_serve() {
    let mut cfg = Config::default();
    cfg.health.max_ejected_percent = 50;
    let mut vm = Vm::new(1, cfg);
    for _ in 0..8 {
        let (ticket, _) = vm.submit("hold", 2);
        let of_job = vm.started.iter().filter(|(of, _)| *of == ticket);
        let tasks: Vec<TaskKey> = of_job.map(|(_, task)| *task).collect();
        // Tasks of a job go to the targets in turn.
        vm.end(tasks[0], done());
        vm.end(tasks[1], TaskOutcome::Failed);
    }
    let ejected = vm
        .other
        .iter()
        .filter(|effect| matches!(effect, Effect::TargetEjected { .. }));
    assert_eq!(ejected.count(), 1);
    assert_eq!(vm.dispatcher.load().ejected, 1);
}

#[test]
fn slots_are_borrowed_in_one_exchange_and_returned() {
    let mut cfg = Config::default();
    cfg.loans.min_free = 1;
    let (mut a, mut b) = (Vm::new(1, cfg.clone()), Vm::new(2, cfg));
    b.tell(Command::RecordHeartbeat(a.dispatcher.own_status()));
    b.pass(Duration::ZERO);
    a.tell(Command::RecordHeartbeat(b.dispatcher.own_status()));
    let (ticket, _) = a.submit("hold", 4);
    assert_eq!(
        a.starts_of(ticket),
        2,
        "one of the two targets has its home here"
    );
    let req = a.other.iter().find_map(|effect| match effect {
        Effect::Borrow { req, .. } => Some(*req),
        _ => None,
    });
    let (req, waiter) = (req.expect("a wish"), Waiter(99));
    b.tell(Command::LendSlots { req, waiter });
    let Some(Reply::Lent(grant)) = b.reply_to(waiter).cloned() else {
        panic!("no grant");
    };
    assert_eq!(b.dispatcher.load().free_slots, 0);
    a.tell(Command::ReceiveGrant {
        service: req.service,
        lender: SocketAddr::from(([127, 0, 0, 1], 2)),
        grant: Some(grant),
    });
    assert_eq!(a.starts_of(ticket), 4);
    for (_, task) in a.started.clone() {
        a.end(task, done());
    }
    for effect in std::mem::take(&mut a.other) {
        if let Effect::Return(back) = effect {
            let (loan, slots) = (back.loan, back.slots);
            b.tell(Command::AcceptReturn { loan, slots });
        }
    }
    assert_eq!(b.dispatcher.load().free_slots, 2);
}
