//! Targets of this data centre and the slots that this VM may use on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use crate::collections::Map;
use crate::configs::health::HealthConfig;
use crate::modules::health::{Health, PoolHealth, Sample};
use crate::modules::slots::{SlotPool, Tier};
use crate::modules::target_assignment::assigned_targets;
use crate::names::{ServiceName, VmName};

new_key_type! {
    /// Key of a target in its arena.
    pub struct TargetKey;
    /// Key of a task in its arena.
    pub struct TaskKey;
}

/// One target in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetInfo {
    /// VM on which the target runs.
    pub vm: VmName,
    /// Service of the target.
    pub service: ServiceName,
    /// Address at which the target accepts tasks.
    pub address: SocketAddr,
    /// Whether the target is leaving and accepts no new tasks.
    pub is_leaving: bool,
}

/// A known target with its slot counts and health.
#[derive(Debug, Clone)]
pub struct Target {
    /// Latest platform data; a leaving target stays leaving.
    pub info: TargetInfo,
    /// Slots in use by tasks of this VM.
    pub in_use: u32,
    /// Time before which no task starts; `None` if not paused.
    pub paused_until: Option<Instant>,
    /// Whether the latest list contains the target.
    pub is_listed: bool,
    /// Whether the target is assigned to this VM.
    pub is_assigned: bool,
    /// Slots borrowed from the assigned entry VM.
    pub borrowed: u32,
    /// Slots lent to other entry VMs.
    pub lent: u32,
    /// Failure rate, slowness and ejection.
    pub health: Health,
    /// Consecutive refusals.
    refusals: u32,
    contribution: Contribution,
}

impl Target {
    /// Slots of the target that this VM may use and does not use, of `slots` in all.
    pub fn idle_slots(&self, slots: u32) -> u32 {
        let own = if self.is_assigned { slots } else { 0 };
        (own + self.borrowed).saturating_sub(self.lent + self.in_use)
    }
}

/// Contribution of a target to the totals of its service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Contribution {
    is_live: bool,
    own: u32,
    usable: u32,
}

/// Targets of one service.
#[derive(Debug, Default)]
struct Pool<S> {
    free: S,
    slots: u32,
    live: u32,
    own: u32,
    usable: u32,
    peers: PoolHealth,
}

/// All known targets.
#[derive(Debug, Default)]
pub struct Targets<S> {
    arena: SlotMap<TargetKey, Target>,
    by_vm: Map<VmName, TargetKey>,
    pools: Map<ServiceName, Pool<S>>,
    paused: BTreeSet<(Instant, TargetKey)>,
    has_changed: bool,
}

impl<S: SlotPool> Targets<S> {
    /// Applies a list of targets.
    ///
    /// A target that is missing from the list gets no new task, and is removed once none of its
    /// slots is in use, lent or borrowed.
    pub fn apply_list(&mut self, infos: &[TargetInfo]) {
        for target in self.arena.values_mut() {
            target.is_listed = false;
        }
        for info in infos {
            self.upsert(*info);
        }
        self.refresh_all();
    }

    /// Data of all targets that are still listed.
    pub fn infos(&self) -> Vec<TargetInfo> {
        let listed = self.arena.values().filter(|target| target.is_listed);
        listed.map(|target| target.info).collect()
    }

    fn upsert(&mut self, info: TargetInfo) {
        let known = self.by_vm.get(&info.vm).copied().filter(|key| {
            let old = &self.arena[*key].info;
            old.address == info.address && old.service == info.service
        });
        if let Some(key) = known {
            let target = &mut self.arena[key];
            target.info.is_leaving |= info.is_leaving;
            target.is_listed = true;
            return;
        }
        let target = Target {
            info,
            in_use: 0,
            paused_until: None,
            is_listed: true,
            is_assigned: !S::ASSIGNS_TARGETS,
            borrowed: 0,
            lent: 0,
            health: Health::default(),
            refusals: 0,
            contribution: Contribution::default(),
        };
        let key = self.arena.insert(target);
        self.by_vm.insert(info.vm, key);
        let pool = self.pools.entry(info.service).or_default();
        pool.peers.add(&Health::default());
        self.has_changed = true;
    }

    fn refresh_all(&mut self) {
        let keys: Vec<_> = self.arena.keys().collect();
        for key in keys {
            self.refresh(key);
        }
    }

    /// Whether targets were added, removed or began to leave since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.has_changed)
    }

    /// Computes which targets are assigned to `own`, one of `members`.
    pub fn assign_targets(&mut self, own: VmName, members: &[VmName]) {
        if !S::ASSIGNS_TARGETS {
            return;
        }
        let mut services: Map<ServiceName, Vec<(VmName, TargetKey)>> = Map::default();
        for (key, target) in &mut self.arena {
            target.is_assigned = false;
            if target.is_listed && !target.info.is_leaving {
                let targets = services.entry(target.info.service).or_default();
                targets.push((target.info.vm, key));
            }
        }
        for targets in services.values_mut() {
            targets.sort_unstable();
            let names: Vec<VmName> = targets.iter().map(|(vm, _)| *vm).collect();
            let assignments = assigned_targets(own, members, &names);
            for ((_, key), is_assigned) in targets.iter().zip(assignments) {
                self.arena[*key].is_assigned = is_assigned;
            }
        }
        self.refresh_all();
    }

    /// Sets the number of slots of each target of a service.
    pub fn set_slots(&mut self, service: ServiceName, slots: u32) {
        self.pools.entry(service).or_default().slots = slots;
        self.refresh_all();
    }

    /// The target; `None` once it was removed.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// Key of the target that runs on a VM.
    pub fn key_of(&self, vm: VmName) -> Option<TargetKey> {
        self.by_vm.get(&vm).copied()
    }

    /// All known targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.arena.values()
    }

    /// Number of known targets.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Number of ejected targets, which receive trials only, over all services.
    pub fn ejected(&self) -> usize {
        self.pools.values().map(|pool| pool.peers.ejected()).sum()
    }

    /// Whether any target of the service accepts new tasks, now or after a pause.
    pub fn has_capacity(&self, service: ServiceName) -> bool {
        self.pools
            .get(&service)
            .is_some_and(|pool| pool.live > 0 && pool.slots > 0)
    }

    /// Services with at least one target that accepts new tasks.
    pub fn services_with_capacity(&self) -> impl Iterator<Item = ServiceName> {
        let pools = self.pools.iter();
        pools
            .filter(|(_, pool)| pool.live > 0 && pool.slots > 0)
            .map(|(service, _)| *service)
    }

    /// Slots that this VM may use on healthy targets of a service, slots in use included.
    pub fn usable(&self, service: ServiceName) -> u32 {
        self.pools.get(&service).map_or(0, |pool| pool.usable)
    }

    /// Slots of the targets of a service that are assigned to this VM.
    pub fn assigned_slots(&self, service: ServiceName) -> u32 {
        self.pools.get(&service).map_or(0, |pool| pool.own)
    }

    /// Number of slots of each target of a service.
    pub fn slots(&self, service: ServiceName) -> u32 {
        self.pools.get(&service).map_or(0, |pool| pool.slots)
    }

    /// Number of free slots of a tier.
    pub fn free(&self, service: ServiceName, tier: Tier) -> u32 {
        self.pools
            .get(&service)
            .map_or(0, |pool| pool.free.free(tier))
    }

    /// Takes a free slot of a tier; `None` if no slot of the tier is free.
    pub fn take_slot(&mut self, service: ServiceName, tier: Tier) -> Option<TargetKey> {
        let key = self.choose(service, tier)?;
        self.change(key, |target| target.in_use += 1);
        Some(key)
    }

    /// Frees a slot that a task used.
    pub fn release_slot(&mut self, key: TargetKey) {
        self.change(key, |target| {
            target.in_use = target.in_use.saturating_sub(1);
        });
    }

    /// Lends a free healthy slot; `None` if the chosen target is not assigned to this VM.
    pub fn lend_slot(&mut self, service: ServiceName) -> Option<TargetKey> {
        let key = self.choose(service, Tier::Healthy)?;
        let is_assigned = self.arena.get(key).is_some_and(|target| target.is_assigned);
        self.change(key, |target| target.lent += u32::from(is_assigned));
        is_assigned.then_some(key)
    }

    /// Takes back lent slots.
    pub fn take_back(&mut self, key: TargetKey, slots: u32) {
        self.change(key, |target| {
            target.lent = target.lent.saturating_sub(slots);
        });
    }

    /// Adds slots borrowed from the assigned entry VM.
    pub fn borrow_slots(&mut self, key: TargetKey, slots: u32) {
        self.change(key, |target| target.borrowed += slots);
    }

    /// Removes borrowed slots that go back to the lender.
    pub fn return_borrowed(&mut self, key: TargetKey, slots: u32) {
        self.change(key, |target| {
            target.borrowed = target.borrowed.saturating_sub(slots);
        });
    }

    fn choose(&mut self, service: ServiceName, tier: Tier) -> Option<TargetKey> {
        self.pools.get_mut(&service)?.free.choose(tier)
    }

    /// Updates the health of a target from an ended task.
    pub fn add_sample(&mut self, now: Instant, cfg: &HealthConfig, key: TargetKey, sample: Sample) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&target.info.service) else {
            return;
        };
        target.refusals = 0;
        pool.peers.remove(&target.health);
        let until = target.health.add_sample(now, cfg, &pool.peers, sample);
        pool.peers.add(&target.health);
        if let Some(until) = until {
            target.paused_until = Some(until);
            self.paused.insert((until, key));
        }
        self.refresh(key);
    }

    /// Pauses a target that refused a start or was unreachable, with exponential backoff.
    pub fn pause(&mut self, now: Instant, cfg: &HealthConfig, key: TargetKey) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let factor = 1_u32 << target.refusals.min(16);
        let until = now + (cfg.first_pause * factor).min(cfg.max_pause);
        let is_paused = target.paused_until.is_some();
        if target.paused_until.is_none_or(|old| old < until) {
            target.paused_until = Some(until);
            self.paused.insert((until, key));
        }
        // Refusals of starts that were sent at the same time count once.
        target.refusals += u32::from(!is_paused);
        self.refresh(key);
    }

    /// Marks a target as leaving, as the target itself reported.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        self.change(key, |target| target.info.is_leaving = true);
    }

    /// Ends the pauses that have expired.
    pub fn resume(&mut self, now: Instant) {
        while let Some(&(until, key)) = self.paused.first() {
            if until > now {
                return;
            }
            self.paused.pop_first();
            let target = self.arena.get_mut(key);
            if let Some(target) = target.filter(|target| target.paused_until == Some(until)) {
                target.paused_until = None;
            }
            self.refresh(key);
        }
    }

    /// End of the earliest pause; `None` if no target is paused.
    pub fn next_resume(&self) -> Option<Instant> {
        self.paused.first().map(|(until, _)| *until)
    }

    fn change(&mut self, key: TargetKey, f: impl FnOnce(&mut Target)) {
        if let Some(target) = self.arena.get_mut(key) {
            f(target);
        }
        self.refresh(key);
    }

    /// Recomputes the contribution of a target; removes the target if it is unlisted and idle.
    fn refresh(&mut self, key: TargetKey) {
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&target.info.service) else {
            return;
        };
        let is_live = target.is_listed && !target.info.is_leaving;
        let tier = target.health.tier();
        let own = if target.is_assigned { pool.slots } else { 0 };
        let allowed = (own + target.borrowed).saturating_sub(target.lent);
        let open = if is_live && target.paused_until.is_none() {
            target.health.usable(allowed)
        } else {
            0
        };
        let contribution = Contribution {
            is_live,
            own: if is_live { own } else { 0 },
            usable: if tier == Tier::Healthy { open } else { 0 },
        };
        let old = std::mem::replace(&mut target.contribution, contribution);
        pool.live = pool.live + u32::from(is_live) - u32::from(old.is_live);
        pool.own = pool.own + contribution.own - old.own;
        pool.usable = pool.usable + contribution.usable - old.usable;
        pool.free
            .set_free(key, tier, open.saturating_sub(target.in_use));
        self.has_changed |= old.is_live != is_live;
        if !target.is_listed && target.in_use == 0 && target.lent == 0 && target.borrowed == 0 {
            self.remove(key);
        }
    }

    fn remove(&mut self, key: TargetKey) {
        let Some(target) = self.arena.remove(key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&target.info.service) {
            pool.peers.remove(&target.health);
            pool.free.remove(key);
        }
        if self.by_vm.get(&target.info.vm) == Some(&key) {
            self.by_vm.remove(&target.info.vm);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::modules::slots::FreeSlots;

    fn info(n: u16) -> TargetInfo {
        TargetInfo {
            vm: format!("t{n}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + n)),
            is_leaving: false,
        }
    }

    fn targets(count: u16, slots: u32) -> Targets<FreeSlots> {
        let mut targets = Targets::default();
        targets.apply_list(&(0..count).map(info).collect::<Vec<_>>());
        targets.set_slots("till".parse().unwrap(), slots);
        let own = "e1".parse().unwrap();
        targets.assign_targets(own, &[own]);
        targets
    }

    #[test]
    fn slots_are_spread_and_limited() {
        let service = "till".parse().unwrap();
        let mut targets = targets(2, 2);
        let taken: Vec<_> = (0..4)
            .map(|_| targets.take_slot(service, Tier::Healthy).unwrap())
            .collect();
        let first = taken[0];
        assert_ne!(first, taken[1]);
        assert_eq!([taken[2], taken[3]], [first, taken[1]]);
        assert_eq!(targets.take_slot(service, Tier::Healthy), None);
        targets.release_slot(first);
        assert_eq!(targets.take_slot(service, Tier::Healthy), Some(first));
    }

    #[test]
    fn a_leaving_target_gets_no_new_task() {
        let service = "till".parse().unwrap();
        let mut targets = targets(1, 2);
        targets.apply_list(&[TargetInfo {
            is_leaving: true,
            ..info(0)
        }]);
        assert_eq!(targets.take_slot(service, Tier::Healthy), None);
        targets.apply_list(&[info(0)]);
        let taken = targets.take_slot(service, Tier::Healthy);
        assert_eq!(taken, None, "a stale list does not reactivate the target");
    }

    #[test]
    fn a_paused_target_is_used_again_after_its_pause() {
        let (service, cfg) = ("till".parse().unwrap(), HealthConfig::default());
        let mut targets = targets(1, 1);
        let key = targets.take_slot(service, Tier::Healthy).unwrap();
        let now = Instant::now();
        targets.pause(now, &cfg, key);
        targets.release_slot(key);
        assert_eq!(targets.take_slot(service, Tier::Healthy), None);
        targets.resume(now + cfg.first_pause);
        assert_eq!(targets.take_slot(service, Tier::Healthy), Some(key));
    }

    #[test]
    fn a_lent_slot_is_not_used_here() {
        let service = "till".parse().unwrap();
        let mut targets = targets(1, 2);
        let key = targets.lend_slot(service).unwrap();
        assert_eq!(targets.free(service, Tier::Healthy), 1);
        targets.take_back(key, 1);
        assert_eq!(targets.free(service, Tier::Healthy), 2);
    }
}
