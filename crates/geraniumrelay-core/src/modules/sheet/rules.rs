//! Look-up tables of the sheet in force.

use std::time::Duration;

use crate::collections::Map;
use crate::modules::sheet::Sheet;
use crate::modules::sheet::row::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// Settings of one request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindRule {
    /// Urgency class of the request kind.
    pub urgency: Urgency,
    /// Whether a request may safely run twice.
    pub is_idempotent: bool,
    /// Deadline of requests that set none.
    pub deadline: Duration,
}

/// Settings of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRule {
    /// Request kinds of the service; the same in all data centres.
    pub kinds: Map<KindName, KindRule>,
    /// State of the service, by data centre.
    pub states: Map<DataCentre, ServiceState>,
    /// Slots of each target, by data centre.
    pub slots: Map<DataCentre, u32>,
    /// Number of targets, by data centre.
    pub workers: Map<DataCentre, u32>,
    /// Shares of the teams that have one.
    pub team_shares: Map<TeamName, u32>,
}

/// Settings of the sheet in force, by service.
#[derive(Debug, Clone, Default)]
pub struct SheetRules {
    /// Revision in force; 0 before the first sheet.
    pub revision: u64,
    /// Settings of all services, in all data centres.
    pub services: Map<ServiceName, ServiceRule>,
}

impl SheetRules {
    /// Builds the tables from a sheet.
    pub fn new(sheet: &Sheet) -> Self {
        let mut rules = Self {
            revision: sheet.revision,
            services: Map::default(),
        };
        for row in &sheet.rows {
            let service = rules.services.entry(row.service).or_default();
            let kind = KindRule {
                urgency: row.urgency,
                is_idempotent: row.is_idempotent,
                deadline: row.deadline,
            };
            service.kinds.insert(row.kind, kind);
            service.states.insert(row.data_centre, row.state);
            service.slots.insert(row.data_centre, row.slots);
            service.workers.insert(row.data_centre, row.workers);
            if let (Some(team), Some(share)) = (row.team, row.team_share) {
                service.team_shares.insert(team, share);
            }
        }
        rules
    }

    /// State of a service in a data centre; `None` if the sheet has no row of it.
    pub fn state(&self, service: ServiceName, data_centre: DataCentre) -> Option<ServiceState> {
        self.services
            .get(&service)?
            .states
            .get(&data_centre)
            .copied()
    }
}
