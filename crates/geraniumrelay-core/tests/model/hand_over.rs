//! Property test of three dispatchers and a network that loses, duplicates and delays messages:
//! hand-over, forwards, crashes and restarts at the same address, against the guarantees of the
//! specification.

use std::time::Duration;

use geraniumrelay_core::TaskOutcome;
use geraniumrelay_core::command::NotStartedCause;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::hand_over_world::{Harness, PROCESS_COUNT, TICKET_COUNT};
use crate::tickets::Body;

/// Seed of the generated steps.
const SEED: u64 = 1;

/// One step of a caller, a process, a target or the network.
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
    /// Ends the running task at position `nth`, if there is one.
    EndTask { nth: usize, outcome: TaskOutcome },
    /// Delivers the message at position `nth`; with `is_duplicated`, a copy stays in the network.
    Deliver { nth: usize, is_duplicated: bool },
    /// Loses the message at position `nth`.
    Lose { nth: usize },
    /// Delivers the pending heartbeats, then the messages in order, with those that they cause.
    DeliverAll,
    /// Advances the time; the heartbeats sent meanwhile are delivered or lost.
    AdvanceTime {
        time: Duration,
        has_heartbeats: bool,
    },
    /// Begins a graceful stop.
    Drain { process: usize },
    /// Kills a process and starts a new instance at its address.
    Restart { process: usize },
}

/// Generates steps; every sequence is allowed.
#[derive(Debug)]
pub struct Reference;

impl ReferenceStateMachine for Reference {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let (ticket, process) = (0..TICKET_COUNT, 0..PROCESS_COUNT);
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
        let time_step_ms = prop_oneof![4 => 1..900_u64, 1 => 1_000..12_000_u64];
        prop_oneof![
            8 => (ticket.clone(), process.clone(), body)
                .prop_map(|(ticket, via, body)| Step::Submit { ticket, via, body }),
            1 => (ticket, process.clone()).prop_map(|(ticket, via)| Step::Cancel { ticket, via }),
            4 => (0..4_usize, outcome).prop_map(|(nth, outcome)| Step::EndTask { nth, outcome }),
            8 => (0..8_usize, any::<bool>())
                .prop_map(|(nth, is_duplicated)| Step::Deliver { nth, is_duplicated }),
            2 => (0..8_usize).prop_map(|nth| Step::Lose { nth }),
            4 => Just(Step::DeliverAll),
            5 => (time_step_ms, prop::bool::weighted(0.8)).prop_map(|(ms, has_heartbeats)| {
                Step::AdvanceTime { time: Duration::from_millis(ms), has_heartbeats }
            }),
            2 => process.clone().prop_map(|process| Step::Drain { process }),
            2 => process.prop_map(|process| Step::Restart { process }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Applies the generated steps to the dispatchers.
#[derive(Debug)]
pub struct HandOverTest;

impl StateMachineTest for HandOverTest {
    type SystemUnderTest = Harness;
    type Reference = Reference;

    fn init_test((): &()) -> Harness {
        Harness::new()
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        harness.apply_step(step);
        harness
    }
}

/// Applies the generated steps with a network that identifies a successor by its address only.
#[derive(Debug)]
pub struct SuccessorByAddressTest;

impl StateMachineTest for SuccessorByAddressTest {
    type SystemUnderTest = Harness;
    type Reference = Reference;

    fn init_test((): &()) -> Harness {
        let mut harness = Harness::new();
        harness.is_successor_named_by_address = true;
        harness
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        harness.apply_step(step);
        harness
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
    fn hand_over_keeps_the_guarantees_of_the_specification(sequential 1..120 => HandOverTest);
}

prop_state_machine! {
    #![proptest_config(cfg())]

    #[test]
    #[should_panic(expected = "violation: ")]
    fn naming_the_successor_by_address_is_detected(sequential 1..120 => SuccessorByAddressTest);
}
