//! Specification of one `Idempotency-Key`: a conditional insert in the table binds the key to a
//! ticket before any task starts.

use crate::explore::Spec;

/// Number of processes that receive requests with the key.
const PROCESS_COUNT: usize = 2;

/// Number of minted tickets: one for each process and each of its two incarnations.
const TICKET_COUNT: usize = 2 * PROCESS_COUNT;

/// Phase of a request with the key at a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// No request is in progress.
    Idle,
    /// The insert is not sent yet or its reply was lost: the key may or may not be bound.
    Unconfirmed,
    /// The table replied with the ticket that the key is bound to.
    Bound(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    incarnation: usize,
    phase: Phase,
}

/// State of the table and the processes, and what targets and callers observed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    is_table_unavailable: bool,
    bound: Option<usize>,
    processes: [Process; PROCESS_COUNT],
    has_started: [bool; TICKET_COUNT],
    was_reported_not_run: bool,
}

/// Properties that hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// Tasks start under at most one ticket of the key.
    SingleTicket,
    /// A request that was reported as not run never runs.
    NotRunIsTrue,
}

/// A deliberate fault of the specification that violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The insert has no condition.
    UnconditionalInsert,
    /// A lost reply counts as success, without a read of the table.
    AssumedInsert,
    /// Tasks start before the key is bound.
    EarlyStart,
    /// A request is reported as not run while the table is unavailable.
    NotRunWhileUnavailable,
    /// A key is bound again if the owner of its ticket has restarted.
    Rebind,
}

/// The specification, or a variant of it with a mutation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Keys {
    /// Mutation to apply; `None` for the specification itself.
    pub mutation: Option<Mutation>,
}

impl Keys {
    fn has_mutation(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Receives a request with the key and mints a ticket for it.
    fn receive_request(self, state: &State, p: usize) -> State {
        let mut next = state.clone();
        if state.is_table_unavailable {
            next.was_reported_not_run |= self.has_mutation(Mutation::NotRunWhileUnavailable);
            return next;
        }
        if state.processes[p].phase == Phase::Idle {
            next.processes[p].phase = Phase::Unconfirmed;
        }
        next
    }

    /// Sends the insert: the reply arrives, the reply is lost, or the insert is lost.
    fn insert(self, state: &State, p: usize, out: &mut Vec<State>) {
        if state.is_table_unavailable || state.processes[p].phase != Phase::Unconfirmed {
            return;
        }
        let minted = ticket_of(state, p);
        let mut inserted = state.clone();
        let is_owner_gone = state
            .bound
            .is_some_and(|ticket| !is_owner_alive(state, ticket));
        let may_bind = state.bound.is_none()
            || self.has_mutation(Mutation::UnconditionalInsert)
            || is_owner_gone && self.has_mutation(Mutation::Rebind);
        if may_bind {
            inserted.bound = Some(minted);
        }
        let mut replied = inserted.clone();
        replied.processes[p].phase = Phase::Bound(inserted.bound.unwrap_or(minted));
        let mut insert_lost = state.clone();
        if self.has_mutation(Mutation::AssumedInsert) {
            insert_lost.processes[p].phase = Phase::Bound(minted);
            inserted.processes[p].phase = Phase::Bound(minted);
        }
        out.extend([replied, inserted, insert_lost]);
    }

    /// Submits under the bound ticket; only the incarnation that minted the ticket may start it.
    fn start(self, state: &State, p: usize) -> Option<State> {
        let ticket = match state.processes[p].phase {
            Phase::Bound(ticket) => ticket,
            Phase::Unconfirmed if self.has_mutation(Mutation::EarlyStart) => ticket_of(state, p),
            Phase::Unconfirmed | Phase::Idle => return None,
        };
        let mut next = state.clone();
        next.processes[p].phase = Phase::Idle;
        next.has_started[ticket] |= is_owner_alive(state, ticket);
        Some(next)
    }

    fn restart(state: &State, p: usize) -> Option<State> {
        let mut next = state.clone();
        let process = &mut next.processes[p];
        process.phase = Phase::Idle;
        process.incarnation += 1;
        (process.incarnation < TICKET_COUNT / PROCESS_COUNT).then_some(next)
    }
}

fn ticket_of(state: &State, p: usize) -> usize {
    p * PROCESS_COUNT + state.processes[p].incarnation
}

fn is_owner_alive(state: &State, ticket: usize) -> bool {
    ticket_of(state, ticket / PROCESS_COUNT) == ticket
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
            is_table_unavailable: false,
            bound: None,
            processes: [idle; PROCESS_COUNT],
            has_started: [false; TICKET_COUNT],
            was_reported_not_run: false,
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for p in 0..PROCESS_COUNT {
            out.push(self.receive_request(state, p));
            self.insert(state, p, &mut out);
            out.extend(self.start(state, p));
            out.extend(Self::restart(state, p));
        }
        let mut toggled = state.clone();
        toggled.is_table_unavailable = !state.is_table_unavailable;
        out.push(toggled);
        out
    }

    fn violated_invariants(&self, state: &State) -> Vec<Invariant> {
        let started = state.has_started.iter().filter(|started| **started).count();
        let is_violated = |invariant: &Invariant| match invariant {
            Invariant::SingleTicket => started > 1,
            Invariant::NotRunIsTrue => state.was_reported_not_run && started > 0,
        };
        let all = [Invariant::SingleTicket, Invariant::NotRunIsTrue];
        all.into_iter().filter(is_violated).collect()
    }
}

#[test]
fn specification_keeps_its_invariants() {
    crate::explore::explore("keys", &Keys::default());
}

#[test]
fn every_mutation_violates_its_invariant() {
    let expected = [
        (Mutation::UnconditionalInsert, Invariant::SingleTicket),
        (Mutation::AssumedInsert, Invariant::SingleTicket),
        (Mutation::EarlyStart, Invariant::SingleTicket),
        (Mutation::NotRunWhileUnavailable, Invariant::NotRunIsTrue),
        (Mutation::Rebind, Invariant::SingleTicket),
    ];
    for (mutation, invariant) in expected {
        let spec = Keys {
            mutation: Some(mutation),
        };
        assert!(
            crate::explore::can_violate(&spec, invariant),
            "{mutation:?}"
        );
    }
}
