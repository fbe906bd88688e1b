//! Election of the entry VM that schedules.

use std::time::{Duration, Instant, SystemTime};

use assert_matches::assert_matches;
use geraniumrelay_core::leased::election::{
    Election, ElectionConfig, Fitness, Heartbeat, Transition,
};
use geraniumrelay_core::leased::{EntryVm, FencingToken, Scheduler};

use crate::world::vm;

const MS: Duration = Duration::from_millis(1);

/// Election state of a VM that may take over and has the store.
fn eligible_election(number: u8, now: Instant) -> Election {
    let mut election = Election::new(ElectionConfig::default(), vm(number), now);
    election.set_own(false, true, now);
    election.set_fitness(true, Fitness::default());
    election
}

/// Heartbeat of a VM that neither schedules nor follows a scheduler.
fn idle_heartbeat() -> Heartbeat {
    Heartbeat {
        token: None,
        has_store: true,
        is_ineligible: false,
        successor: None,
        follows: None,
        knows_departed: true,
        usable_workers: 0,
        lag: Duration::ZERO,
        fitness: Fitness::default(),
    }
}

fn tick(election: &mut Election, now: Instant) -> Transition {
    election.tick(now, SystemTime::now())
}

/// Lets `election` take over, and returns its next heartbeat.
fn take_over(election: &mut Election, now: Instant) -> Heartbeat {
    assert_matches!(tick(election, now), Transition::TakeOver(_));
    election.own_heartbeat(None)
}

#[test]
fn the_first_ranked_vm_takes_over_and_the_second_waits() {
    let start = Instant::now();
    let (mut first, mut second) = (eligible_election(1, start), eligible_election(2, start));
    let now = start + 400 * MS;
    first.on_heartbeat(vm(2), idle_heartbeat(), now);
    second.on_heartbeat(vm(1), idle_heartbeat(), now);
    assert_eq!(tick(&mut second, now), Transition::Unchanged);
    let heartbeat = take_over(&mut first, now);
    assert_matches!(second.on_heartbeat(vm(1), heartbeat, now + MS), Transition::Follow(v, _) if v == vm(1));
}

#[test]
fn the_next_ranked_vm_takes_over_when_the_connection_breaks() {
    let start = Instant::now();
    let (mut first, mut second) = (eligible_election(1, start), eligible_election(2, start));
    let now = start + 500 * MS;
    let heartbeat = take_over(&mut first, now);
    second.on_heartbeat(vm(1), heartbeat, now);
    assert_eq!(second.link_lost(vm(1), now + MS), Transition::SchedulerLost);
    let transition = tick(&mut second, now + 2 * MS);
    assert_matches!(transition, Transition::TakeOver(token) if Some(token) > heartbeat.token);
}

#[test]
fn an_unresponsive_scheduler_is_replaced_within_half_a_second() {
    let start = Instant::now();
    let (mut first, mut second) = (eligible_election(1, start), eligible_election(2, start));
    let now = start + 500 * MS;
    let heartbeat = take_over(&mut first, now);
    second.on_heartbeat(vm(1), heartbeat, now);
    assert_eq!(tick(&mut second, now + 250 * MS), Transition::Unchanged);
    assert_eq!(tick(&mut second, now + 300 * MS), Transition::SchedulerLost);
    // The unresponsive VM still counts as a live peer and ranks first, so the takeover comes one
    // rank delay later.
    assert_matches!(tick(&mut second, now + 460 * MS), Transition::TakeOver(_));
}

#[test]
fn the_scheduler_with_the_lower_token_steps_down() {
    let start = Instant::now();
    let (mut first, mut second) = (eligible_election(1, start), eligible_election(2, start));
    let now = start + 500 * MS;
    let lower = take_over(&mut first, now);
    let higher = take_over(&mut second, now);
    assert!(higher.token > lower.token);
    assert_eq!(
        first.on_heartbeat(vm(2), higher, now + MS),
        Transition::StepDown(vm(2))
    );
    assert_eq!(
        second.on_heartbeat(vm(1), lower, now + MS),
        Transition::Unchanged
    );
    assert!(second.is_scheduler());
}

#[test]
fn a_scheduler_without_the_store_hands_over_to_a_vm_with_the_store() {
    let start = Instant::now();
    let mut first = eligible_election(1, start);
    let now = start + 500 * MS;
    take_over(&mut first, now);
    first.set_own(false, false, now);
    let later = now + 1_600 * MS;
    let without_store = Heartbeat {
        has_store: false,
        ..idle_heartbeat()
    };
    first.on_heartbeat(vm(2), without_store, later);
    assert_eq!(tick(&mut first, later), Transition::Unchanged);
    first.on_heartbeat(vm(3), idle_heartbeat(), later);
    assert_eq!(tick(&mut first, later), Transition::HandOver(vm(3)));
}

#[test]
fn the_named_successor_takes_over_without_a_rank_delay() {
    let start = Instant::now();
    let mut third = eligible_election(3, start);
    let now = start + 500 * MS;
    third.on_heartbeat(vm(1), idle_heartbeat(), now);
    third.on_heartbeat(vm(2), idle_heartbeat(), now);
    assert_eq!(tick(&mut third, now), Transition::Unchanged);
    let heartbeat = Heartbeat {
        successor: Some(vm(3)),
        ..idle_heartbeat()
    };
    third.on_heartbeat(vm(1), heartbeat, now);
    assert_matches!(tick(&mut third, now), Transition::TakeOver(_));
}

/// The scheduler that had named this VM was replaced by another one, which is lost much later.
#[test]
fn a_nomination_does_not_outlast_the_hand_over() {
    let start = Instant::now();
    let mut third = eligible_election(3, start);
    let now = start + 500 * MS;
    let heartbeat = Heartbeat {
        successor: Some(vm(3)),
        ..idle_heartbeat()
    };
    third.on_heartbeat(vm(1), heartbeat, now);
    let scheduler = Heartbeat {
        token: Some(FencingToken(1 << 40)),
        ..idle_heartbeat()
    };
    third.on_heartbeat(vm(2), scheduler, now);
    let now = now + Duration::from_secs(5);
    third.on_heartbeat(vm(1), idle_heartbeat(), now);
    third.on_heartbeat(vm(2), scheduler, now);
    assert_eq!(third.link_lost(vm(2), now), Transition::SchedulerLost);
    assert_eq!(tick(&mut third, now + MS), Transition::Unchanged);
    assert_matches!(tick(&mut third, now + 200 * MS), Transition::TakeOver(_));
}

#[test]
fn an_ineligible_process_never_takes_over() {
    let start = Instant::now();
    let mut only = Election::new(ElectionConfig::default(), vm(1), start);
    assert_eq!(
        tick(&mut only, start + Duration::from_secs(9)),
        Transition::Unchanged
    );
}

#[test]
fn a_fenced_scheduler_takes_over_again_with_a_higher_token() {
    let start = Instant::now();
    let mut first = eligible_election(1, start);
    let now = start + 500 * MS;
    let heartbeat = take_over(&mut first, now);
    assert_eq!(first.on_fenced(now), Transition::SchedulerLost);
    let transition = tick(&mut first, now + Duration::from_secs(5));
    assert_matches!(transition, Transition::TakeOver(token) if token.round() > heartbeat.token.unwrap().round() + 1);
}

/// Workers at which the former scheduler had raised its token would refuse the new one's orders.
#[test]
fn a_takeover_within_a_second_outranks_the_tokens_that_the_former_scheduler_raised_at_workers() {
    let (start, wall) = (Instant::now(), SystemTime::UNIX_EPOCH);
    let mut only = eligible_election(1, start);
    let mut take_over = |at| match only.tick(at, wall) {
        Transition::TakeOver(token) => {
            only.outrank(token, at);
            token
        }
        other => panic!("{other:?}"),
    };
    let former = take_over(start + 500 * MS);
    let next = take_over(start + Duration::from_secs(6));
    assert!(next > former);
    assert!(!Scheduler::new(former, "a".into()).has_had_token(next));
}

#[test]
fn token_rounds_increase_across_a_restart_of_all_vms() {
    let start = Instant::now();
    let token_at = |wall| {
        let mut only = eligible_election(1, start);
        match only.tick(start + 500 * MS, wall) {
            Transition::TakeOver(token) => token,
            other => panic!("{other:?}"),
        }
    };
    let wall = SystemTime::now();
    let later = wall + Duration::from_secs(2);
    assert!(token_at(later) > token_at(wall));
    assert!(
        token_at(later).0 < 1 << 53,
        "JSON numbers represent integers below 2^53 exactly"
    );
}

#[test]
fn tokens_of_one_round_differ_by_vm() {
    use geraniumrelay_core::leased::FencingToken;
    let vms = [[10, 1, 0, 13], [10, 2, 0, 13], [10, 1, 0, 14]];
    let tokens = vms.map(|ip| FencingToken::new(5, EntryVm(ip.into())));
    assert!(tokens[0] != tokens[1] && tokens[0] != tokens[2] && tokens[1] != tokens[2]);
}

/// A process that restarts while another VM schedules reads its tables first and receives
/// heartbeats only after that. It must not take over in between.
#[test]
fn a_restarted_process_waits_for_a_heartbeat_of_the_scheduler() {
    let start = Instant::now();
    let mut restarted = Election::new(ElectionConfig::default(), vm(1), start);
    let known = start + 400 * MS;
    restarted.set_own(true, true, start + 399 * MS);
    restarted.set_own(false, true, known);
    assert_eq!(
        tick(&mut restarted, known + 100 * MS),
        Transition::Unchanged
    );
    let mut scheduler = eligible_election(2, start);
    let heartbeat = take_over(&mut scheduler, start + 400 * MS);
    let transition = restarted.on_heartbeat(vm(2), heartbeat, known + 150 * MS);
    assert_matches!(transition, Transition::Follow(v, _) if v == vm(2));
    assert_eq!(
        tick(&mut restarted, known + 350 * MS),
        Transition::Unchanged
    );
}

/// A scheduler on a VM that has become several times slower delays the jobs of all VMs.
#[test]
fn a_lagging_scheduler_hands_over_to_a_vm_that_does_not_lag() {
    let start = Instant::now();
    let mut first = eligible_election(1, start);
    let now = start + 500 * MS;
    first.on_heartbeat(vm(2), idle_heartbeat(), now);
    take_over(&mut first, now);
    let now = now + Duration::from_secs(2);
    let slow = Heartbeat {
        lag: 200 * MS,
        ..idle_heartbeat()
    };
    first.on_heartbeat(vm(2), slow, now);
    first.on_heartbeat(vm(3), idle_heartbeat(), now);
    first.set_lag(200 * MS, now);
    assert_eq!(
        tick(&mut first, now),
        Transition::Unchanged,
        "a single pause is not a lag"
    );
    let now = now + 250 * MS;
    first.set_lag(200 * MS, now);
    assert_eq!(tick(&mut first, now), Transition::HandOver(vm(3)));
}

/// If the load exceeds the capacity of every VM, a change of the scheduler only adds to the load.
#[test]
fn a_lagging_scheduler_does_not_hand_over_if_all_vms_lag_or_right_after_its_takeover() {
    let start = Instant::now();
    let mut first = eligible_election(1, start);
    let mut now = start + 500 * MS;
    take_over(&mut first, now);
    for step in 0..40 {
        now += 25 * MS;
        first.set_lag(200 * MS, now);
        first.on_heartbeat(vm(2), idle_heartbeat(), now);
        assert_eq!(tick(&mut first, now), Transition::Unchanged, "step {step}");
    }
    now += Duration::from_secs(2);
    let slow = Heartbeat {
        lag: 90 * MS,
        ..idle_heartbeat()
    };
    first.on_heartbeat(vm(2), slow, now);
    assert_eq!(tick(&mut first, now), Transition::Unchanged);
}

/// After a partition, heartbeats of other VMs arrive before those of this VM reach them.
#[test]
fn after_a_partition_a_vm_waits_for_the_scheduler_that_others_follow() {
    let start = Instant::now();
    let (mut other, mut partitioned) = (eligible_election(2, start), eligible_election(1, start));
    let now = start + Duration::from_secs(1);
    let heartbeat = take_over(&mut other, now);
    partitioned.set_own(false, false, now);
    take_over(&mut partitioned, now);
    let now = now + Duration::from_secs(3);
    let follower = Heartbeat {
        follows: heartbeat.token,
        ..idle_heartbeat()
    };
    partitioned.on_heartbeat(vm(3), follower, now);
    assert_eq!(tick(&mut partitioned, now), Transition::HandOver(vm(3)));
    let now = now + 300 * MS;
    partitioned.on_heartbeat(vm(3), follower, now);
    assert_eq!(tick(&mut partitioned, now), Transition::Unchanged);
    assert_matches!(partitioned.on_heartbeat(vm(2), heartbeat, now), Transition::Follow(v, _) if v == vm(2));
}

#[test]
fn a_vm_without_a_heartbeat_of_the_scheduler_takes_over_eventually() {
    let start = Instant::now();
    let mut partitioned = eligible_election(1, start);
    let mut now = start + Duration::from_secs(1);
    partitioned.set_own(false, false, now);
    let follower = Heartbeat {
        follows: Some(FencingToken(7)),
        ..idle_heartbeat()
    };
    let took_over = (0..60).any(|_| {
        now += 25 * MS;
        partitioned.on_heartbeat(vm(3), follower, now);
        matches!(tick(&mut partitioned, now), Transition::TakeOver(_))
    });
    assert!(took_over);
}

/// After a power failure of all VMs, the restarted ones report that they follow no scheduler, so a
/// takeover need not wait for a scheduler to report.
#[test]
fn no_vm_waits_for_a_scheduler_that_no_live_vm_follows() {
    let start = Instant::now();
    let mut first = eligible_election(1, start);
    first.set_members([vm(2), vm(3), vm(4)].into());
    let now = start + 50 * MS;
    first.on_heartbeat(vm(2), idle_heartbeat(), now);
    assert_eq!(
        tick(&mut first, now),
        Transition::Unchanged,
        "heartbeats of too few VMs received"
    );
    first.on_heartbeat(vm(3), idle_heartbeat(), now);
    assert_matches!(tick(&mut first, now), Transition::TakeOver(_));
    let mut late = eligible_election(1, start);
    late.set_members([vm(2), vm(3), vm(4)].into());
    let follower = Heartbeat {
        follows: Some(FencingToken(7)),
        ..idle_heartbeat()
    };
    late.on_heartbeat(vm(2), idle_heartbeat(), now);
    late.on_heartbeat(vm(3), idle_heartbeat(), now);
    late.on_heartbeat(vm(4), follower, now);
    assert_eq!(tick(&mut late, now), Transition::Unchanged);
}

/// Guards against second runs beside those that a scheduler has started on unlisted workers beyond a cut, and which its
/// successor takes for reported as it followed that scheduler last.
#[test]
fn a_scheduler_from_beyond_a_cut_counts_as_up_to_date_only_some_time_after_the_heal() {
    let start = Instant::now();
    let mut election = eligible_election(2, start);
    let scheduling = |has_store| Heartbeat {
        token: Some(FencingToken::new(7, vm(1))),
        has_store,
        ..idle_heartbeat()
    };
    let mut at = |after: u32, has_store| {
        let now = start + after * MS;
        election.on_heartbeat(vm(1), scheduling(has_store), now);
        election.is_scheduler_up_to_date(now)
    };
    assert!(at(0, true), "no cut so far");
    assert!(at(60, true));
    assert!(!at(30_000, false), "cut off until now");
    assert!(!at(30_300, true), "the store has just returned");
    for after in (30_600..35_300).step_by(300) {
        assert!(!at(after, true), "{after} ms");
    }
    assert!(at(35_300, true));
    assert!(!at(35_360, false), "the store is lost again");
}
