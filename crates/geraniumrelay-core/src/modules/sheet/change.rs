//! Differences between two sheets, in words.

use derive_more::Display;

use crate::modules::sheet::row::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// What a service has in one data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("{workers} workers with {slots} slots and {connections} connections each")]
pub struct Capacity {
    /// Targets.
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
    /// A service is gone after it drained.
    #[display("{service}: leaves the sheet after it drained")]
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A service comes to a data centre.
    #[display("{service} in {data_centre}: new, {state}, {capacity}")]
    DeploymentAdded {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// Its state there.
        state: ServiceState,
        /// What it has there.
        capacity: Capacity,
    },
    /// A service is gone from a data centre after it drained there.
    #[display("{service} in {data_centre}: leaves the sheet after it drained")]
    DeploymentRemoved {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
    },
    /// A service's capacity changes.
    #[display("{service} in {data_centre}: capacity from {from} to {to}")]
    Capacity {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// Before.
        from: Capacity,
        /// After.
        to: Capacity,
    },
    /// A service's state changes.
    #[display("{service} in {data_centre}: {}", state_in_words(*from, *to))]
    State {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
        /// Before.
        from: ServiceState,
        /// After.
        to: ServiceState,
    },
    /// A request kind is new.
    #[display("{service}, {kind}: new request kind, {urgency}")]
    KindAdded {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Its urgency.
        urgency: Urgency,
    },
    /// A request kind is gone.
    #[display("{service}, {kind}: request kind is removed, its requests are refused from now on")]
    KindRemoved {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
    },
    /// A request kind's urgency changes.
    #[display("{service}, {kind}: urgency from {from} to {to}")]
    Urgency {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Before.
        from: Urgency,
        /// After.
        to: Urgency,
    },
    /// Whether a request kind may run twice changes.
    #[display("{service}, {kind}: {}", idempotent_in_words(*is_idempotent))]
    Idempotent {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// After.
        is_idempotent: bool,
    },
    /// A request kind's deadline changes; in milliseconds.
    #[display("{service}, {kind}: deadline from {from_ms} ms to {to_ms} ms")]
    Deadline {
        /// The service.
        service: ServiceName,
        /// The request kind.
        kind: KindName,
        /// Before, in milliseconds.
        from_ms: u128,
        /// After, in milliseconds.
        to_ms: u128,
    },
    /// A team gets a share.
    #[display("{service}, team {team}: new share {share}")]
    ShareAdded {
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
        /// Its share.
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
    /// A team's share changes.
    #[display("{service}, team {team}: share from {from} to {to}")]
    Share {
        /// The service.
        service: ServiceName,
        /// The team.
        team: TeamName,
        /// Before.
        from: u32,
        /// After.
        to: u32,
    },
}

fn state_in_words(from: ServiceState, to: ServiceState) -> String {
    let meaning = match to {
        ServiceState::Active if from == ServiceState::Retired => "back in service, takes new work",
        ServiceState::Active => "the drain is taken back, takes new work again",
        ServiceState::Draining => "takes no new work and finishes what it has",
        ServiceState::Retired => "has nothing left",
    };
    format!("from {from} to {to}: {meaning}")
}

fn idempotent_in_words(is_idempotent: bool) -> &'static str {
    if is_idempotent {
        "becomes idempotent, may be repeated"
    } else {
        "is no longer idempotent, runs at most once"
    }
}
