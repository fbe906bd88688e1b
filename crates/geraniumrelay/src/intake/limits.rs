//! Limits of what clients' connections may hold, from the settings or from the system.

use log::info;
use rustix::process::{Resource, getrlimit};
use rustix::system::sysinfo;

use super::ledger::CONNECTION_BYTES;

/// Part of the machine's memory that clients' connections may hold by default, as its divisor.
const MEMORY_DIVISOR: u64 = 4;

/// Largest memory for clients' connections by default, in bytes.
const MAX_DEFAULT_MEMORY: u64 = 64 << 20;

/// Part of the process's descriptors that clients' connections may use by default, as its divisor; the others are for
/// peers, workers, the store and files.
const DESCRIPTOR_DIVISOR: u64 = 2;

/// Limits of what all clients' connections of a process may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct IntakeLimits {
    /// Bytes of unfinished requests, jobs that wait for their answers, unread answers and buffers.
    pub(crate) memory: usize,
    /// Open connections.
    pub(crate) connections: usize,
}

impl IntakeLimits {
    /// Limits from the settings. Where they name none, memory is a quarter of the machine's, at most 64 MiB, and
    /// connections use half of the process's descriptors. Idle connections take half of the memory at most, so that
    /// there is always room for requests.
    pub(crate) fn new(memory_mb: Option<u64>, connections: Option<usize>) -> Self {
        let memory = memory_mb.map_or_else(default_memory, |mb| mb << 20);
        let memory = usize::try_from(memory).unwrap_or(usize::MAX);
        let connections = connections.unwrap_or_else(default_connections);
        let limits = Self {
            memory,
            connections: connections.clamp(1, (memory / 2 / CONNECTION_BYTES).max(1)),
        };
        info!(memory_bytes = limits.memory, connections = limits.connections; "client_limits");
        limits
    }

    /// Raises the memory to at least twice the largest request, so that one of them is always served.
    #[must_use]
    pub(crate) fn with_largest_request(mut self, bytes: usize) -> Self {
        self.memory = self.memory.max(bytes.saturating_mul(2));
        self
    }
}

fn default_memory() -> u64 {
    let system = sysinfo();
    let total = u64::from(system.mem_unit.max(1)) * system.totalram;
    (total / MEMORY_DIVISOR).min(MAX_DEFAULT_MEMORY)
}

fn default_connections() -> usize {
    let descriptors = getrlimit(Resource::Nofile).current;
    let connections = descriptors.unwrap_or(u64::MAX) / DESCRIPTOR_DIVISOR;
    usize::try_from(connections).unwrap_or(usize::MAX)
}
