//! One row of a sheet.

use std::time::Duration;

use derive_more::{Display, FromStr};

use crate::names::{DataCentre, KindName, ServiceName, TeamName};

/// How soon a request kind is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Urgency {
    /// People stand and wait.
    Urgent,
    /// Soon.
    Normal,
    /// Whenever there is room; gives way first.
    Bulk,
}

impl Urgency {
    /// Number of classes.
    pub const COUNT: usize = 3;
}

/// Whether a service takes new work in a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, FromStr)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum ServiceState {
    /// Takes new work.
    Active,
    /// Finishes what it has.
    Draining,
    /// Has nothing left.
    Retired,
}

/// One row: a service, a data centre and a request kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SheetRow {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Targets of the service there.
    pub workers: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Connections that each target allows.
    pub connections: u32,
    /// The request kind.
    pub kind: KindName,
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time callers wait when they name none.
    pub deadline: Duration,
    /// Whether new work is taken.
    pub state: ServiceState,
    /// Team that the share is of, where the row names one.
    pub team: Option<TeamName>,
    /// Share of the team among the teams of the service.
    pub team_share: Option<u32>,
}
