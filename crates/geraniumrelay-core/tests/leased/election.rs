//! Which entry VM schedules.

use std::time::{Duration, Instant, SystemTime};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::election::{Beat, Election, ElectionConfig, Fitness, Step};

use crate::world::vm;

const MS: Duration = Duration::from_millis(1);

fn ready(number: u8, now: Instant) -> Election {
    let mut election = Election::new(ElectionConfig::default(), vm(number), now);
    election.set_own(false, true, now);
    election.set_fitness(true, Fitness::default());
    election
}

fn idle() -> Beat {
    Beat {
        token: None,
        has_store: true,
        is_barred: false,
        successor: None,
        follows: None,
        knows_departed: true,
        fitness: Fitness::default(),
    }
}

fn tick(election: &mut Election, now: Instant) -> Step {
    election.tick(now, SystemTime::now())
}

/// Lets `election` take over, and returns its token.
fn lead(election: &mut Election, now: Instant) -> Beat {
    assert_matches!(tick(election, now), Step::TakeOver(_));
    election.own_beat(None)
}

#[test]
fn the_first_in_line_takes_over_and_the_second_waits() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 400 * MS;
    first.hear(vm(2), idle(), now);
    second.hear(vm(1), idle(), now);
    assert_eq!(tick(&mut second, now), Step::Stay);
    let beat = lead(&mut first, now);
    assert_matches!(second.hear(vm(1), beat, now + MS), Step::Follow(v, _) if v == vm(1));
}

#[test]
fn the_next_in_line_takes_over_when_the_link_breaks() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    second.hear(vm(1), beat, now);
    assert_eq!(second.link_lost(vm(1), now + MS), Step::Lose);
    let step = tick(&mut second, now + 2 * MS);
    assert_matches!(step, Step::TakeOver(token) if Some(token) > beat.token);
}

#[test]
fn a_silent_scheduler_is_replaced_within_half_a_second() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    second.hear(vm(1), beat, now);
    assert_eq!(tick(&mut second, now + 250 * MS), Step::Stay);
    assert_eq!(tick(&mut second, now + 300 * MS), Step::Lose);
    // The silent one still counts as a peer for a while, but one turn later it is too late for it.
    assert_matches!(tick(&mut second, now + 460 * MS), Step::TakeOver(_));
}

#[test]
fn the_lower_token_yields() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let low = lead(&mut first, now);
    let high = lead(&mut second, now);
    assert!(high.token > low.token);
    assert_eq!(first.hear(vm(2), high, now + MS), Step::Yield(vm(2)));
    assert_eq!(second.hear(vm(1), low, now + MS), Step::Stay);
    assert!(second.is_scheduler());
}

#[test]
fn a_scheduler_without_the_store_hands_over_to_one_that_has_it() {
    let start = Instant::now();
    let mut first = ready(1, start);
    let now = start + 500 * MS;
    lead(&mut first, now);
    first.set_own(false, false, now);
    let later = now + 1_600 * MS;
    let without = Beat {
        has_store: false,
        ..idle()
    };
    first.hear(vm(2), without, later);
    assert_eq!(tick(&mut first, later), Step::Stay);
    first.hear(vm(3), idle(), later);
    assert_eq!(tick(&mut first, later), Step::HandOver(vm(3)));
}

#[test]
fn the_named_successor_does_not_wait_for_its_turn() {
    let start = Instant::now();
    let mut third = ready(3, start);
    let now = start + 500 * MS;
    third.hear(vm(1), idle(), now);
    third.hear(vm(2), idle(), now);
    assert_eq!(tick(&mut third, now), Step::Stay);
    let beat = Beat {
        successor: Some(vm(3)),
        ..idle()
    };
    third.hear(vm(1), beat, now);
    assert_matches!(tick(&mut third, now), Step::TakeOver(_));
}

#[test]
fn a_barred_process_never_takes_over() {
    let start = Instant::now();
    let mut only = Election::new(ElectionConfig::default(), vm(1), start);
    assert_eq!(tick(&mut only, start + Duration::from_secs(9)), Step::Stay);
}

#[test]
fn a_fenced_scheduler_comes_back_with_a_higher_token() {
    let start = Instant::now();
    let mut first = ready(1, start);
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    assert_eq!(first.fenced(now), Step::Lose);
    let step = tick(&mut first, now + Duration::from_secs(5));
    assert_matches!(step, Step::TakeOver(token) if token.round() > beat.token.unwrap().round() + 1);
}

#[test]
fn rounds_grow_over_a_restart_of_all() {
    let start = Instant::now();
    let token_at = |wall| {
        let mut only = ready(1, start);
        match only.tick(start + 500 * MS, wall) {
            Step::TakeOver(token) => token,
            other => panic!("{other:?}"),
        }
    };
    let wall = SystemTime::now();
    let later = wall + Duration::from_secs(2);
    assert!(token_at(later) > token_at(wall));
    assert!(token_at(later).0 < 1 << 53, "JSON numbers carry it exactly");
}

#[test]
fn tokens_of_one_round_differ_by_vm() {
    use geraniumrelay_core::leased::FencingToken;
    let vms = [[10, 1, 0, 13], [10, 2, 0, 13], [10, 1, 0, 14]];
    let tokens = vms.map(|ip| FencingToken::new(5, EntryVm(ip.into())));
    assert!(tokens[0] != tokens[1] && tokens[0] != tokens[2] && tokens[1] != tokens[2]);
}

/// A process that restarts while another VM schedules reads its tables first, and hears the
/// scheduler only after that.
#[test]
fn a_restarted_process_lets_the_scheduler_make_itself_heard() {
    let start = Instant::now();
    let mut restarted = Election::new(ElectionConfig::default(), vm(1), start);
    let known = start + 400 * MS;
    restarted.set_own(true, true, start + 399 * MS);
    restarted.set_own(false, true, known);
    assert_eq!(tick(&mut restarted, known + 100 * MS), Step::Stay);
    let mut scheduler = ready(2, start);
    let beat = lead(&mut scheduler, start + 400 * MS);
    let step = restarted.hear(vm(2), beat, known + 150 * MS);
    assert_matches!(step, Step::Follow(v, _) if v == vm(2));
    assert_eq!(tick(&mut restarted, known + 350 * MS), Step::Stay);
}
