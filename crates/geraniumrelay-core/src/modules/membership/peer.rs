//! State of one entry VM as other entry VMs see it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::{Map, Set};
use crate::context::Context;
use crate::modules::loans::Spare;
use crate::names::{DataCentre, VmName};
use crate::ticket::Incarnation;

/// Status of one entry VM, from its heartbeats, a peer digest or the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address at which the VM accepts requests of other entry VMs.
    pub address: SocketAddr,
    /// Incarnation; `None` if only the platform's list names the VM.
    pub incarnation: Option<Incarnation>,
    /// Revision of the sheet in force.
    pub revision: u64,
    /// Whether the VM is leaving and accepts no new jobs.
    pub is_leaving: bool,
    /// Incarnations whose claims the VM holds by hand-over.
    pub held: Vec<Incarnation>,
    /// Slots that the VM can lend, by service.
    pub spare: Vec<Spare>,
}

/// A known peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) status: PeerStatus,
    pub(super) known_since: Instant,
    /// Incarnation with which the peer was last reported as live; `None` if not.
    pub(super) reported_incarnation: Option<Incarnation>,
    /// Whether the platform's list marks the peer as leaving; its own heartbeats may lag behind.
    pub(super) is_listed_leaving: bool,
    pub(super) last_heartbeat_at: Option<Instant>,
}

/// Peers of another data centre as its representative reports them.
#[derive(Debug, Clone)]
pub(super) struct PeerView {
    pub(super) hash: u64,
    pub(super) last_heartbeat_at: Instant,
    pub(super) vms: Set<VmName>,
}

/// State of a peer for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Latest status.
    pub status: PeerStatus,
    /// Time since the last heartbeat received here; `None` if there was none.
    pub last_heartbeat_ago: Option<Duration>,
    /// Whether a heartbeat of the peer or a digest that lists the peer arrived within its time-out.
    pub is_live: bool,
}

/// A change of the liveness or incarnation of a peer, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerChange {
    /// Name of the VM.
    pub vm: VmName,
    /// Latest incarnation.
    pub incarnation: Option<Incarnation>,
    /// Whether the peer is live now.
    pub is_live: bool,
}

/// Destination of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Hash of the latest peer digest of its data centre; 0 before the first.
    pub known_digest: u64,
}

/// Location of the owner of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// Live at this peer address.
    At(SocketAddr),
    /// Known, but without a heartbeat within the time-out.
    Unresponsive,
    /// Not known here: gone, or without any heartbeat so far.
    Unknown,
}

impl Peer {
    /// Creates a peer without any heartbeat.
    pub(super) fn new(cx: &Context<'_>, status: PeerStatus) -> Self {
        Self {
            status,
            known_since: cx.now,
            reported_incarnation: None,
            is_listed_leaving: false,
            last_heartbeat_at: None,
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.status.is_leaving || self.is_listed_leaving
    }

    pub(super) fn runs(&self, incarnation: Incarnation) -> bool {
        self.status.incarnation == Some(incarnation)
    }

    /// Whether a heartbeat of the peer, or of a representative whose digest lists the peer, arrived
    /// within its time-out.
    pub(super) fn is_live(&self, cx: &Context<'_>, views: &Map<DataCentre, PeerView>) -> bool {
        let cfg = &cx.cfg.membership;
        let data_centre = &self.status.data_centre;
        let view = views.get(data_centre);
        let view = view.filter(|view| view.vms.contains(&self.status.vm));
        view.is_some_and(|view| cx.now < view.last_heartbeat_at + cfg.remote_heartbeat_timeout)
            || self
                .last_heartbeat_at
                .is_some_and(|at| cx.now < at + cfg.heartbeat_timeout)
    }

    pub(super) fn is_directly_live(&self, cx: &Context<'_>) -> bool {
        let heartbeat_timeout = cx.cfg.membership.heartbeat_timeout;
        self.last_heartbeat_at
            .is_some_and(|at| cx.now < at + heartbeat_timeout)
    }
}
