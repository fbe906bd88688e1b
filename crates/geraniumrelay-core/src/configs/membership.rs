//! Membership settings.

use std::time::Duration;

/// Intervals and time-outs of heartbeats between entry VMs.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval between heartbeats to one peer in the own data centre.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which no requests are forwarded to a peer.
    pub heartbeat_timeout: Duration,
    /// Interval between heartbeats to the representative of another data centre.
    pub remote_heartbeat_interval: Duration,
    /// Time without a heartbeat from a representative after which no requests are forwarded to the
    /// peers of its data centre.
    pub remote_heartbeat_timeout: Duration,
    /// Maximum factor by which the heartbeat interval to a peer that does not answer grows.
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
