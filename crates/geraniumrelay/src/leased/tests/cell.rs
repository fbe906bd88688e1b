//! A cell as an entry VM knows it.

use std::time::Instant;

use geraniumrelay_core::leased::EntryVm;
use geraniumrelay_core::leased::cells::CellName;
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
