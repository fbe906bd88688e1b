//! Load of one service as this VM sees it, beside its waiting jobs.

use std::time::Instant;

use crate::configs::Config;
use crate::modules::headroom::Headroom;

/// Load of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceLoad {
    /// Recent urgent work.
    pub headroom: Headroom,
    /// Urgent tasks that run now.
    pub urgent_running: u32,
    /// Starts so far.
    pub starts: u64,
}

impl ServiceLoad {
    /// Starts without any load.
    pub fn new(now: Instant, cfg: &Config) -> Self {
        Self {
            headroom: Headroom::new(now, &cfg.headroom),
            urgent_running: 0,
            starts: 0,
        }
    }

    /// Slots to keep free for urgent tasks.
    pub fn headroom_slots(&self, now: Instant, cfg: &Config) -> u32 {
        self.headroom.slots(now, &cfg.headroom, self.urgent_running)
    }
}
