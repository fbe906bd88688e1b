//! Graceful stops of dispatchers in virtual time: which process may start a ticket, and which reply
//! a request gets.

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

/// Body digest of every submission.
const BODY_DIGEST: u128 = 1;

/// Number of targets: enough that each process is the assigned entry VM of at least one, because
/// the processes lend no slots.
const TARGET_COUNT: usize = 12;

/// Argument of [`address`] for the first target.
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

/// One process and the effects recorded from its dispatcher.
struct Process {
    dispatcher: Dispatcher,
    mint: TicketMint,
    started: Vec<TaskKey>,
    replies: VecDeque<Reply>,
    forwards: VecDeque<(SocketAddr, PeerCall)>,
    sent_messages: VecDeque<Arc<HandOverMessage>>,
    is_drained: bool,
}

/// Processes of one data centre, each of which has received the heartbeats of the others; process
/// `n` is incarnation `n + 1`.
struct Cluster {
    now: Instant,
    cfg: Config,
    processes: Vec<Process>,
}

impl Cluster {
    fn new(count: usize) -> Self {
        Self::with_config(count, Config::default())
    }

    fn with_config(count: usize, cfg: Config) -> Self {
        let mut cluster = Self {
            now: Instant::now(),
            cfg,
            processes: Vec::new(),
        };
        for n in 0..count {
            cluster.add_process(n, u8::try_from(n).unwrap() + 1);
        }
        cluster.exchange_heartbeats();
        cluster
    }

    fn add_process(&mut self, n: usize, incarnation: u8) {
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
            sent_messages: VecDeque::new(),
            is_drained: false,
        });
        let index = self.processes.len() - 1;
        let sheet = parse_sheet(1, SHEET).unwrap();
        self.handle(index, Command::ApplySheet(Arc::new(sheet)));
        let targets = (0..TARGET_COUNT).map(|target| TargetInfo {
            vm: format!("t{target}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: address(FIRST_TARGET + target),
            is_leaving: false,
        });
        self.handle(index, Command::UpdateTargets(targets.collect()));
    }

    fn exchange_heartbeats(&mut self) {
        let processes = self.processes.iter();
        let status: Vec<_> = processes.map(|p| p.dispatcher.own_status()).collect();
        for index in 0..self.processes.len() {
            for (from, status) in status.iter().enumerate() {
                if from != index {
                    self.handle(index, Command::RecordHeartbeat(status.clone()));
                }
            }
        }
    }

    fn handle(&mut self, index: usize, cmd: Command) {
        let cx = Context::new(self.now, &self.cfg);
        let process = &mut self.processes[index];
        let mut out = Vec::new();
        process.dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            match effect {
                Effect::Start { task, .. } => process.started.push(task),
                Effect::Reply { reply, .. } => process.replies.push_back(reply),
                Effect::Forward { address, call, .. } => {
                    process.forwards.push_back((address, call));
                }
                Effect::HandOver { message, .. } => process.sent_messages.push_back(message),
                Effect::Drained => process.is_drained = true,
                _ => {}
            }
        }
    }

    fn advance(&mut self, index: usize, time: Duration) {
        self.now += time;
        self.handle(index, Command::Tick);
    }

    fn mint_ticket(&self, index: usize) -> Ticket {
        self.processes[index].mint.mint().unwrap()
    }

    fn submit(&mut self, index: usize, ticket: Ticket) {
        let cmd = Command::Submit {
            ticket,
            digest: BODY_DIGEST,
            job: job(),
            waiter: Waiter(0),
            origin: Origin::Peer,
        };
        self.handle(index, cmd);
    }

    fn start_count(&self, index: usize) -> usize {
        self.processes[index].started.len()
    }

    fn held_incarnations(&self, index: usize) -> Vec<Incarnation> {
        self.processes[index].dispatcher.own_status().held
    }

    fn assert_answered(&mut self, index: usize) {
        let reply = self.processes[index].replies.pop_front();
        assert_matches!(reply, Some(Reply::Answer { answer, .. }) if answer.is_complete());
    }

    fn assert_refused(&mut self, index: usize, verdict: Verdict, reason: Reason) {
        let reply = self.processes[index].replies.pop_front();
        assert_matches!(
            reply,
            Some(Reply::Rejected(rejection))
                if (rejection.verdict, rejection.reason) == (verdict, reason)
        );
    }

    fn assert_forwarded(&mut self, index: usize, to: usize, ticket: Ticket) {
        let (peer, call) = self.processes[index]
            .forwards
            .pop_front()
            .expect("a forwarded call");
        assert_eq!((peer, call.ticket()), (address(to), ticket));
    }

    /// Delivers one message of `from` to `to` and returns the reply without delivering it.
    fn deliver(&mut self, from: usize, to: usize) -> (Arc<HandOverMessage>, HandOverReply) {
        let message = self.processes[from]
            .sent_messages
            .pop_front()
            .expect("a hand-over message");
        let cmd = Command::ReceiveHandOver {
            message: message.as_ref().clone(),
            waiter: Waiter(0),
        };
        self.handle(to, cmd);
        let reply = self.processes[to].replies.pop_back();
        assert_matches!(reply, Some(Reply::HandOver(reply)) => (message, reply))
    }

    fn acknowledge(&mut self, index: usize, message: &HandOverMessage, reply: HandOverReply) {
        let cmd = Command::ReceiveHandOverReply {
            owner: message.owner,
            number: message.number,
            reply,
        };
        self.handle(index, cmd);
    }

    /// Delivers and acknowledges messages until the sender has none left.
    fn hand_over(&mut self, from: usize, to: usize) {
        while !self.processes[from].sent_messages.is_empty() {
            let (message, reply) = self.deliver(from, to);
            assert_eq!(reply, HandOverReply::Taken);
            self.acknowledge(from, &message, reply);
        }
    }

    fn complete_task(&mut self, index: usize) {
        let task = self.processes[index].started.pop().expect("a started task");
        let outcome = TaskOutcome::Completed {
            output: "done".to_owned(),
        };
        self.handle(index, Command::EndTask { task, outcome });
    }
}

/// Index of the process that a message names as successor.
fn successor_of(message: &HandOverMessage) -> usize {
    usize::try_from(message.successor.0).unwrap() - 1
}

#[test]
fn successor_starts_only_jobs_that_the_owner_has_not_started() {
    let mut cluster = Cluster::new(2);
    let (answered, running, fresh) = (
        cluster.mint_ticket(0),
        cluster.mint_ticket(0),
        cluster.mint_ticket(0),
    );
    cluster.submit(0, answered);
    cluster.complete_task(0);
    cluster.assert_answered(0);
    cluster.submit(0, running);
    cluster.handle(0, Command::Drain);
    cluster.hand_over(0, 1);

    cluster.submit(1, answered);
    cluster.assert_answered(1);
    cluster.submit(1, running);
    cluster.assert_forwarded(1, 0, running);
    assert_eq!(cluster.start_count(1), 0);
    cluster.submit(1, fresh);
    assert_eq!(cluster.start_count(1), 1);
    assert!(
        !cluster.processes[0].is_drained,
        "a job of the owner still runs"
    );

    cluster.complete_task(0);
    cluster.advance(0, Duration::ZERO);
    assert!(
        !cluster.processes[0].is_drained,
        "the successor has not received the answer"
    );
    cluster.hand_over(0, 1);
    cluster.advance(0, Duration::ZERO);
    assert!(cluster.processes[0].is_drained);
    cluster.submit(1, running);
    cluster.assert_answered(1);
    assert_eq!(cluster.start_count(1), 1);
}

#[test]
fn fresh_ticket_at_a_draining_owner_waits_and_is_forwarded_to_the_successor() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    cluster.submit(0, ticket);
    assert!(cluster.processes[0].forwards.is_empty());
    cluster.hand_over(0, 1);
    cluster.assert_forwarded(0, 1, ticket);
    cluster.submit(0, ticket);
    cluster.assert_forwarded(0, 1, ticket);
    assert_eq!(cluster.start_count(0), 0);
}

#[test]
fn message_without_acknowledgement_is_resent_to_the_same_successor_without_effect() {
    let mut cluster = Cluster::new(3);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    let message = Arc::clone(&cluster.processes[0].sent_messages[0]);
    let successor = successor_of(&message);
    let (_, reply) = cluster.deliver(0, successor);
    assert_eq!(reply, HandOverReply::Taken);
    cluster.submit(successor, ticket);
    assert_eq!(cluster.start_count(successor), 1);

    cluster.advance(0, cluster.cfg.handover.resend_after);
    let (again, reply) = cluster.deliver(0, successor);
    assert_eq!((again, reply), (message, HandOverReply::Taken));
    cluster.submit(successor, ticket);
    assert_eq!(
        cluster.start_count(successor),
        1,
        "the submission joins the job in flight"
    );
}

#[test]
fn request_is_refused_when_the_successor_does_not_reply() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    cluster.submit(0, ticket);
    cluster.advance(0, cluster.cfg.handover.max_deferral);
    cluster.assert_refused(0, Verdict::MayHaveRun, Reason::OwnerUnreachable);
    cluster.advance(0, cluster.cfg.handover.ack_timeout);
    assert!(cluster.processes[0].is_drained);
}

#[test]
fn restarted_successor_rejects_the_table_and_the_authority_is_lost() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    cluster.processes.truncate(1);
    cluster.add_process(1, 9);
    let (message, reply) = cluster.deliver(0, 1);
    assert_eq!(reply, HandOverReply::NotTaken);
    cluster.acknowledge(0, &message, reply);
    cluster.submit(0, ticket);
    cluster.assert_refused(0, Verdict::MayHaveRun, Reason::OwnerGone);
    assert!(
        cluster.processes[0].sent_messages.is_empty(),
        "no second successor is named"
    );
}

#[test]
fn draining_successor_refuses_the_table_and_the_tickets_are_not_run() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    cluster.handle(1, Command::Drain);
    let (message, reply) = cluster.deliver(0, 1);
    assert_eq!(reply, HandOverReply::Refused);
    cluster.acknowledge(0, &message, reply);
    for _ in 0..2 {
        cluster.submit(0, ticket);
        cluster.assert_refused(0, Verdict::NotRun, Reason::VmLeaving);
    }
}

#[test]
fn fresh_tickets_are_permanently_refused_without_a_successor() {
    let mut cluster = Cluster::new(1);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    for _ in 0..2 {
        cluster.submit(0, ticket);
        cluster.assert_refused(0, Verdict::NotRun, Reason::VmLeaving);
    }
    assert!(cluster.processes[0].is_drained);
}

#[test]
fn job_of_an_owner_killed_while_draining_may_have_run() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.submit(0, ticket);
    cluster.handle(0, Command::Drain);
    cluster.hand_over(0, 1);
    cluster.now += cluster.cfg.membership.heartbeat_timeout;
    cluster.submit(1, ticket);
    cluster.assert_refused(1, Verdict::MayHaveRun, Reason::OwnerUnreachable);
    assert_eq!(cluster.start_count(1), 0);
}

#[test]
fn successive_drains_keep_one_authority_and_pass_answers_on() {
    let mut cluster = Cluster::new(3);
    let (running, fresh) = (cluster.mint_ticket(0), cluster.mint_ticket(0));
    cluster.submit(0, running);
    cluster.handle(0, Command::Drain);
    let first = successor_of(&cluster.processes[0].sent_messages[0]);
    let second = 3 - first;
    cluster.hand_over(0, first);
    cluster.exchange_heartbeats();

    cluster.handle(first, Command::Drain);
    cluster.hand_over(first, second);
    cluster.exchange_heartbeats();
    cluster.advance(first, Duration::ZERO);
    assert!(
        !cluster.processes[first].is_drained,
        "an answer is still outstanding"
    );
    cluster.submit(first, fresh);
    cluster.assert_forwarded(first, second, fresh);
    cluster.submit(second, fresh);
    assert_eq!(
        (cluster.start_count(first), cluster.start_count(second)),
        (0, 1)
    );

    cluster.complete_task(0);
    cluster.advance(0, Duration::ZERO);
    cluster.hand_over(0, first);
    cluster.advance(first, Duration::ZERO);
    cluster.hand_over(first, second);
    cluster.advance(first, Duration::ZERO);
    assert!(cluster.processes[first].is_drained);
    cluster.submit(second, running);
    cluster.assert_answered(second);
}

#[test]
fn large_table_is_sent_in_bounded_messages_and_the_last_grants_the_authority() {
    let mut cfg = Config::default();
    cfg.handover.max_claims = 10;
    cfg.admission.max_tasks_per_job = 0;
    let mut cluster = Cluster::with_config(2, cfg);
    let tickets: Vec<_> = (0..35).map(|_| cluster.mint_ticket(0)).collect();
    for ticket in &tickets {
        cluster.submit(0, *ticket);
        cluster.assert_refused(0, Verdict::NotRun, Reason::TooManyTasks);
    }
    cluster.handle(0, Command::Drain);
    for _ in 0..4 {
        assert!(cluster.held_incarnations(1).is_empty());
        let (message, reply) = cluster.deliver(0, 1);
        assert!(message.claims.len() <= 10);
        cluster.acknowledge(0, &message, reply);
    }
    assert_eq!(cluster.held_incarnations(1), [Incarnation(1)]);
    cluster.submit(1, tickets[34]);
    cluster.assert_refused(1, Verdict::NotRun, Reason::TooManyTasks);
}

#[test]
fn received_table_expires_and_a_late_copy_is_not_accepted() {
    let mut cluster = Cluster::new(2);
    let ticket = cluster.mint_ticket(0);
    cluster.handle(0, Command::Drain);
    let late_copy = Arc::clone(&cluster.processes[0].sent_messages[0]);
    cluster.hand_over(0, 1);
    let retention =
        cluster.cfg.claim_table.ticket_ttl + cluster.cfg.claim_table.low_watermark_margin;
    cluster.advance(1, retention);
    assert!(cluster.held_incarnations(1).is_empty());
    cluster.processes[0].sent_messages.push_back(late_copy);
    let (_, reply) = cluster.deliver(0, 1);
    assert_eq!(reply, HandOverReply::NotTaken);
    cluster.submit(1, ticket);
    assert_eq!(cluster.start_count(1), 0);
}
