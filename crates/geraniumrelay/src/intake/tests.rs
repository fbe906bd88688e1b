//! What connections hold in the ledger, without sockets.

use std::time::{Duration, Instant};

use proptest::prelude::*;

use super::ledger::{CONNECTION_BYTES, ConnectionKey, Growth, Ledger, Work};
use super::limits::IntakeLimits;

const MS: Duration = Duration::from_millis(1);

/// Memory of ten connections.
const LIMITS: IntakeLimits = IntakeLimits {
    memory: 10 * CONNECTION_BYTES,
    connections: 6,
};

fn open(ledger: &mut Ledger, now: Instant) -> ConnectionKey {
    let mut evicted = Vec::new();
    let key = ledger.open(now, &mut evicted).unwrap();
    assert!(evicted.is_empty(), "{evicted:?}");
    key
}

/// Grows a connection, and returns those that are evicted for it.
fn grow(
    ledger: &mut Ledger,
    key: ConnectionKey,
    connections: usize,
    now: Instant,
) -> (Growth, Vec<ConnectionKey>) {
    let mut evicted = Vec::new();
    let growth = ledger.grow(key, connections * CONNECTION_BYTES, now, &mut evicted);
    (growth, evicted)
}

#[test]
fn an_unfinished_request_that_holds_much_makes_room_for_a_small_one() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let [large, medium, small] = [(); 3].map(|()| open(&mut ledger, now));
    assert_eq!(grow(&mut ledger, large, 4, now), (Growth::Granted, vec![]));
    assert_eq!(grow(&mut ledger, medium, 3, now), (Growth::Granted, vec![]));
    let now = now + 100 * MS;
    assert_eq!(
        grow(&mut ledger, small, 1, now),
        (Growth::Wait, vec![large])
    );
    assert_eq!(grow(&mut ledger, small, 1, now), (Growth::Wait, vec![]));
    ledger.close(large);
    assert_eq!(grow(&mut ledger, small, 1, now), (Growth::Granted, vec![]));
}

#[test]
fn a_request_that_would_hold_most_is_refused_itself() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let [large, small] = [(); 2].map(|()| open(&mut ledger, now));
    assert_eq!(grow(&mut ledger, small, 2, now), (Growth::Granted, vec![]));
    assert_eq!(grow(&mut ledger, large, 8, now), (Growth::Refused, vec![]));
}

#[test]
fn a_request_that_waits_for_its_answer_is_not_evicted() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let [answering, other] = [(); 2].map(|()| open(&mut ledger, now));
    assert_eq!(grow(&mut ledger, answering, 8, now).0, Growth::Granted);
    ledger.begin_answer(answering, Work::Command);
    assert_eq!(grow(&mut ledger, other, 1, now), (Growth::Refused, vec![]));
    ledger.end_request(answering, 0, now);
    assert_eq!(grow(&mut ledger, other, 1, now), (Growth::Granted, vec![]));
}

#[test]
fn an_answer_that_is_not_read_makes_room() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let [unread, other] = [(); 2].map(|()| open(&mut ledger, now));
    ledger.begin_answer(unread, Work::Query);
    ledger.end_request(unread, 8 * CONNECTION_BYTES, now);
    let now = now + MS;
    assert_eq!(
        grow(&mut ledger, other, 1, now),
        (Growth::Wait, vec![unread])
    );
}

#[test]
fn a_new_connection_replaces_the_one_that_has_idled_for_longest() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let keys = [(); LIMITS.connections].map(|()| open(&mut ledger, now));
    let [answered, idle, ..] = keys;
    ledger.begin_answer(answered, Work::Command);
    ledger.end_request(answered, 0, now);
    for &key in &keys[2..] {
        ledger.begin_request(key, now + MS);
    }
    let mut evicted = Vec::new();
    assert!(ledger.open(now + 2 * MS, &mut evicted).is_some());
    assert_eq!(evicted, [idle], "the one without an answer goes first");
}

#[test]
fn a_new_connection_replaces_the_one_that_asks_most_if_none_is_idle() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    let keys = [(); LIMITS.connections].map(|()| open(&mut ledger, now));
    let [command, once, often, ..] = keys;
    for key in [once, often, often] {
        ledger.begin_answer(key, Work::Query);
        ledger.end_request(key, 0, now);
    }
    for key in keys {
        let is_command = key == command;
        ledger.begin_answer(
            key,
            if is_command {
                Work::Command
            } else {
                Work::Query
            },
        );
    }
    let mut evicted = Vec::new();
    assert!(ledger.open(now, &mut evicted).is_some());
    assert_eq!(evicted, [often]);
}

#[test]
fn a_connection_is_refused_while_all_others_wait_for_answers_to_commands() {
    let now = Instant::now();
    let mut ledger = Ledger::new(LIMITS);
    for _ in 0..LIMITS.connections {
        let key = open(&mut ledger, now);
        ledger.begin_answer(key, Work::Command);
    }
    let mut evicted = Vec::new();
    assert_eq!(ledger.open(now, &mut evicted), None);
    assert!(evicted.is_empty());
}

/// A step of one of the connections.
#[derive(Debug, Clone, Copy)]
enum Step {
    Open,
    Grow(usize),
    Answer(Work),
    End(usize),
    Close,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Open),
        5 => (1..5 * CONNECTION_BYTES).prop_map(Step::Grow),
        1 => Just(Step::Answer(Work::Query)),
        1 => Just(Step::Answer(Work::Command)),
        2 => (0..CONNECTION_BYTES).prop_map(Step::End),
        2 => Just(Step::Close),
    ]
}

proptest! {
    /// Evicted connections close late, in any order between the other steps.
    #[test]
    fn connections_never_hold_more_than_the_limits(
        steps in prop::collection::vec((step(), any::<prop::sample::Index>()), 1..200),
    ) {
        let mut now = Instant::now();
        let mut ledger = Ledger::new(LIMITS);
        let mut keys: Vec<ConnectionKey> = Vec::new();
        // An answer is of at most one connection's bytes, and is not refused.
        let max = LIMITS.memory + LIMITS.connections * CONNECTION_BYTES;
        for (step, index) in steps {
            now += MS;
            let key = (!keys.is_empty()).then(|| *index.get(&keys));
            let mut evicted = Vec::new();
            match (step, key) {
                (Step::Open, _) => keys.extend(ledger.open(now, &mut evicted)),
                (Step::Grow(bytes), Some(key)) => {
                    let before = ledger.bytes();
                    let growth = ledger.grow(key, bytes, now, &mut evicted);
                    let grown = if growth == Growth::Granted { bytes } else { 0 };
                    prop_assert_eq!(ledger.bytes(), before + grown);
                    prop_assert!(growth != Growth::Granted || ledger.bytes() <= LIMITS.memory);
                }
                (Step::Answer(work), Some(key)) => ledger.begin_answer(key, work),
                (Step::End(bytes), Some(key)) => ledger.end_request(key, bytes, now),
                (Step::Close, Some(key)) => {
                    keys.retain(|&k| k != key);
                    ledger.close(key);
                }
                (_, None) => {}
            }
            for key in evicted {
                prop_assert!(ledger.is_evicted(key));
            }
            let open = keys.iter().filter(|&&k| !ledger.is_evicted(k)).count();
            prop_assert!(open <= LIMITS.connections);
            prop_assert_eq!(ledger.connections(), keys.len());
            prop_assert!(ledger.bytes() <= max + keys.len() * CONNECTION_BYTES);
        }
        for key in keys {
            ledger.close(key);
        }
        prop_assert_eq!(ledger.bytes(), 0);
    }
}
