//! Free slots of one service, taken in constant time whatever the number of targets.

use std::collections::VecDeque;
use std::fmt::Debug;

use slotmap::SecondaryMap;

use crate::modules::targets::TargetKey;

/// How much a target is trusted with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Anything.
    Healthy,
    /// Fewer tasks, and urgent ones only where nothing else is left.
    Slow,
    /// One task at a time that is not urgent.
    Trial,
}

impl Tier {
    /// Number of tiers.
    pub const COUNT: usize = 3;
}

/// Free slots of one service.
pub trait SlotPool: Debug + Default {
    /// Whether each target has one entry VM as its home; else every VM uses every target.
    const ASSIGNS_TARGETS: bool;

    /// Sets how many slots of a target are free.
    fn set_free(&mut self, key: TargetKey, tier: Tier, free: u32);

    /// Number of free slots of a tier.
    fn free(&self, tier: Tier) -> u32;

    /// Chooses a target with a free slot; the caller then sets what is left there.
    fn choose(&mut self, tier: Tier) -> Option<TargetKey>;

    /// Forgets a target.
    fn remove(&mut self, key: TargetKey);
}

#[derive(Debug, Clone, Copy)]
struct Free {
    tier: Tier,
    slots: u32,
    /// Whether the target stands in the ring of each tier.
    is_in_ring: [bool; Tier::COUNT],
}

/// Targets with free slots, taken in turn.
///
/// A target that ends its tasks faster than others gets no more than its turn, and the tasks of a
/// job are spread. Entries of targets without a free slot are dropped when they come up.
#[derive(Debug, Default)]
pub struct FreeSlots {
    rings: [VecDeque<TargetKey>; Tier::COUNT],
    targets: SecondaryMap<TargetKey, Free>,
    free: [u32; Tier::COUNT],
}

impl SlotPool for FreeSlots {
    const ASSIGNS_TARGETS: bool = true;

    fn set_free(&mut self, key: TargetKey, tier: Tier, free: u32) {
        if !self.targets.contains_key(key) {
            let state = Free {
                tier,
                slots: 0,
                is_in_ring: [false; Tier::COUNT],
            };
            self.targets.insert(key, state);
        }
        let Some(state) = self.targets.get_mut(key) else {
            return;
        };
        self.free[state.tier as usize] -= state.slots;
        state.tier = tier;
        state.slots = free;
        self.free[tier as usize] += free;
        let is_in_ring = &mut state.is_in_ring[tier as usize];
        if free > 0 && !*is_in_ring {
            *is_in_ring = true;
            self.rings[tier as usize].push_back(key);
        }
    }

    fn free(&self, tier: Tier) -> u32 {
        self.free[tier as usize]
    }

    fn choose(&mut self, tier: Tier) -> Option<TargetKey> {
        loop {
            let key = self.rings[tier as usize].pop_front()?;
            let Some(state) = self.targets.get_mut(key) else {
                continue;
            };
            state.is_in_ring[tier as usize] = false;
            if state.tier == tier && state.slots > 0 {
                return Some(key);
            }
        }
    }

    fn remove(&mut self, key: TargetKey) {
        if let Some(state) = self.targets.remove(key) {
            self.free[state.tier as usize] -= state.slots;
        }
    }
}
