//! Cancellations that schedulers have yet to confirm.
//!
//! Load pattern: a caller cancels a best-effort job at another VM than the one that it has submitted the job to, and
//! the message to the job's scheduler is lost with a link.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use geraniumrelay_core::leased::cells::CellName;
use geraniumrelay_core::leased::{JobId, JobRecord};
use tokio::sync::oneshot;

/// Interval at which a cancellation is sent again to the schedulers that have not confirmed it.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Longest wait for the confirmations of all schedulers.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// A cancelled job as the VM that the caller has called knows it.
#[derive(Debug)]
pub(super) enum WaitingJob {
    /// No caller waits here for the job.
    None,
    /// Callers waited here for the best-effort job; they have been answered.
    BestEffort,
    /// Callers wait here until the durable job is accepted; its record, for the case that none is stored yet.
    Durable(Box<JobRecord>),
}

/// What the schedulers of all cells have said of a cancelled job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Confirmation {
    /// None has the job.
    NotFound,
    /// One has ended the job.
    Ended,
    /// One has the job, and has yet to store that it is cancelled.
    Durable,
    /// Not all have confirmed in time.
    Missing,
}

#[derive(Debug)]
struct Cancellation {
    /// Cells whose schedulers have not confirmed.
    unconfirmed: BTreeSet<CellName>,
    found: Confirmation,
    replies: Vec<oneshot::Sender<Confirmation>>,
    send_at: Instant,
    ends_at: Instant,
}

/// Cancellations that are not confirmed by the schedulers of all cells.
#[derive(Debug, Default)]
pub(super) struct Cancellations {
    /// An ordered map, because callers choose the ids.
    open: BTreeMap<JobId, Cancellation>,
}

impl Cancellations {
    /// Adds a cancellation that is about to be sent to the schedulers of all `cells`.
    pub(super) fn add(
        &mut self,
        id: JobId,
        cells: Vec<CellName>,
        reply: oneshot::Sender<Confirmation>,
        now: Instant,
    ) {
        let open = self.open.entry(id).or_insert_with(|| Cancellation {
            unconfirmed: BTreeSet::new(),
            found: Confirmation::NotFound,
            replies: Vec::new(),
            send_at: now,
            ends_at: now,
        });
        open.unconfirmed.extend(cells);
        open.replies.push(reply);
        open.send_at = now + RESEND_INTERVAL;
        open.ends_at = now + MAX_WAIT;
    }

    /// Records what the scheduler of a cell has said, and replies once all have confirmed.
    pub(super) fn confirm(&mut self, id: JobId, cell: &CellName, found: Confirmation) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        open.unconfirmed.remove(cell);
        open.found = open.found.max(found);
        if open.unconfirmed.is_empty() {
            self.end(id);
        }
    }

    /// Replies to the requests whose wait is over, and returns which cancellations are to be sent again, and where.
    pub(super) fn due(&mut self, now: Instant) -> Vec<(JobId, CellName)> {
        let is_over = |c: &Cancellation| now >= c.ends_at || c.is_abandoned();
        let over: Vec<JobId> = self
            .open
            .iter()
            .filter(|(_, c)| is_over(c))
            .map(|(&id, _)| id)
            .collect();
        for id in over {
            if let Some(open) = self.open.get_mut(&id) {
                open.found = Confirmation::Missing;
            }
            self.end(id);
        }
        let mut due = Vec::new();
        for (&id, open) in self.open.iter_mut().filter(|(_, c)| now >= c.send_at) {
            open.send_at = now + RESEND_INTERVAL;
            due.extend(open.unconfirmed.iter().map(|cell| (id, cell.clone())));
        }
        due
    }

    fn end(&mut self, id: JobId) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        for reply in open.replies {
            // The send fails only where the requester no longer needs the confirmation.
            let _ = reply.send(open.found);
        }
    }
}

impl Cancellation {
    /// Whether nobody waits for the confirmations.
    fn is_abandoned(&self) -> bool {
        self.replies.iter().all(oneshot::Sender::is_closed)
    }
}
