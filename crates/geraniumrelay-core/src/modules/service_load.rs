//! Load of one service on this VM, without its waiting jobs.

use std::time::Instant;

use crate::configs::Config;
use crate::modules::headroom::Headroom;

/// Recent and current load of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Recent arrivals of urgent work.
    pub headroom: Headroom,
    /// Number of running urgent tasks.
    pub urgent_running: u32,
    /// Number of task starts since the process started.
    pub starts: u64,
}

impl ServiceLoad {
    /// Creates a load without arrivals, running tasks or starts.
    pub fn new(now: Instant, cfg: &Config) -> Self {
        Self {
            headroom: Headroom::new(now, &cfg.headroom),
            urgent_running: 0,
            starts: 0,
        }
    }

    /// Number of slots to keep free for urgent tasks.
    pub fn headroom_slots(&self, now: Instant, cfg: &Config) -> u32 {
        self.headroom.slots(now, &cfg.headroom, self.urgent_running)
    }
}
