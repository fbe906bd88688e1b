//! Three real dispatchers with a network that loses, repeats and delays: hand-over, forwards,
//! crashes and restarts at the same address, against the promises of the specification.

use std::time::Duration;

use geraniumrelay_core::TaskOutcome;
use geraniumrelay_core::command::NotStartedCause;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::hand_over_world::{Driven, PROCESSES, TICKETS};
use crate::tickets::Body;

/// Commands follow from it.
const SEED: u64 = 1;

/// One step of callers, processes, targets or network.
#[derive(Debug, Clone)]
pub enum Step {
    /// Submits a ticket through a process.
    Submit {
        ticket: usize,
        via: usize,
        body: Body,
    },
    /// Cancels a ticket through a process.
    Cancel { ticket: usize, via: usize },
    /// Ends the running task that is `nth`.
    EndTask { nth: usize, outcome: TaskOutcome },
    /// Delivers a message; where `stays`, it will come again.
    Deliver { nth: usize, stays: bool },
    /// Loses a message.
    Lose { nth: usize },
    /// Delivers everything in order, with what follows from it.
    Settle,
    /// Lets time pass; the heartbeats of it are heard or lost.
    Wait { time: Duration, hears: bool },
    /// Begins a graceful stop.
    Drain { process: usize },
    /// A process dies and starts again at its address.
    Restart { process: usize },
}

/// Draws steps; every sequence is allowed.
#[derive(Debug)]
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (ticket, process) = (0..TICKETS, 0..PROCESSES);
        let body = prop_oneof![6 => Just(Body::Own), 1 => Just(Body::Other)];
        let refused = TaskOutcome::NotStarted {
            cause: NotStartedCause::Full,
        };
        let output = String::new();
        let outcome = prop_oneof![
            6 => Just(TaskOutcome::Completed { output }),
            1 => Just(TaskOutcome::Failed),
            1 => Just(TaskOutcome::Unknown),
            2 => Just(refused),
        ];
        let wait = prop_oneof![4 => 1..900_u64, 1 => 1_000..12_000_u64];
        prop_oneof![
            8 => (ticket.clone(), process.clone(), body)
                .prop_map(|(ticket, via, body)| Step::Submit { ticket, via, body }),
            1 => (ticket, process.clone()).prop_map(|(ticket, via)| Step::Cancel { ticket, via }),
            4 => (0..4_usize, outcome).prop_map(|(nth, outcome)| Step::EndTask { nth, outcome }),
            8 => (0..8_usize, any::<bool>()).prop_map(|(nth, stays)| Step::Deliver { nth, stays }),
            2 => (0..8_usize).prop_map(|nth| Step::Lose { nth }),
            4 => Just(Step::Settle),
            5 => (wait, prop::bool::weighted(0.8)).prop_map(|(ms, hears)| Step::Wait {
                time: Duration::from_millis(ms),
                hears,
            }),
            2 => process.clone().prop_map(|process| Step::Drain { process }),
            2 => process.prop_map(|process| Step::Restart { process }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Drives the dispatchers.
#[derive(Debug)]
pub struct HandOverTest;

impl StateMachineTest for HandOverTest {
    type SystemUnderTest = Driven;
    type Reference = Reference;

    fn init_test((): &()) -> Driven {
        Driven::new()
    }

    fn apply(mut driven: Driven, (): &(), step: Step) -> Driven {
        driven.take_step(step);
        driven
    }
}

/// Drives the dispatchers over a network that names an heir by its address.
#[derive(Debug)]
pub struct HeirByAddressTest;

impl StateMachineTest for HeirByAddressTest {
    type SystemUnderTest = Driven;
    type Reference = Reference;

    fn init_test((): &()) -> Driven {
        let mut driven = Driven::new();
        driven.names_heir_by_address = true;
        driven
    }

    fn apply(mut driven: Driven, (): &(), step: Step) -> Driven {
        driven.take_step(step);
        driven
    }
}

fn cfg() -> ProptestConfig {
    ProptestConfig {
        cases: 4_096,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(cfg())]

    #[test]
    fn no_promise_is_broken_by_a_hand_over(sequential 1..120 => HandOverTest);
}

prop_state_machine! {
    #![proptest_config(cfg())]

    #[test]
    #[should_panic(expected = "violation: ")]
    fn an_heir_named_by_address_is_caught(sequential 1..120 => HeirByAddressTest);
}
