//! VMs that run incarnations, and processes that hold the claim tables of other incarnations.

use crate::collections::Map;
use crate::modules::membership::PeerStatus;
use crate::names::VmName;
use crate::ticket::Incarnation;

/// A process that holds, or has handed on, the claim table of another incarnation.
///
/// A process that has handed the table on forwards requests for as long as it runs, so it stays the
/// holder until a heartbeat names the next holder.
#[derive(Debug, Clone, Copy)]
struct Holder {
    vm: VmName,
    incarnation: Incarnation,
}

/// VM of each running incarnation, and holder of each claim table that was handed over.
#[derive(Debug, Default)]
pub(super) struct Owners {
    running: Map<Incarnation, VmName>,
    holders: Map<Incarnation, Holder>,
}

impl Owners {
    /// Records the status of a process: its VM and the tables that it holds.
    pub(super) fn record_status(&mut self, incarnation: Incarnation, status: &PeerStatus) {
        let vm = status.vm;
        self.running.insert(incarnation, vm);
        for held in &status.held {
            self.holders.insert(*held, Holder { vm, incarnation });
        }
    }

    /// Removes the processes for which `runs` is false, and the tables they held.
    pub(super) fn retain(&mut self, runs: impl Fn(VmName, Incarnation) -> bool) {
        self.running
            .retain(|incarnation, vm| runs(*vm, *incarnation));
        self.holders
            .retain(|_, holder| runs(holder.vm, holder.incarnation));
    }

    /// Number of recorded processes plus handed-over tables.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.running.len() + self.holders.len()
    }

    /// VM that last reported to run an incarnation.
    pub(super) fn vm_of(&self, incarnation: Incarnation) -> Option<VmName> {
        self.running.get(&incarnation).copied()
    }

    /// Process that last reported to hold the table of an incarnation.
    pub(super) fn holder_of(&self, owner: Incarnation) -> Option<Incarnation> {
        self.holders.get(&owner).map(|holder| holder.incarnation)
    }
}
