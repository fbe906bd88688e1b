//! Begin and heal of a cut.

use super::{Event, HEAL_TIME, Schedule, VMS_PER_SIDE, WORKERS_PER_SIDE, is_beyond};

impl Schedule {
    /// Pairs of a VM and a VM or worker between which the cut is.
    fn pairs(count: usize, per_side: usize) -> impl Iterator<Item = (usize, usize)> {
        let vms = 0..2 * VMS_PER_SIDE;
        let pairs = vms.flat_map(move |vm| (0..count).map(move |other| (vm, other)));
        pairs.filter(move |&(vm, o)| is_beyond(vm, VMS_PER_SIDE) != is_beyond(o, per_side))
    }

    pub(super) fn cut(&mut self) {
        self.is_cut = true;
        for (vm, other) in Self::pairs(2 * VMS_PER_SIDE, VMS_PER_SIDE) {
            self.sim.set_path(vm, other, false);
        }
        for (vm, worker) in Self::pairs(self.sim.workers.len(), WORKERS_PER_SIDE) {
            self.sim.set_calls_arrive(vm, worker, false);
            self.sim.set_replies_arrive(vm, worker, false);
        }
        for vm in 0..VMS_PER_SIDE {
            self.sim.set_store_reached(vm, false);
        }
    }

    pub(super) fn heal(&mut self) {
        self.is_cut = false;
        // Most heals are quick, and some are as slow as they get.
        let longest = self.up_to(HEAL_TIME);
        let mut events = Vec::new();
        for (vm, other) in Self::pairs(2 * VMS_PER_SIDE, VMS_PER_SIDE).filter(|p| p.0 < p.1) {
            events.push(Event::PathHeals { vm, other });
        }
        for (vm, worker) in Self::pairs(self.sim.workers.len(), WORKERS_PER_SIDE) {
            events.push(Event::CallsArrive { vm, worker });
            events.push(Event::RepliesArrive { vm, worker });
        }
        events.extend((0..VMS_PER_SIDE).map(Event::StoreHeals));
        for event in events {
            let at = self.sim.now + self.up_to(longest);
            self.events.push((at, event));
        }
        for worker in 0..WORKERS_PER_SIDE {
            let at = self.sim.now + self.up_to(HEAL_TIME);
            self.events.push((at, Event::EntryReturns(worker)));
        }
    }
}
