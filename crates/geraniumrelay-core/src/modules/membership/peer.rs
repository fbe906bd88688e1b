//! What is known of one entry VM.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::collections::{Map, Set};
use crate::context::Context;
use crate::modules::loans::Spare;
use crate::names::{DataCentre, VmName};
use crate::ticket::Incarnation;

/// What is heard of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Where it takes requests of other entry VMs.
    pub address: SocketAddr,
    /// Its incarnation; `None` where only the platform's list names it.
    pub incarnation: Option<Incarnation>,
    /// Sheet revision that it has in force.
    pub revision: u64,
    /// Whether it takes no new work.
    pub is_leaving: bool,
    /// Incarnations whose tickets it holds by hand-over.
    pub held: Vec<Incarnation>,
    /// Slots that it could lend.
    pub spare: Vec<Spare>,
}

/// One peer.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) status: PeerStatus,
    pub(super) known_since: Instant,
    /// Whether it was noted as reached, and with which incarnation.
    pub(super) reported_incarnation: Option<Incarnation>,
    /// Whether the platform's list says that it is leaving; its own heartbeats may not know yet.
    pub(super) is_listed_leaving: bool,
    pub(super) last_heartbeat_at: Option<Instant>,
}

/// What is known of another data centre through its contacts.
#[derive(Debug, Clone)]
pub(super) struct PeerView {
    pub(super) hash: u64,
    pub(super) last_heartbeat_at: Instant,
    pub(super) vms: Set<VmName>,
}

/// What is known of a peer, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Its last news.
    pub status: PeerStatus,
    /// Time since it was heard; `None` where it never was.
    pub last_heartbeat_ago: Option<Duration>,
    /// Whether it was heard within the silence.
    pub is_live: bool,
}

/// A peer that has come or gone, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerChange {
    /// Its VM.
    pub vm: VmName,
    /// Its last incarnation.
    pub incarnation: Option<Incarnation>,
    /// Whether it is heard now.
    pub is_live: bool,
}

/// Where a heartbeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recipient {
    /// Peer address.
    pub address: SocketAddr,
    /// Hash of the last digest of its data centre; 0 before the first.
    pub known_digest: u64,
}

/// Where the owner of a ticket is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// At this peer address.
    At(SocketAddr),
    /// Known, but not heard for a while.
    Unresponsive,
    /// Not known here: gone, or never heard.
    Unknown,
}

impl Peer {
    /// A peer of which nothing else is known yet.
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

    /// Whether it was heard here or by a contact in its data centre.
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
