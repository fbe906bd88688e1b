//! Connections between entry VMs and schedulers: cuts, messages that are held up, and breaks.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::Command;

use super::entries::EntryEvent;
use super::{Event, Simulation};

/// Network latency in one direction between two VMs.
const LINK_LATENCY: Duration = Duration::from_micros(500);

/// Time without an acknowledgement after which a connection breaks.
pub(crate) const LINK_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest time until a broken connection is established again.
const RECONNECT_TIME: Duration = Duration::from_millis(400);

/// State of the connection between an entry VM and a scheduler.
#[derive(Debug, Default)]
pub(crate) struct Link {
    cut_since: Option<Instant>,
    /// Whether the connection has broken, and has not been established again.
    is_broken: bool,
    /// Whether the scheduler has not noticed that.
    is_unnoticed: bool,
    /// Messages in both directions that arrive once the cut ends, unless the connection breaks.
    held_up: Vec<EntryEvent>,
}

impl Simulation {
    fn link(&mut self, entry: usize, host: usize) -> &mut Link {
        self.entry_vms.links.entry((entry, host)).or_default()
    }

    /// Sends a message between an entry VM and a scheduler, in either direction.
    pub(super) fn send_over_link(&mut self, entry: usize, host: usize, message: EntryEvent) {
        let at = self.now + LINK_LATENCY;
        let link = self.link(entry, host);
        if link.is_broken {
            return;
        }
        if link.cut_since.is_some() {
            link.held_up.push(message);
        } else {
            self.schedule(at, Event::EntryVm(message));
        }
    }

    pub(crate) fn cut_link(&mut self, entry: usize, host: usize) {
        let since = self.now;
        let link = self.link(entry, host);
        if link.cut_since.is_none() {
            link.cut_since = Some(since);
            self.log(&format!(
                "disruption: link of entry VM {entry} and host {host} is cut"
            ));
            let event = EntryEvent::LinkTimedOut { entry, host, since };
            self.schedule(since + LINK_TIMEOUT, Event::EntryVm(event));
        }
    }

    pub(crate) fn heal_link(&mut self, entry: usize, host: usize) {
        let at = self.now + LINK_LATENCY;
        let link = self.link(entry, host);
        if link.cut_since.take().is_none() {
            return;
        }
        let held_up = std::mem::take(&mut link.held_up);
        let is_broken = link.is_broken;
        self.log(&format!(
            "disruption: link of entry VM {entry} and host {host} heals"
        ));
        for message in held_up {
            self.schedule(at, Event::EntryVm(message));
        }
        if is_broken {
            self.reconnect_later(entry, host);
        }
    }

    /// Breaks a connection while both processes go on.
    pub(crate) fn reset_link(&mut self, entry: usize, host: usize) {
        self.log(&format!(
            "disruption: link of entry VM {entry} and host {host} is reset"
        ));
        self.break_link(entry, host);
        self.reconnect_later(entry, host);
    }

    /// Sets up the connection from an entry VM to a scheduler anew: both go on, and answers still arrive.
    pub(crate) fn reset_outgoing(&mut self, entry: usize, host: usize) {
        let is_up = self.entry_vms.is_up(entry) && self.hosts[host].scheduler.is_some();
        let link = self.link(entry, host);
        if !is_up || link.is_broken || link.cut_since.is_some() {
            return;
        }
        self.log(&format!(
            "disruption: entry VM {entry} connects to host {host} again"
        ));
        let event = EntryEvent::LinkBroke { entry, host };
        self.schedule(self.now + LINK_LATENCY, Event::EntryVm(event));
        self.entry_vms.heard.insert((host, entry), self.now);
        self.entry_vms.mark_unsent(entry, host);
        self.send_unsent_jobs(entry);
    }

    pub(super) fn link_timed_out(&mut self, entry: usize, host: usize, since: Instant) {
        if self.link(entry, host).cut_since == Some(since) {
            self.silence_link(entry, host);
            self.entry_vms.lose_scheduler(entry, host);
        }
    }

    /// Breaks a connection; the scheduler learns it after all messages that were sent before.
    pub(super) fn break_link(&mut self, entry: usize, host: usize) {
        let at = self.now + LINK_LATENCY;
        let link = self.link(entry, host);
        link.held_up.clear();
        if !std::mem::replace(&mut link.is_broken, true) {
            self.entry_vms.lose_scheduler(entry, host);
            let event = EntryEvent::LinkBroke { entry, host };
            self.schedule(at, Event::EntryVm(event));
        }
    }

    /// Ends a connection without the scheduler noticing it, other than by the silence of the entry VM.
    pub(super) fn silence_link(&mut self, entry: usize, host: usize) {
        let link = self.link(entry, host);
        link.held_up.clear();
        link.is_unnoticed |= !std::mem::replace(&mut link.is_broken, true);
    }

    pub(super) fn is_link_broken(&mut self, entry: usize, host: usize) -> bool {
        self.link(entry, host).is_broken
    }

    pub(super) fn link_broke(&mut self, entry: usize, host: usize) {
        let vm = self.entry_vms.vm(entry);
        self.entry_vms.heard.remove(&(host, entry));
        self.handle_command(host, Command::EntryLost(vm));
    }

    pub(super) fn reconnect_later(&mut self, entry: usize, host: usize) {
        let at = self.now + RECONNECT_TIME.mul_f64(self.random());
        let event = EntryEvent::Reconnect { entry, host };
        self.schedule(at, Event::EntryVm(event));
    }

    pub(super) fn reconnect(&mut self, entry: usize, host: usize) {
        let is_up = self.entry_vms.is_up(entry) && self.hosts[host].scheduler.is_some();
        let link = self.link(entry, host);
        if is_up && link.cut_since.is_none() && link.is_broken {
            link.is_broken = false;
            if std::mem::take(&mut link.is_unnoticed) {
                self.link_broke(entry, host);
            }
            // The entry VM sends a heartbeat at once.
            self.entry_vms.heard.insert((host, entry), self.now);
            self.entry_vms.mark_unsent(entry, host);
            self.send_unsent_jobs(entry);
        }
    }
}

/// Disruptions between schedulers and workers.
impl Simulation {
    /// Cuts a worker off from a scheduler, or only its replies.
    pub(crate) fn cut_worker(&mut self, host: usize, worker: usize, is_one_way: bool) {
        self.log(&format!(
            "disruption: host {host} is cut off from w-{worker}, one way: {is_one_way}"
        ));
        let host = &mut self.hosts[host];
        let cut = if is_one_way {
            &mut host.unheard_workers
        } else {
            &mut host.unreachable_workers
        };
        cut.insert(worker);
    }

    pub(crate) fn reach_worker(&mut self, host: usize, worker: usize) {
        self.log(&format!("disruption: host {host} reaches w-{worker} again"));
        self.hosts[host].unheard_workers.remove(&worker);
        self.hosts[host].unreachable_workers.remove(&worker);
    }

    pub(crate) fn set_late_stops(&mut self, worker: usize, are_late: bool) {
        self.log(&format!(
            "disruption: stops of w-{worker} are late: {are_late}"
        ));
        if are_late {
            self.workers_with_late_stops.insert(worker);
        } else {
            self.workers_with_late_stops.remove(&worker);
        }
    }
}
