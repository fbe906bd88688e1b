//! A sheet grouped by service, for comparison with another one.

use std::collections::BTreeMap;

use crate::modules::sheet::change::Capacity;
use crate::modules::sheet::row::{ServiceState, SheetRow};
use crate::modules::sheet::rules::KindRule;
use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// A sheet grouped by service; sorted, so that differences are reported by name.
#[derive(Debug, Default)]
pub(super) struct Outline {
    pub(super) services: BTreeMap<ServiceName, ServiceOutline>,
}

/// One service of a sheet, in all data centres.
#[derive(Debug, Default)]
pub(super) struct ServiceOutline {
    pub(super) deployments: BTreeMap<DataCentre, Deployment>,
    pub(super) kinds: BTreeMap<KindName, KindRule>,
    pub(super) shares: BTreeMap<TeamName, u32>,
}

/// Deployment of a service in one data centre.
#[derive(Debug, Clone, Copy)]
pub(super) struct Deployment {
    pub(super) state: ServiceState,
    pub(super) capacity: Capacity,
}

impl Outline {
    pub(super) fn new(rows: &[SheetRow]) -> Self {
        let mut outline = Self::default();
        for row in rows {
            outline.services.entry(row.service).or_default().add(row);
        }
        outline
    }
}

impl ServiceOutline {
    fn add(&mut self, row: &SheetRow) {
        let capacity = Capacity {
            workers: row.workers,
            slots: row.slots,
            connections: row.connections,
        };
        let deployment = Deployment {
            state: row.state,
            capacity,
        };
        self.deployments.insert(row.data_centre, deployment);
        let kind = KindRule {
            urgency: row.urgency,
            is_idempotent: row.is_idempotent,
            deadline: row.deadline,
        };
        self.kinds.insert(row.kind, kind);
        if let (Some(team), Some(share)) = (row.team, row.team_share) {
            self.shares.insert(team, share);
        }
    }

    pub(super) fn takes_work(&self) -> bool {
        let mut deployments = self.deployments.values();
        deployments.any(|deployment| deployment.state == ServiceState::Active)
    }
}
