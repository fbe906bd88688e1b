//! A cell as an entry VM knows it.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::election::{Fitness, Heartbeat};
use geraniumrelay_core::leased::{EntryVm, FencingToken};
use geraniumrelay_wire::leased::CellBeat;

use super::MS;
use crate::leased::cell::Cell;

fn report(load_percent: u32) -> CellBeat {
    CellBeat {
        load_percent,
        ..CellBeat::default()
    }
}

/// The last report of a silent scheduler drew jobs until its time-out.
#[test]
fn a_load_without_a_recent_report_is_that_of_a_cell_without_room() {
    let now = Instant::now();
    let mut cell = Cell::new(CellName("z/0".into()), EntryVm([10, 0, 0, 1].into()), now);
    assert_eq!(cell.load(now), 200, "no report yet");
    cell.apply_status(&report(10), now);
    assert_eq!(cell.load(now + 200 * MS), 10);
    assert_eq!(cell.load(now + 260 * MS), 200);
    cell.apply_status(&report(20), now + 260 * MS);
    assert_eq!(cell.load(now + 260 * MS), 20);
    cell.apply_status(&report(u32::MAX), now);
    assert_eq!(cell.load(now + 260 * MS), u32::MAX);
}

/// Guards against a new scheduler that takes the runs of any scheduler before it for reported.
#[test]
fn only_schedulers_that_used_listed_workers_until_a_moment_ago_are_predecessors() {
    const TTL: Duration = Duration::from_secs(5);
    let now = Instant::now();
    let mut cell = Cell::new(CellName::single(), EntryVm([10, 0, 0, 1].into()), now);
    let other = EntryVm([10, 0, 0, 2].into());
    let token = FencingToken::new(7, other);
    let heartbeat = |has_store| Heartbeat {
        token: Some(token),
        has_store,
        is_ineligible: false,
        successor: None,
        follows: Some(token),
        knows_departed: true,
        usable_workers: 1,
        lag: Duration::ZERO,
        fitness: Fitness::default(),
    };
    cell.election.on_heartbeat(other, heartbeat(true), now);
    cell.note_scheduler(now, TTL);
    assert_eq!(cell.predecessors(now, TTL), [(token, now + TTL)]);
    cell.election
        .on_heartbeat(other, heartbeat(false), now + 60 * MS);
    cell.note_scheduler(now + 60 * MS, TTL);
    assert!(
        cell.predecessors(now + 60 * MS, TTL).is_empty(),
        "it has lost the store"
    );
    cell.election
        .on_heartbeat(other, heartbeat(true), now + 120 * MS);
    cell.note_scheduler(now + 120 * MS, TTL);
    assert!(
        cell.predecessors(now + 120 * MS, TTL).is_empty(),
        "it has just got it back"
    );
}
