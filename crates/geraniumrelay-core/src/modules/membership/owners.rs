//! Where incarnations run and where their claim tables are held.

use crate::collections::Map;
use crate::modules::membership::PeerStatus;
use crate::names::VmName;
use crate::ticket::Incarnation;

/// A process that holds, or has handed on, the table of another incarnation.
///
/// One that has handed it on passes requests along for as long as it runs, so it stays the holder
/// until the next one is heard.
#[derive(Debug, Clone, Copy)]
struct Holder {
    vm: VmName,
    incarnation: Incarnation,
}

/// Where incarnations run and where their claim tables are held.
#[derive(Debug, Default)]
pub(super) struct Owners {
    running: Map<Incarnation, VmName>,
    holders: Map<Incarnation, Holder>,
}

impl Owners {
    /// Notes what a process says of itself.
    pub(super) fn record_status(&mut self, incarnation: Incarnation, status: &PeerStatus) {
        let vm = status.vm;
        self.running.insert(incarnation, vm);
        for held in &status.held {
            self.holders.insert(*held, Holder { vm, incarnation });
        }
    }

    /// Forgets processes that don't run any more.
    pub(super) fn retain(&mut self, runs: impl Fn(VmName, Incarnation) -> bool) {
        self.running
            .retain(|incarnation, vm| runs(*vm, *incarnation));
        self.holders
            .retain(|_, holder| runs(holder.vm, holder.incarnation));
    }

    /// Number of processes and of tables of others.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.holders.len()
    }

    /// VM that was last heard to run an incarnation.
    pub(super) fn vm_of(&self, incarnation: Incarnation) -> Option<VmName> {
        self.running.get(&incarnation).copied()
    }

    /// Process that was last heard to hold the table of an incarnation.
    pub(super) fn holder_of(&self, owner: Incarnation) -> Option<Incarnation> {
        self.holders.get(&owner).map(|holder| holder.incarnation)
    }
}
