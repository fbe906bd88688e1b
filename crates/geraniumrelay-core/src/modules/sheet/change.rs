//! Differences between two sheets, with a description for operators.

use derive_more::Display;

use crate::modules::sheet::row::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// Capacity of a service in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{workers} workers with {slots} slots and {connections} connections each")]
pub struct Capacity {
    /// Number of targets.
    pub workers: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target allows.
    pub connections: u32,
}

/// One difference between the sheet in force and the next.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Change {
    /// A service is new.
    #[display("{service}: new service")]
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A drained service is removed.
    #[display("{service}: leaves the sheet after it drained")]
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A service is new in a data centre.
    #[display("{service} in {data_centre}: new, {state}, {capacity}")]
    DeploymentAdded {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// State of the new deployment.
        state: ServiceState,
        /// Capacity of the new deployment.
        capacity: Capacity,
    },
    /// A service is removed from a data centre after it drained there.
    #[display("{service} in {data_centre}: leaves the sheet after it drained")]
    DeploymentRemoved {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
    },
    /// The capacity of a service in a data centre changes.
    #[display("{service} in {data_centre}: capacity from {from} to {to}")]
    Capacity {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// Old capacity.
        from: Capacity,
        /// New capacity.
        to: Capacity,
    },
    /// The state of a service in a data centre changes.
    #[display("{service} in {data_centre}: {}", describe_state_change(*from, *to))]
    State {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// Old state.
        from: ServiceState,
        /// New state.
        to: ServiceState,
    },
    /// A request kind is new.
    #[display("{service}, {kind}: new request kind, {urgency}")]
    KindAdded {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Urgency class of the request kind.
        urgency: Urgency,
    },
    /// A request kind is removed.
    #[display("{service}, {kind}: request kind is removed, its requests are refused from now on")]
    KindRemoved {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
    },
    /// The urgency class of a request kind changes.
    #[display("{service}, {kind}: urgency from {from} to {to}")]
    Urgency {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Old urgency class.
        from: Urgency,
        /// New urgency class.
        to: Urgency,
    },
    /// A request kind becomes idempotent or stops being so.
    #[display("{service}, {kind}: {}", describe_idempotence(*is_idempotent))]
    Idempotent {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Whether the request kind is idempotent from now on.
        is_idempotent: bool,
    },
    /// The default deadline of a request kind changes.
    #[display("{service}, {kind}: deadline from {from_ms} ms to {to_ms} ms")]
    Deadline {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Old deadline in milliseconds.
        from_ms: u128,
        /// New deadline in milliseconds.
        to_ms: u128,
    },
    /// A team gets a share.
    #[display("{service}, team {team}: new share {share}")]
    ShareAdded {
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
        /// Share of the team among the teams of the service.
        share: u32,
    },
    /// A team loses its share.
    #[display("{service}, team {team}: has no share any more")]
    ShareRemoved {
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
    },
    /// The share of a team changes.
    #[display("{service}, team {team}: share from {from} to {to}")]
    Share {
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
        /// Old share.
        from: u32,
        /// New share.
        to: u32,
    },
}

fn describe_state_change(from: ServiceState, to: ServiceState) -> String {
    let meaning = match to {
        ServiceState::Active if from == ServiceState::Retired => "back in service, takes new work",
        ServiceState::Active => "the drain is taken back, takes new work again",
        ServiceState::Draining => "takes no new work and finishes what it has",
        ServiceState::Retired => "has nothing left",
    };
    format!("from {from} to {to}: {meaning}")
}

fn describe_idempotence(is_idempotent: bool) -> &'static str {
    if is_idempotent {
        "becomes idempotent, may be repeated"
    } else {
        "is no longer idempotent, runs at most once"
    }
}
