//! What may be asked of the dispatcher without changing it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::modules::membership::PeerReport;
use crate::modules::sheet::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, VmName};
use crate::ticket::Ticket;

/// One question of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// How far a submission is.
    Job(Ticket),
}

/// How far a submission without an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProgress {
    /// Name of the submission.
    pub ticket: Ticket,
    /// Tasks that have not started.
    pub queued: u32,
    /// Tasks that run now.
    pub running: u32,
    /// Tasks that have ended.
    pub ended: u32,
}

/// One question of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportQuery {
    /// This VM and its peers.
    Status,
    /// The services in force.
    Services,
    /// The targets known.
    Targets,
    /// The jobs in flight.
    Jobs {
        /// Most jobs to list.
        limit: usize,
    },
}

/// Answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// This VM and its peers.
    Status(StatusReport),
    /// The services in force, by name and data centre.
    Services(Vec<ServiceReport>),
    /// The targets known, by VM.
    Targets(Vec<TargetReport>),
    /// Some of the jobs in flight.
    Jobs(Vec<JobReport>),
}

/// This VM and its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// Every entry VM known, this one first.
    pub entries: Vec<PeerReport>,
    /// Jobs in flight here.
    pub jobs: usize,
    /// Targets known here.
    pub targets: usize,
}

/// One request kind in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindReport {
    /// Its name.
    pub kind: KindName,
    /// Its urgency class.
    pub urgency: Urgency,
    /// Whether running a request twice does no harm.
    pub is_idempotent: bool,
    /// Time callers wait when they name none.
    pub deadline: Duration,
}

/// One service in one data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its state there.
    pub state: ServiceState,
    /// Its targets there, by the sheet.
    pub workers: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Its request kinds, by name.
    pub kinds: Vec<KindReport>,
}

/// Whether a target gets new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum TargetState {
    /// Takes new tasks.
    Open,
    /// Takes none for a short time after a refusal.
    Paused,
    /// Takes none any more.
    Leaving,
    /// Is no longer in the platform's list.
    Gone,
}

/// One target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// Its VM.
    pub vm: VmName,
    /// Service that it runs.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Whether it gets new tasks.
    pub state: TargetState,
    /// Tasks of this entry VM that run there.
    pub running: u32,
}

/// One job in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobReport {
    /// How far it is.
    pub progress: JobProgress,
    /// Service that runs it.
    pub service: ServiceName,
    /// Urgency class of its request kind.
    pub urgency: Urgency,
    /// Time until its answer is due.
    pub due_in: Duration,
}

/// Load of one entry VM, for its metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Waiting tasks of each class.
    pub queued: [(Urgency, usize); Urgency::COUNT],
    /// Tasks that were sent to targets.
    pub running: usize,
    /// Slots of targets whose home is here.
    pub assigned_slots: u32,
    /// Slots that may be used now, busy ones among them.
    pub usable_slots: u32,
    /// Free slots on healthy targets.
    pub free_slots: u32,
    /// Targets that get trials only.
    pub ejected: usize,
    /// Teams that are kept to their share.
    pub limited_teams: usize,
}
