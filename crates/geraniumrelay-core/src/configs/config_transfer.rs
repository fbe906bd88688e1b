//! Settings of the transfer of configurations between entry VMs.

use std::time::Duration;

/// Times and limits of downloads and uploads.
#[derive(Debug, Clone)]
pub struct ConfigTransferConfig {
    /// Time for which a VM that lacks a version waits for the platform's store, which sends each
    /// version to all VMs, before it asks a peer.
    pub store_grace: Duration,
    /// Time without a part after which another peer is asked, and time before a peer that did not
    /// deliver is asked again.
    pub stall_timeout: Duration,
    /// Maximum of the time without a part, which grows for a peer whose link is slow.
    pub max_stall_timeout: Duration,
    /// Maximum size of a part in bytes. The next part is requested when one has arrived, so a
    /// message on the same link waits for few parts.
    pub part_bytes: usize,
    /// Maximum size of a configuration in bytes.
    pub max_row_bytes: usize,
    /// Maximum number of peers to which a VM uploads at a time.
    pub max_uploads: usize,
}

impl Default for ConfigTransferConfig {
    fn default() -> Self {
        Self {
            store_grace: Duration::from_millis(800),
            stall_timeout: Duration::from_millis(600),
            max_stall_timeout: Duration::from_millis(4_800),
            part_bytes: 64 << 10,
            max_row_bytes: 8 << 20,
            max_uploads: 2,
        }
    }
}
