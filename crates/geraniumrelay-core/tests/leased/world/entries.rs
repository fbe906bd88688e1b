//! Entry VMs: their processes, and what they know.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::attempt::Attempt;
use geraniumrelay_core::leased::{Command, EntryVm, FencingToken, JobId, JobOutcome, SubmissionId};

use super::callers::Caller;
use super::links::{LINK_TIMEOUT, Link};
use super::{Event, Simulation, vm};

/// Time after a pause in which an entry VM reads the ends of its callers' connections.
const CALLER_READ_TIME: Duration = Duration::from_millis(50);

/// Time within which an entry VM sets its connections up again after a pause, once it passes jobs on.
const MAX_RECONNECT_SPREAD: Duration = Duration::from_millis(30);

/// An event of entry VMs, their links and their callers.
#[derive(Debug, Clone)]
pub(crate) enum EntryEvent {
    /// An entry VM sends heartbeats; `life` counts the starts of its process.
    Beat {
        entry: usize,
        life: u32,
    },
    Tick {
        entry: usize,
        life: u32,
    },
    HostBeat {
        host: usize,
    },
    /// A scheduler checks which entry VMs are silent.
    HostTick {
        host: usize,
    },
    /// A heartbeat arrives at a scheduler.
    EntryHeard {
        entry: usize,
        host: usize,
        follows: BTreeMap<usize, FencingToken>,
    },
    /// A heartbeat arrives at an entry VM.
    HostHeard {
        entry: usize,
        host: usize,
        sent: Instant,
    },
    Command {
        host: usize,
        cmd: Command,
    },
    Answer {
        entry: usize,
        id: JobId,
        submission: Option<SubmissionId>,
        outcome: JobOutcome,
        /// Cell and token of the scheduler.
        from: (usize, FencingToken),
    },
    LinkTimedOut {
        entry: usize,
        host: usize,
        since: Instant,
    },
    /// A scheduler reads the end of a connection.
    LinkBroke {
        entry: usize,
        host: usize,
    },
    Reconnect {
        entry: usize,
        host: usize,
    },
    /// The connection from an entry VM is set up anew, while that to it goes on.
    OutgoingReset {
        entry: usize,
        host: usize,
    },
    /// A caller sends its job to any entry VM.
    CallerSends {
        id: JobId,
    },
    /// An entry VM reads a caller's job.
    JobArrives {
        entry: usize,
        id: JobId,
    },
    /// An entry VM reads the end of a caller's connection.
    CallerLeft {
        entry: usize,
        id: JobId,
    },
}

impl EntryEvent {
    /// Entry VM that handles the event; `None` if it is not one.
    fn handled_by(&self) -> Option<usize> {
        match *self {
            Self::Beat { entry, .. }
            | Self::Tick { entry, .. }
            | Self::HostHeard { entry, .. }
            | Self::Answer { entry, .. }
            | Self::OutgoingReset { entry, .. }
            | Self::JobArrives { entry, .. }
            | Self::CallerLeft { entry, .. } => Some(entry),
            _ => None,
        }
    }
}

/// A job for which a caller waits.
#[derive(Debug)]
pub(super) struct EntryJob {
    pub(super) arrived: Instant,
    pub(super) wait_until: Instant,
    pub(super) cell: Option<usize>,
    pub(super) attempt: Attempt,
}

#[derive(Debug, Default)]
pub(super) struct Entry {
    pub(super) is_up: bool,
    pub(super) life: u32,
    frozen_until: Option<Instant>,
    /// When each scheduler sent the last heartbeat that has arrived here.
    pub(super) heard: BTreeMap<usize, Instant>,
    pub(super) confirmed_at: Option<Instant>,
    /// Scheduler of each cell, and when it was last heard.
    pub(super) followed: BTreeMap<usize, (usize, Instant)>,
    pub(super) highest_tokens: BTreeMap<usize, FencingToken>,
    pub(super) jobs: BTreeMap<JobId, EntryJob>,
    /// The last attempt that has begun.
    pub(super) last_attempt: u64,
}

/// The entry VMs, their links and their callers.
#[derive(Debug)]
pub(crate) struct EntryVms {
    pub(super) entries: Vec<Entry>,
    pub(super) links: BTreeMap<(usize, usize), Link>,
    /// When each scheduler last heard each entry VM that is connected to it.
    pub(super) heard: BTreeMap<(usize, usize), Instant>,
    pub(super) callers: BTreeMap<JobId, Caller>,
    /// Answers to the callers.
    pub(crate) answers: BTreeMap<JobId, JobOutcome>,
    /// Requests that were refused, by job.
    pub(crate) refused_requests: BTreeMap<JobId, u32>,
    /// Jobs with a request that got no answer, or none that tells whether the job runs.
    pub(crate) unanswered_jobs: BTreeSet<JobId>,
    /// Share of the refused callers that send their job again.
    pub(crate) return_share: f64,
    /// Whether the outgoing connections of an entry VM are set up anew after a freeze that has broken them.
    pub(crate) reconnects_after_freeze: bool,
    /// Number of jobs that callers have sent again.
    pub(crate) resent_jobs: u32,
    /// Interval between two heartbeats of an entry VM, by the size of the group.
    pub(crate) beat_interval: Duration,
    /// Cells of the next jobs; random ones once there is none.
    pub(crate) cell_choices: VecDeque<usize>,
    /// Entry VMs of the next jobs that callers send again; random ones once there is none.
    pub(crate) entry_choices: VecDeque<usize>,
}

impl Default for EntryVms {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            links: BTreeMap::new(),
            heard: BTreeMap::new(),
            callers: BTreeMap::new(),
            answers: BTreeMap::new(),
            refused_requests: BTreeMap::new(),
            unanswered_jobs: BTreeSet::new(),
            return_share: 0.0,
            reconnects_after_freeze: false,
            resent_jobs: 0,
            beat_interval: Duration::from_millis(150),
            cell_choices: VecDeque::new(),
            entry_choices: VecDeque::new(),
        }
    }
}

impl EntryVms {
    pub(crate) fn vm(&self, entry: usize) -> EntryVm {
        assert!(entry < self.entries.len());
        vm(100 + u8::try_from(entry).unwrap())
    }

    pub(crate) fn is_up(&self, entry: usize) -> bool {
        self.entries[entry].is_up
    }

    pub(crate) fn up(&self) -> Vec<usize> {
        let is_up = |&e: &usize| self.is_up(e);
        (0..self.entries.len()).filter(is_up).collect()
    }

    /// Whether an entry VM does not pass jobs on: after a pause it first reads which callers have left.
    pub(super) fn holds_jobs(&self, entry: usize, now: Instant) -> bool {
        let until = self.entries[entry].frozen_until;
        until.is_some_and(|until| now < until + CALLER_READ_TIME)
    }

    /// Whether a caller of a job is connected to an entry VM.
    pub(super) fn is_caller_at(&self, entry: usize, id: JobId) -> bool {
        let caller = self.callers.get(&id);
        caller.is_some_and(|c| c.entry == Some(entry))
    }

    /// Number of callers whose jobs were completed.
    pub(crate) fn completed(&self) -> usize {
        let answers = self.answers.values();
        answers.filter(|&&a| a == JobOutcome::Completed).count()
    }

    /// Makes an entry VM follow a scheduler no longer.
    pub(super) fn lose_scheduler(&mut self, entry: usize, host: usize) {
        self.mark_unsent(entry, host);
        self.entries[entry].followed.retain(|_, f| f.0 != host);
    }

    /// Makes an entry VM send the jobs of a followed scheduler again.
    pub(super) fn mark_unsent(&mut self, entry: usize, host: usize) {
        let Entry { followed, jobs, .. } = &mut self.entries[entry];
        let is_of_host = |cell| followed.get(&cell).is_some_and(|f| f.0 == host);
        for job in jobs.values_mut() {
            if job.cell.is_some_and(is_of_host) {
                job.attempt.send_again();
            }
        }
    }
}

impl Simulation {
    pub(super) fn add_entry_vm(&mut self) {
        self.entry_vms.entries.push(Entry::default());
        self.begin_entry_vm(self.entry_vms.entries.len() - 1);
    }

    fn begin_entry_vm(&mut self, entry: usize) {
        let vm = &mut self.entry_vms.entries[entry];
        vm.is_up = true;
        vm.life += 1;
        let life = vm.life;
        self.schedule(self.now, Event::EntryVm(EntryEvent::Beat { entry, life }));
        self.schedule(self.now, Event::EntryVm(EntryEvent::Tick { entry, life }));
    }

    /// Ends the process of an entry VM; schedulers learn it at once if `is_noticed`, as its connections close.
    pub(crate) fn kill_entry_vm(&mut self, entry: usize, is_noticed: bool) {
        self.log(&format!(
            "disruption: entry VM {entry} ends, noticed: {is_noticed}"
        ));
        for host in 0..self.hosts.len() {
            if is_noticed {
                self.break_link(entry, host);
            } else {
                self.silence_link(entry, host);
            }
        }
        let Entry {
            life, last_attempt, ..
        } = self.entry_vms.entries[entry];
        self.entry_vms.entries[entry] = Entry {
            life,
            last_attempt,
            ..Entry::default()
        };
        self.break_callers_of(entry);
    }

    pub(crate) fn restart_entry_vm(&mut self, entry: usize) {
        if self.entry_vms.is_up(entry) {
            return;
        }
        self.log(&format!("disruption: entry VM {entry} starts again"));
        self.begin_entry_vm(entry);
        for host in 0..self.hosts.len() {
            self.reconnect_later(entry, host);
        }
    }

    /// Stops the process of an entry VM for a time; what arrives meanwhile is handled afterwards.
    pub(crate) fn freeze_entry_vm(&mut self, entry: usize, pause: Duration) {
        self.log(&format!(
            "disruption: entry VM {entry} is frozen for {} ms",
            pause.as_millis()
        ));
        let frozen_until = &mut self.entry_vms.entries[entry].frozen_until;
        *frozen_until = (*frozen_until).max(Some(self.now + pause));
        if self.entry_vms.reconnects_after_freeze && pause >= LINK_TIMEOUT {
            let awake = self.now + pause + CALLER_READ_TIME;
            for host in 0..self.hosts.len() {
                let at = awake + MAX_RECONNECT_SPREAD.mul_f64(self.random());
                let event = EntryEvent::OutgoingReset { entry, host };
                self.schedule(at, Event::EntryVm(event));
            }
        }
    }

    /// Ends a scheduler; entry VMs learn it at once if `is_noticed`.
    pub(crate) fn end_host(&mut self, host: usize, is_noticed: bool) {
        self.log(&format!(
            "disruption: host {host} ends, noticed: {is_noticed}"
        ));
        self.kill(host);
        for entry in 0..self.entry_vms.entries.len() {
            if is_noticed {
                self.entry_vms.lose_scheduler(entry, host);
            }
        }
    }

    pub(super) fn process_entry_event(&mut self, event: EntryEvent) {
        let entries = &self.entry_vms.entries;
        let frozen_until = event.handled_by().and_then(|e| entries[e].frozen_until);
        if let Some(until) = frozen_until.filter(|&until| self.now < until) {
            self.schedule(until, Event::EntryVm(event));
            return;
        }
        match event {
            EntryEvent::Beat { entry, life } => self.send_entry_beat(entry, life),
            EntryEvent::Tick { entry, life } => self.tick_entry(entry, life),
            EntryEvent::HostBeat { host } => self.send_host_beat(host),
            EntryEvent::HostTick { host } => self.drop_silent_entries(host),
            EntryEvent::EntryHeard {
                entry,
                host,
                follows,
            } => self.entry_heard(entry, host, &follows),
            EntryEvent::HostHeard { entry, host, sent } => self.host_heard(entry, host, sent),
            EntryEvent::Command { host, cmd } => self.handle_command(host, cmd),
            EntryEvent::Answer {
                entry,
                id,
                submission,
                outcome,
                from,
            } => self.answer_heard(entry, (id, submission), outcome, from),
            EntryEvent::LinkTimedOut { entry, host, since } => {
                self.link_timed_out(entry, host, since);
            }
            EntryEvent::LinkBroke { entry, host } => self.link_broke(entry, host),
            EntryEvent::Reconnect { entry, host } => self.reconnect(entry, host),
            EntryEvent::OutgoingReset { entry, host } => self.reset_outgoing(entry, host),
            EntryEvent::CallerSends { id } => self.send_by_caller(id),
            EntryEvent::JobArrives { entry, id } => self.accept_job(entry, id),
            EntryEvent::CallerLeft { entry, id } => self.withdraw(entry, id),
        }
    }
}
