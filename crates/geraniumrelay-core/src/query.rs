//! Read-only queries to the dispatcher and their reports.

use std::net::SocketAddr;
use std::time::Duration;

use crate::modules::membership::PeerReport;
use crate::modules::sheet::{ServiceState, Urgency};
use crate::names::{DataCentre, KindName, ServiceName, VmName};
use crate::ticket::Ticket;

/// Query of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Query {
    /// Answer of a submission, or its progress.
    Job(Ticket),
}

/// Progress of a job that has not ended, as counts of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProgress {
    /// Id of the submission.
    pub ticket: Ticket,
    /// Tasks that wait for a slot, including those that wait for a retry.
    pub queued: u32,
    /// Tasks that were sent to a target and have not ended.
    pub running: u32,
    /// Tasks that have ended.
    pub ended: u32,
}

/// Query of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportQuery {
    /// Status of this VM and its peers.
    Status,
    /// Services of the sheet in force.
    Services,
    /// Targets known to this VM.
    Targets,
    /// Jobs in flight on this VM.
    Jobs {
        /// Maximum number of jobs to list.
        limit: usize,
    },
}

/// Reply to a [`ReportQuery`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// Status of this VM and its peers.
    Status(StatusReport),
    /// Services of the sheet in force, sorted by name and data centre.
    Services(Vec<ServiceReport>),
    /// Targets known to this VM, sorted by VM.
    Targets(Vec<TargetReport>),
    /// Jobs in flight on this VM, up to the limit of the query, in no particular order.
    Jobs(Vec<JobReport>),
}

/// Status of this VM and its peers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatusReport {
    /// Known entry VMs: this one first, the others sorted by data centre and VM.
    pub entries: Vec<PeerReport>,
    /// Number of jobs in flight on this VM.
    pub jobs: usize,
    /// Number of targets known to this VM.
    pub targets: usize,
}

/// Request kind of a service, from the sheet in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KindReport {
    /// Name of the request kind.
    pub kind: KindName,
    /// Urgency class of the requests.
    pub urgency: Urgency,
    /// Whether a request may safely run twice.
    pub is_idempotent: bool,
    /// Default and maximum deadline, counted from the arrival of the request.
    pub deadline: Duration,
}

/// Service in one data centre, from the sheet in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: ServiceName,
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// State of the service in the data centre.
    pub state: ServiceState,
    /// Number of targets that the sheet plans there; 0 if it names none.
    pub workers: u32,
    /// Slots per target.
    pub slots: u32,
    /// Request kinds of the service, sorted by name.
    pub kinds: Vec<KindReport>,
}

/// Whether a target accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub enum TargetState {
    /// Accepts new tasks.
    Open,
    /// Gets no new tasks for a while, after a refusal, a failed connection or its ejection.
    Paused,
    /// Shutting down; gets no new tasks.
    Leaving,
    /// No longer in the list of targets; gets no new tasks.
    Gone,
}

/// Target and its load from this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReport {
    /// VM of the target.
    pub vm: VmName,
    /// Service that the target runs.
    pub service: ServiceName,
    /// Address to which tasks are sent.
    pub address: SocketAddr,
    /// Whether the target accepts new tasks.
    pub state: TargetState,
    /// Number of running tasks that this entry VM sent to the target.
    pub running: u32,
}

/// Job in flight on this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobReport {
    /// Counts of queued, running and ended tasks.
    pub progress: JobProgress,
    /// Service that runs the job.
    pub service: ServiceName,
    /// Urgency class of the request kind.
    pub urgency: Urgency,
    /// Time until the deadline; zero if it has passed.
    pub due_in: Duration,
}

/// Load of one entry VM, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Load {
    /// Number of queued tasks of each urgency class.
    pub queued: [(Urgency, usize); Urgency::COUNT],
    /// Number of tasks that were sent to targets and have not ended.
    pub running: usize,
    /// Slots of targets that are assigned to this entry VM.
    pub assigned_slots: u32,
    /// Slots on healthy targets that this VM may use now, including busy ones.
    pub usable_slots: u32,
    /// Free slots on healthy targets.
    pub free_slots: u32,
    /// Number of ejected targets, which get trial tasks only.
    pub ejected: usize,
    /// Number of teams that are limited to their share.
    pub limited_teams: usize,
}
