//! Settings of membership.

use std::time::Duration;

/// Heartbeats between entry VMs.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Time between two heartbeats to the same peer of the own data centre.
    pub heartbeat_interval: Duration,
    /// Silence after which a peer is not passed requests.
    pub heartbeat_timeout: Duration,
    /// Time between two heartbeats to the contact in another data centre.
    pub remote_heartbeat_interval: Duration,
    /// Silence after which the peers of another data centre are not passed requests.
    pub remote_heartbeat_timeout: Duration,
    /// Factor by which heartbeats to a peer that does not answer become rarer, at most.
    pub max_backoff: u32,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(750),
            heartbeat_timeout: Duration::from_secs(3),
            remote_heartbeat_interval: Duration::from_millis(1_500),
            remote_heartbeat_timeout: Duration::from_secs(4),
            max_backoff: 4,
        }
    }
}
