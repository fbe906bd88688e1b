//! Speed factors of workers: from heartbeats to the next scheduler, and in the metrics.

use std::time::Instant;

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{EntryVm, LogEvent, WorkerName};
use geraniumrelay_wire::leased::CellBeat;

use crate::leased::cell::Cell;
use crate::leased::convert;
use crate::leased::metrics::LeasedMetrics;

/// A successor that knew no factors would place long tasks on slow workers until it has learnt them.
#[test]
fn factors_of_labels_reach_the_other_vms() {
    let speeds = [("k-new".into(), 0.744), ("k-old".into(), 1.8117)];
    let beat = CellBeat {
        speeds: convert::label_speeds_to_wire(&speeds),
        ..CellBeat::default()
    };
    let now = Instant::now();
    let mut cell = Cell::new(CellName::single(), EntryVm([10, 0, 0, 1].into()), now);
    cell.apply_status(&beat, now);
    let expected = [("k-new".into(), 0.744), ("k-old".into(), 1.812)];
    assert_eq!(cell.speeds, expected);
}

/// A factor of 0 would divide the capacity of a cell by it.
#[test]
fn factors_of_zero_are_ignored() {
    let mut speeds = convert::label_speeds_to_wire(&[("k-old".into(), 1.8)]);
    speeds[0].thousandths = 0;
    assert_eq!(convert::label_speeds_from_wire(&speeds), []);
}

#[test]
fn changes_of_factors_are_counted() {
    let metrics = LeasedMetrics::new().unwrap();
    for is_certain in [true, true, false] {
        metrics.count_event(&LogEvent::LabelSpeedChanged {
            label: "k-old".into(),
            factor: 1.8,
            deviation: 0.05,
            workers: 19,
            is_certain,
        });
    }
    metrics.count_event(&LogEvent::WorkerSpeedsChanged {
        workers: vec![(WorkerName("w-1".into()), 1.8)],
        others: 6,
        is_certain: true,
    });
    let text = String::from_utf8(metrics.encode()).unwrap();
    let count = |decision: &str| {
        let name = format!("decisions_total{{decision=\"{decision}\"}} ");
        text.lines().find_map(|l| l.strip_prefix(name.as_str()))
    };
    assert_eq!(count("label-speed-certain"), Some("2"));
    assert_eq!(count("label-speed-uncertain"), Some("1"));
    assert_eq!(count("worker-speed-certain"), Some("7"));
}
