//! Heartbeats between entry VMs and schedulers, and what follows from their absence.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::{Command, FencingToken, JobId};

use super::entries::{EntryEvent, EntryJob};
use super::{Event, Host, Simulation, TICK_INTERVAL};

/// Interval between two heartbeats of a scheduler.
const HOST_BEAT_INTERVAL: Duration = Duration::from_millis(60);

/// Time without a heartbeat after which an entry VM follows a scheduler no longer.
const SCHEDULER_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a heartbeat after which an entry VM counts as lost.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Time for which a job waits for a scheduler.
const SCHEDULER_WAIT: Duration = Duration::from_millis(700);

impl Simulation {
    /// Lets a new scheduler announce itself. It has heard the entry VMs before.
    pub(super) fn begin_heartbeats(&mut self, host: usize) {
        for entry in self.entry_vms.up() {
            self.entry_vms.heard.insert((host, entry), self.now);
        }
        self.schedule(self.now, Event::EntryVm(EntryEvent::HostBeat { host }));
        self.schedule(self.now, Event::EntryVm(EntryEvent::HostTick { host }));
    }

    pub(super) fn send_entry_beat(&mut self, entry: usize, life: u32) {
        let vm = &self.entry_vms.entries[entry];
        if !vm.is_up || vm.life != life {
            return;
        }
        let token = |(&cell, f): (&usize, &(usize, Instant))| (cell, self.hosts[f.0].token());
        let follows: BTreeMap<_, _> = vm.followed.iter().map(token).collect();
        for host in 0..self.hosts.len() {
            let follows = follows.clone();
            let message = EntryEvent::EntryHeard {
                entry,
                host,
                follows,
            };
            self.send_over_link(entry, host, message);
        }
        let at = self.now + self.entry_vms.beat_interval;
        self.schedule(at, Event::EntryVm(EntryEvent::Beat { entry, life }));
    }

    pub(super) fn send_host_beat(&mut self, host: usize) {
        if self.hosts[host].scheduler.is_none() || self.hosts[host].is_deposed {
            return;
        }
        for entry in 0..self.entry_vms.entries.len() {
            let sent = self.now;
            self.send_over_link(entry, host, EntryEvent::HostHeard { entry, host, sent });
        }
        let at = self.now + HOST_BEAT_INTERVAL;
        self.schedule(at, Event::EntryVm(EntryEvent::HostBeat { host }));
    }

    pub(super) fn drop_silent_entries(&mut self, host: usize) {
        if self.hosts[host].scheduler.is_none() {
            return;
        }
        let now = self.now;
        let heard = self.entry_vms.heard.iter().filter(|h| h.0.0 == host);
        let is_silent = |at: &Instant| now.saturating_duration_since(*at) >= PEER_TIMEOUT;
        let silent: Vec<usize> = heard.filter(|h| is_silent(h.1)).map(|h| h.0.1).collect();
        for entry in silent {
            let vm = self.entry_vms.vm(entry);
            self.handle_command(host, Command::EntryLeft(vm));
        }
        let at = now + TICK_INTERVAL;
        self.schedule(at, Event::EntryVm(EntryEvent::HostTick { host }));
    }

    pub(super) fn entry_heard(
        &mut self,
        entry: usize,
        host: usize,
        follows: &BTreeMap<usize, FencingToken>,
    ) {
        self.entry_vms.heard.insert((host, entry), self.now);
        let Host { cell, token, .. } = &self.hosts[host];
        if follows.get(cell).is_some_and(|t| t > token) {
            let vm = self.entry_vms.vm(entry);
            self.handle_command(host, Command::EntryLeft(vm));
        }
    }

    pub(super) fn host_heard(&mut self, entry: usize, host: usize, sent: Instant) {
        self.entry_vms.entries[entry].heard.insert(host, sent);
        let (now, cell, token) = (self.now, self.hosts[host].cell, self.hosts[host].token);
        let vm = &mut self.entry_vms.entries[entry];
        let highest = vm.highest_tokens.entry(cell).or_default();
        if !vm.is_up || token < *highest {
            return;
        }
        let is_raised = std::mem::replace(highest, token) < token;
        let former = vm.followed.insert(cell, (host, now));
        // Answers with a raised token count only for jobs that were sent with it.
        if is_raised || former.is_none_or(|f| f.0 != host) {
            self.entry_vms.mark_unsent(entry, host);
            self.send_unsent_jobs(entry);
        }
    }

    pub(super) fn tick_entry(&mut self, entry: usize, life: u32) {
        let now = self.now;
        let vm = &mut self.entry_vms.entries[entry];
        if !vm.is_up || vm.life != life {
            return;
        }
        let is_lost =
            |f: &(usize, Instant)| now.saturating_duration_since(f.1) >= SCHEDULER_TIMEOUT;
        let lost: Vec<usize> = vm
            .followed
            .values()
            .filter(|f| is_lost(f))
            .map(|f| f.0)
            .collect();
        for host in lost {
            self.entry_vms.lose_scheduler(entry, host);
        }
        let is_overdue = |job: &EntryJob| {
            now >= job.wait_until
                || (!job.attempt.was_sent() && now >= job.arrived + SCHEDULER_WAIT)
        };
        let jobs = self.entry_vms.entries[entry].jobs.iter();
        let overdue: Vec<JobId> = jobs.filter(|j| is_overdue(j.1)).map(|j| *j.0).collect();
        for id in overdue {
            self.withdraw(entry, id);
            if self.entry_vms.is_caller_at(entry, id) {
                self.entry_vms.unanswered_jobs.insert(id);
                self.entry_vms.callers.remove(&id);
            }
        }
        self.note_followed(entry);
        self.send_unsent_jobs(entry);
        self.send_confirmations(entry);
        let at = now + TICK_INTERVAL;
        self.schedule(at, Event::EntryVm(EntryEvent::Tick { entry, life }));
    }
}
