//! Free slots of one service; choosing a slot takes constant time for any number of targets.

use std::collections::VecDeque;
use std::fmt::Debug;

use slotmap::SecondaryMap;

use crate::modules::targets::TargetKey;

/// Health tier of a target, which decides what tasks it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    /// Receives all tasks.
    Healthy,
    /// Receives fewer tasks, and urgent ones only if no other target is left.
    Slow,
    /// Receives one task at a time, none of them urgent.
    Trial,
}

impl Tier {
    /// Number of health tiers.
    pub const COUNT: usize = 3;
}

/// Selection of free slots of one service.
pub trait SlotPool: Debug + Default {
    /// Whether each target is assigned to one entry VM; otherwise every VM uses every target.
    const ASSIGNS_TARGETS: bool;

    /// Sets the tier and the number of free slots of a target.
    fn set_free(&mut self, key: TargetKey, tier: Tier, free: u32);

    /// Number of free slots of a tier.
    fn free(&self, tier: Tier) -> u32;

    /// Chooses a target with a free slot; the caller then sets its remaining free slots.
    fn choose(&mut self, tier: Tier) -> Option<TargetKey>;

    /// Removes a target with its free slots.
    fn remove(&mut self, key: TargetKey);
}

#[derive(Debug, Clone, Copy)]
struct Free {
    tier: Tier,
    slots: u32,
    /// Whether the target is in the ring, by tier.
    is_in_ring: [bool; Tier::COUNT],
}

/// Targets with free slots in round-robin order.
///
/// A target that ends its tasks faster than others gets no additional turns, and the tasks of a job
/// are spread. Entries of targets without a free slot are dropped when they reach the front.
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
