//! Property test of the claim table and the dispatcher against the specification of tickets.
//!
//! Random commands drive the dispatcher. Its effects are compared with the decision of
//! [`Claim::decide`](crate::tickets::Claim::decide) in the state that earlier effects led to.

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

use crate::tickets::{Body, Claim, Decision, Task};

/// Seed of the generated commands.
const SEED: u64 = 1;

/// Number of tickets that commands refer to.
const TICKET_COUNT: usize = 3;

/// Number of tasks of a job.
const TASK_COUNT: usize = 2;

/// Number of targets of the service, with one slot each, so that tasks are also queued.
const TARGET_COUNT: u16 = 2;

/// Time from minting within which a ticket may be submitted first.
const TICKET_TTL: Duration = Duration::from_mins(5);

/// One generated command.
#[derive(Debug, Clone)]
pub enum Step {
    /// Submits a ticket with one of two bodies.
    Submit { ticket: usize, body: Body },
    /// Submits a ticket for a service that the sheet does not name.
    SubmitUnusable { ticket: usize },
    /// Cancels a ticket.
    Cancel { ticket: usize },
    /// Ends the running task at position `nth` in start order, if there is one.
    EndTask { nth: usize, outcome: TaskOutcome },
    /// Repeats the end of the last ended task, as a late duplicate message does.
    DuplicateEnd,
    /// Advances the time and sends a tick.
    AdvanceTime { time: Duration },
    /// Begins a graceful stop.
    Drain,
}

/// Generates commands; every sequence is allowed.
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
        let ticket = 0..TICKET_COUNT;
        let body = prop_oneof![4 => Just(Body::Own), 1 => Just(Body::Other)];
        let time_step = prop_oneof![
            8 => (1..500_u64).prop_map(Duration::from_millis),
            1 => Just(Duration::from_mins(7)),
        ];
        prop_oneof![
            8 => (ticket.clone(), body).prop_map(|(ticket, body)| Step::Submit { ticket, body }),
            1 => ticket.clone().prop_map(|ticket| Step::SubmitUnusable { ticket }),
            2 => ticket.prop_map(|ticket| Step::Cancel { ticket }),
            8 => (0..4_usize, outcome()).prop_map(|(nth, outcome)| Step::EndTask { nth, outcome }),
            1 => Just(Step::DuplicateEnd),
            3 => time_step.prop_map(|time| Step::AdvanceTime { time }),
            1 => Just(Step::Drain),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// State of one ticket in the specification, derived from the observed effects.
#[derive(Debug)]
struct Observed {
    ticket: Ticket,
    claim: Claim,
    is_running: [bool; TASK_COUNT],
    may_have_run: [bool; TASK_COUNT],
    was_reported_not_run: bool,
    is_below_low_watermark: bool,
}

/// The dispatcher and the record of its effects.
pub struct Harness {
    cfg: Config,
    now: Instant,
    dispatcher: Dispatcher,
    observed: Vec<Observed>,
    running: BTreeMap<usize, (TaskKey, usize, usize)>,
    next_start: usize,
    last_ended: Option<TaskKey>,
    waiters: BTreeMap<u64, (usize, Body)>,
    replied: BTreeSet<u64>,
    next_waiter: u64,
    /// Waiter of the submission in progress; `None` unless the specification decided it as fresh.
    submitting: Option<Waiter>,
    started_at: Instant,
}

impl Harness {
    fn new() -> Self {
        let mut cfg = Config::default();
        cfg.claim_table.ticket_ttl = TICKET_TTL;
        cfg.claim_table.low_watermark_margin = Duration::from_mins(1);
        let now = Instant::now();
        let identity = Identity {
            vm: "e1".parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Incarnation(9),
        };
        let key = TicketKey([1; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let observed = (0..TICKET_COUNT).map(|_| Observed::new(mint.mint().unwrap()));
        let observed = observed.collect();
        let dispatcher = Dispatcher::new(&Context::new(now, &cfg), identity, mint);
        let mut harness = Self {
            cfg,
            now,
            dispatcher,
            observed,
            running: BTreeMap::new(),
            next_start: 0,
            last_ended: None,
            waiters: BTreeMap::new(),
            replied: BTreeSet::new(),
            next_waiter: 0,
            submitting: None,
            started_at: now,
        };
        harness.set_up();
        harness
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
        self.handle(Command::UpdateTargets(
            (0..TARGET_COUNT).map(target).collect(),
        ));
    }

    fn handle(&mut self, cmd: Command) {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, id, .. } => self.record_start(task, id.ticket, id.index),
                Effect::Reply { waiter, reply } => self.record_reply(waiter, reply),
                _ => {}
            }
        }
    }

    fn record_start(&mut self, key: TaskKey, ticket: Ticket, index: u32) {
        let n = self
            .observed
            .iter()
            .position(|observed| observed.ticket == ticket);
        let n = n.expect("a started ticket belongs to this test");
        let index = usize::try_from(index).unwrap();
        let observed = &mut self.observed[n];
        assert!(
            matches!(observed.claim, Claim::Active { .. }),
            "{observed:?}"
        );
        assert!(
            !observed.is_running[index],
            "task started while it runs: {observed:?}"
        );
        assert!(
            !observed.may_have_run[index],
            "task started again: {observed:?}"
        );
        assert!(
            !observed.was_reported_not_run,
            "wrong NotRun verdict: {observed:?}"
        );
        observed.is_running[index] = true;
        self.running.insert(self.next_start, (key, n, index));
        self.next_start += 1;
    }

    fn record_reply(&mut self, waiter: Waiter, reply: Reply) {
        assert!(
            self.replied.insert(waiter.0),
            "second reply to one request: {waiter}"
        );
        let (n, body) = self.waiters[&waiter.0];
        let observed = &mut self.observed[n];
        let verdict = match reply {
            Reply::Progress(_) | Reply::HandOver(_) | Reply::Lent(_) => return,
            Reply::Rejected(rejection) => rejection.verdict,
            Reply::Answer { ticket, answer } => {
                assert_eq!(ticket, observed.ticket, "answer for another ticket");
                assert_eq!(answer.tasks.len(), TASK_COUNT, "answer without all tasks");
                observed.record_answer(&answer, &expected_outputs(n, body));
                answer.verdict
            }
        };
        if verdict == Verdict::NotRun {
            assert_eq!(
                observed.may_have_run, [false; TASK_COUNT],
                "wrong NotRun verdict: {observed:?}"
            );
            assert_eq!(
                observed.is_running, [false; TASK_COUNT],
                "wrong NotRun verdict: {observed:?}"
            );
            observed.was_reported_not_run = true;
            observed.claim = Claim::NotRun;
        } else if self.submitting == Some(waiter) && observed.is_fresh() {
            let age = self.now.duration_since(self.started_at);
            assert!(age >= TICKET_TTL, "fresh ticket was rejected: {observed:?}");
            observed.is_below_low_watermark = true;
            observed.claim = Claim::Unknown;
        }
    }

    fn submit(&mut self, n: usize, body: Body, service: &str) {
        let observed = &self.observed[n];
        let decision = observed
            .claim
            .decide(observed.is_below_low_watermark, body, false);
        if decision == Decision::Fresh && service == "till" {
            let tasks = [Task::Queued; TASK_COUNT];
            self.observed[n].claim = Claim::Active { body, tasks };
        }
        let waiter = self.add_waiter(n, body);
        self.submitting = (decision == Decision::Fresh).then_some(waiter);
        let tasks = expected_outputs(n, body)
            .into_iter()
            .map(|payload| TaskSpec {
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
            ticket: self.observed[n].ticket,
            digest,
            job,
            waiter,
            origin: Origin::Caller,
        });
        self.submitting = None;
        let has_reply = self.replied.contains(&waiter.0);
        match decision {
            Decision::Join => assert!(!has_reply, "a submission that joins a job has no reply yet"),
            Decision::Answered { .. } | Decision::NotRun | Decision::MayHaveRun => {
                assert!(has_reply);
            }
            Decision::Fresh => {}
        }
    }

    fn add_waiter(&mut self, n: usize, body: Body) -> Waiter {
        let waiter = self.next_waiter;
        self.next_waiter += 1;
        self.waiters.insert(waiter, (n, body));
        Waiter(waiter)
    }

    fn cancel(&mut self, n: usize) {
        let body = match self.observed[n].claim {
            Claim::Active { body, .. } | Claim::Ended { body, .. } => body,
            Claim::Unknown | Claim::AtOwner | Claim::NotRun => Body::Own,
        };
        let waiter = self.add_waiter(n, body);
        self.handle(Command::Cancel {
            ticket: self.observed[n].ticket,
            waiter,
            origin: Origin::Caller,
        });
        assert!(
            self.replied.contains(&waiter.0),
            "cancellation without a reply"
        );
    }

    fn end_task(&mut self, nth: usize, outcome: TaskOutcome) {
        let Some(start) = self.running.keys().nth(nth).copied() else {
            return;
        };
        let (task, n, index) = self.running.remove(&start).expect("the task runs");
        let observed = &mut self.observed[n];
        observed.is_running[index] = false;
        observed.may_have_run[index] |= !matches!(outcome, TaskOutcome::NotStarted { .. });
        let outcome = match outcome {
            TaskOutcome::Completed { .. } => TaskOutcome::Completed {
                output: output_of(observed, n, index),
            },
            other => other,
        };
        self.last_ended = Some(task);
        self.handle(Command::EndTask { task, outcome });
    }

    fn duplicate_end(&mut self) {
        let has_key = |key| self.running.values().any(|(running, _, _)| *running == key);
        if let Some(task) = self.last_ended.filter(|key| !has_key(*key)) {
            let outcome = TaskOutcome::Failed;
            self.handle(Command::EndTask { task, outcome });
        }
    }

    /// Asserts that every request has its reply, except while its job is in flight.
    fn assert_all_replied(&self) {
        for (waiter, (n, _)) in &self.waiters {
            let is_in_flight = matches!(self.observed[*n].claim, Claim::Active { .. });
            assert!(
                is_in_flight || self.replied.contains(waiter),
                "request without a reply"
            );
        }
    }
}

impl Observed {
    fn new(ticket: Ticket) -> Self {
        Self {
            ticket,
            claim: Claim::Unknown,
            is_running: [false; TASK_COUNT],
            may_have_run: [false; TASK_COUNT],
            was_reported_not_run: false,
            is_below_low_watermark: false,
        }
    }

    /// Whether the ticket is claimed and no task of its job has started.
    fn is_fresh(&self) -> bool {
        let no_task = [false; TASK_COUNT];
        matches!(self.claim, Claim::Active { .. })
            && self.is_running == no_task
            && self.may_have_run == no_task
    }

    fn record_answer(&mut self, answer: &Answer, expected_outputs: &[String]) {
        let is_complete = answer.is_complete();
        if is_complete {
            let outputs = answer.tasks.iter().map(|task| &task.output);
            assert!(
                outputs.eq(expected_outputs),
                "answer has outputs of another body: {answer:?}"
            );
        }
        if let Claim::Active { body, .. } = self.claim {
            self.claim = Claim::Ended { body, is_complete };
        }
    }
}

fn expected_outputs(n: usize, body: Body) -> Vec<String> {
    (0..TASK_COUNT)
        .map(|i| format!("{n}-{body:?}-{i}"))
        .collect()
}

fn output_of(observed: &Observed, n: usize, index: usize) -> String {
    match observed.claim {
        Claim::Active { body, .. } => expected_outputs(n, body).swap_remove(index),
        _ => String::new(),
    }
}

/// Applies the generated commands to the dispatcher.
#[derive(Debug)]
pub struct DispatcherTest;

impl StateMachineTest for DispatcherTest {
    type SystemUnderTest = Harness;
    type Reference = Reference;

    fn init_test((): &()) -> Harness {
        Harness::new()
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Submit { ticket, body } => harness.submit(ticket, body, "till"),
            Step::SubmitUnusable { ticket } => harness.submit(ticket, Body::Other, "no-such"),
            Step::Cancel { ticket } => harness.cancel(ticket),
            Step::EndTask { nth, outcome } => harness.end_task(nth, outcome),
            Step::DuplicateEnd => harness.duplicate_end(),
            Step::AdvanceTime { time } => {
                harness.now += time;
                harness.handle(Command::Tick);
            }
            Step::Drain => harness.handle(Command::Drain),
        }
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        harness.assert_all_replied();
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
    fn dispatcher_follows_the_specification(sequential 1..80 => DispatcherTest);
}
