//! Specification of sheet acceptance: two contractors race on one base, replies are lost, entry
//! VMs learn revisions late and only move forward.

use std::collections::BTreeSet;

use crate::explore::Spec;

/// Contractors, each with one change to apply.
const CONTRACTORS: usize = 2;

/// Entry VMs.
const VMS: usize = 2;

/// Restarts of each entry VM that are explored.
const MAX_RESTARTS: u8 = 1;

/// What a contractor knows of the own apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Apply {
    /// Planned on the revision with this number.
    Planned { base: usize },
    /// The apply said that it was accepted.
    Accepted,
    /// The apply said that another change came first and nothing of this one took effect.
    Overtaken,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Vm {
    restarts: u8,
    in_force: usize,
}

/// State of the table, the contractors, the entry VMs and the pushes between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    /// Contractor whose change made each revision, from revision 1; the last is current.
    history: Vec<usize>,
    applies: [Apply; CONTRACTORS],
    vms: [Vm; VMS],
    /// Revisions on their way between entry VMs, each late, again, or never.
    pushes: BTreeSet<usize>,
    went_back: bool,
    has_lost_change: bool,
}

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// An accepted change is made once, however often its apply is repeated.
    AppliedOnce,
    /// No change overwrites one that its contractor has not seen.
    NoLostChange,
    /// What is said of an apply is true.
    TrueOutcome,
    /// The revision in force on a running entry VM never goes back.
    ForwardOnly,
}

/// A deliberate fault of the specification, which its invariants must catch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// The write does not compare the base revision.
    NoCompareAndSet,
    /// A repeat after a lost reply is planned anew instead of recognised by its apply id.
    NoApplyId,
    /// Only the newest revision's apply id is compared.
    NewestApplyIdOnly,
    /// An entry VM takes any revision that it is pushed.
    BackwardPush,
}

/// The specification, or a wrong variant of it.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sheets {
    /// The deliberate fault.
    pub mutation: Option<Mutation>,
}

impl Sheets {
    fn is(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn is_known(self, state: &State, who: usize) -> bool {
        if self.is(Mutation::NoApplyId) {
            false
        } else if self.is(Mutation::NewestApplyIdOnly) {
            state.history.last() == Some(&who)
        } else {
            state.history.contains(&who)
        }
    }

    /// Applies or repeats; the reply arrives or is lost.
    fn apply(self, state: &State, who: usize, out: &mut Vec<State>) {
        let Apply::Planned { base } = state.applies[who] else {
            return;
        };
        let mut next = state.clone();
        let revision = state.history.len();
        let told = if self.is_known(state, who) {
            Apply::Accepted
        } else if base == revision || self.is(Mutation::NoCompareAndSet) {
            next.has_lost_change |= base != revision;
            next.history.push(who);
            Apply::Accepted
        } else {
            Apply::Overtaken
        };
        out.push(next.clone());
        next.applies[who] = told;
        out.push(next);
        if self.is(Mutation::NoApplyId) {
            let mut planned_anew = state.clone();
            planned_anew.applies[who] = Apply::Planned { base: revision };
            out.push(planned_anew);
        }
    }

    /// A contractor who has not applied yet plans again on the present revision.
    fn plan(state: &State, who: usize) -> Option<State> {
        let is_open = matches!(state.applies[who], Apply::Planned { .. });
        if !is_open || state.history.contains(&who) {
            return None;
        }
        let mut next = state.clone();
        let base = state.history.len();
        next.applies[who] = Apply::Planned { base };
        Some(next)
    }

    fn learn(self, state: &State, vm: usize, revision: usize) -> State {
        let mut next = state.clone();
        let before = state.vms[vm].in_force;
        if revision > before || self.is(Mutation::BackwardPush) {
            next.vms[vm].in_force = revision;
            next.pushes.insert(revision);
        }
        next.went_back |= next.vms[vm].in_force < before;
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
            applies: [Apply::Planned { base: 0 }; CONTRACTORS],
            vms: [vm; VMS],
            pushes: BTreeSet::new(),
            went_back: false,
            has_lost_change: false,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut out = Vec::new();
        for who in 0..CONTRACTORS {
            self.apply(state, who, &mut out);
            out.extend(Self::plan(state, who));
        }
        for vm in 0..VMS {
            out.push(self.learn(state, vm, state.history.len()));
            for revision in &state.pushes {
                out.push(self.learn(state, vm, *revision));
            }
            out.extend(Self::restart(state, vm));
        }
        out
    }

    fn violated(&self, state: &State) -> Vec<Invariant> {
        let made = |who: usize| state.history.iter().filter(|made| **made == who).count();
        let is_untrue = |(who, apply): (usize, &Apply)| match apply {
            Apply::Planned { .. } => false,
            Apply::Accepted => made(who) == 0,
            Apply::Overtaken => made(who) > 0,
        };
        let is_broken = |invariant: &Invariant| match invariant {
            Invariant::AppliedOnce => (0..CONTRACTORS).any(|who| made(who) > 1),
            Invariant::NoLostChange => state.has_lost_change,
            Invariant::TrueOutcome => state.applies.iter().enumerate().any(is_untrue),
            Invariant::ForwardOnly => state.went_back,
        };
        let all = [
            Invariant::AppliedOnce,
            Invariant::NoLostChange,
            Invariant::TrueOutcome,
            Invariant::ForwardOnly,
        ];
        all.into_iter().filter(is_broken).collect()
    }
}

#[test]
fn the_specification_holds() {
    crate::explore::explore("sheets", &Sheets::default());
}

#[test]
fn every_mutation_is_caught() {
    let caught = [
        (Mutation::NoCompareAndSet, Invariant::NoLostChange),
        (Mutation::NoApplyId, Invariant::AppliedOnce),
        (Mutation::NewestApplyIdOnly, Invariant::TrueOutcome),
        (Mutation::BackwardPush, Invariant::ForwardOnly),
    ];
    for (mutation, invariant) in caught {
        let spec = Sheets {
            mutation: Some(mutation),
        };
        assert!(crate::explore::can_break(&spec, invariant), "{mutation:?}");
    }
}
