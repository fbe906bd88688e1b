//! Schedulers that end, give up, outrank each other and take over.

use super::{Event, MS, Schedule, VMS_PER_SIDE, is_beyond};

impl Schedule {
    pub(super) fn any_scheduling_vm(&mut self) -> Option<usize> {
        let vms = 0..2 * VMS_PER_SIDE;
        let vms: Vec<usize> = vms.filter(|&vm| self.sim.host_on(vm).is_some()).collect();
        (!vms.is_empty()).then(|| vms[self.below(vms.len())])
    }

    pub(super) fn end_vm(&mut self, vm: usize) {
        if let Some(host) = self.sim.host_on(vm) {
            self.sim.end_host(host, false);
        }
        let is_noticed = self.sim.random() < 0.5;
        self.sim.kill_entry_vm(vm, is_noticed);
        self.sim.forget_vm(vm);
        let at = self.sim.now + 300 * MS + self.up_to(2_000 * MS);
        self.events.push((at, Event::VmStarts(vm)));
    }

    /// Lets schedulers give up or outrank one with a higher token, and VMs that follow none take over.
    pub(super) fn elect(&mut self) {
        for vm in 0..2 * VMS_PER_SIDE {
            if let Some(host) = self.sim.host_on(vm) {
                self.takeovers[vm] = None;
                let is_fenced = self.sim.hosts[host].scheduler.as_ref().unwrap().is_fenced();
                let outranks = !is_beyond(vm, VMS_PER_SIDE) && self.sim.random() < self.outranks;
                if self.sim.hosts[host].is_deposed || (self.sim.is_outranked(vm) && !outranks) {
                    self.sim.end_host(host, true);
                } else if self.sim.is_outranked(vm) || (is_fenced && self.sim.random() < 0.05) {
                    let round = self.next_round(vm);
                    self.sim.raise_token(host, round);
                }
            } else if !self.sim.entry_vms.is_up(vm) || self.sim.follows(vm) {
                self.takeovers[vm] = None;
            } else {
                let at = self.sim.now + 100 * MS + self.up_to(500 * MS);
                let at = *self.takeovers[vm].get_or_insert(at);
                if at <= self.sim.now && self.sim.knows_workers(vm) {
                    let round = self.next_round(vm);
                    self.sim.take_over_on(vm, round);
                }
            }
        }
    }

    fn next_round(&mut self, vm: usize) -> u64 {
        let next = self.sim.highest_round(vm) + 1 + u64::from(self.sim.random_below(2));
        let by_clock = (self.sim.now - self.sim.started_at).as_secs();
        if self.uses_clock {
            next.max(by_clock)
        } else {
            next
        }
    }
}
