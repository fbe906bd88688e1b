//! Confirmations to the schedulers on other VMs that callers here still wait for their jobs.

use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{Command, EntryVm, FencingToken, JobId};
use geraniumrelay_wire::leased::Confirm;
use geraniumrelay_wire::leased::peer_message::Body;

use super::EventLoop;
use crate::leased::cell::Cell;
use crate::leased::links;

/// Interval at which jobs are confirmed; most jobs end within it.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(150);

/// Time after a pause of this process in which the ends of callers' connections are read: callers that have left
/// meanwhile may have sent their jobs to other VMs.
pub(super) const CALLER_READ_TIME: Duration = Duration::from_millis(50);

/// Least time since a job was passed on or confirmed before it is confirmed again: one tick less than the interval.
const MIN_CONFIRMATION_AGE: Duration = Duration::from_millis(125);

impl EventLoop {
    /// Confirms the jobs of this VM to the schedulers on other VMs.
    pub(super) fn send_confirmations(&mut self, now: Instant) {
        if now < self.next_confirmation || now < self.holds_jobs_until {
            return;
        }
        self.next_confirmation = now + CONFIRMATION_INTERVAL;
        // A full queue of inputs loses the news that a caller has left.
        for id in self.pending_jobs.without_caller(false) {
            self.abandon(id);
        }
        let scheduler = |c: &Cell| Some((c.name.clone(), c.election.current()?));
        let schedulers: Vec<_> = self.cells.values().filter_map(scheduler).collect();
        for (cell, (vm, token)) in schedulers {
            if vm == self.components.vm {
                continue;
            }
            let Some(as_of_ms) = self.heartbeat_clock.as_of_ms(vm) else {
                self.next_confirmation = now;
                continue;
            };
            if as_of_ms == 0 {
                continue;
            }
            let jobs = self
                .pending_jobs
                .to_confirm(&cell, MIN_CONFIRMATION_AGE, now);
            let Some(jobs) = jobs else { continue };
            let confirm = Confirm {
                cell: cell.to_string(),
                token: token.0,
                as_of_ms,
                ids: jobs.iter().map(|id| id.0).collect(),
            };
            let message = links::frame(Body::Confirm(confirm));
            if self.links.get(&vm).is_some_and(|link| link.send(message)) {
                self.pending_jobs.confirmed(&cell, now);
            } else {
                self.next_confirmation = now;
            }
        }
    }

    /// Handles a confirmation for a scheduler in this process.
    pub(super) fn on_confirmation(&mut self, from: EntryVm, confirm: Confirm) {
        let cell = CellName(confirm.cell.into());
        let token = FencingToken(confirm.token);
        let is_addressed = self.cells.get(&cell).is_some_and(|c| c.is_own_reply(token));
        let Some(as_of) = self.heartbeat_clock.time_of(confirm.as_of_ms) else {
            return;
        };
        if is_addressed {
            let jobs = confirm.ids.into_iter().map(JobId).collect();
            let command = Command::Confirm {
                origin: from,
                as_of,
                jobs,
            };
            self.handle_command(&cell, command);
        }
    }
}
