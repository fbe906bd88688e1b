//! Times of heartbeats, by which a scheduler bounds the age of the messages that it gets.

use std::time::{Duration, Instant};

use geraniumrelay_core::collections::Map;
use geraniumrelay_core::leased::EntryVm;

/// Times of heartbeats, on a clock of the VM that sends them. Other VMs echo the last one that they have received,
/// which tells the sender how old their messages are at most.
#[derive(Debug)]
pub(super) struct HeartbeatClock {
    started_at: Instant,
    heard: Map<EntryVm, Heard>,
}

/// Heartbeats of another VM: times on its clock, in milliseconds; 0 if it does not tell.
#[derive(Debug, Clone, Copy)]
struct Heard {
    last_ms: u64,
    /// The last one that had been handled when the ends of callers' connections were last read.
    as_of_ms: Option<u64>,
}

impl HeartbeatClock {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            heard: Map::default(),
        }
    }

    /// The time `now` for a heartbeat, in milliseconds; never 0.
    pub(super) fn sent_ms(&self, now: Instant) -> u64 {
        let ms = now.saturating_duration_since(self.started_at).as_millis();
        u64::try_from(ms).unwrap_or(u64::MAX).max(1)
    }

    /// When this VM sent the heartbeat of that time; `None` for 0.
    pub(super) fn time_of(&self, sent_ms: u64) -> Option<Instant> {
        let sent = self.started_at.checked_add(Duration::from_millis(sent_ms));
        sent.filter(|_| sent_ms > 0)
    }

    /// Records the time of a heartbeat of another VM.
    pub(super) fn heard(&mut self, from: EntryVm, sent_ms: u64) {
        let heard = self.heard.entry(from).or_insert(Heard {
            last_ms: sent_ms,
            as_of_ms: None,
        });
        heard.last_ms = sent_ms;
    }

    /// Records that the ends of callers' connections were read after all heartbeats recorded so far.
    pub(super) fn callers_read(&mut self) {
        for heard in self.heard.values_mut() {
            heard.as_of_ms = Some(heard.last_ms);
        }
    }

    /// Whether only heartbeats since the last read of callers' connections are known of a VM.
    pub(super) fn has_new_vm(&self) -> bool {
        self.heard.values().any(|h| h.as_of_ms.is_none())
    }

    /// Heartbeat of a VM as of which the callers are known, on its clock; 0 if it does not tell, and `None` if none of
    /// its process has been received before the last read of callers' connections.
    pub(super) fn as_of_ms(&self, vm: EntryVm) -> Option<u64> {
        self.heard.get(&vm)?.as_of_ms
    }

    /// Forgets the heartbeats of a VM: its next process has another clock.
    pub(super) fn forget(&mut self, vm: EntryVm) {
        self.heard.remove(&vm);
    }
}
