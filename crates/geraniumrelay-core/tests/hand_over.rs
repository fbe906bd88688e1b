//! Graceful stops between dispatchers in virtual time: who may start a ticket, and what is said.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_core::command::TaskSpec;
use geraniumrelay_core::modules::handover::{HandOverMessage, HandOverReply};
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::{TargetInfo, TaskKey};
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, JobSpec, Origin, PeerCall,
    Reason, Reply, TaskOutcome, Ticket, TicketKey, TicketMint, Verdict, Waiter,
};

const SHEET: &str = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                     idempotent,deadline_ms,state,team,team_share\n\
                     till,szeged,2,8,64,hold,urgent,no,60000,active,,\n";

/// Hash of the body of every submission here.
const DIGEST: u128 = 1;

/// Targets: enough for each process to be the home of some, as none lends here.
const TARGETS: usize = 12;

/// Position of the first target's address.
const FIRST_TARGET: usize = 900;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::try_from(n).unwrap()))
}

fn job() -> JobSpec {
    let task = TaskSpec {
        payload: "x".into(),
        expected_ms: None,
    };
    JobSpec {
        service: "till".parse().unwrap(),
        kind: "hold".parse().unwrap(),
        team: None,
        deadline_ms: None,
        tasks: vec![task],
    }
}

/// One process with everything that it asked its host to do.
struct Process {
    dispatcher: Dispatcher,
    mint: TicketMint,
    started: Vec<TaskKey>,
    replies: VecDeque<Reply>,
    forwards: VecDeque<(SocketAddr, PeerCall)>,
    sent: VecDeque<Arc<HandOverMessage>>,
    is_drained: bool,
}

/// Processes of one data centre that have heard each other; process `n` is incarnation `n + 1`.
struct World {
    now: Instant,
    cfg: Config,
    processes: Vec<Process>,
}

impl World {
    fn new(count: usize) -> Self {
        Self::with_config(count, Config::default())
    }

    fn with_config(count: usize, cfg: Config) -> Self {
        let mut world = Self {
            now: Instant::now(),
            cfg,
            processes: Vec::new(),
        };
        for n in 0..count {
            world.add(n, u8::try_from(n).unwrap() + 1);
        }
        world.gossip();
        world
    }

    fn add(&mut self, n: usize, incarnation: u8) {
        let identity = Identity {
            vm: format!("e{n}").parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: address(n),
            incarnation: Incarnation(incarnation.into()),
        };
        let key = TicketKey([incarnation; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let cx = Context::new(self.now, &self.cfg);
        self.processes.push(Process {
            dispatcher: Dispatcher::new(&cx, identity, mint.clone()),
            mint,
            started: Vec::new(),
            replies: VecDeque::new(),
            forwards: VecDeque::new(),
            sent: VecDeque::new(),
            is_drained: false,
        });
        let at = self.processes.len() - 1;
        let sheet = parse_sheet(1, SHEET).unwrap();
        self.tell(at, Command::ApplySheet(Arc::new(sheet)));
        let targets = (0..TARGETS).map(|target| TargetInfo {
            vm: format!("t{target}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: address(FIRST_TARGET + target),
            is_leaving: false,
        });
        self.tell(at, Command::UpdateTargets(targets.collect()));
    }

    fn gossip(&mut self) {
        let processes = self.processes.iter();
        let status: Vec<_> = processes.map(|p| p.dispatcher.own_status()).collect();
        for at in 0..self.processes.len() {
            for (from, status) in status.iter().enumerate() {
                if from != at {
                    self.tell(at, Command::RecordHeartbeat(status.clone()));
                }
            }
        }
    }

    fn tell(&mut self, at: usize, cmd: Command) {
        let cx = Context::new(self.now, &self.cfg);
        let process = &mut self.processes[at];
        let mut out = Vec::new();
        process.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, .. } => process.started.push(task),
                Effect::Reply { reply, .. } => process.replies.push_back(reply),
                Effect::Forward { address, call, .. } => {
                    process.forwards.push_back((address, call));
                }
                Effect::HandOver { message, .. } => process.sent.push_back(message),
                Effect::Drained => process.is_drained = true,
                _ => {}
            }
        }
    }

    fn tick(&mut self, at: usize, after: Duration) {
        self.now += after;
        self.tell(at, Command::Tick);
    }

    fn ticket(&self, at: usize) -> Ticket {
        self.processes[at].mint.mint().unwrap()
    }

    fn submit(&mut self, at: usize, ticket: Ticket) {
        let cmd = Command::Submit {
            ticket,
            digest: DIGEST,
            job: job(),
            waiter: Waiter(0),
            origin: Origin::Peer,
        };
        self.tell(at, cmd);
    }

    fn starts(&self, at: usize) -> usize {
        self.processes[at].started.len()
    }

    fn held(&self, at: usize) -> Vec<Incarnation> {
        self.processes[at].dispatcher.own_status().held
    }

    fn assert_answered(&mut self, at: usize) {
        let reply = self.processes[at].replies.pop_front();
        assert_matches!(reply, Some(Reply::Answer { answer, .. }) if answer.is_complete());
    }

    fn assert_refused(&mut self, at: usize, verdict: Verdict, reason: Reason) {
        let reply = self.processes[at].replies.pop_front();
        assert_matches!(
            reply,
            Some(Reply::Rejected(told)) if (told.verdict, told.reason) == (verdict, reason)
        );
    }

    fn assert_passed(&mut self, at: usize, to: usize, ticket: Ticket) {
        let (peer, call) = self.processes[at].forwards.pop_front().expect("a forward");
        assert_eq!((peer, call.ticket()), (address(to), ticket));
    }

    /// Delivers one message of `from` to `to` and returns the reply without delivering it.
    fn deliver(&mut self, from: usize, to: usize) -> (Arc<HandOverMessage>, HandOverReply) {
        let message = self.processes[from].sent.pop_front().expect("a message");
        let cmd = Command::ReceiveHandOver {
            message: message.as_ref().clone(),
            waiter: Waiter(0),
        };
        self.tell(to, cmd);
        let reply = self.processes[to].replies.pop_back();
        assert_matches!(reply, Some(Reply::HandOver(reply)) => (message, reply))
    }

    fn acknowledge(&mut self, at: usize, message: &HandOverMessage, reply: HandOverReply) {
        let cmd = Command::ReceiveHandOverReply {
            owner: message.owner,
            number: message.number,
            reply,
        };
        self.tell(at, cmd);
    }

    /// Carries the hand-over on until nothing more is sent.
    fn hand_over(&mut self, from: usize, to: usize) {
        while !self.processes[from].sent.is_empty() {
            let (message, reply) = self.deliver(from, to);
            assert_eq!(reply, HandOverReply::Taken);
            self.acknowledge(from, &message, reply);
        }
    }

    fn end_task(&mut self, at: usize) {
        let task = self.processes[at].started.pop().expect("a start");
        let outcome = TaskOutcome::Completed {
            output: "done".to_owned(),
        };
        self.tell(at, Command::EndTask { task, outcome });
    }
}

/// Position of the process that a message names as heir.
fn successor_of(message: &HandOverMessage) -> usize {
    usize::try_from(message.successor.0).unwrap() - 1
}

#[test]
fn the_heir_starts_what_the_owner_had_not_and_nothing_else() {
    let mut world = World::new(2);
    let (answered, running, fresh) = (world.ticket(0), world.ticket(0), world.ticket(0));
    world.submit(0, answered);
    world.end_task(0);
    world.assert_answered(0);
    world.submit(0, running);
    world.tell(0, Command::Drain);
    world.hand_over(0, 1);

    world.submit(1, answered);
    world.assert_answered(1);
    world.submit(1, running);
    world.assert_passed(1, 0, running);
    assert_eq!(world.starts(1), 0);
    world.submit(1, fresh);
    assert_eq!(world.starts(1), 1);
    assert!(!world.processes[0].is_drained, "its job still runs");

    world.end_task(0);
    world.tick(0, Duration::ZERO);
    assert!(!world.processes[0].is_drained, "the heir lacks its answer");
    world.hand_over(0, 1);
    world.tick(0, Duration::ZERO);
    assert!(world.processes[0].is_drained);
    world.submit(1, running);
    world.assert_answered(1);
    assert_eq!(world.starts(1), 1);
}

#[test]
fn a_fresh_ticket_at_the_leaving_owner_waits_and_goes_to_the_heir() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    world.submit(0, ticket);
    assert!(world.processes[0].forwards.is_empty());
    world.hand_over(0, 1);
    world.assert_passed(0, 1, ticket);
    world.submit(0, ticket);
    world.assert_passed(0, 1, ticket);
    assert_eq!(world.starts(0), 0);
}

#[test]
fn a_lost_acknowledgement_is_repeated_to_the_same_heir_and_changes_nothing() {
    let mut world = World::new(3);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    let message = Arc::clone(&world.processes[0].sent[0]);
    let successor = successor_of(&message);
    let (_, reply) = world.deliver(0, successor);
    assert_eq!(reply, HandOverReply::Taken);
    world.submit(successor, ticket);
    assert_eq!(world.starts(successor), 1);

    world.tick(0, world.cfg.handover.resend_after);
    let (again, reply) = world.deliver(0, successor);
    assert_eq!((again, reply), (message, HandOverReply::Taken));
    world.submit(successor, ticket);
    assert_eq!(world.starts(successor), 1, "it joins");
}

#[test]
fn a_request_is_not_kept_waiting_for_an_heir_that_says_nothing() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    world.submit(0, ticket);
    world.tick(0, world.cfg.handover.max_deferral);
    world.assert_refused(0, Verdict::MayHaveRun, Reason::OwnerUnreachable);
    world.tick(0, world.cfg.handover.ack_timeout);
    assert!(world.processes[0].is_drained);
}

#[test]
fn a_restarted_heir_takes_nothing_and_the_authority_ends() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    world.processes.truncate(1);
    world.add(1, 9);
    let (message, reply) = world.deliver(0, 1);
    assert_eq!(reply, HandOverReply::NotTaken);
    world.acknowledge(0, &message, reply);
    world.submit(0, ticket);
    world.assert_refused(0, Verdict::MayHaveRun, Reason::OwnerGone);
    assert!(world.processes[0].sent.is_empty(), "no second heir");
}

#[test]
fn an_heir_that_stops_too_refuses_and_the_tickets_are_spent() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    world.tell(1, Command::Drain);
    let (message, reply) = world.deliver(0, 1);
    assert_eq!(reply, HandOverReply::Refused);
    world.acknowledge(0, &message, reply);
    for _ in 0..2 {
        world.submit(0, ticket);
        world.assert_refused(0, Verdict::NotRun, Reason::VmLeaving);
    }
}

#[test]
fn without_an_heir_fresh_tickets_are_refused_for_ever() {
    let mut world = World::new(1);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    for _ in 0..2 {
        world.submit(0, ticket);
        world.assert_refused(0, Verdict::NotRun, Reason::VmLeaving);
    }
    assert!(world.processes[0].is_drained);
}

#[test]
fn a_killed_drain_leaves_what_ran_there_as_may_have_run() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.submit(0, ticket);
    world.tell(0, Command::Drain);
    world.hand_over(0, 1);
    world.now += world.cfg.membership.heartbeat_timeout;
    world.submit(1, ticket);
    world.assert_refused(1, Verdict::MayHaveRun, Reason::OwnerUnreachable);
    assert_eq!(world.starts(1), 0);
}

#[test]
fn a_chain_of_stops_keeps_one_authority_and_brings_answers_through() {
    let mut world = World::new(3);
    let (running, fresh) = (world.ticket(0), world.ticket(0));
    world.submit(0, running);
    world.tell(0, Command::Drain);
    let first = successor_of(&world.processes[0].sent[0]);
    let second = 3 - first;
    world.hand_over(0, first);
    world.gossip();

    world.tell(first, Command::Drain);
    world.hand_over(first, second);
    world.gossip();
    world.tick(first, Duration::ZERO);
    assert!(
        !world.processes[first].is_drained,
        "an answer is on its way"
    );
    world.submit(first, fresh);
    world.assert_passed(first, second, fresh);
    world.submit(second, fresh);
    assert_eq!((world.starts(first), world.starts(second)), (0, 1));

    world.end_task(0);
    world.tick(0, Duration::ZERO);
    world.hand_over(0, first);
    world.tick(first, Duration::ZERO);
    world.hand_over(first, second);
    world.tick(first, Duration::ZERO);
    assert!(world.processes[first].is_drained);
    world.submit(second, running);
    world.assert_answered(second);
}

#[test]
fn a_large_table_goes_in_bounded_messages_and_the_last_gives_the_authority() {
    let mut cfg = Config::default();
    cfg.handover.max_claims = 10;
    cfg.admission.max_tasks_per_job = 0;
    let mut world = World::with_config(2, cfg);
    let tickets: Vec<_> = (0..35).map(|_| world.ticket(0)).collect();
    for ticket in &tickets {
        world.submit(0, *ticket);
        world.assert_refused(0, Verdict::NotRun, Reason::TooManyTasks);
    }
    world.tell(0, Command::Drain);
    for _ in 0..4 {
        assert!(world.held(1).is_empty());
        let (message, reply) = world.deliver(0, 1);
        assert!(message.claims.len() <= 10);
        world.acknowledge(0, &message, reply);
    }
    assert_eq!(world.held(1), [Incarnation(1)]);
    world.submit(1, tickets[34]);
    world.assert_refused(1, Verdict::NotRun, Reason::TooManyTasks);
}

#[test]
fn a_table_taken_over_ends_and_a_late_copy_is_not_taken_again() {
    let mut world = World::new(2);
    let ticket = world.ticket(0);
    world.tell(0, Command::Drain);
    let late = Arc::clone(&world.processes[0].sent[0]);
    world.hand_over(0, 1);
    let keep = world.cfg.claims.ticket_ttl + world.cfg.claims.low_watermark_margin;
    world.tick(1, keep);
    assert!(world.held(1).is_empty());
    world.processes[0].sent.push_back(late);
    let (_, reply) = world.deliver(0, 1);
    assert_eq!(reply, HandOverReply::NotTaken);
    world.submit(1, ticket);
    assert_eq!(world.starts(1), 0);
}
