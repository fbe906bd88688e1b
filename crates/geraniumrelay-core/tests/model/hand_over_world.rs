//! Harness with three dispatchers, the network between them, and a record of starts and replies.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use geraniumrelay_core::modules::handover::{HandOverMessage, HandOverReply};
use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::sheet::parse_sheet;
use geraniumrelay_core::modules::targets::{TargetInfo, TaskKey};
use geraniumrelay_core::{
    Command, Config, Context, Dispatcher, Effect, Identity, Incarnation, JobSpec, Origin, PeerCall,
    Reply, TaskId, TaskOutcome, TaskSpec, TicketKey, TicketMint, Waiter,
};

use crate::hand_over::Step;
use crate::hand_over_seen::{Observed, body_of, outputs};
use crate::tickets::Body;

/// Number of processes, all in one data centre.
pub const PROCESS_COUNT: usize = 3;

/// Number of tickets, all minted by the first process.
pub const TICKET_COUNT: usize = 2;

/// Number of targets, each with one slot.
const TARGET_COUNT: u16 = 8;

/// Most messages in flight; beyond this limit the oldest is lost.
const MAX_MESSAGES_IN_FLIGHT: usize = 60;

/// A message in flight.
#[derive(Debug, Clone)]
enum Message {
    Call {
        call: Box<PeerCall>,
        body: Body,
    },
    HandOver {
        from: usize,
        message: Arc<HandOverMessage>,
    },
    HandOverReply {
        to: Incarnation,
        owner: Incarnation,
        number: u64,
        reply: HandOverReply,
    },
}

#[derive(Debug)]
struct Process {
    identity: Identity,
    dispatcher: Dispatcher,
}

/// A task whose start was sent to a target and that has not ended.
#[derive(Debug)]
struct RunningTask {
    incarnation: Incarnation,
    key: TaskKey,
    n: usize,
    index: usize,
    payload: Arc<str>,
}

/// Requester that waits for a reply: a caller, directly or through a forwarding peer, or the sender
/// of a hand-over.
#[derive(Debug, Clone)]
enum Requester {
    Caller {
        n: usize,
        body: Body,
    },
    Sender {
        from: usize,
        message: Arc<HandOverMessage>,
    },
}

/// The processes, the network between them, and the observed starts and replies.
pub struct Harness {
    cfg: Config,
    now: Instant,
    processes: Vec<Process>,
    network: VecDeque<(usize, Message)>,
    heartbeats: VecDeque<(SocketAddr, PeerStatus)>,
    observed: Vec<Observed>,
    running: Vec<RunningTask>,
    /// Mutation of the network: any process at the address of the successor accepts the hand-over.
    pub is_successor_named_by_address: bool,
    requesters: BTreeMap<u64, Requester>,
    next_waiter: u64,
    next_incarnation: u64,
}

impl Harness {
    /// Starts the processes and delivers their first heartbeats.
    pub fn new() -> Self {
        let (cfg, now) = (Config::default(), Instant::now());
        let mut harness = Self {
            cfg,
            now,
            processes: Vec::new(),
            network: VecDeque::new(),
            heartbeats: VecDeque::new(),
            observed: Vec::new(),
            running: Vec::new(),
            is_successor_named_by_address: false,
            requesters: BTreeMap::new(),
            next_waiter: 0,
            next_incarnation: 1,
        };
        for p in 0..PROCESS_COUNT {
            let (process, mint) = harness.create_process(p);
            harness.processes.push(process);
            if p == 0 {
                harness.observed = (0..TICKET_COUNT).map(|_| Observed::new(&mint)).collect();
            }
        }
        for p in 0..PROCESS_COUNT {
            harness.set_up(p);
        }
        harness.deliver_all();
        harness
    }

    fn create_process(&mut self, p: usize) -> (Process, TicketMint) {
        let identity = Identity {
            vm: format!("e{p}").parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            peer_address: address_of(p),
            incarnation: Incarnation(self.next_incarnation),
        };
        self.next_incarnation += 1;
        let key = TicketKey([1; 16]);
        let mint = TicketMint::new(identity.data_centre, identity.incarnation, key);
        let cx = Context::new(self.now, &self.cfg);
        let dispatcher = Dispatcher::new(&cx, identity, mint.clone());
        (
            Process {
                identity,
                dispatcher,
            },
            mint,
        )
    }

    fn set_up(&mut self, p: usize) {
        let text = "service,data_centre,workers,slots,connections,request_kind,urgency,\
                    idempotent,deadline_ms,state,team,team_share\n\
                    till,szeged,8,1,64,hold,urgent,no,5000,active,,\n";
        self.handle(
            p,
            Command::ApplySheet(Arc::new(parse_sheet(1, text).unwrap())),
        );
        let target = |n: u16| TargetInfo {
            vm: format!("t{n}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
            is_leaving: false,
        };
        self.handle(
            p,
            Command::UpdateTargets((0..TARGET_COUNT).map(target).collect()),
        );
        let others = self.processes.iter().map(|other| PeerStatus {
            incarnation: None,
            ..other.dispatcher.own_status()
        });
        let vm = self.processes[p].identity.vm;
        let others = others.filter(|status| status.vm != vm).collect();
        self.handle(p, Command::UpdatePeers(others));
        self.handle(p, Command::Tick);
    }

    fn handle(&mut self, p: usize, cmd: Command) {
        let mut out = Vec::new();
        let cx = Context::new(self.now, &self.cfg);
        self.processes[p].dispatcher.handle(&cx, cmd, &mut out);
        for effect in out {
            self.record_effect(p, effect);
        }
    }

    fn record_effect(&mut self, p: usize, effect: Effect) {
        match effect {
            Effect::Start {
                task, id, payload, ..
            } => {
                self.record_start(p, task, id, payload);
            }
            Effect::Reply { waiter, reply } => self.record_reply(waiter, &reply),
            Effect::Forward {
                waiter,
                address,
                call,
                ..
            } => {
                if let Some(Requester::Caller { body, .. }) = self.requesters.remove(&waiter.0) {
                    self.send(
                        address,
                        Message::Call {
                            call: Box::new(call),
                            body,
                        },
                    );
                }
            }
            Effect::HandOver { address, message } => {
                self.send(address, Message::HandOver { from: p, message });
            }
            Effect::Heartbeat {
                address, status, ..
            } => self.heartbeats.push_back((address, status)),
            _ => {}
        }
    }

    fn send(&mut self, address: SocketAddr, message: Message) {
        self.network.push_back((process_index(address), message));
        if self.network.len() > MAX_MESSAGES_IN_FLIGHT {
            self.network.pop_front();
        }
    }

    fn record_start(&mut self, p: usize, key: TaskKey, id: TaskId, payload: Arc<str>) {
        let n = self
            .observed
            .iter()
            .position(|observed| observed.ticket == id.ticket);
        let n = n.expect("a known ticket");
        let index = usize::try_from(id.index).unwrap();
        let observed = &mut self.observed[n];
        assert!(
            !observed.has_started[index],
            "violation: second start: {observed:?}"
        );
        assert!(
            !observed.was_reported_not_run[index],
            "violation: wrong NotRun verdict: {observed:?}"
        );
        observed.has_started[index] = true;
        observed.started_body = body_of(&payload);
        let incarnation = self.processes[p].identity.incarnation;
        self.running.push(RunningTask {
            incarnation,
            key,
            n,
            index,
            payload,
        });
    }

    fn record_reply(&mut self, waiter: Waiter, reply: &Reply) {
        let requester = self
            .requesters
            .remove(&waiter.0)
            .expect("one reply for each request");
        match (requester, reply) {
            (Requester::Sender { from, message }, Reply::HandOver(reply)) => {
                let message = Message::HandOverReply {
                    to: message.from,
                    owner: message.owner,
                    number: message.number,
                    reply: *reply,
                };
                self.send(address_of(from), message);
            }
            (Requester::Caller { n, .. }, Reply::Rejected(rejection)) => {
                self.observed[n].record_refusal(rejection.verdict);
            }
            (Requester::Caller { n, body }, Reply::Answer { ticket, answer }) => {
                assert_eq!(
                    *ticket, self.observed[n].ticket,
                    "violation: answer for another ticket"
                );
                self.observed[n].record_answer(answer, &outputs(n, body));
            }
            _ => {}
        }
    }

    fn add_waiter(&mut self, requester: Requester) -> Waiter {
        self.next_waiter += 1;
        self.requesters.insert(self.next_waiter, requester);
        Waiter(self.next_waiter)
    }

    fn submit(&mut self, p: usize, n: usize, body: Body, origin: Origin) {
        let tasks = outputs(n, body).into_iter().map(|payload| TaskSpec {
            payload: payload.into(),
            expected_ms: None,
        });
        let job = JobSpec {
            service: "till".parse().unwrap(),
            kind: "hold".parse().unwrap(),
            team: None,
            deadline_ms: None,
            tasks: tasks.collect(),
        };
        self.submit_job(p, n, body, job, origin);
    }

    fn submit_job(&mut self, p: usize, n: usize, body: Body, job: JobSpec, origin: Origin) {
        let waiter = self.add_waiter(Requester::Caller { n, body });
        let digest = if body == Body::Own { 1 } else { 2 };
        let ticket = self.observed[n].ticket;
        self.handle(
            p,
            Command::Submit {
                ticket,
                digest,
                job,
                waiter,
                origin,
            },
        );
    }

    fn cancel(&mut self, p: usize, n: usize, origin: Origin) {
        let body = self.observed[n].started_body.unwrap_or(Body::Own);
        let waiter = self.add_waiter(Requester::Caller { n, body });
        let ticket = self.observed[n].ticket;
        self.handle(
            p,
            Command::Cancel {
                ticket,
                waiter,
                origin,
            },
        );
    }

    fn end_task(&mut self, nth: usize, outcome: TaskOutcome) {
        if nth >= self.running.len() {
            return;
        }
        let run = self.running.remove(nth);
        let owner = |process: &Process| process.identity.incarnation == run.incarnation;
        let Some(p) = self.processes.iter().position(owner) else {
            return;
        };
        let outcome = match outcome {
            TaskOutcome::NotStarted { .. } => {
                self.observed[run.n].has_started[run.index] = false;
                outcome
            }
            TaskOutcome::Completed { .. } => TaskOutcome::Completed {
                output: run.payload.as_ref().to_owned(),
            },
            other => other,
        };
        let task = run.key;
        self.handle(p, Command::EndTask { task, outcome });
    }

    fn deliver(&mut self, nth: usize, is_duplicated: bool) {
        let Some((to, message)) = self.network.get(nth).cloned() else {
            return;
        };
        if !is_duplicated {
            self.network.remove(nth);
        }
        match message {
            Message::Call { call, body } => self.receive_call(to, *call, body),
            Message::HandOver { from, message } => {
                let requester = Requester::Sender {
                    from,
                    message: Arc::clone(&message),
                };
                let waiter = self.add_waiter(requester);
                let mut message = message.as_ref().clone();
                if self.is_successor_named_by_address {
                    message.successor = self.processes[to].identity.incarnation;
                }
                self.handle(to, Command::ReceiveHandOver { message, waiter });
            }
            Message::HandOverReply {
                to: sender,
                owner,
                number,
                reply,
            } => {
                if self.processes[to].identity.incarnation == sender {
                    self.handle(
                        to,
                        Command::ReceiveHandOverReply {
                            owner,
                            number,
                            reply,
                        },
                    );
                }
            }
        }
    }

    fn receive_call(&mut self, to: usize, call: PeerCall, body: Body) {
        let ticket = call.ticket();
        let n = self
            .observed
            .iter()
            .position(|observed| observed.ticket == ticket);
        let n = n.expect("a known ticket");
        match call {
            PeerCall::Submit { job, .. } => self.submit_job(to, n, body, job, Origin::Peer),
            PeerCall::Cancel { .. } => self.cancel(to, n, Origin::Peer),
            PeerCall::Watch { .. } => {}
        }
    }

    fn deliver_heartbeats(&mut self) {
        for _ in 0..MAX_MESSAGES_IN_FLIGHT {
            let Some((address, status)) = self.heartbeats.pop_front() else {
                return;
            };
            self.handle(process_index(address), Command::RecordHeartbeat(status));
        }
    }

    fn deliver_all(&mut self) {
        self.deliver_heartbeats();
        for _ in 0..MAX_MESSAGES_IN_FLIGHT {
            self.deliver(0, false);
        }
    }

    fn restart(&mut self, p: usize) {
        let (process, _) = self.create_process(p);
        self.processes[p] = process;
        self.set_up(p);
    }

    /// Applies one generated step.
    pub fn apply_step(&mut self, step: Step) {
        match step {
            Step::Submit { ticket, via, body } => self.submit(via, ticket, body, Origin::Caller),
            Step::Cancel { ticket, via } => self.cancel(via, ticket, Origin::Caller),
            Step::EndTask { nth, outcome } => self.end_task(nth, outcome),
            Step::Deliver { nth, is_duplicated } => self.deliver(nth, is_duplicated),
            Step::Lose { nth } => drop(self.network.remove(nth)),
            Step::DeliverAll => self.deliver_all(),
            Step::AdvanceTime {
                time,
                has_heartbeats,
            } => {
                self.now += time;
                for p in 0..PROCESS_COUNT {
                    self.handle(p, Command::Tick);
                }
                if has_heartbeats {
                    self.deliver_heartbeats();
                }
                self.heartbeats.clear();
            }
            Step::Drain { process } => self.handle(process, Command::Drain),
            Step::Restart { process } => self.restart(process),
        }
    }
}

fn process_index(address: SocketAddr) -> usize {
    let p = (0..PROCESS_COUNT).find(|p| address_of(*p) == address);
    p.expect("a known address")
}

fn address_of(p: usize) -> SocketAddr {
    let port = u16::try_from(p).unwrap();
    SocketAddr::from(([127, 0, 0, 1], 100 + port))
}
