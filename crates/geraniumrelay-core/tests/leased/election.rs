//! Which entry VM schedules.

use std::time::{Duration, Instant, SystemTime};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::election::{
    Election, ElectionConfig, Fitness, Heartbeat, Transition,
};
use geraniumrelay_core::leased::{EntryVm, FencingToken};

use crate::world::vm;

const MS: Duration = Duration::from_millis(1);

fn ready(number: u8, now: Instant) -> Election {
    let mut election = Election::new(ElectionConfig::default(), vm(number), now);
    election.set_own(false, true, now);
    election.set_fitness(true, Fitness::default());
    election
}

fn idle() -> Heartbeat {
    Heartbeat {
        token: None,
        has_store: true,
        is_ineligible: false,
        successor: None,
        follows: None,
        knows_departed: true,
        lag: Duration::ZERO,
        fitness: Fitness::default(),
    }
}

fn tick(election: &mut Election, now: Instant) -> Transition {
    election.tick(now, SystemTime::now())
}

/// Lets `election` take over, and returns its token.
fn lead(election: &mut Election, now: Instant) -> Heartbeat {
    assert_matches!(tick(election, now), Transition::TakeOver(_));
    election.own_heartbeat(None)
}

#[test]
fn the_first_in_line_takes_over_and_the_second_waits() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 400 * MS;
    first.on_heartbeat(vm(2), idle(), now);
    second.on_heartbeat(vm(1), idle(), now);
    assert_eq!(tick(&mut second, now), Transition::Unchanged);
    let beat = lead(&mut first, now);
    assert_matches!(second.on_heartbeat(vm(1), beat, now + MS), Transition::Follow(v, _) if v == vm(1));
}

#[test]
fn the_next_in_line_takes_over_when_the_link_breaks() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    second.on_heartbeat(vm(1), beat, now);
    assert_eq!(second.link_lost(vm(1), now + MS), Transition::SchedulerLost);
    let step = tick(&mut second, now + 2 * MS);
    assert_matches!(step, Transition::TakeOver(token) if Some(token) > beat.token);
}

#[test]
fn a_silent_scheduler_is_replaced_within_half_a_second() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    second.on_heartbeat(vm(1), beat, now);
    assert_eq!(tick(&mut second, now + 250 * MS), Transition::Unchanged);
    assert_eq!(tick(&mut second, now + 300 * MS), Transition::SchedulerLost);
    // The silent one still counts as a peer for a while, but one turn later it is too late for it.
    assert_matches!(tick(&mut second, now + 460 * MS), Transition::TakeOver(_));
}

#[test]
fn the_lower_token_yields() {
    let start = Instant::now();
    let (mut first, mut second) = (ready(1, start), ready(2, start));
    let now = start + 500 * MS;
    let low = lead(&mut first, now);
    let high = lead(&mut second, now);
    assert!(high.token > low.token);
    assert_eq!(
        first.on_heartbeat(vm(2), high, now + MS),
        Transition::StepDown(vm(2))
    );
    assert_eq!(
        second.on_heartbeat(vm(1), low, now + MS),
        Transition::Unchanged
    );
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
    let without = Heartbeat {
        has_store: false,
        ..idle()
    };
    first.on_heartbeat(vm(2), without, later);
    assert_eq!(tick(&mut first, later), Transition::Unchanged);
    first.on_heartbeat(vm(3), idle(), later);
    assert_eq!(tick(&mut first, later), Transition::HandOver(vm(3)));
}

#[test]
fn the_named_successor_does_not_wait_for_its_turn() {
    let start = Instant::now();
    let mut third = ready(3, start);
    let now = start + 500 * MS;
    third.on_heartbeat(vm(1), idle(), now);
    third.on_heartbeat(vm(2), idle(), now);
    assert_eq!(tick(&mut third, now), Transition::Unchanged);
    let beat = Heartbeat {
        successor: Some(vm(3)),
        ..idle()
    };
    third.on_heartbeat(vm(1), beat, now);
    assert_matches!(tick(&mut third, now), Transition::TakeOver(_));
}

#[test]
fn a_barred_process_never_takes_over() {
    let start = Instant::now();
    let mut only = Election::new(ElectionConfig::default(), vm(1), start);
    assert_eq!(
        tick(&mut only, start + Duration::from_secs(9)),
        Transition::Unchanged
    );
}

#[test]
fn a_fenced_scheduler_comes_back_with_a_higher_token() {
    let start = Instant::now();
    let mut first = ready(1, start);
    let now = start + 500 * MS;
    let beat = lead(&mut first, now);
    assert_eq!(first.on_fenced(now), Transition::SchedulerLost);
    let step = tick(&mut first, now + Duration::from_secs(5));
    assert_matches!(step, Transition::TakeOver(token) if token.round() > beat.token.unwrap().round() + 1);
}

#[test]
fn rounds_grow_over_a_restart_of_all() {
    let start = Instant::now();
    let token_at = |wall| {
        let mut only = ready(1, start);
        match only.tick(start + 500 * MS, wall) {
            Transition::TakeOver(token) => token,
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
    assert_eq!(
        tick(&mut restarted, known + 100 * MS),
        Transition::Unchanged
    );
    let mut scheduler = ready(2, start);
    let beat = lead(&mut scheduler, start + 400 * MS);
    let step = restarted.on_heartbeat(vm(2), beat, known + 150 * MS);
    assert_matches!(step, Transition::Follow(v, _) if v == vm(2));
    assert_eq!(
        tick(&mut restarted, known + 350 * MS),
        Transition::Unchanged
    );
}

/// Its VM has turned several times slower, which costs all jobs of all VMs.
#[test]
fn a_scheduler_that_lags_hands_over_to_one_that_does_not() {
    let start = Instant::now();
    let mut first = ready(1, start);
    let now = start + 500 * MS;
    first.on_heartbeat(vm(2), idle(), now);
    lead(&mut first, now);
    let now = now + Duration::from_secs(2);
    let slow = Heartbeat {
        lag: 200 * MS,
        ..idle()
    };
    first.on_heartbeat(vm(2), slow, now);
    first.on_heartbeat(vm(3), idle(), now);
    first.set_lag(200 * MS, now);
    assert_eq!(
        tick(&mut first, now),
        Transition::Unchanged,
        "a single pause is none"
    );
    let now = now + 250 * MS;
    first.set_lag(200 * MS, now);
    assert_eq!(tick(&mut first, now), Transition::HandOver(vm(3)));
}

/// More than any VM can do: changing the scheduler would only add to it.
#[test]
fn a_scheduler_does_not_hand_over_where_all_lag_or_it_has_just_taken_over() {
    let start = Instant::now();
    let mut first = ready(1, start);
    let mut now = start + 500 * MS;
    lead(&mut first, now);
    for step in 0..40 {
        now += 25 * MS;
        first.set_lag(200 * MS, now);
        first.on_heartbeat(vm(2), idle(), now);
        assert_eq!(tick(&mut first, now), Transition::Unchanged, "step {step}");
    }
    now += Duration::from_secs(2);
    let slow = Heartbeat {
        lag: 90 * MS,
        ..idle()
    };
    first.on_heartbeat(vm(2), slow, now);
    assert_eq!(tick(&mut first, now), Transition::Unchanged);
}

/// After a partition, beats arrive before this VM can be heard itself.
#[test]
fn a_vm_that_was_cut_off_waits_for_the_scheduler_that_others_follow() {
    let start = Instant::now();
    let (mut other, mut cut) = (ready(2, start), ready(1, start));
    let now = start + Duration::from_secs(1);
    let beat = lead(&mut other, now);
    cut.set_own(false, false, now);
    lead(&mut cut, now);
    let now = now + Duration::from_secs(3);
    let follower = Heartbeat {
        follows: beat.token,
        ..idle()
    };
    cut.on_heartbeat(vm(3), follower, now);
    assert_eq!(tick(&mut cut, now), Transition::HandOver(vm(3)));
    let now = now + 300 * MS;
    cut.on_heartbeat(vm(3), follower, now);
    assert_eq!(tick(&mut cut, now), Transition::Unchanged);
    assert_matches!(cut.on_heartbeat(vm(2), beat, now), Transition::Follow(v, _) if v == vm(2));
}

#[test]
fn a_vm_that_nobody_leads_takes_over_in_the_end() {
    let start = Instant::now();
    let mut cut = ready(1, start);
    let mut now = start + Duration::from_secs(1);
    cut.set_own(false, false, now);
    let follower = Heartbeat {
        follows: Some(FencingToken(7)),
        ..idle()
    };
    let took_over = (0..60).any(|_| {
        now += 25 * MS;
        cut.on_heartbeat(vm(3), follower, now);
        matches!(tick(&mut cut, now), Transition::TakeOver(_))
    });
    assert!(took_over);
}

/// All VMs have lost power at once and start again: those that are back know that none leads.
#[test]
fn nobody_waits_for_a_scheduler_that_the_others_deny() {
    let start = Instant::now();
    let mut first = ready(1, start);
    first.set_members([vm(2), vm(3), vm(4)].into());
    let now = start + 50 * MS;
    first.on_heartbeat(vm(2), idle(), now);
    assert_eq!(
        tick(&mut first, now),
        Transition::Unchanged,
        "too few are heard"
    );
    first.on_heartbeat(vm(3), idle(), now);
    assert_matches!(tick(&mut first, now), Transition::TakeOver(_));
    let mut late = ready(1, start);
    late.set_members([vm(2), vm(3), vm(4)].into());
    let follower = Heartbeat {
        follows: Some(FencingToken(7)),
        ..idle()
    };
    late.on_heartbeat(vm(2), idle(), now);
    late.on_heartbeat(vm(3), idle(), now);
    late.on_heartbeat(vm(4), follower, now);
    assert_eq!(tick(&mut late, now), Transition::Unchanged);
}
