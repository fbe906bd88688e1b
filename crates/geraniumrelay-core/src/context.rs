//! Input of every decision besides the command: the current time and the settings.

use std::time::{Instant, SystemTime};

use crate::configs::Config;

/// Source of time; tests and benchmarks provide one that runs in virtual time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and leases.
    fn now(&self) -> Instant;

    /// Wall-clock time, for timestamps in records and logs.
    fn wall(&self) -> SystemTime;
}

/// Current time and settings, passed to each module.
#[derive(Debug, Clone, Copy)]
pub struct Context<'a> {
    /// Monotonic time at which the command is processed.
    pub now: Instant,
    /// Settings of all modules.
    pub cfg: &'a Config,
}

impl<'a> Context<'a> {
    /// Creates the context of one command.
    pub fn new(now: Instant, cfg: &'a Config) -> Self {
        Self { now, cfg }
    }
}
