//! Specification of one ticket: submissions, cancellation, starts, crashes and hand-over.
//!
//! Callers may send any request to any process at any time, any number of times, so late and
//! duplicated requests need no messages of their own. Messages between processes stay in a set
//! for ever: each may be delivered late, again, or never.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// Tasks of the job.
const TASKS: usize = 2;

/// The owner and two possible heirs.
const PROCESSES: usize = 3;

/// Process that minted the ticket.
const OWNER: usize = 0;

/// Restarts of each process that are explored.
const MAX_RESTARTS: u8 = 1;

/// Content of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Body {
    /// What the ticket's caller sends.
    Own,
    /// What is sent under the same ticket by mistake.
    Other,
}

/// Where one task stands at the process that runs its job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Task {
    /// Waits; it has not started.
    Queued,
    /// Was accepted by a target.
    Running,
    /// Completed.
    Done,
}

/// What a process knows of the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Claim {
    /// Nothing.
    Unknown,
    /// Its job is queued or runs here.
    Active { body: Body, tasks: [Task; TASKS] },
    /// Its job runs at the owner that handed over.
    AtOwner,
    /// Its job has ended and may have run.
    Ended { body: Body, is_complete: bool },
    /// It was refused or cancelled before anything started.
    Spent,
}

/// What a claim says to a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Said {
    /// Claim it.
    Fresh,
    /// Wait for the job in flight.
    Join,
    /// Take the kept answer.
    Kept { ran: Body, is_complete: bool },
    /// It did not run and never will.
    NotRun,
    /// It may have run, or another process knows.
    MayHaveRun,
}

impl Claim {
    /// What is said to a submission with `body`.
    pub fn say(self, is_below_floor: bool, body: Body, does_ignore_body: bool) -> Said {
        let is_own = |ran| does_ignore_body || ran == body;
        match self {
            Self::Unknown if is_below_floor => Said::MayHaveRun,
            Self::Unknown => Said::Fresh,
            Self::Active { body: ran, .. } if is_own(ran) => Said::Join,
            Self::Ended { body, is_complete } if is_own(body) => Said::Kept {
                ran: body,
                is_complete,
            },
            Self::Active { .. } | Self::Ended { .. } | Self::AtOwner => Said::MayHaveRun,
            Self::Spent => Said::NotRun,
        }
    }
}

/// What a process may do about the ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Role {
    /// Passes requests on.
    Bystander,
    /// Alone decides.
    Authority,
    /// Handed the authority over; finishes what runs here.
    Former { heir: usize, incarnation: u8 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    is_up: bool,
    incarnation: u8,
    role: Role,
    claim: Claim,
    is_below_floor: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    /// Authority with what is known of the ticket.
    HandOver {
        to: usize,
        incarnation: u8,
        claim: Claim,
        is_below_floor: bool,
    },
    /// End of a job that was in flight at the hand-over.
    JobEnd { to: usize, claim: Claim },
}

/// State of the processes, the messages between them, and what targets and callers saw.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: [Process; PROCESSES],
    messages: BTreeSet<Message>,
    starts: [u8; TASKS],
    was_told_not_run: bool,
    was_told_foreign: bool,
    was_told_partial: bool,
}

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// No task starts twice.
    SingleStart,
    /// What was told not to have run never runs.
    NotRunIsTrue,
    /// An answer belongs to the content that its caller sent.
    OwnAnswer,
    /// A complete answer has the result of every task.
    WholeAnswer,
    /// At most one process holds the authority.
    SingleAuthority,
}

/// A deliberate fault of the specification, which its invariants must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// After a lost acknowledgement a second heir is named.
    TwoHeirs,
    /// An heir is named by its address, so that one that restarted takes a late hand-over.
    HeirByAddress,
    /// An heir applies a repeated hand-over again.
    RepeatedHandOver,
    /// The owner goes on claiming after it handed over.
    KeptAuthority,
    /// A refused ticket is not spent.
    UnspentRefusal,
    /// Cancelling a ticket that has not arrived does not spend it.
    UnspentCancellation,
    /// Old claims are forgotten without a floor.
    ForgottenFloor,
    /// A task that may have run is started again.
    RetryAfterMayHaveRun,
    /// A process without authority says that a submission did not run.
    NotRunOfBystander,
    /// Bodies under one ticket are not compared.
    IgnoredBody,
    /// A job is answered as complete with its first task.
    PartialAnswer,
}

/// The specification, or a wrong variant of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tickets {
    /// The deliberate fault.
    pub mutation: Option<Mutation>,
}

impl Tickets {
    fn is(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn submit(self, state: &State, p: usize, body: Body) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        if process.role == Role::Bystander {
            next.was_told_not_run |= self.is(Mutation::NotRunOfBystander);
            return next;
        }
        let ignores = self.is(Mutation::IgnoredBody);
        match process.claim.say(process.is_below_floor, body, ignores) {
            Said::Fresh if self.may_claim(process.role) => {
                let tasks = [Task::Queued; TASKS];
                process.claim = Claim::Active { body, tasks };
            }
            Said::Kept { ran, .. } => next.was_told_foreign |= ran != body,
            Said::NotRun => next.was_told_not_run = true,
            Said::Fresh | Said::Join | Said::MayHaveRun => {}
        }
        next
    }

    fn may_claim(self, role: Role) -> bool {
        role == Role::Authority || self.is(Mutation::KeptAuthority)
    }

    /// Refuses a fresh submission; the refusal is final.
    fn refuse(self, state: &State, p: usize) -> State {
        Self::spend_fresh(state, p, self.is(Mutation::UnspentRefusal))
    }

    fn cancel(self, state: &State, p: usize) -> State {
        let Claim::Active { .. } = state.processes[p].claim else {
            return Self::spend_fresh(state, p, self.is(Mutation::UnspentCancellation));
        };
        Self::end(state, p)
    }

    fn spend_fresh(state: &State, p: usize, stays_fresh: bool) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        let is_fresh = process.claim == Claim::Unknown && !process.is_below_floor;
        if !is_fresh || process.role != Role::Authority {
            return next;
        }
        if !stays_fresh {
            process.claim = Claim::Spent;
        }
        next.was_told_not_run = true;
        next
    }

    /// Ends a job early: deadline, cancellation, a failed task or spent retries.
    fn end(state: &State, p: usize) -> State {
        let mut next = state.clone();
        let Claim::Active { body, tasks } = next.processes[p].claim else {
            return next;
        };
        let has_started = tasks.iter().any(|task| *task != Task::Queued);
        next.was_told_not_run |= !has_started;
        let is_complete = false;
        let claim = if has_started {
            Claim::Ended { body, is_complete }
        } else {
            Claim::Spent
        };
        Self::put_end(&mut next, p, claim);
        next
    }

    /// Keeps how a job ended and tells the heir, where there is one.
    fn put_end(next: &mut State, p: usize, claim: Claim) {
        next.processes[p].claim = claim;
        if let Role::Former { heir: to, .. } = next.processes[p].role {
            next.messages.insert(Message::JobEnd { to, claim });
        }
    }

    fn run(self, state: &State, p: usize, out: &mut Vec<State>) {
        let Claim::Active { body, tasks } = state.processes[p].claim else {
            return;
        };
        for (index, task) in tasks.into_iter().enumerate() {
            match task {
                Task::Queued => self.start(state, p, index, out),
                Task::Running => out.push(self.complete(state, p, body, index)),
                Task::Done => {}
            }
        }
        out.push(Self::end(state, p));
    }

    /// A start is accepted, or its connection breaks before or after it. A refusal by the target
    /// changes nothing: the task waits on.
    fn start(self, state: &State, p: usize, index: usize, out: &mut Vec<State>) {
        let mut accepted = state.clone();
        accepted.starts[index] += 1;
        if let Claim::Active { tasks, .. } = &mut accepted.processes[p].claim {
            tasks[index] = Task::Running;
        }
        if self.is(Mutation::RetryAfterMayHaveRun) {
            let mut unknown = state.clone();
            unknown.starts[index] += 1;
            out.push(unknown);
        }
        let mut never_arrived = Self::end(&accepted, p);
        never_arrived.starts[index] -= 1;
        out.push(never_arrived);
        out.push(accepted);
    }

    fn complete(self, state: &State, p: usize, body: Body, index: usize) -> State {
        let mut next = state.clone();
        let Claim::Active { tasks, .. } = &mut next.processes[p].claim else {
            return next;
        };
        tasks[index] = Task::Done;
        let is_whole = tasks.iter().all(|task| *task == Task::Done);
        if is_whole || self.is(Mutation::PartialAnswer) {
            next.was_told_partial |= !is_whole;
            let is_complete = true;
            Self::put_end(&mut next, p, Claim::Ended { body, is_complete });
        }
        next
    }

    /// Forgets an old claim, which the floor then stands for.
    fn forget(self, state: &State, p: usize) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        let is_kept = matches!(process.claim, Claim::Active { .. } | Claim::AtOwner);
        if process.role == Role::Authority && !is_kept {
            process.claim = Claim::Unknown;
            process.is_below_floor = !self.is(Mutation::ForgottenFloor);
        }
        next
    }

    fn hand_over(self, state: &State, heir: usize) -> Option<State> {
        let owner = state.processes[OWNER];
        let may_name = match owner.role {
            Role::Authority => true,
            Role::Former { heir: named, .. } => self.is(Mutation::TwoHeirs) && named != heir,
            Role::Bystander => false,
        };
        if !may_name || !state.processes[heir].is_up {
            return None;
        }
        let mut next = state.clone();
        let incarnation = state.processes[heir].incarnation;
        let claim = match owner.claim {
            Claim::Active { .. } => Claim::AtOwner,
            known => known,
        };
        next.processes[OWNER].role = Role::Former { heir, incarnation };
        next.messages.insert(Message::HandOver {
            to: heir,
            incarnation,
            claim,
            is_below_floor: owner.is_below_floor,
        });
        Some(next)
    }

    fn deliver(self, state: &State, message: Message) -> State {
        let mut next = state.clone();
        match message {
            Message::HandOver {
                to,
                incarnation,
                claim,
                is_below_floor,
            } => {
                let heir = &mut next.processes[to];
                let is_named = heir.incarnation == incarnation || self.is(Mutation::HeirByAddress);
                let is_first = heir.role == Role::Bystander || self.is(Mutation::RepeatedHandOver);
                if heir.is_up && is_named && is_first {
                    heir.role = Role::Authority;
                    heir.claim = claim;
                    heir.is_below_floor = is_below_floor;
                }
            }
            Message::JobEnd { to, claim } => {
                let heir = &mut next.processes[to];
                if heir.is_up && heir.claim == Claim::AtOwner {
                    heir.claim = claim;
                }
            }
        }
        next
    }

    fn crash(state: &State, p: usize) -> State {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        process.is_up = false;
        process.role = Role::Bystander;
        process.claim = Claim::Unknown;
        process.is_below_floor = false;
        next
    }

    fn restart(state: &State, p: usize) -> State {
        let mut next = state.clone();
        next.processes[p].is_up = true;
        next.processes[p].incarnation += 1;
        next
    }
}

impl Spec for Tickets {
    type State = State;
    type Invariant = Invariant;

    fn initial(&self) -> State {
        let mut processes = [Process {
            is_up: true,
            incarnation: 0,
            role: Role::Bystander,
            claim: Claim::Unknown,
            is_below_floor: false,
        }; PROCESSES];
        processes[OWNER].role = Role::Authority;
        State {
            processes,
            messages: BTreeSet::new(),
            starts: [0; TASKS],
            was_told_not_run: false,
            was_told_foreign: false,
            was_told_partial: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for (p, process) in state.processes.iter().enumerate() {
            if !process.is_up {
                if process.incarnation < MAX_RESTARTS {
                    out.push(Self::restart(state, p));
                }
                continue;
            }
            out.push(self.submit(state, p, Body::Own));
            out.push(self.submit(state, p, Body::Other));
            out.push(self.refuse(state, p));
            out.push(self.cancel(state, p));
            self.run(state, p, &mut out);
            out.push(self.forget(state, p));
            out.push(Self::crash(state, p));
        }
        if state.processes[OWNER].is_up {
            out.extend((1..PROCESSES).filter_map(|heir| self.hand_over(state, heir)));
        }
        for message in &state.messages {
            out.push(self.deliver(state, *message));
        }
        out
    }

    fn violated(&self, state: &State) -> Vec<Invariant> {
        let is_authority = |process: &&Process| process.role == Role::Authority;
        let authorities = state.processes.iter().filter(is_authority).count();
        let has_started = state.starts.iter().any(|n| *n > 0);
        let is_broken = |invariant: &Invariant| match invariant {
            Invariant::SingleStart => state.starts.iter().any(|n| *n > 1),
            Invariant::NotRunIsTrue => state.was_told_not_run && has_started,
            Invariant::OwnAnswer => state.was_told_foreign,
            Invariant::WholeAnswer => state.was_told_partial,
            Invariant::SingleAuthority => authorities > 1,
        };
        let all = [
            Invariant::SingleStart,
            Invariant::NotRunIsTrue,
            Invariant::OwnAnswer,
            Invariant::WholeAnswer,
            Invariant::SingleAuthority,
        ];
        all.into_iter().filter(is_broken).collect()
    }
}

#[test]
fn the_specification_holds() {
    crate::explore::explore("tickets", &Tickets::default());
}

#[test]
fn every_mutation_is_caught() {
    let caught = [
        (Mutation::TwoHeirs, Invariant::SingleAuthority),
        (Mutation::TwoHeirs, Invariant::SingleStart),
        (Mutation::HeirByAddress, Invariant::SingleStart),
        (Mutation::RepeatedHandOver, Invariant::SingleStart),
        (Mutation::KeptAuthority, Invariant::SingleStart),
        (Mutation::UnspentRefusal, Invariant::NotRunIsTrue),
        (Mutation::UnspentCancellation, Invariant::NotRunIsTrue),
        (Mutation::ForgottenFloor, Invariant::SingleStart),
        (Mutation::RetryAfterMayHaveRun, Invariant::SingleStart),
        (Mutation::NotRunOfBystander, Invariant::NotRunIsTrue),
        (Mutation::IgnoredBody, Invariant::OwnAnswer),
        (Mutation::PartialAnswer, Invariant::WholeAnswer),
    ];
    for (mutation, invariant) in caught {
        let spec = Tickets {
            mutation: Some(mutation),
        };
        assert!(crate::explore::can_break(&spec, invariant), "{mutation:?}");
    }
}
