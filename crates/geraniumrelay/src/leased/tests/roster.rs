//! Workers and entry VMs as the store lists them.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_adapter::Change;
use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::cells::CellName;

use crate::leased::roster::{Directory, WorkerChange};

const TTL: Duration = Duration::from_secs(20);

fn worker(name: &str, state: &str) -> Change {
    let value = format!(
        r#"{{"service":"s","address":"10.1.2.3:80","zone":"z","state":"{state}",
            "capacity":{{"cpu":64000,"mem_mb":1,"gpu":0}},"labels":[],"born":1}}"#
    );
    Change {
        key: name.to_owned(),
        value: Some(value.into_bytes()),
        version: 1,
    }
}

fn removed(name: &str) -> Change {
    Change {
        key: name.to_owned(),
        value: None,
        version: 1,
    }
}

fn member(name: &str, value: &str) -> Change {
    Change {
        key: name.to_owned(),
        value: Some(value.into()),
        version: 1,
    }
}

fn roster() -> Directory {
    Directory::new(TTL, false)
}

#[test]
fn heartbeats_that_change_nothing_are_no_news() {
    let (mut roster, now) = (roster(), Instant::now());
    let rows = [worker("w", "ready")];
    assert_matches!(
        roster.apply_worker_rows(true, &rows, now)[..],
        [WorkerChange::Seen(_)]
    );
    assert!(roster.apply_worker_rows(false, &rows, now).is_empty());
    let rows = [worker("w", "draining")];
    assert_matches!(
        roster.apply_worker_rows(false, &rows, now)[..],
        [WorkerChange::Seen(_)]
    );
}

#[test]
fn a_whole_table_tells_who_is_gone() {
    let (mut roster, now) = (roster(), Instant::now());
    roster.apply_worker_rows(true, &[worker("a", "ready"), worker("b", "ready")], now);
    let news = roster.apply_worker_rows(true, &[worker("b", "ready")], now);
    assert_matches!(&news[..], [WorkerChange::Gone(entry)] if &*entry.name.0 == "a");
}

#[test]
fn an_unreadable_entry_takes_its_worker_out_and_leaves_the_others() {
    let (mut roster, now) = (roster(), Instant::now());
    roster.apply_worker_rows(true, &[worker("a", "ready"), worker("b", "ready")], now);
    let news = roster.apply_worker_rows(false, &[worker("a", "odd")], now);
    assert_matches!(&news[..], [WorkerChange::Gone(entry)] if &*entry.name.0 == "a");
    assert_eq!(roster.worker_count(), 1);
}

#[test]
fn a_worker_that_went_silent_is_remembered_for_a_while() {
    let (mut roster, now) = (roster(), Instant::now());
    let cell = CellName::single();
    roster.apply_worker_rows(true, &[worker("a", "ready"), worker("b", "draining")], now);
    roster.apply_worker_rows(false, &[removed("a"), removed("b")], now);
    let departed = roster.departed_of(&cell, now + TTL / 2);
    assert_eq!(departed.len(), 1, "a drained worker has ended its tasks");
    assert!(roster.departed_of(&cell, now + TTL).is_empty());
}

#[test]
fn departed_workers_are_known_only_after_a_while_or_at_the_very_start() {
    let now = Instant::now();
    let mut later = roster();
    later.apply_worker_rows(true, &[], now);
    assert!(!later.knows_departed(now));
    assert!(later.knows_departed(now + TTL));
    let mut first = Directory::new(TTL, true);
    first.apply_worker_rows(true, &[], now);
    assert!(first.knows_departed(now));
}

#[test]
fn the_other_entry_vms_are_peers() {
    let mut roster = roster();
    let rows = [
        member("a", "10.0.0.1:7"),
        member("b", "10.0.0.2:7"),
        member("c", "odd"),
    ];
    assert!(!roster.apply_member_rows(true, &rows));
    let peers = roster.peers(EntryVm([10, 0, 0, 1].into()));
    assert_eq!(peers.len(), 1);
    assert!(peers.contains_key(&EntryVm([10, 0, 0, 2].into())));
}

#[test]
fn a_plan_of_cells_splits_the_workers() {
    let (mut roster, now) = (roster(), Instant::now());
    roster.apply_worker_rows(true, &[worker("a", "ready")], now);
    assert_eq!(roster.cells(), [CellName::single()]);
    assert!(roster.apply_member_rows(true, &[member("cells", "z 2\n")]));
    assert_eq!(roster.cells().len(), 2);
    let of_cells: usize = roster
        .cells()
        .iter()
        .map(|c| roster.workers_of(c).len())
        .sum();
    assert_eq!(of_cells, 1);
    assert!(
        !roster.apply_member_rows(false, &[member("cells", "odd")]),
        "an unreadable plan is left out"
    );
    assert_eq!(roster.cells().len(), 2);
}

#[test]
fn a_plan_is_wanted_for_many_workers_of_a_steady_number() {
    let (mut roster, now) = (roster(), Instant::now());
    let steady = Duration::from_secs(1);
    let rows: Vec<Change> = (0..100)
        .map(|n| worker(&format!("w{n}"), "ready"))
        .collect();
    roster.apply_member_rows(true, &[]);
    roster.apply_worker_rows(true, &rows[..90], now);
    assert_eq!(roster.proposed_plan(now + steady, steady), None);
    roster.apply_worker_rows(false, &rows[90..], now + steady);
    assert_eq!(roster.proposed_plan(now + steady, steady), None);
    let plan = roster.proposed_plan(now + 2 * steady, steady).unwrap();
    assert_eq!(plan.names().len(), 2);
}
