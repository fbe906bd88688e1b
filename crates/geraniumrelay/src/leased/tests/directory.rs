//! Workers, entry VMs and the plan of cells, as listed in the store's tables.

use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use geraniumrelay_adapter::Change;
use geraniumrelay_core::configs::leased::LeasedConfig;
use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{DeparturesKnown, EntryVm};

use crate::leased::directory::{Directory, WorkerChange};

const TTL: Duration = Duration::from_secs(20);
const ABSENT_TTL: Duration = Duration::from_mins(1);

pub(super) fn worker(name: &str, state: &str) -> Change {
    worker_at("10.1.2.3:80", name, state)
}

pub(super) fn worker_at(address: &str, name: &str, state: &str) -> Change {
    let value = format!(
        r#"{{"service":"s","address":"{address}","zone":"z","state":"{state}",
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

/// A change as of `version`.
fn at(version: u64, change: Change) -> Change {
    Change { version, ..change }
}

fn member(name: &str, value: &str) -> Change {
    Change {
        key: name.to_owned(),
        value: Some(value.into()),
        version: 1,
    }
}

fn config() -> LeasedConfig {
    LeasedConfig {
        departed_ttl: TTL,
        absent_ttl: ABSENT_TTL,
        ..LeasedConfig::default()
    }
}

fn empty_directory() -> Directory {
    Directory::new(&config(), false)
}

#[test]
fn a_heartbeat_without_a_change_is_not_reported() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [worker("w", "ready")];
    assert_matches!(
        directory.apply_worker_rows(true, &rows, 1, now)[..],
        [WorkerChange::Seen(_)]
    );
    let rows = [at(2, worker("w", "ready"))];
    assert!(directory.apply_worker_rows(false, &rows, 2, now).is_empty());
    let rows = [at(3, worker("w", "draining"))];
    assert_matches!(
        directory.apply_worker_rows(false, &rows, 3, now)[..],
        [WorkerChange::Seen(_)]
    );
}

#[test]
fn a_worker_missing_from_a_whole_table_is_gone() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [worker("a", "ready"), worker("b", "ready")];
    directory.apply_worker_rows(true, &rows, 1, now);
    let changes = directory.apply_worker_rows(true, &[worker("b", "ready")], 2, now);
    assert_matches!(&changes[..], [WorkerChange::Gone(entry)] if &*entry.name.0 == "a");
}

#[test]
fn an_unreadable_entry_removes_only_its_worker() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [worker("a", "ready"), worker("b", "ready")];
    directory.apply_worker_rows(true, &rows, 1, now);
    let changes = directory.apply_worker_rows(false, &[at(2, worker("a", "odd"))], 2, now);
    assert_matches!(&changes[..], [WorkerChange::Gone(entry)] if &*entry.name.0 == "a");
    assert_eq!(directory.worker_count(), 1);
}

/// A takeover reads the whole table beside the watch of its changes.
#[test]
fn an_older_snapshot_does_not_undo_newer_changes() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [worker("a", "ready"), worker("b", "ready")];
    directory.apply_worker_rows(true, &rows, 1, now);
    let newer = [
        at(3, worker("a", "draining")),
        at(4, removed("b")),
        at(5, worker("c", "ready")),
    ];
    assert_eq!(
        directory.apply_worker_rows(false, &newer, 5, now).len(),
        newer.len()
    );
    let changes = directory.apply_worker_rows(true, &rows, 2, now);
    assert!(changes.is_empty(), "{changes:?}");
}

#[test]
fn changes_older_than_the_snapshot_are_ignored() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [at(9, worker("a", "ready")), at(12, worker("b", "ready"))];
    directory.apply_worker_rows(true, &rows, 10, now);
    // The row of b was read on a later page than the revision.
    let older = [
        at(7, worker("c", "ready")),
        at(8, removed("c")),
        at(8, removed("a")),
        at(9, worker("a", "ready")),
        at(11, removed("b")),
        at(12, worker("b", "ready")),
    ];
    let changes = directory.apply_worker_rows(false, &older, 12, now);
    assert!(changes.is_empty(), "{changes:?}");
    let changes = directory.apply_worker_rows(false, &[at(13, removed("b"))], 13, now);
    assert_matches!(&changes[..], [WorkerChange::Gone(entry)] if &*entry.name.0 == "b");
}

#[test]
fn a_worker_whose_entry_expired_stays_departed_for_a_time() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let cell = CellName::single();
    let rows = [worker("a", "ready"), worker("b", "draining")];
    directory.apply_worker_rows(true, &rows, 1, now);
    let rows = [at(2, removed("a")), at(3, removed("b"))];
    directory.apply_worker_rows(false, &rows, 3, now);
    let departed = directory.departed_of(&cell, now + TTL / 2);
    assert_eq!(departed.len(), 1, "a drained worker has ended its tasks");
    assert_eq!(directory.departed_of(&cell, now + TTL).len(), 1);
    let over = now + TTL + ABSENT_TTL;
    assert!(directory.departed_of(&cell, over).is_empty());
}

/// Nothing says that the process at the former address has ended.
#[test]
fn a_worker_that_comes_back_elsewhere_stays_departed_at_its_former_address() {
    let former = "10.1.2.3:80".parse().unwrap();
    let elsewhere = |version| at(version, worker_at("10.9.9.9:80", "a", "ready"));
    let cases = [
        vec![elsewhere(2)],
        vec![at(2, removed("a")), elsewhere(3)],
        vec![at(2, worker("a", "draining")), elsewhere(3)],
    ];
    for rows in cases {
        let (mut directory, now) = (empty_directory(), Instant::now());
        let cell = CellName::single();
        directory.apply_worker_rows(true, &[worker("a", "ready")], 1, now);
        directory.apply_worker_rows(false, &rows, 3, now);
        let departed = directory.departed_of(&cell, now);
        let addresses: Vec<_> = departed.iter().map(|(w, _)| w.address).collect();
        assert_eq!(addresses, [former], "{rows:?}");
        let back = [at(4, worker("a", "ready"))];
        directory.apply_worker_rows(false, &back, 4, now);
        let departed = directory.departed_of(&cell, now);
        assert!(departed.iter().all(|(w, _)| w.address != former));
        let over = now + TTL + ABSENT_TTL;
        assert!(directory.departed_of(&cell, over).is_empty());
    }
}

#[test]
fn a_worker_whose_entry_was_removed_counts_as_departed() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let cell = CellName::single();
    directory.apply_worker_rows(true, &[worker("a", "ready")], 1, now);
    directory.apply_worker_rows(false, &[at(2, removed("a"))], 2, now);
    assert_eq!(directory.departed_of(&cell, now).len(), 1);
}

#[test]
fn departed_workers_are_known_after_the_ttl_or_at_the_first_start() {
    let now = Instant::now();
    let mut restarted = empty_directory();
    restarted.apply_worker_rows(true, &[], 1, now);
    let known_after = |wait| restarted.departures_known(now + wait);
    assert_eq!(known_after(Duration::ZERO), DeparturesKnown::None);
    assert_eq!(known_after(TTL), DeparturesKnown::Recent);
    assert_eq!(known_after(TTL + ABSENT_TTL), DeparturesKnown::All);
    let mut first = Directory::new(&config(), true);
    assert_eq!(first.departures_known(now), DeparturesKnown::None);
    first.apply_worker_rows(true, &[], 1, now);
    assert_eq!(first.departures_known(now), DeparturesKnown::All);
}

#[test]
fn the_other_entry_vms_are_peers() {
    let mut directory = empty_directory();
    let rows = [
        member("a", "10.0.0.1:7"),
        member("b", "10.0.0.2:7"),
        member("c", "odd"),
    ];
    assert!(!directory.apply_member_rows(true, &rows));
    let peers = directory.peers(EntryVm([10, 0, 0, 1].into()));
    assert_eq!(peers.len(), 1);
    assert!(peers.contains_key(&EntryVm([10, 0, 0, 2].into())));
}

#[test]
fn a_plan_of_cells_splits_the_workers() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    directory.apply_worker_rows(true, &[worker("a", "ready")], 1, now);
    assert_eq!(directory.cells(), [CellName::single()]);
    assert!(directory.apply_member_rows(true, &[member("cells", "z 2\n")]));
    assert_eq!(directory.cells().len(), 2);
    let workers_in_cells: usize = directory
        .cells()
        .iter()
        .map(|c| directory.workers_of(c).len())
        .sum();
    assert_eq!(workers_in_cells, 1);
    assert!(
        !directory.apply_member_rows(false, &[member("cells", "odd")]),
        "an unreadable plan is ignored"
    );
    assert_eq!(directory.cells().len(), 2);
}

#[test]
fn a_plan_is_proposed_for_many_workers_once_their_number_is_stable() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let stable_for = Duration::from_secs(1);
    let rows: Vec<Change> = (0..100)
        .map(|n| at(1 + n / 90, worker(&format!("w{n}"), "ready")))
        .collect();
    directory.apply_member_rows(true, &[]);
    directory.apply_worker_rows(true, &rows[..90], 1, now);
    assert_eq!(directory.proposed_plan(now + stable_for, stable_for), None);
    directory.apply_worker_rows(false, &rows[90..], 2, now + stable_for);
    assert_eq!(directory.proposed_plan(now + stable_for, stable_for), None);
    let plan = directory
        .proposed_plan(now + 2 * stable_for, stable_for)
        .unwrap();
    assert_eq!(plan.names().len(), 2);
}

fn worker_with(name: &str, zone: &str, labels: &str) -> Change {
    let value = format!(
        r#"{{"service":"s","address":"10.1.2.3:80","zone":"{zone}","state":"ready",
            "capacity":{{"cpu":64000,"mem_mb":1,"gpu":0}},"labels":[{labels}],"born":1}}"#
    );
    Change {
        value: Some(value.into_bytes()),
        ..worker(name, "ready")
    }
}

/// A job was sent to its own data centre although its data was in another one.
#[test]
fn the_data_centre_of_a_rack_follows_from_the_labels_of_its_workers() {
    let (mut directory, now) = (empty_directory(), Instant::now());
    let rows = [
        worker_with("a", "x", r#""r1","big""#),
        worker_with("b", "x", r#""r1""#),
        worker_with("c", "y", r#""r2","big""#),
    ];
    directory.apply_worker_rows(true, &rows, 1, now);
    let of_rack = |directory: &Directory, rack: &str| {
        let data_centre = directory.data_centre_of_rack(rack);
        data_centre.map(ToString::to_string)
    };
    assert_eq!(of_rack(&directory, "r1").as_deref(), Some("x"));
    assert_eq!(of_rack(&directory, "r2").as_deref(), Some("y"));
    assert_eq!(of_rack(&directory, "big"), None, "workers in both");
    assert_eq!(of_rack(&directory, "r3"), None, "no such rack");
    let data = directory.data_centre_of_data(&[("r1".into(), 2), ("r2".into(), 8)]);
    assert_eq!(data.map(|d| &**d), Some("y"), "most tasks");
    // The last worker of a rack goes, and another one moves.
    let rows = [at(2, removed("c")), at(3, worker_with("b", "y", r#""r1""#))];
    directory.apply_worker_rows(false, &rows, 3, now);
    assert_eq!(of_rack(&directory, "r2"), None);
    assert_eq!(of_rack(&directory, "big").as_deref(), Some("x"));
    assert_eq!(of_rack(&directory, "r1"), None, "workers in both");
    let rows = [at(4, worker_with("a", "y", r#""r1""#))];
    directory.apply_worker_rows(false, &rows, 4, now);
    assert_eq!(of_rack(&directory, "r1").as_deref(), Some("y"));
}

/// Guards against VMs that stop following the list of workers at an entry that another writer has left there.
#[test]
fn other_entries_are_followed_beside_one_that_can_not_be_read() {
    let deep = "[".repeat(30_000);
    let number = worker("odd", "ready").value.unwrap();
    let number = String::from_utf8(number)
        .unwrap()
        .replace("64000", "18446744073709551615");
    let odd_values = [deep.as_str(), number.as_str(), "", "null", "\u{0}"];
    let port = worker_at("10.1.2.3:70000", "odd", "ready").value.unwrap();
    let odd_values = odd_values.map(|v| v.as_bytes().to_vec());
    for value in odd_values.into_iter().chain([port]) {
        let (mut directory, now) = (empty_directory(), Instant::now());
        let odd = |version| Change {
            key: "odd".to_owned(),
            value: Some(value.clone()),
            version,
        };
        let rows = [odd(1), worker("w1", "ready")];
        let changes = directory.apply_worker_rows(true, &rows, 1, now);
        assert_matches!(&changes[..], [WorkerChange::Seen(w)] if &*w.name.0 == "w1");
        let rows = [at(2, worker("w2", "ready")), odd(3)];
        let changes = directory.apply_worker_rows(false, &rows, 3, now);
        assert_matches!(&changes[..], [WorkerChange::Seen(w)] if &*w.name.0 == "w2");
        assert_eq!(directory.worker_count(), 2);
    }
}
