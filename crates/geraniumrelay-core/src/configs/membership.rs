//! Settings of membership.

use std::time::Duration;

/// Heartbeats between entry VMs.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two heartbeats to the same peer.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is not passed requests.
    pub silence: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            silence: Duration::from_secs(3),
        }
    }
}
