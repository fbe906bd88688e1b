//! The sheet in force, arranged for look-ups.

use std::time::Duration;

use crate::collections::Map;
use crate::modules::sheet::Sheet;
use crate::modules::sheet::row::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// What the sheet in force says of one request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindRule {
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time callers wait when they name none.
    pub deadline: Duration,
}

/// What the sheet in force says of one service.
#[derive(Debug, Clone, Default)]
pub struct ServiceRule {
    /// Its request kinds.
    pub kinds: Map<KindName, KindRule>,
    /// Its state in each data centre.
    pub states: Map<DataCentre, ServiceState>,
    /// Slots of each of its targets, by data centre.
    pub slots: Map<DataCentre, u32>,
    /// Number of its targets, by data centre.
    pub workers: Map<DataCentre, u32>,
    /// Shares of the teams that have one.
    pub team_shares: Map<TeamName, u32>,
}

/// The sheet in force, arranged for look-ups.
#[derive(Debug, Clone, Default)]
pub struct SheetRules {
    /// Revision in force; 0 before the first.
    pub revision: u64,
    /// The services.
    pub services: Map<ServiceName, ServiceRule>,
}

impl SheetRules {
    /// Arranges a sheet.
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

    /// State of a service in a data centre; `None` where the sheet has no row of it.
    pub fn state(&self, service: ServiceName, data_centre: DataCentre) -> Option<ServiceState> {
        self.services
            .get(&service)?
            .states
            .get(&data_centre)
            .copied()
    }
}
