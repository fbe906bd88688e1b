//! Stand-ins for the platform, targets, balancer and peer network, with fault injection.
//!
//! The stand-ins implement the published interfaces over loopback. Only tests, benches and examples
//! use this package, and no other package starts processes.

pub mod balancer;
pub mod certs;
pub mod http_server;
pub mod operators;
pub mod peer_relay;
pub mod platform;
pub mod ports;
pub mod target;
pub mod timer;
pub mod usage;
pub mod workload;

pub use balancer::Balancer;
pub use certs::TestCerts;
pub use peer_relay::{LinkFaults, PeerRelay};
pub use platform::{PlatformFaults, PlatformStandIn};
pub use target::{StartRecord, TargetFaults, TargetStandIn};
pub mod caller;
pub mod cluster;
pub mod entry_process;
pub mod faults;
pub mod load;

pub use caller::Caller;
pub use cluster::{Cluster, ClusterPlan};
pub use entry_process::EntryProcess;
