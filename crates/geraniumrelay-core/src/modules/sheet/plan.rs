//! Changes that a new sheet makes, and changes that are refused in one step.

use std::fmt;

use derive_more::{Display, Error};

use crate::modules::sheet::Sheet;
use crate::modules::sheet::change::Change;
use crate::modules::sheet::outline::{Deployment, Outline, ServiceOutline};
use crate::modules::sheet::row::ServiceState;
use crate::modules::sheet::rules::KindRule;
use crate::names::{DataCentre, KindName, ServiceName};

/// A change that is refused.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Refusal {
    /// A service is missing that still takes work.
    #[display(
        "service {service} is missing from the sheet but still takes work; \
         if the export was cut off, export it again, else drain it first (state draining)"
    )]
    ServiceMissing {
        /// The service.
        service: ServiceName,
    },
    /// A service is missing in a data centre where it still takes work.
    #[display(
        "service {service} has no row for {data_centre} but still takes work there; \
         if the export was cut off, export it again, else drain it there first (state draining)"
    )]
    DeploymentMissing {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
    },
    /// An active service is retired before it drained.
    #[display(
        "service {service} in {data_centre} can't go from active to retired in one step; \
         allowed is draining first"
    )]
    DrainSkipped {
        /// The service.
        service: ServiceName,
        /// The data centre.
        data_centre: DataCentre,
    },
}

/// All refused changes of a sheet.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct PlanError {
    /// The refusals, at least one: missing services first, then by service.
    pub refusals: Vec<Refusal>,
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, refusal) in self.refusals.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{refusal}")?;
        }
        Ok(())
    }
}

/// Changes from `base` to `next`; `base` is `None` before the first sheet.
///
/// # Errors
/// [`PlanError`] with all changes that are not allowed in one step.
pub fn plan(base: Option<&Sheet>, next: &Sheet) -> Result<Vec<Change>, PlanError> {
    let base = Outline::new(base.map_or(&[], |sheet| sheet.rows.as_slice()));
    let next = Outline::new(&next.rows);
    let mut draft = Draft::default();
    for (service, old) in &base.services {
        if !next.services.contains_key(service) {
            draft.remove_service(*service, old);
        }
    }
    for (service, new) in &next.services {
        match base.services.get(service) {
            Some(old) => draft.compare(*service, old, new),
            None => draft.add_service(*service, new),
        }
    }
    if draft.refusals.is_empty() {
        Ok(draft.changes)
    } else {
        Err(PlanError {
            refusals: draft.refusals,
        })
    }
}

/// Changes and refusals collected so far.
#[derive(Debug, Default)]
struct Draft {
    changes: Vec<Change>,
    refusals: Vec<Refusal>,
}

impl Draft {
    fn add_service(&mut self, service: ServiceName, new: &ServiceOutline) {
        self.changes.push(Change::ServiceAdded { service });
        self.compare(service, &ServiceOutline::default(), new);
    }

    fn remove_service(&mut self, service: ServiceName, old: &ServiceOutline) {
        if old.takes_work() {
            self.refusals.push(Refusal::ServiceMissing { service });
        } else {
            self.changes.push(Change::ServiceRemoved { service });
        }
    }

    fn compare(&mut self, service: ServiceName, old: &ServiceOutline, new: &ServiceOutline) {
        self.compare_deployments(service, old, new);
        self.compare_kinds(service, old, new);
        self.compare_shares(service, old, new);
    }

    fn compare_deployments(
        &mut self,
        service: ServiceName,
        old: &ServiceOutline,
        new: &ServiceOutline,
    ) {
        for (data_centre, deployment) in &old.deployments {
            if !new.deployments.contains_key(data_centre) {
                self.remove_deployment(service, *data_centre, *deployment);
            }
        }
        for (&data_centre, to) in &new.deployments {
            match old.deployments.get(&data_centre) {
                Some(from) => self.compare_deployment(service, data_centre, *from, *to),
                None => self.changes.push(Change::DeploymentAdded {
                    service,
                    data_centre,
                    state: to.state,
                    capacity: to.capacity,
                }),
            }
        }
    }

    fn remove_deployment(
        &mut self,
        service: ServiceName,
        data_centre: DataCentre,
        deployment: Deployment,
    ) {
        if deployment.state == ServiceState::Active {
            self.refusals.push(Refusal::DeploymentMissing {
                service,
                data_centre,
            });
        } else {
            self.changes.push(Change::DeploymentRemoved {
                service,
                data_centre,
            });
        }
    }

    fn compare_deployment(
        &mut self,
        service: ServiceName,
        data_centre: DataCentre,
        from: Deployment,
        to: Deployment,
    ) {
        if from.capacity != to.capacity {
            self.changes.push(Change::Capacity {
                service,
                data_centre,
                from: from.capacity,
                to: to.capacity,
            });
        }
        if from.state == to.state {
            return;
        }
        if (from.state, to.state) == (ServiceState::Active, ServiceState::Retired) {
            self.refusals.push(Refusal::DrainSkipped {
                service,
                data_centre,
            });
            return;
        }
        self.changes.push(Change::State {
            service,
            data_centre,
            from: from.state,
            to: to.state,
        });
    }

    fn compare_kinds(&mut self, service: ServiceName, old: &ServiceOutline, new: &ServiceOutline) {
        for &kind in old.kinds.keys() {
            if !new.kinds.contains_key(&kind) {
                self.changes.push(Change::KindRemoved { service, kind });
            }
        }
        for (&kind, to) in &new.kinds {
            match old.kinds.get(&kind) {
                Some(from) => self.compare_kind(service, kind, from, to),
                None => self.changes.push(Change::KindAdded {
                    service,
                    kind,
                    urgency: to.urgency,
                }),
            }
        }
    }

    fn compare_kind(
        &mut self,
        service: ServiceName,
        kind: KindName,
        from: &KindRule,
        to: &KindRule,
    ) {
        if from.urgency != to.urgency {
            self.changes.push(Change::Urgency {
                service,
                kind,
                from: from.urgency,
                to: to.urgency,
            });
        }
        if from.is_idempotent != to.is_idempotent {
            self.changes.push(Change::Idempotent {
                service,
                kind,
                is_idempotent: to.is_idempotent,
            });
        }
        if from.deadline != to.deadline {
            self.changes.push(Change::Deadline {
                service,
                kind,
                from_ms: from.deadline.as_millis(),
                to_ms: to.deadline.as_millis(),
            });
        }
    }

    fn compare_shares(&mut self, service: ServiceName, old: &ServiceOutline, new: &ServiceOutline) {
        for &team in old.shares.keys() {
            if !new.shares.contains_key(&team) {
                self.changes.push(Change::ShareRemoved { service, team });
            }
        }
        for (&team, &to) in &new.shares {
            match old.shares.get(&team) {
                None => self.changes.push(Change::ShareAdded {
                    service,
                    team,
                    share: to,
                }),
                Some(&from) if from != to => self.changes.push(Change::Share {
                    service,
                    team,
                    from,
                    to,
                }),
                Some(_) => {}
            }
        }
    }
}
