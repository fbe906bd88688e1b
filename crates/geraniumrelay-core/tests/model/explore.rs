//! Exhaustive exploration of a specification, by breadth-first reachability.

use std::fmt::Debug;
use std::hash::Hash;

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A specification: where it starts, what may happen next, and what must never be.
pub trait Spec {
    /// One state of the whole system.
    type State: Clone + Eq + Hash + Debug;

    /// What must hold in every state.
    type Invariant: Copy + Eq + Debug;

    /// The state before anything happened.
    fn initial(&self) -> Self::State;

    /// Every state that one step may lead to.
    fn successors(&self, state: &Self::State) -> Vec<Self::State>;

    /// The invariants that do not hold.
    fn violated(&self, state: &Self::State) -> Vec<Self::Invariant>;
}

/// Explores every reachable state of a specification that is to hold; returns their number.
///
/// # Panics
/// Where an invariant does not hold, with the shortest way there.
pub fn explore<S: Spec>(name: &str, spec: &S) -> usize {
    let mut states = 0;
    for state in bfs_reach(spec.initial(), |state| spec.successors(state)) {
        states += 1;
        if let Some(invariant) = spec.violated(&state).first() {
            let path = bfs(
                &spec.initial(),
                |state| spec.successors(state),
                |reached| *reached == state,
            );
            panic!("{name}: {invariant:?} does not hold: {path:#?}");
        }
    }
    println!("{name}: {states} states explored");
    states
}

/// Whether a deliberately wrong variant reaches a state that breaks an invariant.
pub fn can_break<S: Spec>(spec: &S, invariant: S::Invariant) -> bool {
    bfs_reach(spec.initial(), |state| spec.successors(state))
        .any(|state| spec.violated(&state).contains(&invariant))
}
