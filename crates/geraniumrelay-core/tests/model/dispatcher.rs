//! The real claim table and dispatcher against the specification of tickets.
//!
//! The reference draws commands; what the dispatcher does is compared with what
//! [`Claim::say`](crate::tickets::Claim::say) allows in the state that its own effects led to.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use geraniumrelay_core::command::NotStartedCause;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::{TargetInfo, TaskKey};
use geraniumrelay_core::{
    Answer, Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, JobSpec, Origin,
    Reply, TaskOutcome, TaskSpec, Ticket, TicketKey, TicketMint, Verdict, Waiter,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::tickets::{Body, Claim, Said, Task};

/// Commands follow from it.
const SEED: u64 = 1;

/// Tickets that commands speak of.
const TICKETS: usize = 3;

/// Tasks of a job.
const TASKS: usize = 2;

/// Targets of the service, with one slot each, so that tasks also wait.
const TARGETS: u16 = 2;

/// Time from minting within which a ticket may be submitted first.
const TICKET_TTL: Duration = Duration::from_mins(5);

/// One command of the reference.
#[derive(Debug, Clone)]
pub enum Step {
    /// Submits a ticket with one of two bodies.
    Submit { ticket: usize, body: Body },
    /// Submits a ticket for a service that the sheet does not name.
    SubmitUnusable { ticket: usize },
    /// Cancels a ticket.
    Cancel { ticket: usize },
    /// Ends the running task that is `nth`, if there is one.
    EndTask { nth: usize, outcome: TaskOutcome },
    /// Ends a task a second time, as a late duplicate would.
    RepeatEnd,
    /// Lets time pass.
    Wait { time: Duration },
    /// Begins a graceful stop.
    Drain,
}

/// Draws commands; every sequence is allowed.
#[derive(Debug)]
pub struct Reference;

fn outcome() -> impl Strategy<Value = TaskOutcome> {
    let refused = |cause| Just(TaskOutcome::NotStarted { cause });
    prop_oneof![
        6 => Just(TaskOutcome::Completed { output: String::new() }),
        1 => Just(TaskOutcome::Failed),
        1 => Just(TaskOutcome::Unknown),
        1 => refused(NotStartedCause::Full),
        1 => refused(NotStartedCause::Unreachable),
        1 => refused(NotStartedCause::NotSent),
    ]
}

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let ticket = 0..TICKETS;
        let body = prop_oneof![4 => Just(Body::Own), 1 => Just(Body::Other)];
        let wait = prop_oneof![
            8 => (1..500_u64).prop_map(Duration::from_millis),
            1 => Just(Duration::from_mins(7)),
        ];
        prop_oneof![
            8 => (ticket.clone(), body).prop_map(|(ticket, body)| Step::Submit { ticket, body }),
            1 => ticket.clone().prop_map(|ticket| Step::SubmitUnusable { ticket }),
            2 => ticket.prop_map(|ticket| Step::Cancel { ticket }),
            8 => (0..4_usize, outcome()).prop_map(|(nth, outcome)| Step::EndTask { nth, outcome }),
            1 => Just(Step::RepeatEnd),
            3 => wait.prop_map(|time| Step::Wait { time }),
            1 => Just(Step::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// What the specification knows of one ticket, from the effects seen so far.
#[derive(Debug)]
struct Seen {
    ticket: Ticket,
    claim: Claim,
    is_running: [bool; TASKS],
    may_have_run: [bool; TASKS],
    was_told_not_run: bool,
    is_below_floor: bool,
}

/// The dispatcher with what was seen of it.
pub struct Driven {
    cfg: Config,
    now: Instant,
    dispatcher: Dispatcher,
    seen: Vec<Seen>,
    running: BTreeMap<usize, (TaskKey, usize, usize)>,
    next_start: usize,
    last_ended: Option<TaskKey>,
    waiters: BTreeMap<u64, (usize, Body)>,
    replied: BTreeSet<u64>,
    next_waiter: u64,
    /// Submission under decision whose ticket was fresh.
    submitting: Option<Waiter>,
    started: Instant,
}

impl Driven {
    fn new() -> Self {
        let mut cfg = Config::default();
        cfg.claims.ticket_ttl = TICKET_TTL;
        cfg.claims.low_watermark_margin = Duration::from_mins(1);
        let now = Instant::now();
        let identity = Identity {
            vm: "e1".parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(9),
        };
        let key = TicketKey([1; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let seen = (0..TICKETS).map(|_| Seen::new(mint.mint().unwrap()));
        let seen = seen.collect();
        let dispatcher = Dispatcher::new(&Context::new(now, &cfg), identity, mint);
        let mut driven = Self {
            cfg,
            now,
            dispatcher,
            seen,
            running: BTreeMap::new(),
            next_start: 0,
            last_ended: None,
            waiters: BTreeMap::new(),
            replied: BTreeSet::new(),
            next_waiter: 0,
            submitting: None,
            started: now,
        };
        driven.set_up();
        driven
    }

    fn set_up(&mut self) {
        let text = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                    idempotent,deadline_ms,state,team,team_share\n\
                    till,szeged,2,1,64,hold,urgent,no,5000,active,,\n";
        let sheet = parse_sheet(1, text).unwrap();
        self.handle(Command::ApplySheet(Arc::new(sheet)));
        let target = |n: u16| TargetInfo {
            vm: format!("t{n}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + n)),
            is_leaving: false,
        };
        self.handle(Command::UpdateTargets((0..TARGETS).map(target).collect()));
    }

    fn handle(&mut self, cmd: Command) {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, id, .. } => self.see_start(task, id.ticket, id.index),
                Effect::Reply { waiter, reply } => self.see_reply(waiter, reply),
                _ => {}
            }
        }
    }

    fn see_start(&mut self, key: TaskKey, ticket: Ticket, index: u32) {
        let n = self.seen.iter().position(|seen| seen.ticket == ticket);
        let n = n.expect("only tickets that were submitted start");
        let index = usize::try_from(index).unwrap();
        let seen = &mut self.seen[n];
        assert!(matches!(seen.claim, Claim::Active { .. }), "{seen:?}");
        assert!(!seen.is_running[index], "started while it runs: {seen:?}");
        assert!(!seen.may_have_run[index], "started again: {seen:?}");
        assert!(!seen.was_told_not_run, "untrue NotRun: {seen:?}");
        seen.is_running[index] = true;
        self.running.insert(self.next_start, (key, n, index));
        self.next_start += 1;
    }

    fn see_reply(&mut self, waiter: Waiter, reply: Reply) {
        assert!(self.replied.insert(waiter.0), "replied twice: {waiter}");
        let (n, body) = self.waiters[&waiter.0];
        let seen = &mut self.seen[n];
        let verdict = match reply {
            Reply::Progress(_) | Reply::HandOver(_) | Reply::Lent(_) => return,
            Reply::Rejected(rejection) => rejection.verdict,
            Reply::Answer { ticket, answer } => {
                assert_eq!(ticket, seen.ticket, "a foreign answer");
                assert_eq!(answer.tasks.len(), TASKS, "a partial answer");
                seen.see_answer(&answer, &expected(n, body));
                answer.verdict
            }
        };
        if verdict == Verdict::NotRun {
            assert_eq!(seen.may_have_run, [false; TASKS], "untrue NotRun: {seen:?}");
            assert_eq!(seen.is_running, [false; TASKS], "untrue NotRun: {seen:?}");
            seen.was_told_not_run = true;
            seen.claim = Claim::Spent;
        } else if self.submitting == Some(waiter) && seen.is_fresh() {
            let age = self.now.duration_since(self.started);
            assert!(
                age >= TICKET_TTL,
                "a fresh ticket was turned away: {seen:?}"
            );
            seen.is_below_floor = true;
            seen.claim = Claim::Unknown;
        }
    }

    fn submit(&mut self, n: usize, body: Body, service: &str) {
        let seen = &self.seen[n];
        let said = seen.claim.say(seen.is_below_floor, body, false);
        if said == Said::Fresh && service == "till" {
            let tasks = [Task::Queued; TASKS];
            self.seen[n].claim = Claim::Active { body, tasks };
        }
        let waiter = self.wait_for(n, body);
        self.submitting = (said == Said::Fresh).then_some(waiter);
        let tasks = expected(n, body).into_iter().map(|payload| TaskSpec {
            payload: payload.into(),
            expected_ms: None,
        });
        let job = JobSpec {
            service: service.parse().unwrap(),
            kind: "hold".parse().unwrap(),
            team: None,
            deadline_ms: None,
            tasks: tasks.collect(),
        };
        let digest = if body == Body::Own { 1 } else { 2 };
        self.handle(Command::Submit {
            ticket: self.seen[n].ticket,
            digest,
            job,
            waiter,
            origin: Origin::Caller,
        });
        self.submitting = None;
        let has_reply = self.replied.contains(&waiter.0);
        match said {
            Said::Join => assert!(!has_reply, "a joined job has no answer yet"),
            Said::Kept { .. } | Said::NotRun | Said::MayHaveRun => assert!(has_reply),
            Said::Fresh => {}
        }
    }

    fn wait_for(&mut self, n: usize, body: Body) -> Waiter {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        self.waiters.insert(waiter, (n, body));
        Waiter(waiter)
    }

    fn cancel(&mut self, n: usize) {
        let body = match self.seen[n].claim {
            Claim::Active { body, .. } | Claim::Ended { body, .. } => body,
            Claim::Unknown | Claim::AtOwner | Claim::Spent => Body::Own,
        };
        let waiter = self.wait_for(n, body);
        self.handle(Command::Cancel {
            ticket: self.seen[n].ticket,
            waiter,
            origin: Origin::Caller,
        });
        assert!(self.replied.contains(&waiter.0), "cancelled without reply");
    }

    fn end_task(&mut self, nth: usize, outcome: TaskOutcome) {
        let Some(start) = self.running.keys().nth(nth).copied() else {
            return;
        };
        let (task, n, index) = self.running.remove(&start).expect("it runs");
        let seen = &mut self.seen[n];
        seen.is_running[index] = false;
        seen.may_have_run[index] |= !matches!(outcome, TaskOutcome::NotStarted { .. });
        let outcome = match outcome {
            TaskOutcome::Completed { .. } => TaskOutcome::Completed {
                output: output_of(seen, n, index),
            },
            other => other,
        };
        self.last_ended = Some(task);
        self.handle(Command::EndTask { task, outcome });
    }

    fn repeat_end(&mut self) {
        let is_known = |key| self.running.values().any(|(running, _, _)| *running == key);
        if let Some(task) = self.last_ended.filter(|key| !is_known(*key)) {
            let outcome = TaskOutcome::Failed;
            self.handle(Command::EndTask { task, outcome });
        }
    }

    /// Every request whose job is no longer in flight has its reply.
    fn check_answered(&self) {
        for (waiter, (n, _)) in &self.waiters {
            let is_open = matches!(self.seen[*n].claim, Claim::Active { .. });
            assert!(is_open || self.replied.contains(waiter), "no reply");
        }
    }
}

impl Seen {
    fn new(ticket: Ticket) -> Self {
        Self {
            ticket,
            claim: Claim::Unknown,
            is_running: [false; TASKS],
            may_have_run: [false; TASKS],
            was_told_not_run: false,
            is_below_floor: false,
        }
    }

    /// Whether nothing of a job that was just claimed has started.
    fn is_fresh(&self) -> bool {
        let untouched = [false; TASKS];
        matches!(self.claim, Claim::Active { .. })
            && self.is_running == untouched
            && self.may_have_run == untouched
    }

    fn see_answer(&mut self, answer: &Answer, expected: &[String]) {
        let is_complete = answer.is_complete();
        if is_complete {
            let outputs = answer.tasks.iter().map(|task| &task.output);
            assert!(outputs.eq(expected), "not the caller's answer: {answer:?}");
        }
        if let Claim::Active { body, .. } = self.claim {
            self.claim = Claim::Ended { body, is_complete };
        }
    }
}

fn expected(n: usize, body: Body) -> Vec<String> {
    (0..TASKS).map(|i| format!("{n}-{body:?}-{i}")).collect()
}

fn output_of(seen: &Seen, n: usize, index: usize) -> String {
    match seen.claim {
        Claim::Active { body, .. } => expected(n, body).swap_remove(index),
        _ => String::new(),
    }
}

/// Drives the dispatcher.
#[derive(Debug)]
pub struct DispatcherTest;

impl StateMachineTest for DispatcherTest {
    type SystemUnderTest = Driven;
    type Reference = Reference;

    fn init_test((): &()) -> Driven {
        Driven::new()
    }

    fn apply(mut driven: Driven, (): &(), step: Step) -> Driven {
        match step {
            Step::Submit { ticket, body } => driven.submit(ticket, body, "till"),
            Step::SubmitUnusable { ticket } => driven.submit(ticket, Body::Other, "no-such"),
            Step::Cancel { ticket } => driven.cancel(ticket),
            Step::EndTask { nth, outcome } => driven.end_task(nth, outcome),
            Step::RepeatEnd => driven.repeat_end(),
            Step::Wait { time } => {
                driven.now += time;
                driven.handle(Command::Tick);
            }
            Step::Drain => driven.handle(Command::Drain),
        }
        driven
    }

    fn check_invariants(driven: &Driven, (): &()) {
        driven.check_answered();
    }
}

prop_state_machine! {
    #![proptest_config(ProptestConfig {
        cases: 1_024,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_dispatcher_follows_the_specification(sequential 1..80 => DispatcherTest);
}
