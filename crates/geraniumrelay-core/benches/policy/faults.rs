//! Fault injection, and the lists of VMs that the platform returns.

use std::time::Duration;

use geraniumrelay_core::modules::membership::PeerStatus;
use geraniumrelay_core::modules::policy::Policy;
use geraniumrelay_core::modules::targets::TargetInfo;
use geraniumrelay_core::{Command, Origin, Query, Reply};
use rand::Rng;

use crate::calls::{Call, Purpose};
use crate::scenario::{ARRIVALS_END, FAULT_START, Fault, TARGET_COUNT};
use crate::workload;
use crate::world::{Event, Simulation, VM_COUNT, target_address};

/// Interval between two polls of the platform.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Delay until a change of the VMs appears in the lists of the platform.
const PLATFORM_LIST_LAG: Duration = Duration::from_secs(1);

/// Time between the loss of a connection and the resubmission to another entry VM.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Fraction of the queued jobs that are cancelled.
const CANCELLED_SHARE: f64 = 0.3;

/// Time from the start of the burst to the cancellation of queued jobs.
pub const CANCEL_DELAY: Duration = Duration::from_secs(8);

/// Index of the entry VM that crashes.
const CRASHED_VM: usize = VM_COUNT - 1;

/// Index of the entry VM whose heartbeats do not reach a third of the entry VMs.
const PARTITIONED_VM: usize = 2;

/// Number of entry VMs, counted from index 0, that receive no heartbeats or replies to heartbeats
/// from [`PARTITIONED_VM`].
const PARTITIONED_PEERS: usize = VM_COUNT / 3;

/// Start and end of the partition, in time of the simulation.
///
/// Starts 3 s (one heartbeat time-out) before the crash, so that the time-out expires by then; ends
/// 5 s after the crash.
const PARTITION_PERIOD: (Duration, Duration) = (Duration::from_secs(7), Duration::from_secs(15));

impl<P: Policy> Simulation<P> {
    pub(super) fn is_partitioned(&self, from: usize, to: usize) -> bool {
        let (start, end) = PARTITION_PERIOD;
        self.scenario.fault == Fault::VmCrash
            && from == PARTITIONED_VM
            && to < PARTITIONED_PEERS
            && (start..end).contains(&self.now)
    }

    pub(super) fn poll(&mut self, vm: usize) {
        let is_fault_listed = self.now >= FAULT_START + PLATFORM_LIST_LAG;
        let are_targets_leaving = self.scenario.fault == Fault::Leaving && is_fault_listed;
        let infos = (0..TARGET_COUNT).map(|n| TargetInfo {
            vm: format!("t{n}").parse().expect("valid name"),
            service: workload::service(),
            address: target_address(n),
            is_leaving: are_targets_leaving && is_leaving(n),
        });
        let infos = infos.collect();
        let is_listed = |n: &usize| *n != vm && (!is_fault_listed || self.vms[*n].is_alive);
        let peers = (0..VM_COUNT).filter(is_listed).map(|n| PeerStatus {
            incarnation: None,
            revision: 0,
            spare: Vec::new(),
            ..self.vms[n].dispatcher.own_status()
        });
        let peers = peers.collect();
        self.dispatch(vm, Command::UpdateTargets(infos));
        self.dispatch(vm, Command::UpdatePeers(peers));
        if self.now < ARRIVALS_END {
            self.events.push(self.now + POLL_INTERVAL, Event::Poll(vm));
        }
    }

    pub(super) fn inject_fault(&mut self) {
        match self.scenario.fault {
            // 5 % of the targets, rounded up.
            Fault::FailAll => (0..TARGET_COUNT.div_ceil(20)).for_each(|n| {
                self.targets[n].fails_all = true;
            }),
            Fault::Slow => (0..TARGET_COUNT.div_ceil(10)).for_each(|n| {
                self.targets[n].slowdown = 5;
            }),
            Fault::VmCrash => self.crash_vm(),
            Fault::None | Fault::Cancel | Fault::Leaving => {}
        }
    }

    fn crash_vm(&mut self) {
        self.vms[CRASHED_VM].is_alive = false;
        for job in 0..self.calls.len() {
            let is_disconnected =
                self.calls[job].is_some_and(|call| call.owner == CRASHED_VM && !call.is_answered);
            if is_disconnected {
                let vm = self.random_live_vm();
                self.submit(self.now + RECONNECT_DELAY, vm, job, Purpose::Answer);
            }
        }
    }

    pub(super) fn cancel_queued_jobs(&mut self) {
        for job in 0..self.calls.len() {
            let Some(call) = self.calls[job] else {
                continue;
            };
            if call.is_answered || !self.is_queued(&call) || !self.rng.random_bool(CANCELLED_SHARE)
            {
                continue;
            }
            let cancelled_at = Some(self.now);
            self.calls[job] = Some(Call {
                cancelled_at,
                ..call
            });
            let cmd = Command::Cancel {
                ticket: call.ticket,
                waiter: self.add_waiter(job, Purpose::Cancel),
                origin: Origin::Caller,
            };
            self.dispatch(call.owner, cmd);
        }
    }

    fn is_queued(&self, call: &Call) -> bool {
        let state = self.vms[call.owner]
            .dispatcher
            .query(Query::Job(call.ticket));
        matches!(state, Some(Reply::Progress(progress)) if progress.queued > 0)
    }
}

/// Whether a target leaves in the scenario with leaving targets: the first four do.
pub fn is_leaving(target: usize) -> bool {
    target < 4
}
