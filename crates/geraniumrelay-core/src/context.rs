//! What every decision is handed: the present time and the settings.

use std::time::{Instant, SystemTime};

use crate::configs::Config;

/// Source of time, passed in so that tests and the bench can run in virtual time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and leases.
    fn now(&self) -> Instant;

    /// Calendar time, for what people read.
    fn wall(&self) -> SystemTime;
}

/// Present time and settings, handed down to each module.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Time at which the command is decided.
    pub now: Instant,
    /// Settings of all modules.
    pub cfg: &'a Config,
}

impl<'a> Context<'a> {
    /// Makes the context of one command.
    pub fn new(now: Instant, cfg: &'a Config) -> Self {
        Self { now, cfg }
    }
}
