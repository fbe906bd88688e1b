//! Specification of one `Idempotency-Key`: bound to a ticket by a conditional insert in the table
//! before anything starts.

use crate::explore::Spec;

/// Processes that take requests with the key.
const PROCESSES: usize = 2;

/// Tickets that are minted: one for each process and each of its two incarnations.
const TICKETS: usize = 2 * PROCESSES;

/// Where a request with the key stands at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// No request here.
    Idle,
    /// The insert is to be sent, or its reply was lost: whether the key is bound is not known.
    Unsure,
    /// The table said which ticket the key is bound to.
    Bound(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    incarnation: usize,
    phase: Phase,
}

/// State of the table and the processes, and what targets and callers saw.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    is_away: bool,
    bound: Option<usize>,
    processes: [Process; PROCESSES],
    has_started: [bool; TICKETS],
    was_told_not_run: bool,
}

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// At most one ticket of the key starts.
    SingleTicket,
    /// What was told not to have run never runs.
    NotRunIsTrue,
}

/// A deliberate fault of the specification, which its invariants must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The insert has no condition.
    BlindInsert,
    /// A lost reply counts as a success and nothing is read back.
    AssumedInsert,
    /// Tasks start before the key is bound.
    EarlyStart,
    /// A request is told not to have run while the table is away.
    NotRunWhileAway,
    /// A key whose owner is gone is bound again.
    BoundAgain,
}

/// The specification, or a wrong variant of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Keys {
    /// The deliberate fault.
    pub mutation: Option<Mutation>,
}

impl Keys {
    fn is(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Takes a request with the key, and mints a ticket for it.
    fn take(self, state: &State, p: usize) -> State {
        let mut next = state.clone();
        if state.is_away {
            next.was_told_not_run |= self.is(Mutation::NotRunWhileAway);
            return next;
        }
        if state.processes[p].phase == Phase::Idle {
            next.processes[p].phase = Phase::Unsure;
        }
        next
    }

    /// Sends the insert; its reply arrives or is lost, or the insert itself is.
    fn insert(self, state: &State, p: usize, out: &mut Vec<State>) {
        if state.is_away || state.processes[p].phase != Phase::Unsure {
            return;
        }
        let own = ticket_of(state, p);
        let mut done = state.clone();
        let is_gone = state.bound.is_some_and(|ticket| !is_alive(state, ticket));
        let is_open = state.bound.is_none()
            || self.is(Mutation::BlindInsert)
            || is_gone && self.is(Mutation::BoundAgain);
        if is_open {
            done.bound = Some(own);
        }
        let mut replied = done.clone();
        replied.processes[p].phase = Phase::Bound(done.bound.unwrap_or(own));
        let mut lost = state.clone();
        if self.is(Mutation::AssumedInsert) {
            lost.processes[p].phase = Phase::Bound(own);
            done.processes[p].phase = Phase::Bound(own);
        }
        out.extend([replied, done, lost]);
    }

    /// Submits under the bound ticket; only the incarnation in it may start it.
    fn start(self, state: &State, p: usize) -> Option<State> {
        let ticket = match state.processes[p].phase {
            Phase::Bound(ticket) => ticket,
            Phase::Unsure if self.is(Mutation::EarlyStart) => ticket_of(state, p),
            Phase::Unsure | Phase::Idle => return None,
        };
        let mut next = state.clone();
        next.processes[p].phase = Phase::Idle;
        next.has_started[ticket] |= is_alive(state, ticket);
        Some(next)
    }

    fn restart(state: &State, p: usize) -> Option<State> {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        process.phase = Phase::Idle;
        process.incarnation += 1;
        (process.incarnation < TICKETS / PROCESSES).then_some(next)
    }
}

fn ticket_of(state: &State, p: usize) -> usize {
    p * PROCESSES + state.processes[p].incarnation
}

fn is_alive(state: &State, ticket: usize) -> bool {
    ticket_of(state, ticket / PROCESSES) == ticket
}

impl Spec for Keys {
    type State = State;
    type Invariant = Invariant;

    fn initial(&self) -> State {
        let idle = Process {
            incarnation: 0,
            phase: Phase::Idle,
        };
        State {
            is_away: false,
            bound: None,
            processes: [idle; PROCESSES],
            has_started: [false; TICKETS],
            was_told_not_run: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for p in 0..PROCESSES {
            out.push(self.take(state, p));
            self.insert(state, p, &mut out);
            out.extend(self.start(state, p));
            out.extend(Self::restart(state, p));
        }
        let mut toggled = state.clone();
        toggled.is_away = !state.is_away;
        out.push(toggled);
        out
    }

    fn violated(&self, state: &State) -> Vec<Invariant> {
        let started = state.has_started.iter().filter(|started| **started).count();
        let is_broken = |invariant: &Invariant| match invariant {
            Invariant::SingleTicket => started > 1,
            Invariant::NotRunIsTrue => state.was_told_not_run && started > 0,
        };
        let all = [Invariant::SingleTicket, Invariant::NotRunIsTrue];
        all.into_iter().filter(is_broken).collect()
    }
}

#[test]
fn the_specification_holds() {
    crate::explore::explore("keys", &Keys::default());
}

#[test]
fn every_mutation_is_caught() {
    let caught = [
        (Mutation::BlindInsert, Invariant::SingleTicket),
        (Mutation::AssumedInsert, Invariant::SingleTicket),
        (Mutation::EarlyStart, Invariant::SingleTicket),
        (Mutation::NotRunWhileAway, Invariant::NotRunIsTrue),
        (Mutation::BoundAgain, Invariant::SingleTicket),
    ];
    for (mutation, invariant) in caught {
        let spec = Keys {
            mutation: Some(mutation),
        };
        assert!(crate::explore::can_break(&spec, invariant), "{mutation:?}");
    }
}
