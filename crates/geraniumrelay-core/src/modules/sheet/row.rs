//! One row of a sheet.

use std::time::Duration;

use derive_more::{Display, FromStr};

use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// Urgency class of a request kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Urgency {
    /// Interactive: a person waits for the answer.
    Urgent,
    /// Due soon, but not interactive.
    Normal,
    /// Deferrable: runs on spare capacity and is the first to yield.
    Bulk,
}

impl Urgency {
    /// Number of urgency classes.
    pub const COUNT: usize = 3;
}

/// Whether a service takes new work in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    Active,
    /// Takes no new work and finishes its queued and running work.
    Draining,
    /// Has no work left and takes none.
    Retired,
}

/// One row: the settings of a request kind of a service in a data centre, for one team at most.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetRow {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Number of targets of the service in the data centre.
    pub workers: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target allows.
    pub connections: u32,
    /// The request kind.
    pub kind: KindName,
    /// Urgency class of the request kind.
    pub urgency: Urgency,
    /// Whether a request may safely run twice.
    pub is_idempotent: bool,
    /// Deadline of requests that set none.
    pub deadline: Duration,
    /// State of the service in the data centre.
    pub state: ServiceState,
    /// Team that has the share; `None` if the row has no team.
    pub team: Option<TeamName>,
    /// Share of the team among the teams of the service, from 1; `None` if the row has no team.
    pub team_share: Option<u32>,
}
