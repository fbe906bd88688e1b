//! A bounded set of fault schedules, one for each kind of fault; `--example faults` runs longer.

use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::faults::{Schedule, run_round};

/// Seeds of the rounds: each starts with a different fault, and about half add a second fault.
const SEEDS: std::ops::Range<u64> = 0..11;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn assert_no_violations(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let report = run_round(Schedule::new(seed));
        let audit = &report.audit;
        assert!(audit.complete > 0, "no job was completed: {report:?}");
        let (schedule, violations) = (&report.schedule, &audit.violations);
        assert!(violations.is_empty(), "{schedule:?}: {violations:#?}");
    }
}

#[test]
fn even_seeds_have_no_violations() {
    assert_no_violations(SEEDS.filter(|seed| seed % 2 == 0));
}

#[test]
fn odd_seeds_have_no_violations() {
    assert_no_violations(SEEDS.filter(|seed| seed % 2 == 1));
}
