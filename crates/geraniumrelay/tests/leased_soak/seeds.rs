//! Seeds of random faults.

use std::ops::Range;

/// Seeds of a run in CI: few, and the same in every run. Seeds that have failed once stay here.
const SEEDS: Range<u64> = 0..2;

/// Environment variable that replaces the seeds, in the form `FROM..TO`.
const SEEDS_VARIABLE: &str = "GERANIUMRELAY_SOAK_SEEDS";

pub(crate) fn seeds() -> Range<u64> {
    seeds_or(SEEDS)
}

/// Seeds of a test with other ones in CI.
pub(crate) fn seeds_or(in_ci: Range<u64>) -> Range<u64> {
    let Ok(text) = std::env::var(SEEDS_VARIABLE) else {
        return in_ci;
    };
    let (from, to) = text.split_once("..").expect("FROM..TO");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}
