//! Specification of sheet acceptance: two operators apply changes to the same base concurrently,
//! replies are lost, and entry VMs receive revisions late but never go back to an older one.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// Number of operators, each with one change to apply.
const OPERATOR_COUNT: usize = 2;

/// Number of entry VMs.
const VM_COUNT: usize = 2;

/// Most restarts of each entry VM in the exploration.
const MAX_RESTARTS: u8 = 1;

/// State of an apply as known to its operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Apply {
    /// Planned against revision `base`; no reply has arrived.
    Planned { base: usize },
    /// The reply said that the change was accepted.
    Accepted,
    /// The reply said that another change was accepted first and this one took no effect.
    Conflict,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Vm {
    restarts: u8,
    in_force: usize,
}

/// State of the table, the operators, the entry VMs and the pushes between the entry VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Operator whose change created each revision, from revision 1; the last one is current.
    history: Vec<usize>,
    applies: [Apply; OPERATOR_COUNT],
    vms: [Vm; VM_COUNT],
    /// Revisions pushed between entry VMs; each may arrive late, repeatedly or never.
    pushes: BTreeSet<usize>,
    has_regressed: bool,
    has_lost_change: bool,
}

/// Properties that hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// An accepted change takes effect once, however often its apply is repeated.
    AppliedOnce,
    /// No change overwrites another one that its operator did not have in the base.
    NoLostChange,
    /// The reported outcome of an apply is correct.
    TrueOutcome,
    /// The revision in force on a running entry VM never decreases.
    ForwardOnly,
}

/// A deliberate fault of the specification that violates an invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The write does not compare the base revision.
    NoCompareAndSet,
    /// A retry after a lost reply is planned again instead of being recognised by its apply id.
    NoApplyId,
    /// Only the apply id of the newest revision is compared.
    NewestApplyIdOnly,
    /// An entry VM accepts every pushed revision, also an older one.
    BackwardPush,
}

/// The specification, or a variant of it with a mutation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sheets {
    /// Mutation to apply; `None` for the specification itself.
    pub mutation: Option<Mutation>,
}

impl Sheets {
    fn has_mutation(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn is_retry(self, state: &State, operator: usize) -> bool {
        if self.has_mutation(Mutation::NoApplyId) {
            false
        } else if self.has_mutation(Mutation::NewestApplyIdOnly) {
            state.history.last() == Some(&operator)
        } else {
            state.history.contains(&operator)
        }
    }

    /// Applies a change or retries the apply; the reply arrives or is lost.
    fn apply(self, state: &State, operator: usize, out: &mut Vec<State>) {
        let Apply::Planned { base } = state.applies[operator] else {
            return;
        };
        let mut next = state.clone();
        let revision = state.history.len();
        let outcome = if self.is_retry(state, operator) {
            Apply::Accepted
        } else if base == revision || self.has_mutation(Mutation::NoCompareAndSet) {
            next.has_lost_change |= base != revision;
            next.history.push(operator);
            Apply::Accepted
        } else {
            Apply::Conflict
        };
        out.push(next.clone());
        next.applies[operator] = outcome;
        out.push(next);
        if self.has_mutation(Mutation::NoApplyId) {
            let mut replanned = state.clone();
            replanned.applies[operator] = Apply::Planned { base: revision };
            out.push(replanned);
        }
    }

    /// Plans a change again on the current revision; `None` once it was applied or answered.
    fn replan(state: &State, operator: usize) -> Option<State> {
        let is_planned = matches!(state.applies[operator], Apply::Planned { .. });
        if !is_planned || state.history.contains(&operator) {
            return None;
        }
        let mut next = state.clone();
        let base = state.history.len();
        next.applies[operator] = Apply::Planned { base };
        Some(next)
    }

    fn receive_revision(self, state: &State, vm: usize, revision: usize) -> State {
        let mut next = state.clone();
        let before = state.vms[vm].in_force;
        if revision > before || self.has_mutation(Mutation::BackwardPush) {
            next.vms[vm].in_force = revision;
            next.pushes.insert(revision);
        }
        next.has_regressed |= next.vms[vm].in_force < before;
        next
    }

    fn restart(state: &State, vm: usize) -> Option<State> {
        let mut next = state.clone();
        next.vms[vm].in_force = 0;
        next.vms[vm].restarts += 1;
        (next.vms[vm].restarts <= MAX_RESTARTS).then_some(next)
    }
}

impl Spec for Sheets {
    type State = State;
    type Invariant = Invariant;

    fn initial(&self) -> State {
        let vm = Vm {
            restarts: 0,
            in_force: 0,
        };
        State {
            history: Vec::new(),
            applies: [Apply::Planned { base: 0 }; OPERATOR_COUNT],
            vms: [vm; VM_COUNT],
            pushes: BTreeSet::new(),
            has_regressed: false,
            has_lost_change: false,
        }
    }

    fn next_states(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for operator in 0..OPERATOR_COUNT {
            self.apply(state, operator, &mut out);
            out.extend(Self::replan(state, operator));
        }
        for vm in 0..VM_COUNT {
            out.push(self.receive_revision(state, vm, state.history.len()));
            for revision in &state.pushes {
                out.push(self.receive_revision(state, vm, *revision));
            }
            out.extend(Self::restart(state, vm));
        }
        out
    }

    fn violated_invariants(&self, state: &State) -> Vec<Invariant> {
        let applied_count = |operator: usize| {
            state
                .history
                .iter()
                .filter(|applied| **applied == operator)
                .count()
        };
        let is_wrong = |(operator, apply): (usize, &Apply)| match apply {
            Apply::Planned { .. } => false,
            Apply::Accepted => applied_count(operator) == 0,
            Apply::Conflict => applied_count(operator) > 0,
        };
        let is_violated = |invariant: &Invariant| match invariant {
            Invariant::AppliedOnce => {
                (0..OPERATOR_COUNT).any(|operator| applied_count(operator) > 1)
            }
            Invariant::NoLostChange => state.has_lost_change,
            Invariant::TrueOutcome => state.applies.iter().enumerate().any(is_wrong),
            Invariant::ForwardOnly => state.has_regressed,
        };
        let all = [
            Invariant::AppliedOnce,
            Invariant::NoLostChange,
            Invariant::TrueOutcome,
            Invariant::ForwardOnly,
        ];
        all.into_iter().filter(is_violated).collect()
    }
}

#[test]
fn specification_keeps_its_invariants() {
    crate::explore::explore("sheets", &Sheets::default());
}

#[test]
fn every_mutation_violates_its_invariant() {
    let expected = [
        (Mutation::NoCompareAndSet, Invariant::NoLostChange),
        (Mutation::NoApplyId, Invariant::AppliedOnce),
        (Mutation::NewestApplyIdOnly, Invariant::TrueOutcome),
        (Mutation::BackwardPush, Invariant::ForwardOnly),
    ];
    for (mutation, invariant) in expected {
        let spec = Sheets {
            mutation: Some(mutation),
        };
        assert!(
            crate::explore::can_violate(&spec, invariant),
            "{mutation:?}"
        );
    }
}
