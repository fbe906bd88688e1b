//! Faults of the bench, and what the platform's list says of the VMs.

use std::time::Duration;

use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::policy::Policy;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::{Command, Origin, Query, Reply};
use rand::Rng;

use crate::calls::{Call, Purpose};
use crate::scenario::{END, FAULT, Fault, TARGETS};
use crate::workload;
use crate::world::{Event, VMS, World, target_address};

/// Time between two polls of the platform's list.
pub const POLL: Duration = Duration::from_secs(1);

/// Time by which the platform's list lags.
const LIST_LAG: Duration = Duration::from_secs(1);

/// Wait of a caller whose connection broke before it asks another entry VM.
const RECONNECT: Duration = Duration::from_millis(100);

/// Share of the queued jobs that a wave cancels.
const CANCELLED: f64 = 0.3;

/// Time from the start of a burst to the wave of cancellations.
pub const CANCEL_AFTER: Duration = Duration::from_secs(8);

/// Entry VM that dies.
const DYING_VM: usize = VMS - 1;

/// Entry VM that a third of the others does not hear.
const UNHEARD_VM: usize = 2;

/// Entry VMs that don't hear it.
const DEAF_VMS: usize = VMS / 3;

/// Time over which they don't hear it: from before its silence shows until 5 s after the death.
const DEAF: (Duration, Duration) = (Duration::from_secs(7), Duration::from_secs(15));

impl<P: Policy> World<P> {
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        let (since, until) = DEAF;
        self.scenario.fault == Fault::VmDies
            && from == UNHEARD_VM
            && to < DEAF_VMS
            && (since..until).contains(&self.now)
    }

    pub(super) fn poll(&mut self, vm: usize) {
        let is_past = self.now >= FAULT + LIST_LAG;
        let leaves = self.scenario.fault == Fault::Leaving && is_past;
        let infos = (0..TARGETS).map(|n| TargetInfo {
            vm: format!("t{n}").parse().expect("a name"),
            service: workload::service(),
            address: target_address(n),
            is_leaving: leaves && is_leaving(n),
        });
        let infos = infos.collect();
        let is_listed = |n: &usize| *n != vm && (!is_past || self.vms[*n].is_alive);
        let peers = (0..VMS).filter(is_listed).map(|n| PeerStatus {
            incarnation: None,
            revision: 0,
            spare: Vec::new(),
            ..self.vms[n].dispatcher.own_status()
        });
        let peers = peers.collect();
        self.decide(vm, Command::UpdateTargets(infos));
        self.decide(vm, Command::UpdatePeers(peers));
        if self.now < END {
            self.events.push(self.now + POLL, Event::Poll(vm));
        }
    }

    pub(super) fn begin_fault(&mut self) {
        match self.scenario.fault {
            // One in twenty targets, rounded up.
            Fault::FailAll => (0..TARGETS.div_ceil(20)).for_each(|n| {
                self.targets[n].fails_all = true;
            }),
            Fault::Slow => (0..TARGETS.div_ceil(10)).for_each(|n| {
                self.targets[n].slowness = 5;
            }),
            Fault::VmDies => self.kill_vm(),
            Fault::None | Fault::Cancel | Fault::Leaving => {}
        }
    }

    fn kill_vm(&mut self) {
        self.vms[DYING_VM].is_alive = false;
        for job in 0..self.calls.len() {
            let is_cut_off =
                self.calls[job].is_some_and(|call| call.owner == DYING_VM && !call.is_done);
            if is_cut_off {
                let vm = self.alive_vm();
                self.submit(self.now + RECONNECT, vm, job, Purpose::Answer);
            }
        }
    }

    pub(super) fn cancel_wave(&mut self) {
        for job in 0..self.calls.len() {
            let Some(call) = self.calls[job] else {
                continue;
            };
            if call.is_done || !self.is_queued(&call) || !self.rng.random_bool(CANCELLED) {
                continue;
            }
            let cancelled_at = Some(self.now);
            self.calls[job] = Some(Call {
                cancelled_at,
                ..call
            });
            let cmd = Command::Cancel {
                ticket: call.ticket,
                waiter: self.waiter(job, Purpose::Cancel),
                origin: Origin::Caller,
            };
            self.decide(call.owner, cmd);
        }
    }

    fn is_queued(&self, call: &Call) -> bool {
        let state = self.vms[call.owner]
            .dispatcher
            .query(Query::Job(call.ticket));
        matches!(state, Some(Reply::Progress(progress)) if progress.queued > 0)
    }
}

/// Targets that leave, in the scenario where some do.
pub fn is_leaving(target: usize) -> bool {
    target < 4
}
