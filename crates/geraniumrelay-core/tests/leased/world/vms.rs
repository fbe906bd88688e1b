//! VMs on which an entry VM and, at times, a scheduler run: what each knows of the workers and of former schedulers, and
//! what it can reach.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{Command, DeparturesKnown, FencingToken, WorkerEntry};

use super::{ROUND_STEP, Simulation, worker_name};

/// Time from the return of the store to a VM by which its scheduler uses listed workers only.
const LIST_RETURN_TIME: Duration = Duration::from_secs(5);

/// What a VM knows and can reach.
#[derive(Debug, Default)]
pub(crate) struct Vm {
    /// Scheduler on this VM, also one that has ended.
    pub(crate) host: Option<usize>,
    pub(crate) is_store_cut_off: bool,
    /// Workers to which no calls get.
    pub(crate) unreachable_workers: BTreeSet<usize>,
    /// Workers of which no replies arrive.
    pub(crate) unheard_workers: BTreeSet<usize>,
    /// VMs to which the link is cut.
    pub(crate) cut_off_vms: BTreeSet<usize>,
    /// Entries of the workers, as last read.
    listed: BTreeMap<usize, WorkerEntry>,
    /// Workers whose entries were removed, and when this VM read it.
    departed: BTreeMap<usize, Instant>,
    /// Whether this is not the first process of the VM.
    has_restarted: bool,
    /// When the process read the list first.
    listed_since: Option<Instant>,
    /// Since when each VM is known to have the store, as it was heard again or has it again; this VM itself as well.
    has_store_since: BTreeMap<usize, Instant>,
    /// Schedulers that this VM has followed or was, and when each was last known to use listed workers only.
    followed: BTreeMap<FencingToken, Instant>,
}

impl Simulation {
    /// Gives each entry VM a list of the workers, and the first scheduler to `vm`.
    pub(crate) fn begin_vms(&mut self, vm: usize) {
        self.vms = self.entry_vms.up().iter().map(|_| Vm::default()).collect();
        self.vms[vm].host = Some(0);
        for vm in 0..self.vms.len() {
            self.read_store(vm);
        }
    }

    /// Scheduler that is up on a VM.
    pub(crate) fn host_on(&self, vm: usize) -> Option<usize> {
        let host = self.vms[vm].host?;
        self.hosts[host].scheduler.is_some().then_some(host)
    }

    /// VM of a scheduler, if it has one.
    pub(super) fn vm_of_host(&self, host: usize) -> Option<usize> {
        (0..self.vms.len()).find(|&vm| self.vms[vm].host == Some(host))
    }

    /// Lets a VM read the entries of the workers, unless it is cut off from the store, and tells its scheduler of changes.
    pub(crate) fn read_store(&mut self, vm: usize) {
        if self.vms[vm].is_store_cut_off {
            return;
        }
        let now = self.now;
        self.vms[vm].listed_since.get_or_insert(now);
        let mut changes = Vec::new();
        for worker in 0..self.workers.len() {
            let entry = self.is_listed(worker).then(|| self.worker_entry(worker));
            let Vm {
                listed, departed, ..
            } = &mut self.vms[vm];
            match entry {
                Some(entry) if listed.get(&worker) != Some(&entry) => {
                    listed.insert(worker, entry.clone());
                    departed.remove(&worker);
                    changes.push(Command::WorkerSeen(entry));
                }
                None if listed.remove(&worker).is_some() => {
                    departed.insert(worker, now);
                    changes.push(Command::WorkerGone(worker_name(worker)));
                }
                _ => {}
            }
        }
        if let Some(host) = self.host_on(vm) {
            for cmd in changes {
                self.handle_command(host, cmd);
            }
        }
    }

    /// Removes the entry of a worker that is up, or restores it.
    pub(crate) fn set_listed(&mut self, worker: usize, is_listed: bool) {
        self.log(&format!(
            "disruption: worker {worker} is listed: {is_listed}"
        ));
        if is_listed {
            self.removed_entries.remove(&worker);
        } else {
            self.removed_entries.insert(worker);
        }
    }

    /// Which workers a VM knows that have departed.
    pub(super) fn departures_known(&self, vm: usize) -> DeparturesKnown {
        let Vm {
            has_restarted,
            listed_since,
            ..
        } = self.vms[vm];
        let ttl = self.cfg.leased.departed_ttl;
        match listed_since {
            Some(_) if !has_restarted => DeparturesKnown::All,
            Some(at) if self.now.saturating_duration_since(at) >= ttl => DeparturesKnown::Recent,
            _ => DeparturesKnown::None,
        }
    }

    /// Lets a VM take over with what it knows.
    pub(crate) fn take_over_on(&mut self, vm: usize, round: u64) {
        let departures = self.departures_known(vm);
        let Vm {
            listed,
            departed,
            followed,
            ..
        } = &self.vms[vm];
        let kept = self.cfg.leased.predecessor_ttl;
        let predecessors = followed.iter().map(|(&token, &at)| (token, at + kept));
        let predecessors = predecessors.filter(|p| self.now < p.1).collect();
        let entries: Vec<_> = listed.values().cloned().collect();
        let unlisted: BTreeSet<usize> = (0..self.workers.len())
            .filter(|w| !listed.contains_key(w))
            .collect();
        let departed = departed.clone();
        let unreachable = self.vms[vm].unreachable_workers.clone();
        // The new scheduler gets the list of its VM, not that of the store.
        let removed = std::mem::replace(&mut self.removed_entries, unlisted);
        let unlisted = std::mem::replace(&mut self.unlisted_workers, departed);
        let host = self.add_host_with(round, &unreachable, false);
        (self.removed_entries, self.unlisted_workers) = (removed, unlisted);
        let scheduler = self.hosts[host].scheduler.take();
        let scheduler = scheduler.map(|s| s.with_predecessors(predecessors));
        self.hosts[host].scheduler = scheduler;
        let unheard = &self.vms[vm].unheard_workers;
        self.hosts[host].unheard_workers.clone_from(unheard);
        self.vms[vm].host = Some(host);
        self.log(&format!(
            "disruption: host {host} runs on VM {vm}, {departures:?}"
        ));
        for entry in entries {
            self.handle_command(host, Command::WorkerSeen(entry));
        }
        self.hosts[host].is_store_unreachable = self.vms[vm].is_store_cut_off;
        for entry in self.vms[vm].cut_off_vms.clone() {
            self.cut_link(entry, host);
        }
    }

    /// Forgets what the process of a VM knew, as it starts again.
    pub(crate) fn forget_vm(&mut self, vm: usize) {
        let state = &mut self.vms[vm];
        state.listed.clear();
        state.departed.clear();
        state.followed.clear();
        state.has_restarted = true;
        state.listed_since = None;
        state.has_store_since = BTreeMap::from([(vm, self.now)]);
        for other in &mut self.vms {
            other.has_store_since.insert(vm, self.now);
        }
    }

    /// Whether a VM knows workers, so that it can schedule.
    pub(crate) fn knows_workers(&self, vm: usize) -> bool {
        !self.vms[vm].listed.is_empty()
    }

    /// Whether an entry VM follows a scheduler.
    pub(crate) fn follows(&self, vm: usize) -> bool {
        !self.entry_vms.entries[vm].followed.is_empty()
    }

    /// Highest round that an entry VM has heard of.
    pub(crate) fn highest_round(&self, vm: usize) -> u64 {
        let tokens = self.entry_vms.entries[vm].highest_tokens.values();
        tokens.map(|t| t.round()).max().unwrap_or(0) / ROUND_STEP
    }

    /// Whether a VM has heard of a scheduler with a higher token than the one that it runs.
    pub(crate) fn is_outranked(&self, vm: usize) -> bool {
        let highest = self.entry_vms.entries[vm].highest_tokens.values().max();
        self.host_on(vm)
            .is_some_and(|host| highest.is_some_and(|&t| t > self.hosts[host].token))
    }

    /// Notes the scheduler that an entry VM follows, unless it may use workers that are not listed.
    pub(super) fn note_followed(&mut self, entry: usize) {
        if entry >= self.vms.len() {
            return;
        }
        let followed = self.entry_vms.entries[entry].followed.values();
        let hosts: Vec<usize> = followed.map(|f| f.0).collect();
        for host in hosts {
            let is_up_to_date = self.vm_of_host(host).is_some_and(|vm| {
                let since = self.vms[entry].has_store_since.get(&vm);
                let age = |&at: &Instant| self.now.saturating_duration_since(at);
                !self.vms[vm].is_store_cut_off && since.is_none_or(|at| age(at) >= LIST_RETURN_TIME)
            });
            if is_up_to_date {
                let token = self.hosts[host].token;
                self.vms[entry].followed.insert(token, self.now);
            }
        }
    }
}

/// Paths of a VM, and those of the scheduler on it.
impl Simulation {
    pub(crate) fn set_path(&mut self, vm: usize, other: usize, is_open: bool) {
        for (vm, other) in [(vm, other), (other, vm)] {
            if is_open {
                self.vms[vm].cut_off_vms.remove(&other);
                self.vms[vm].has_store_since.insert(other, self.now);
            } else {
                self.vms[vm].cut_off_vms.insert(other);
            }
            let Some(host) = self.vms[vm].host else {
                continue;
            };
            if is_open {
                self.heal_link(other, host);
            } else {
                self.cut_link(other, host);
            }
        }
    }

    pub(crate) fn set_calls_arrive(&mut self, vm: usize, worker: usize, do_arrive: bool) {
        let host = self.vms[vm].host.map(|h| &mut self.hosts[h]);
        let cuts = host.map(|h| &mut h.unreachable_workers);
        for cut in cuts
            .into_iter()
            .chain([&mut self.vms[vm].unreachable_workers])
        {
            set_member(cut, worker, !do_arrive);
        }
    }

    pub(crate) fn set_replies_arrive(&mut self, vm: usize, worker: usize, do_arrive: bool) {
        let host = self.vms[vm].host.map(|h| &mut self.hosts[h]);
        let cuts = host.map(|h| &mut h.unheard_workers);
        for cut in cuts.into_iter().chain([&mut self.vms[vm].unheard_workers]) {
            set_member(cut, worker, !do_arrive);
        }
    }

    pub(crate) fn set_store_reached(&mut self, vm: usize, is_reached: bool) {
        self.log(&format!(
            "disruption: VM {vm} reaches the store: {is_reached}"
        ));
        self.vms[vm].is_store_cut_off = !is_reached;
        if is_reached {
            for other in &mut self.vms {
                other.has_store_since.insert(vm, self.now);
            }
        }
        if let Some(host) = self.vms[vm].host {
            self.hosts[host].is_store_unreachable = !is_reached;
        }
    }
}

fn set_member(set: &mut BTreeSet<usize>, member: usize, is_member: bool) {
    if is_member {
        set.insert(member);
    } else {
        set.remove(&member);
    }
}
