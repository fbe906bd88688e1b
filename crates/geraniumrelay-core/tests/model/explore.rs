//! Exhaustive exploration of a specification by breadth-first search.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification: initial state, state transitions and invariants.
pub trait Spec {
    /// One state of the modelled system.
    type State: Clone + Eq + Hash + Debug;

    /// A property that holds in every reachable state of a correct specification.
    type Invariant: Copy + Eq + Debug;

    /// State from which the exploration starts.
    fn initial(&self) -> Self::State;

    /// States reachable in one step; empty in a terminal state.
    fn next_states(&self, state: &Self::State) -> Vec<Self::State>;

    /// Invariants that the state violates; empty if all hold.
    fn violated_invariants(&self, state: &Self::State) -> Vec<Self::Invariant>;
}

/// Explores every reachable state and checks its invariants; returns the number of states.
///
/// # Panics
/// If a state violates an invariant; the message has the shortest path to that state.
pub fn explore<S: Spec>(name: &str, spec: &S) -> usize {
    let mut states = 0;
    for state in bfs_reach(spec.initial(), |state| spec.next_states(state)) {
        states += 1;
        if let Some(invariant) = spec.violated_invariants(&state).first() {
            let path = bfs(
                &spec.initial(),
                |state| spec.next_states(state),
                |reached| *reached == state,
            );
            panic!("{name}: {invariant:?} does not hold: {path:#?}");
        }
    }
    println!("{name}: {states} states explored");
    states
}

/// Whether a specification reaches a state that violates an invariant, as one with a mutation must.
pub fn can_violate<S: Spec>(spec: &S, invariant: S::Invariant) -> bool {
    bfs_reach(spec.initial(), |state| spec.next_states(state))
        .any(|state| spec.violated_invariants(&state).contains(&invariant))
}
