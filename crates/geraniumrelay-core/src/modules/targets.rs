//! Targets of this data centre and the slots in use on them.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Instant;

use slotmap::{SlotMap, new_key_type};

use crate::collections::Map;
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
    /// Its VM.
    pub vm: VmName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it is leaving.
    pub is_leaving: bool,
}

/// One target.
#[derive(Debug, Clone)]
pub struct Target {
    /// What the platform says of it.
    pub info: TargetInfo,
    /// Slots that tasks of this VM use.
    pub in_use: u32,
    /// No start before this time.
    pub paused_until: Option<Instant>,
    /// Whether it is still in the platform's list.
    pub is_listed: bool,
}

/// Position of a target among the open ones of its service: least used first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    in_use: u32,
    key: TargetKey,
}

/// Targets of one service.
#[derive(Debug, Default)]
struct Pool {
    open: BTreeSet<Rank>,
    slots: u32,
}

/// All known targets.
#[derive(Debug, Default)]
pub struct Targets {
    arena: SlotMap<TargetKey, Target>,
    by_vm: Map<VmName, TargetKey>,
    pools: Map<ServiceName, Pool>,
    paused: BTreeSet<(Instant, TargetKey)>,
}

impl Targets {
    /// Takes over the platform's list.
    ///
    /// A target that is gone from it gets nothing new; it is forgotten once nothing runs there.
    pub fn list(&mut self, infos: &[TargetInfo]) {
        for target in self.arena.values_mut() {
            target.is_listed = false;
        }
        for info in infos {
            self.upsert(*info);
        }
        let keys: Vec<_> = self.arena.keys().collect();
        for key in keys {
            self.refresh(key);
        }
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
        };
        let key = self.arena.insert(target);
        self.by_vm.insert(info.vm, key);
    }

    /// Sets how many slots each target of a service has.
    pub fn set_slots(&mut self, service: ServiceName, slots: u32) {
        self.pools.entry(service).or_default().slots = slots;
        let keys: Vec<_> = self.arena.keys().collect();
        for key in keys {
            self.refresh(key);
        }
    }

    /// The target, while it is known.
    pub fn get(&self, key: TargetKey) -> Option<&Target> {
        self.arena.get(key)
    }

    /// All targets known.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.arena.values()
    }

    /// Number of targets known.
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }

    /// Whether any target of the service takes new work, now or after a pause.
    pub fn has_capacity(&self, service: ServiceName) -> bool {
        self.arena.values().any(|target| {
            target.info.service == service && target.is_listed && !target.info.is_leaving
        })
    }

    /// Takes a slot on the least used open target of a service.
    pub fn take_slot(&mut self, service: ServiceName) -> Option<TargetKey> {
        let rank = *self.pools.get(&service)?.open.first()?;
        self.change_use(rank.key, 1);
        Some(rank.key)
    }

    /// Gives a slot back.
    pub fn release_slot(&mut self, key: TargetKey) {
        self.change_use(key, -1);
    }

    /// Keeps a target that refused from being tried again before a time.
    pub fn pause(&mut self, key: TargetKey, until: Instant) {
        self.unrank(key);
        let Some(target) = self.arena.get_mut(key) else {
            return;
        };
        target.paused_until = Some(until);
        self.paused.insert((until, key));
    }

    /// Marks a target that said itself that it is leaving.
    pub fn mark_leaving(&mut self, key: TargetKey) {
        if let Some(target) = self.arena.get_mut(key) {
            target.info.is_leaving = true;
        }
        self.refresh(key);
    }

    /// Ends the pauses that are over.
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

    /// Time at which the next pause ends.
    pub fn next_resume(&self) -> Option<Instant> {
        self.paused.first().map(|(until, _)| *until)
    }

    fn change_use(&mut self, key: TargetKey, by: i32) {
        self.unrank(key);
        if let Some(target) = self.arena.get_mut(key) {
            target.in_use = target.in_use.saturating_add_signed(by);
        }
        self.refresh(key);
    }

    fn unrank(&mut self, key: TargetKey) {
        let Some(target) = self.arena.get(key) else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&target.info.service) {
            pool.open.remove(&Rank {
                in_use: target.in_use,
                key,
            });
        }
    }

    /// Ranks a target anew after a change; forgets it where it is gone and idle.
    fn refresh(&mut self, key: TargetKey) {
        self.unrank(key);
        let Some(target) = self.arena.get(key) else {
            return;
        };
        if !target.is_listed && target.in_use == 0 {
            let vm = target.info.vm;
            self.arena.remove(key);
            if self.by_vm.get(&vm) == Some(&key) {
                self.by_vm.remove(&vm);
            }
            return;
        }
        let Some(pool) = self.pools.get_mut(&target.info.service) else {
            return;
        };
        let is_open = target.is_listed
            && !target.info.is_leaving
            && target.paused_until.is_none()
            && target.in_use < pool.slots;
        if is_open {
            pool.open.insert(Rank {
                in_use: target.in_use,
                key,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn info(n: u16) -> TargetInfo {
        TargetInfo {
            vm: format!("t{n}").parse().unwrap(),
            service: "till".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1000 + n)),
            is_leaving: false,
        }
    }

    fn targets(count: u16, slots: u32) -> Targets {
        let mut targets = Targets::default();
        targets.list(&(0..count).map(info).collect::<Vec<_>>());
        targets.set_slots("till".parse().unwrap(), slots);
        targets
    }

    #[test]
    fn slots_are_spread_and_bounded() {
        let service = "till".parse().unwrap();
        let mut targets = targets(2, 2);
        let first = targets.take_slot(service).unwrap();
        let second = targets.take_slot(service).unwrap();
        assert_ne!(first, second);
        assert!(targets.take_slot(service).is_some());
        assert!(targets.take_slot(service).is_some());
        assert_eq!(targets.take_slot(service), None);
        targets.release_slot(first);
        assert_eq!(targets.take_slot(service), Some(first));
    }

    #[test]
    fn a_leaving_target_gets_nothing_new() {
        let service = "till".parse().unwrap();
        let mut targets = targets(1, 2);
        targets.list(&[TargetInfo {
            is_leaving: true,
            ..info(0)
        }]);
        assert_eq!(targets.take_slot(service), None);
        targets.list(&[info(0)]);
        assert_eq!(
            targets.take_slot(service),
            None,
            "a lagging list does not bring it back"
        );
    }

    #[test]
    fn a_paused_target_comes_back() {
        let service = "till".parse().unwrap();
        let mut targets = targets(1, 1);
        let key = targets.take_slot(service).unwrap();
        let until = Instant::now();
        targets.pause(key, until);
        targets.release_slot(key);
        assert_eq!(targets.take_slot(service), None);
        targets.resume(until);
        assert_eq!(targets.take_slot(service), Some(key));
    }
}
