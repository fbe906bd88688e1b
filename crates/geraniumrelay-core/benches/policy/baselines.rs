//! Baseline policies for comparison with the standard policy.

use geraniumrelay_core::modules::order::{EstimatedSize, JobFacts, Order};
use geraniumrelay_core::modules::policy::Policy;
use geraniumrelay_core::modules::slots::{FreeSlots, SlotPool, Tier};
use geraniumrelay_core::modules::targets::TargetKey;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Seed of the random choice of targets.
const SEED: u64 = 11;

/// Random choice among all targets that look free to the entry VM; a full target refuses the task.
#[derive(Debug)]
pub struct RandomChoice;

impl Policy for RandomChoice {
    type Slots = RandomSlots<1>;
    type Order = EstimatedSize;
}

/// Choice of the one of two random targets of which the entry VM uses fewer slots.
#[derive(Debug)]
pub struct TwoChoices;

impl Policy for TwoChoices {
    type Slots = RandomSlots<2>;
    type Order = EstimatedSize;
}

/// Assigned targets with slot loans, and jobs in order of arrival.
#[derive(Debug)]
pub struct Fifo;

impl Policy for Fifo {
    type Slots = FreeSlots;
    type Order = Arrival;
}

/// Assigned targets with slot loans, and the shortest remaining job first by declared run time.
#[derive(Debug)]
pub struct Declared;

impl Policy for Declared {
    type Slots = FreeSlots;
    type Order = DeclaredSize;
}

/// Earliest arrival first.
#[derive(Debug)]
pub struct Arrival;

impl Order for Arrival {
    fn rank(facts: &JobFacts) -> u64 {
        facts.arrived_ms
    }
}

/// Shortest remaining job first by declared run time, with the ageing of [`EstimatedSize`].
#[derive(Debug)]
pub struct DeclaredSize;

impl Order for DeclaredSize {
    fn rank(facts: &JobFacts) -> u64 {
        facts.declared_ms * u64::from(facts.tasks) + facts.arrived_ms
    }
}

#[derive(Debug, Clone, Copy)]
struct FreeTarget {
    key: TargetKey,
    tier: Tier,
    free: u32,
}

/// Draws `CHOICES` of all targets and selects the one with the most free slots.
#[derive(Debug)]
pub struct RandomSlots<const CHOICES: usize> {
    free_targets: Vec<FreeTarget>,
    rng: StdRng,
}

impl<const CHOICES: usize> Default for RandomSlots<CHOICES> {
    fn default() -> Self {
        Self {
            free_targets: Vec::new(),
            rng: StdRng::seed_from_u64(SEED),
        }
    }
}

impl<const CHOICES: usize> SlotPool for RandomSlots<CHOICES> {
    const ASSIGNS_TARGETS: bool = false;

    fn set_free(&mut self, key: TargetKey, tier: Tier, free: u32) {
        self.remove(key);
        if free > 0 {
            self.free_targets.push(FreeTarget { key, tier, free });
        }
    }

    fn free(&self, tier: Tier) -> u32 {
        let of_tier = self
            .free_targets
            .iter()
            .filter(|target| target.tier == tier);
        of_tier.map(|target| target.free).sum()
    }

    fn choose(&mut self, tier: Tier) -> Option<TargetKey> {
        let of_tier: Vec<FreeTarget> = self
            .free_targets
            .iter()
            .filter(|target| target.tier == tier)
            .copied()
            .collect();
        let drawn = (0..CHOICES).filter_map(|_| {
            let n = self.rng.random_range(0..of_tier.len().max(1));
            of_tier.get(n)
        });
        drawn
            .max_by_key(|target| target.free)
            .map(|target| target.key)
    }

    fn remove(&mut self, key: TargetKey) {
        self.free_targets.retain(|target| target.key != key);
    }
}
