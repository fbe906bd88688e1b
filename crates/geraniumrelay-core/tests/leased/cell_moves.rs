//! Which VM schedules which cell: starts of many VMs, and a store that all schedulers lose at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use geraniumrelay_core::leased::election::{
    Election, ElectionConfig, Fitness, Heartbeat, SchedulerStatus, Transition,
};
use geraniumrelay_core::leased::{EntryVm, FencingToken};

use crate::world::vm;

const MS: Duration = Duration::from_millis(1);
const TICK_INTERVAL: Duration = Duration::from_millis(25);
const SCHEDULER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(60);
const FOLLOWER_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two hand-overs by one VM.
const HAND_OVER_PAUSE: Duration = Duration::from_millis(500);
/// Delay of a hand-over for each cell of the data centre that precedes this one.
const HAND_OVER_STAGGER: Duration = Duration::from_millis(150);

/// A VM with its elections, one for each cell.
struct Vm {
    name: EntryVm,
    data_centre: usize,
    cpu_tenths: u32,
    starts_at: Instant,
    /// Since when the store does not answer this VM.
    has_store: bool,
    elections: Vec<Election>,
    next_heartbeat: Instant,
}

/// Entry VMs in virtual time. Heartbeats take no time.
struct Fleet {
    started_at: Instant,
    now: Instant,
    vms: Vec<Vm>,
    /// Data centre of each cell.
    cells: Vec<usize>,
    has_jobs: bool,
    /// Time, cell and successor of each hand-over.
    hand_overs: Vec<(Duration, usize, EntryVm)>,
    /// Time for which a cell had no scheduler after its first one, in ticks.
    gaps: BTreeMap<usize, u32>,
}

impl Fleet {
    /// Data centres of two cells each, with VMs of the given tenths of a core that start 30 ms apart.
    fn new(data_centres: usize, cpu_tenths: &[u32]) -> Self {
        let now = Instant::now();
        let mut vms = Vec::new();
        let cells: Vec<usize> = (0..data_centres).flat_map(|d| [d, d]).collect();
        for (position, &cpu) in cpu_tenths.iter().enumerate() {
            for data_centre in 0..data_centres {
                let number = u8::try_from(vms.len() + 1).unwrap();
                let starts_at = now + 30 * MS * u32::try_from(position).unwrap();
                let election = |_| Election::new(ElectionConfig::default(), vm(number), starts_at);
                vms.push(Vm {
                    name: vm(number),
                    data_centre,
                    cpu_tenths: cpu,
                    starts_at,
                    has_store: true,
                    elections: cells.iter().map(election).collect(),
                    next_heartbeat: starts_at,
                });
            }
        }
        Self {
            started_at: now,
            now,
            vms,
            cells,
            has_jobs: false,
            hand_overs: Vec::new(),
            gaps: BTreeMap::new(),
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            for position in 0..self.vms.len() {
                if self.vms[position].starts_at <= self.now {
                    self.tick(position);
                }
            }
            for cell in 0..self.cells.len() {
                if self.schedulers(cell).is_empty() {
                    *self.gaps.entry(cell).or_default() += 1;
                }
            }
            self.now += TICK_INTERVAL;
        }
    }

    fn scheduled_cells(&self, position: usize) -> usize {
        let elections = self.vms[position].elections.iter();
        elections.filter(|e| e.is_scheduler()).count()
    }

    fn tick(&mut self, position: usize) {
        let now = self.now;
        for cell in 0..self.cells.len() {
            self.update(position, cell);
            let election = &mut self.vms[position].elections[cell];
            match election.tick(now, SystemTime::now()) {
                Transition::TakeOver(_) => self.send_heartbeat(position, None),
                Transition::HandOver(to) => {
                    let at = now.duration_since(self.started_at);
                    self.hand_overs.push((at, cell, to));
                    for election in &mut self.vms[position].elections {
                        election.postpone_hand_over(now + HAND_OVER_PAUSE);
                    }
                    self.send_heartbeat(position, Some((cell, to)));
                }
                _ => {}
            }
        }
        if now >= self.vms[position].next_heartbeat {
            self.send_heartbeat(position, None);
            let interval = if self.scheduled_cells(position) > 0 {
                SCHEDULER_HEARTBEAT_INTERVAL
            } else {
                FOLLOWER_HEARTBEAT_INTERVAL
            };
            self.vms[position].next_heartbeat = now + interval;
        }
    }

    fn update(&mut self, position: usize, cell: usize) {
        let scheduled = self.scheduled_cells(position);
        let preceding = self.cells[..cell].iter();
        let preceding = preceding.filter(|&&d| d == self.cells[cell]).count();
        let members: Vec<EntryVm> = self.vms.iter().map(|v| v.name).collect();
        let vm = &mut self.vms[position];
        let members = members.into_iter().filter(|&m| m != vm.name).collect();
        let other_cells = scheduled - usize::from(vm.elections[cell].is_scheduler());
        let fitness = Fitness {
            is_local: self.cells[cell] == vm.data_centre,
            cpu_tenths: vm.cpu_tenths,
            other_cells: u32::try_from(other_cells).unwrap(),
        };
        let election = &mut vm.elections[cell];
        election.set_own(false, vm.has_store, self.now);
        election.set_members(members);
        election.set_fitness(true, fitness);
        election.set_peer_freshness(FOLLOWER_HEARTBEAT_INTERVAL * 2 + 50 * MS);
        let delay = HAND_OVER_STAGGER * u32::try_from(preceding).unwrap();
        election.set_status(SchedulerStatus {
            has_jobs: self.has_jobs,
            hand_over_delay: delay,
            ..SchedulerStatus::default()
        });
    }

    fn send_heartbeat(&mut self, from: usize, successor: Option<(usize, EntryVm)>) {
        let now = self.now;
        for cell in 0..self.cells.len() {
            self.update(from, cell);
            let named = successor.filter(|s| s.0 == cell).map(|s| s.1);
            let heartbeat = self.vms[from].elections[cell].own_heartbeat(named);
            let sender = self.vms[from].name;
            for to in 0..self.vms.len() {
                if to != from && self.vms[to].starts_at <= now {
                    self.vms[to].elections[cell].on_heartbeat(sender, heartbeat, now);
                }
            }
        }
    }

    /// VMs that schedule a cell.
    fn schedulers(&self, cell: usize) -> Vec<&Vm> {
        let vms = self.vms.iter();
        vms.filter(|v| v.elections[cell].is_scheduler()).collect()
    }

    /// Asserts that each cell has one scheduler, which is a large VM of its data centre without another
    /// cell.
    fn assert_spread_over_large_vms(&self, large: u32) {
        for cell in 0..self.cells.len() {
            let schedulers = self.schedulers(cell);
            assert_eq!(schedulers.len(), 1, "cell {cell}");
            let scheduler = schedulers[0];
            assert_eq!(scheduler.data_centre, self.cells[cell], "cell {cell}");
            assert_eq!(scheduler.cpu_tenths, large, "cell {cell}");
            let cells = scheduler.elections.iter().filter(|e| e.is_scheduler());
            assert_eq!(cells.count(), 1, "cells of {}", scheduler.name);
        }
    }
}

/// The first VM that was up scheduled all cells, and handed them over only as callers waited.
#[test]
fn cells_are_on_the_largest_vms_before_callers_come() {
    let mut fleet = Fleet::new(3, &[1, 1, 2, 1, 5, 5, 1, 5]);
    fleet.run_for(Duration::from_secs(6));
    fleet.assert_spread_over_large_vms(5);
}

/// All VMs start again while callers send jobs.
#[test]
fn cells_with_jobs_leave_a_small_vm_without_a_gap() {
    let mut fleet = Fleet::new(3, &[1, 1, 1, 5, 5]);
    fleet.has_jobs = true;
    fleet.run_for(Duration::from_secs(1));
    fleet.gaps.clear();
    fleet.run_for(Duration::from_secs(6));
    fleet.assert_spread_over_large_vms(5);
    let longest = fleet.gaps.values().max().copied().unwrap_or(0);
    assert!(longest <= 4, "ticks without a scheduler: {:?}", fleet.gaps);
}

/// The schedulers of all cells handed over within 0.1 s, and most to the same VMs.
#[test]
fn cells_whose_schedulers_lose_the_store_move_one_at_a_time_to_vms_without_a_cell() {
    let mut fleet = Fleet::new(3, &[5, 5, 5, 5, 5]);
    fleet.run_for(Duration::from_secs(4));
    fleet.hand_overs.clear();
    fleet.has_jobs = true;
    for vm in &mut fleet.vms {
        vm.has_store = !vm.elections.iter().any(Election::is_scheduler);
    }
    fleet.run_for(Duration::from_secs(4));
    fleet.assert_spread_over_large_vms(5);
    assert_eq!(fleet.hand_overs.len(), 6, "{:?}", fleet.hand_overs);
    for data_centre in 0..3 {
        let of_data_centre = |h: &&(Duration, usize, EntryVm)| fleet.cells[h.1] == data_centre;
        let times: Vec<Duration> = fleet
            .hand_overs
            .iter()
            .filter(of_data_centre)
            .map(|h| h.0)
            .collect();
        assert!(times[1] >= times[0] + 100 * MS, "{:?}", fleet.hand_overs);
    }
}

/// A cell whose VM is large enough stays there, whatever the others are.
#[test]
fn a_cell_with_jobs_does_not_move_for_a_little_more_processor() {
    let mut fleet = Fleet::new(1, &[3, 3]);
    fleet.run_for(Duration::from_secs(2));
    let before = fleet.hand_overs.len();
    fleet.has_jobs = true;
    fleet.vms[0].cpu_tenths = 5;
    fleet.vms[1].cpu_tenths = 5;
    fleet.run_for(Duration::from_secs(4));
    assert_eq!(fleet.hand_overs.len(), before);
}

/// A process that was paused has missed the heartbeats of the scheduler that took over.
#[test]
fn a_paused_scheduler_stops_and_waits_for_heartbeats() {
    let start = Instant::now();
    let mut election = Election::new(ElectionConfig::default(), vm(1), start);
    election.set_own(false, true, start);
    let mut now = start + 500 * MS;
    assert!(matches!(
        election.tick(now, SystemTime::now()),
        Transition::TakeOver(_)
    ));
    now += Duration::from_secs(3);
    assert_eq!(election.on_paused(now), Transition::SchedulerLost);
    assert!(!election.is_scheduler());
    let before_grace = election.tick(now + 250 * MS, SystemTime::now());
    assert_eq!(before_grace, Transition::Unchanged);
    let after_grace = election.tick(now + 350 * MS, SystemTime::now());
    assert!(matches!(after_grace, Transition::TakeOver(_)));
}

/// The token is raised only where no other VM can be scheduling the cell.
#[test]
fn a_fenced_scheduler_raises_its_token_if_all_vms_that_are_heard_follow_it() {
    let mut fleet = Fleet::new(1, &[5, 5, 5, 5]);
    fleet.run_for(Duration::from_secs(2));
    let now = fleet.now;
    let (raised, former) = {
        let scheduler = fleet.vms.iter_mut().find(|v| v.elections[0].is_scheduler());
        let election = &mut scheduler.unwrap().elections[0];
        let former = election.current().unwrap().1;
        (election.raise_token(now, SystemTime::now()), former)
    };
    let raised = raised.expect("all VMs follow the scheduler");
    assert!(raised > former);
    fleet.run_for(Duration::from_secs(1));
    for vm in &fleet.vms {
        assert_eq!(vm.elections[0].current().map(|c| c.1), Some(raised));
    }
    let stale = fleet.now + Duration::from_secs(2);
    let scheduler = fleet.vms.iter_mut().find(|v| v.elections[0].is_scheduler());
    let election = &mut scheduler.unwrap().elections[0];
    assert_eq!(
        election.raise_token(stale, SystemTime::now()),
        None,
        "no VM is heard"
    );
}

#[test]
fn a_scheduler_keeps_its_token_beside_a_vm_that_follows_another_one() {
    let start = Instant::now();
    let mut election = Election::new(ElectionConfig::default(), vm(1), start);
    election.set_own(false, true, start);
    election.set_members([vm(2), vm(3)].into());
    let now = start + Duration::from_secs(1);
    assert!(matches!(
        election.tick(now, SystemTime::now()),
        Transition::TakeOver(_)
    ));
    let now = now + Duration::from_secs(1);
    let own = election.own_heartbeat(None);
    let follower = Heartbeat { token: None, ..own };
    election.on_heartbeat(vm(2), follower, now);
    let other = Heartbeat {
        follows: Some(FencingToken(7)),
        ..follower
    };
    election.on_heartbeat(vm(3), other, now);
    assert_eq!(election.raise_token(now, SystemTime::now()), None);
    election.on_heartbeat(vm(3), follower, now);
    assert!(election.raise_token(now, SystemTime::now()).is_some());
}

fn with_workers(usable_workers: u32) -> SchedulerStatus {
    SchedulerStatus {
        can_raise_token: true,
        usable_workers,
        ..SchedulerStatus::default()
    }
}

/// The scheduler that gets the cell as a partition heals is the one that has the store, and it keeps its
/// jobs.
#[test]
fn a_scheduler_with_the_store_outranks_one_without() {
    let start = Instant::now();
    let scheduler = |number| {
        let mut election = Election::new(ElectionConfig::default(), vm(number), start);
        election.set_own(false, true, start);
        let transition = election.tick(start + Duration::from_secs(1), SystemTime::now());
        assert!(matches!(transition, Transition::TakeOver(_)));
        election
    };
    let (mut lower, mut higher) = (scheduler(1), scheduler(2));
    let now = start + Duration::from_secs(2);
    higher.set_own(false, false, now);
    lower.set_status(with_workers(32));
    higher.set_status(with_workers(16));
    let transition = lower.on_heartbeat(vm(2), higher.own_heartbeat(None), now);
    assert_eq!(transition, Transition::Unchanged);
    let transition = lower.tick(now, SystemTime::now());
    assert!(
        matches!(transition, Transition::RaiseToken(token) if Some(token) > higher.current().map(|c| c.1))
    );
    let transition = higher.on_heartbeat(vm(1), lower.own_heartbeat(None), now);
    assert_eq!(transition, Transition::StepDown(vm(1)));
}

/// Each VM that had the store again took all cells whose scheduler handed over at that moment, as the last
/// heartbeats of the others still said that they had no store.
#[test]
fn no_cell_moves_as_a_store_returns_that_was_down_for_all() {
    let mut fleet = Fleet::new(3, &[5, 5, 5, 1, 1, 1, 1, 1]);
    fleet.run_for(Duration::from_secs(4));
    fleet.hand_overs.clear();
    fleet.gaps.clear();
    fleet.has_jobs = true;
    for vm in &mut fleet.vms {
        vm.has_store = false;
    }
    fleet.run_for(Duration::from_secs(4));
    // The schedulers' reads come last.
    let order = |v: &Vm| v.elections.iter().any(Election::is_scheduler);
    for is_scheduler in [false, true] {
        for position in 0..fleet.vms.len() {
            if order(&fleet.vms[position]) == is_scheduler {
                fleet.vms[position].has_store = true;
                fleet.send_heartbeat(position, None);
                fleet.run_for(TICK_INTERVAL);
            }
        }
    }
    fleet.run_for(Duration::from_secs(2));
    assert!(fleet.hand_overs.is_empty(), "{:?}", fleet.hand_overs);
    assert!(fleet.gaps.is_empty(), "{:?}", fleet.gaps);
}

/// The same as a scheduler is lost at that moment: one VM takes its cell over.
#[test]
fn one_vm_takes_over_from_a_scheduler_that_is_lost_as_the_store_returns() {
    let mut fleet = Fleet::new(1, &[1, 1, 1, 1, 1, 5, 5, 5]);
    fleet.run_for(Duration::from_secs(4));
    for vm in &mut fleet.vms {
        vm.has_store = false;
    }
    fleet.run_for(Duration::from_secs(4));
    let is_scheduler = |v: &Vm| v.elections[0].is_scheduler();
    let lost = fleet.vms.iter().position(is_scheduler).unwrap();
    let lost = fleet.vms.remove(lost).name;
    for vm in &mut fleet.vms {
        vm.has_store = true;
        for election in &mut vm.elections {
            election.link_lost(lost, fleet.now);
        }
    }
    let mut takeovers = BTreeSet::new();
    for _ in 0..40 {
        fleet.run_for(TICK_INTERVAL);
        takeovers.extend(fleet.schedulers(0).iter().map(|v| v.name));
    }
    assert_eq!(takeovers.len(), 1, "{takeovers:?}");
}

/// In each data centre beyond a cut zone a VM takes the zone's cells over, without a worker; as the cut
/// heals, the scheduler in the zone has all workers and jobs of the cell, and no store yet.
#[test]
fn a_scheduler_without_workers_steps_down_though_it_has_the_store() {
    let start = Instant::now();
    let scheduler = |number| {
        let mut election = Election::new(ElectionConfig::default(), vm(number), start);
        election.set_own(false, true, start);
        let transition = election.tick(start + Duration::from_secs(1), SystemTime::now());
        assert!(matches!(transition, Transition::TakeOver(_)));
        election
    };
    let (mut outside, mut inside) = (scheduler(1), scheduler(2));
    outside.set_status(with_workers(0));
    inside.set_status(with_workers(54));
    let lost_at = start + Duration::from_secs(2);
    for peer in [vm(1), vm(3)] {
        let follower = Heartbeat {
            token: None,
            ..outside.own_heartbeat(None)
        };
        inside.on_heartbeat(peer, follower, lost_at);
        inside.link_lost(peer, lost_at);
    }
    inside.set_own(false, false, lost_at);
    let healed_at = lost_at + Duration::from_secs(5);
    let follower = Heartbeat {
        token: None,
        ..outside.own_heartbeat(None)
    };
    inside.on_heartbeat(vm(3), follower, healed_at);
    inside.on_heartbeat(vm(1), outside.own_heartbeat(None), healed_at);
    let transition = inside.tick(healed_at, SystemTime::now());
    assert_eq!(transition, Transition::Unchanged, "the store comes soon");
    let transition = outside.on_heartbeat(vm(2), inside.own_heartbeat(None), healed_at);
    assert_eq!(transition, Transition::StepDown(vm(2)));
    let mut now = healed_at;
    for _ in 0..50 {
        now += 50 * MS;
        inside.on_heartbeat(vm(3), follower, now);
        if let Transition::HandOver(_) = inside.tick(now, SystemTime::now()) {
            break;
        }
    }
    assert!(!inside.is_scheduler(), "the store does not come");
    assert!(now - healed_at >= 800 * MS);
}

/// Callers' jobs were sent to the scheduler of the other side and back, and ended as timed out.
#[test]
fn a_vm_stays_with_a_scheduler_that_will_outrank_the_other_one() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut scheduler = Election::new(ElectionConfig::default(), vm(1), start);
    scheduler.set_own(false, true, start);
    assert!(matches!(
        scheduler.tick(now, SystemTime::now()),
        Transition::TakeOver(_)
    ));
    scheduler.set_status(with_workers(54));
    let known = scheduler.own_heartbeat(None);
    let other = Heartbeat {
        token: Some(FencingToken(u64::MAX >> 12)),
        has_store: false,
        usable_workers: 0,
        ..known
    };
    let mut follower = Election::new(ElectionConfig::default(), vm(3), start);
    follower.on_heartbeat(vm(1), known, now);
    assert_eq!(
        follower.on_heartbeat(vm(2), other, now),
        Transition::Unchanged
    );
    let with_more = Heartbeat {
        usable_workers: 60,
        ..other
    };
    assert!(matches!(
        follower.on_heartbeat(vm(2), with_more, now),
        Transition::Follow(vm_2, _) if vm_2 == vm(2)
    ));
}
