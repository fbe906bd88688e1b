//! A bounded set of fault schedules, one for each fault; `--example faults` runs longer ones.

use geraniumrelay_testkit::entry_process::run_if_entry;
use geraniumrelay_testkit::faults::{Schedule, run_round};

/// Seeds of the rounds: each begins with another fault, and about half have a second one.
const SEEDS: std::ops::Range<u64> = 0..11;

#[test]
#[ignore = "runs as an entry process, started by the other tests"]
fn entry_role() {
    run_if_entry();
}

fn assert_kept(seeds: impl Iterator<Item = u64>) {
    for seed in seeds {
        let report = run_round(Schedule::new(seed));
        let audit = &report.audit;
        assert!(audit.complete > 0, "nothing was answered: {report:?}");
        let (schedule, violations) = (&report.schedule, &audit.violations);
        assert!(violations.is_empty(), "{schedule:?}: {violations:#?}");
    }
}

#[test]
fn even_seeds_break_no_promise() {
    assert_kept(SEEDS.filter(|seed| seed % 2 == 0));
}

#[test]
fn odd_seeds_break_no_promise() {
    assert_kept(SEEDS.filter(|seed| seed % 2 == 1));
}
