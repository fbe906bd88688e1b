//! Three dispatchers, the network between them, and what targets and callers saw.

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
use crate::hand_over_seen::{Seen, body_of, outputs};
use crate::tickets::Body;

/// Processes, all of one data centre.
pub const PROCESSES: usize = 3;

/// Tickets, all minted by the first process.
pub const TICKETS: usize = 2;

/// Targets, each with one slot.
const TARGETS: u16 = 8;

/// Messages that may be on their way; the oldest is lost beyond it.
const MAX_MESSAGES: usize = 60;

/// A message on its way.
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
    HeirReply {
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

/// A task that a target was told to run.
#[derive(Debug)]
struct Running {
    incarnation: Incarnation,
    key: TaskKey,
    n: usize,
    index: usize,
    payload: Arc<str>,
}

/// Somebody who waits at a process: a caller or a peer that passed a request on.
#[derive(Debug, Clone)]
enum Waiting {
    Caller {
        n: usize,
        body: Body,
    },
    Sender {
        from: usize,
        message: Arc<HandOverMessage>,
    },
}

/// The processes, the network between them and what was seen.
pub struct Driven {
    cfg: Config,
    now: Instant,
    processes: Vec<Process>,
    network: VecDeque<(usize, Message)>,
    beats: VecDeque<(SocketAddr, PeerStatus)>,
    seen: Vec<Seen>,
    running: Vec<Running>,
    /// A deliberate fault of the network: a hand-over reaches whoever has the heir's address.
    pub names_heir_by_address: bool,
    waiting: BTreeMap<u64, Waiting>,
    next_waiter: u64,
    next_incarnation: u64,
}

impl Driven {
    /// Starts the processes, which have heard each other.
    pub fn new() -> Self {
        let (cfg, now) = (Config::default(), Instant::now());
        let mut driven = Self {
            cfg,
            now,
            processes: Vec::new(),
            network: VecDeque::new(),
            beats: VecDeque::new(),
            seen: Vec::new(),
            running: Vec::new(),
            names_heir_by_address: false,
            waiting: BTreeMap::new(),
            next_waiter: 0,
            next_incarnation: 1,
        };
        for p in 0..PROCESSES {
            let (process, mint) = driven.make(p);
            driven.processes.push(process);
            if p == 0 {
                driven.seen = (0..TICKETS).map(|_| Seen::new(&mint)).collect();
            }
        }
        for p in 0..PROCESSES {
            driven.set_up(p);
        }
        driven.settle();
        driven
    }

    fn make(&mut self, p: usize) -> (Process, TicketMint) {
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
            Command::UpdateTargets((0..TARGETS).map(target).collect()),
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
            self.see(p, effect);
        }
    }

    fn see(&mut self, p: usize, effect: Effect) {
        match effect {
            Effect::Start {
                task, id, payload, ..
            } => {
                self.see_start(p, task, id, payload);
            }
            Effect::Reply { waiter, reply } => self.see_reply(waiter, &reply),
            Effect::Forward {
                waiter,
                address,
                call,
                ..
            } => {
                if let Some(Waiting::Caller { body, .. }) = self.waiting.remove(&waiter.0) {
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
            } => self.beats.push_back((address, status)),
            _ => {}
        }
    }

    fn send(&mut self, address: SocketAddr, message: Message) {
        self.network.push_back((process_at(address), message));
        if self.network.len() > MAX_MESSAGES {
            self.network.pop_front();
        }
    }

    fn see_start(&mut self, p: usize, key: TaskKey, id: TaskId, payload: Arc<str>) {
        let n = self.seen.iter().position(|seen| seen.ticket == id.ticket);
        let n = n.expect("a known ticket");
        let index = usize::try_from(id.index).unwrap();
        let seen = &mut self.seen[n];
        assert!(
            !seen.has_started[index],
            "violation: second start: {seen:?}"
        );
        assert!(
            !seen.was_told_not_run[index],
            "violation: untrue NotRun: {seen:?}"
        );
        seen.has_started[index] = true;
        seen.ran = body_of(&payload);
        let incarnation = self.processes[p].identity.incarnation;
        self.running.push(Running {
            incarnation,
            key,
            n,
            index,
            payload,
        });
    }

    fn see_reply(&mut self, waiter: Waiter, reply: &Reply) {
        let waiting = self.waiting.remove(&waiter.0).expect("one reply each");
        match (waiting, reply) {
            (Waiting::Sender { from, message }, Reply::HandOver(reply)) => {
                let message = Message::HeirReply {
                    to: message.from,
                    owner: message.owner,
                    number: message.number,
                    reply: *reply,
                };
                self.send(address_of(from), message);
            }
            (Waiting::Caller { n, .. }, Reply::Rejected(rejection)) => {
                self.seen[n].see_refusal(rejection.verdict);
            }
            (Waiting::Caller { n, body }, Reply::Answer { ticket, answer }) => {
                assert_eq!(*ticket, self.seen[n].ticket, "violation: a foreign answer");
                self.seen[n].see_answer(answer, &outputs(n, body));
            }
            _ => {}
        }
    }

    fn wait_as(&mut self, waiting: Waiting) -> Waiter {
        self.next_waiter += 1;
        self.waiting.insert(self.next_waiter, waiting);
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
        let waiter = self.wait_as(Waiting::Caller { n, body });
        let digest = if body == Body::Own { 1 } else { 2 };
        let ticket = self.seen[n].ticket;
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
        let body = self.seen[n].ran.unwrap_or(Body::Own);
        let waiter = self.wait_as(Waiting::Caller { n, body });
        let ticket = self.seen[n].ticket;
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
                self.seen[run.n].has_started[run.index] = false;
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

    fn deliver(&mut self, nth: usize, stays: bool) {
        let Some((to, message)) = self.network.get(nth).cloned() else {
            return;
        };
        if !stays {
            self.network.remove(nth);
        }
        match message {
            Message::Call { call, body } => self.take_call(to, *call, body),
            Message::HandOver { from, message } => {
                let waiting = Waiting::Sender {
                    from,
                    message: Arc::clone(&message),
                };
                let waiter = self.wait_as(waiting);
                let mut message = message.as_ref().clone();
                if self.names_heir_by_address {
                    message.successor = self.processes[to].identity.incarnation;
                }
                self.handle(to, Command::ReceiveHandOver { message, waiter });
            }
            Message::HeirReply {
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

    fn take_call(&mut self, to: usize, call: PeerCall, body: Body) {
        let ticket = call.ticket();
        let n = self.seen.iter().position(|seen| seen.ticket == ticket);
        let n = n.expect("a known ticket");
        match call {
            PeerCall::Submit { job, .. } => self.submit_job(to, n, body, job, Origin::Peer),
            PeerCall::Cancel { .. } => self.cancel(to, n, Origin::Peer),
            PeerCall::Watch { .. } => {}
        }
    }

    fn hear_beats(&mut self) {
        for _ in 0..MAX_MESSAGES {
            let Some((address, status)) = self.beats.pop_front() else {
                return;
            };
            self.handle(process_at(address), Command::RecordHeartbeat(status));
        }
    }

    fn settle(&mut self) {
        self.hear_beats();
        for _ in 0..MAX_MESSAGES {
            self.deliver(0, false);
        }
    }

    fn restart(&mut self, p: usize) {
        let (process, _) = self.make(p);
        self.processes[p] = process;
        self.set_up(p);
    }

    /// Carries out one step.
    pub fn take_step(&mut self, step: Step) {
        match step {
            Step::Submit { ticket, via, body } => self.submit(via, ticket, body, Origin::Caller),
            Step::Cancel { ticket, via } => self.cancel(via, ticket, Origin::Caller),
            Step::EndTask { nth, outcome } => self.end_task(nth, outcome),
            Step::Deliver { nth, stays } => self.deliver(nth, stays),
            Step::Lose { nth } => drop(self.network.remove(nth)),
            Step::Settle => self.settle(),
            Step::Wait { time, hears } => {
                self.now += time;
                for p in 0..PROCESSES {
                    self.handle(p, Command::Tick);
                }
                if hears {
                    self.hear_beats();
                }
                self.beats.clear();
            }
            Step::Drain { process } => self.handle(process, Command::Drain),
            Step::Restart { process } => self.restart(process),
        }
    }
}

fn process_at(address: SocketAddr) -> usize {
    let p = (0..PROCESSES).find(|p| address_of(*p) == address);
    p.expect("a known address")
}

fn address_of(p: usize) -> SocketAddr {
    let port = u16::try_from(p).unwrap();
    SocketAddr::from(([127, 0, 0, 1], 100 + port))
}
