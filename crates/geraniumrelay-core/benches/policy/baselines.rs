//! Policies that were weighed and not chosen.

use geraniumrelay_core::modules::order::{EstimatedSize, JobFacts, Order};
use geraniumrelay_core::modules::policy::Policy;
use geraniumrelay_core::modules::slots::{FreeSlots, SlotPool, Tier};
use geraniumrelay_core::modules::targets::TargetKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of random choices.
const SEED: u64 = 11;

/// Random choice among all targets; the target refuses where it is full.
#[derive(Debug)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    type Slots = RandomSlots<1>;
    type Order = EstimatedSize;
}

/// The one of two random targets that this VM uses less.
#[derive(Debug)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    type Slots = RandomSlots<2>;
    type Order = EstimatedSize;
}

/// Homes with borrowing, and first come first served.
#[derive(Debug)]
pub struct Fifo;

impl Policy for Fifo {
    type Slots = FreeSlots;
    type Order = Arrival;
}

/// Homes with borrowing, and the shortest job by declared run times.
#[derive(Debug)]
pub struct Declared;

impl Policy for Declared {
    type Slots = FreeSlots;
    type Order = DeclaredSize;
}

/// Order of arrival.
#[derive(Debug)]
pub struct Arrival;

impl Order for Arrival {
    fn rank(facts: &JobFacts) -> u64 {
        facts.arrived_ms
    }
}

/// Shortest remaining job by declared run time, with the same ageing.
#[derive(Debug)]
pub struct DeclaredSize;

impl Order for DeclaredSize {
    fn rank(facts: &JobFacts) -> u64 {
        facts.declared_ms * u64::from(facts.tasks) + facts.arrived_ms
    }
}

#[derive(Debug, Clone, Copy)]
struct Open {
    key: TargetKey,
    tier: Tier,
    free: u32,
}

/// All targets, of which `CHOICES` are drawn and the one with the most free slots is taken.
#[derive(Debug)]
pub struct RandomSlots<const CHOICES: usize> {
    open: Vec<Open>,
    rng: StdRng,
}

impl<const CHOICES: usize> Default for RandomSlots<CHOICES> {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            rng: StdRng::seed_from_u64(SEED),
        }
    }
}

impl<const CHOICES: usize> SlotPool for RandomSlots<CHOICES> {
    const ASSIGNS_TARGETS: bool = false;

    fn set_free(&mut self, key: TargetKey, tier: Tier, free: u32) {
        self.remove(key);
        if free > 0 {
            self.open.push(Open { key, tier, free });
        }
    }

    fn free(&self, tier: Tier) -> u32 {
        let of_tier = self.open.iter().filter(|open| open.tier == tier);
        of_tier.map(|open| open.free).sum()
    }

    fn choose(&mut self, tier: Tier) -> Option<TargetKey> {
        let of_tier: Vec<Open> = self
            .open
            .iter()
            .filter(|open| open.tier == tier)
            .copied()
            .collect();
        let drawn = (0..CHOICES).filter_map(|_| {
            let n = self.rng.random_range(0..of_tier.len().max(1));
            of_tier.get(n)
        });
        drawn.max_by_key(|open| open.free).map(|open| open.key)
    }

    fn remove(&mut self, key: TargetKey) {
        self.open.retain(|open| open.key != key);
    }
}
