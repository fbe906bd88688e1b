//! Known entry VMs, from the platform's list, from heartbeats and from the peer digests that the
//! representatives of other data centres send.

mod owners;
mod peer;

use std::hash::BuildHasher;
use std::net::SocketAddr;

use rustc_hash::FxBuildHasher;

use crate::collections::Map;
use crate::context::Context;
use crate::modules::handover::Successor;
use crate::modules::heartbeats::HeartbeatSchedule;
use crate::modules::membership::owners::Owners;
use crate::modules::membership::peer::{Peer, PeerView};
use crate::modules::peer_digest::PeerDigest;
use crate::names::{DataCentre, VmName};
use crate::ticket::Incarnation;

pub use peer::{Owner, PeerChange, PeerReport, PeerStatus, Recipient};

/// Entry VMs known to this VM.
#[derive(Debug)]
pub struct Membership {
    own: DataCentre,
    /// Makes different VMs prefer different representatives.
    seed: u64,
    /// Whether the platform's list or a status with an incarnation has arrived.
    has_list: bool,
    peers: Map<VmName, Peer>,
    heartbeats: HeartbeatSchedule,
    views: Map<DataCentre, PeerView>,
    owners: Owners,
}

impl Membership {
    /// Creates a membership without peers.
    pub fn new(own: DataCentre, incarnation: Incarnation) -> Self {
        Self {
            own,
            seed: incarnation.0,
            has_list: false,
            peers: Map::default(),
            heartbeats: HeartbeatSchedule::default(),
            views: Map::default(),
            owners: Owners::default(),
        }
    }

    /// Applies the platform's list; removes VMs that are neither listed nor live.
    pub fn apply_platform_list(&mut self, cx: &Context<'_>, listed: Vec<PeerStatus>) {
        self.has_list = true;
        let names: Vec<VmName> = listed.iter().map(|status| status.vm).collect();
        for status in listed {
            let peer = self
                .peers
                .entry(status.vm)
                .or_insert_with(|| Peer::new(cx, status.clone()));
            peer.status.address = status.address;
            peer.is_listed_leaving = status.is_leaving;
        }
        let heartbeat_timeout = cx.cfg.membership.remote_heartbeat_timeout;
        self.views
            .retain(|_, view| cx.now < view.last_heartbeat_at + heartbeat_timeout);
        let views = &self.views;
        self.peers
            .retain(|vm, peer| names.contains(vm) || peer.is_live(cx, views));
        let peers = &self.peers;
        self.heartbeats.retain(|vm| peers.contains_key(vm));
        self.remove_ended_owners();
    }

    /// Records a heartbeat; a status without an incarnation is ignored.
    pub fn on_heartbeat(&mut self, cx: &Context<'_>, status: PeerStatus) {
        let vm = status.vm;
        if self.record_status(cx, status) {
            self.heartbeats.on_heartbeat(cx, vm);
            if let Some(peer) = self.peers.get_mut(&vm) {
                peer.last_heartbeat_at = Some(cx.now);
            }
        }
    }

    /// Records the peer digest that a representative sent of its data centre.
    pub fn on_peer_digest(
        &mut self,
        cx: &Context<'_>,
        data_centre: DataCentre,
        digest: PeerDigest,
    ) {
        let PeerDigest {
            hash,
            lowest_revision,
            peers,
        } = digest;
        if let Some(view) = self.views.get_mut(&data_centre)
            && view.hash == hash
        {
            view.last_heartbeat_at = cx.now;
            for vm in &view.vms {
                if let Some(peer) = self.peers.get_mut(vm) {
                    peer.status.revision = peer.status.revision.max(lowest_revision);
                }
            }
            return;
        }
        let peers = peers.into_iter();
        let peers = peers.filter(|n| n.data_centre == data_centre && data_centre != self.own);
        let peers: Vec<PeerStatus> = peers.collect();
        if peers.is_empty() {
            return;
        }
        let vms = peers.iter().map(|status| status.vm).collect();
        for status in peers {
            self.record_status(cx, status);
        }
        let last_heartbeat_at = cx.now;
        let view = PeerView {
            hash,
            last_heartbeat_at,
            vms,
        };
        self.views.insert(data_centre, view);
    }

    /// Hash of the latest peer digest of another data centre; 0 before the first.
    pub fn known_digest(&self, data_centre: DataCentre) -> u64 {
        self.views.get(&data_centre).map_or(0, |view| view.hash)
    }

    /// Hash of the latest peer digest of the data centre of a peer; 0 before the first.
    pub fn known_digest_at(&self, address: SocketAddr) -> u64 {
        let mut peers = self.peers();
        let peer = peers.find(|status| status.address == address);
        peer.map_or(0, |status| self.known_digest(status.data_centre))
    }

    /// Peer digest of the own data centre: `own` and the directly live peers.
    pub fn digest(&self, cx: &Context<'_>, own: PeerStatus, known_hash: u64) -> PeerDigest {
        let near = self
            .peers
            .values()
            .filter(|peer| peer.status.data_centre == self.own && peer.is_directly_live(cx));
        let mut peers: Vec<PeerStatus> = near.map(|peer| peer.status.clone()).collect();
        peers.push(own);
        for status in &mut peers {
            // Slots are lent within a data centre only.
            status.spare.clear();
        }
        PeerDigest::new(peers, known_hash)
    }

    /// Records a status; returns whether it names an incarnation.
    fn record_status(&mut self, cx: &Context<'_>, status: PeerStatus) -> bool {
        let Some(incarnation) = status.incarnation else {
            return false;
        };
        self.has_list = true;
        self.owners.record_status(incarnation, &status);
        let peer = self
            .peers
            .entry(status.vm)
            .or_insert_with(|| Peer::new(cx, status.clone()));
        let is_replaced = peer
            .status
            .incarnation
            .is_some_and(|old| old != incarnation);
        peer.status = status;
        if is_replaced {
            // Otherwise only the platform's list removes ended processes, and the platform may be
            // unavailable for hours.
            self.remove_ended_owners();
        }
        true
    }

    /// Removes the owner records of processes that have ended.
    fn remove_ended_owners(&mut self) {
        let peers = &self.peers;
        self.owners
            .retain(|vm, incarnation| peers.get(&vm).is_some_and(|p| p.runs(incarnation)));
    }

    /// Owner of the tickets of an incarnation: the successor, else the process itself.
    pub fn owner_of(&self, cx: &Context<'_>, incarnation: Incarnation) -> Owner {
        let holder = self.owners.holder_of(incarnation);
        let holder = holder.map_or(Owner::Unknown, |holder| self.process_at(cx, holder));
        match (holder, self.process_at(cx, incarnation)) {
            (Owner::At(address), _) | (_, Owner::At(address)) => Owner::At(address),
            (Owner::Unresponsive, _) | (_, Owner::Unresponsive) => Owner::Unresponsive,
            (Owner::Unknown, Owner::Unknown) => Owner::Unknown,
        }
    }

    /// Location of the process of an incarnation.
    pub fn process_at(&self, cx: &Context<'_>, incarnation: Incarnation) -> Owner {
        let vm = self.owners.vm_of(incarnation);
        let peer = vm.and_then(|vm| self.peers.get(&vm));
        self.owner_state(cx, peer.filter(|peer| peer.runs(incarnation)))
    }

    /// The live entry VM of a data centre that takes over the claims of `leaving`; `None` if there
    /// is no candidate.
    ///
    /// Rendezvous hashing spreads the tables of VMs that stop together.
    pub fn successor(
        &self,
        cx: &Context<'_>,
        data_centre: DataCentre,
        leaving: Incarnation,
    ) -> Option<Successor> {
        let peers = self.peers.values().filter(|peer| {
            peer.is_live(cx, &self.views)
                && !peer.is_leaving()
                && peer.status.data_centre == data_centre
        });
        let successors = peers.filter_map(|peer| {
            let (incarnation, address) = (peer.status.incarnation?, peer.status.address);
            Some(Successor {
                incarnation,
                address,
            })
        });
        successors.max_by_key(|successor| FxBuildHasher.hash_one((successor.incarnation, leaving)))
    }

    /// Makes the heartbeats to all recipients due immediately.
    pub fn make_heartbeats_due(&mut self) {
        self.heartbeats.make_all_due();
    }

    /// Peers that receive heartbeats.
    pub fn recipients(&self) -> impl Iterator<Item = &PeerStatus> {
        let vms = self
            .heartbeats
            .recipients(self.own, self.seed, self.peers());
        vms.into_iter()
            .filter_map(|vm| self.peers.get(&vm).map(|peer| &peer.status))
    }

    /// Recipients whose heartbeat is due; records each heartbeat as sent.
    pub fn take_due_heartbeats(&mut self, cx: &Context<'_>) -> Vec<Recipient> {
        let statuses = self.peers.values().map(|peer| &peer.status);
        let mut due = Vec::new();
        for vm in self.heartbeats.recipients(self.own, self.seed, statuses) {
            let Some(status) = self.peers.get(&vm).map(|peer| &peer.status) else {
                continue;
            };
            if self
                .heartbeats
                .take_due(cx, status, status.data_centre == self.own)
            {
                due.push(Recipient {
                    address: status.address,
                    known_digest: self.known_digest(status.data_centre),
                });
            }
        }
        due
    }

    /// Other entry VMs of a data centre that may use targets, sorted by name.
    ///
    /// A VM without any heartbeat counts for one heartbeat time-out, as the platform's list
    /// names it. A leaving VM counts until it is gone, as its last jobs still need their slots.
    pub fn working_members(
        &self,
        cx: &Context<'_>,
        data_centre: DataCentre,
    ) -> Vec<(VmName, SocketAddr)> {
        let heartbeat_timeout = cx.cfg.membership.heartbeat_timeout;
        let is_new = |peer: &Peer| {
            peer.last_heartbeat_at.is_none() && cx.now < peer.known_since + heartbeat_timeout
        };
        let is_working = |peer: &&Peer| {
            let is_alive = is_new(peer) || peer.is_directly_live(cx);
            peer.status.data_centre == data_centre && is_alive
        };
        let peers = self.peers.values().filter(is_working);
        let mut working_members: Vec<_> = peers
            .map(|peer| (peer.status.vm, peer.status.address))
            .collect();
        working_members.sort_unstable();
        working_members
    }

    /// Whether every known peer is live, or has been known for one heartbeat time-out.
    ///
    /// Before that, a process that has just started may not know the owners of all tickets.
    pub fn is_stable(&self, cx: &Context<'_>) -> bool {
        let grace = cx.cfg.membership.heartbeat_timeout;
        let mut peers = self.peers.values();
        self.has_list
            && peers.all(|p| p.is_live(cx, &self.views) || cx.now >= p.known_since + grace)
    }

    /// Peers that became live, changed their incarnation or timed out since the last call.
    pub fn take_changes(&mut self, cx: &Context<'_>) -> Vec<PeerChange> {
        let views = &self.views;
        let mut changes = Vec::new();
        for peer in self.peers.values_mut() {
            let is_live = peer.is_live(cx, views);
            let now = peer.status.incarnation.filter(|_| is_live);
            if peer.reported_incarnation == now {
                continue;
            }
            peer.reported_incarnation = now;
            changes.push(PeerChange {
                vm: peer.status.vm,
                incarnation: peer.status.incarnation,
                is_live,
            });
        }
        changes
    }

    /// Number of live peers.
    pub fn live_count(&self, cx: &Context<'_>) -> usize {
        self.peers
            .values()
            .filter(|peer| peer.is_live(cx, &self.views))
            .count()
    }

    /// Address of any directly live peer of the own data centre.
    pub fn any_local_peer(&self, cx: &Context<'_>) -> Option<SocketAddr> {
        let mut peers = self.peers.values();
        let peer = peers.find(|p| p.status.data_centre == self.own && p.is_directly_live(cx));
        peer.map(|peer| peer.status.address)
    }

    /// Status of the live peer with the newest sheet.
    pub fn newest_sheet(&self, cx: &Context<'_>) -> Option<&PeerStatus> {
        let live_peers = self
            .peers
            .values()
            .filter(|peer| peer.is_live(cx, &self.views));
        live_peers
            .map(|peer| &peer.status)
            .max_by_key(|status| status.revision)
    }

    /// Status of all peers, with the time since the last heartbeat and the liveness of each.
    pub fn reports(&self, cx: &Context<'_>) -> impl Iterator<Item = PeerReport> {
        self.peers.values().map(|peer| PeerReport {
            status: peer.status.clone(),
            last_heartbeat_ago: peer
                .last_heartbeat_at
                .map(|at| cx.now.saturating_duration_since(at)),
            is_live: peer.is_live(cx, &self.views),
        })
    }

    fn owner_state(&self, cx: &Context<'_>, peer: Option<&Peer>) -> Owner {
        match peer {
            Some(peer) if peer.is_live(cx, &self.views) => Owner::At(peer.status.address),
            Some(_) => Owner::Unresponsive,
            None => Owner::Unknown,
        }
    }

    /// Latest status of each known peer.
    pub fn peers(&self) -> impl Iterator<Item = &PeerStatus> {
        self.peers.values().map(|peer| &peer.status)
    }
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use super::*;
    use crate::configs::Config;

    fn status(incarnation: u64) -> PeerStatus {
        PeerStatus {
            vm: "e1".parse().unwrap(),
            data_centre: "szeged".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            incarnation: Some(Incarnation(incarnation)),
            revision: 0,
            is_leaving: false,
            held: Vec::new(),
            spare: Vec::new(),
        }
    }

    #[test]
    fn a_holder_stays_the_owner_until_the_next_holder_reports() {
        let cfg = Config::default();
        let cx = Context::new(Instant::now(), &cfg);
        let mut membership = Membership::new("szeged".parse().unwrap(), Incarnation(0));
        let held = vec![Incarnation(9)];
        membership.on_heartbeat(
            &cx,
            PeerStatus {
                held: held.clone(),
                ..status(1)
            },
        );
        // The holder has handed the table on, and no heartbeat of the next holder has arrived.
        membership.on_heartbeat(&cx, status(1));
        assert_eq!(
            membership.owner_of(&cx, Incarnation(9)),
            Owner::At(status(1).address)
        );
        let next = PeerStatus {
            vm: "e2".parse().unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 2)),
            held,
            ..status(2)
        };
        membership.on_heartbeat(&cx, next.clone());
        assert_eq!(
            membership.owner_of(&cx, Incarnation(9)),
            Owner::At(next.address)
        );
        membership.on_heartbeat(
            &cx,
            PeerStatus {
                held: Vec::new(),
                ..status(3)
            },
        );
        assert_eq!(
            membership.owner_of(&cx, Incarnation(9)),
            Owner::At(next.address)
        );
    }

    #[test]
    fn replaced_processes_are_removed_without_the_platform() {
        let cfg = Config::default();
        let cx = Context::new(Instant::now(), &cfg);
        let mut membership = Membership::new("szeged".parse().unwrap(), Incarnation(0));
        for n in 1..=1_000 {
            let held = vec![Incarnation(10_000 + n)];
            membership.on_heartbeat(&cx, PeerStatus { held, ..status(n) });
        }
        assert_eq!(membership.owners.len(), 2, "one process and one table");
    }

    #[test]
    fn an_owner_is_found_until_it_times_out_or_is_replaced() {
        let cfg = Config::default();
        let start = Instant::now();
        let cx = Context::new(start, &cfg);
        let mut membership = Membership::new("szeged".parse().unwrap(), Incarnation(0));
        assert_eq!(membership.owner_of(&cx, Incarnation(1)), Owner::Unknown);
        membership.on_heartbeat(&cx, status(1));
        assert_eq!(
            membership.owner_of(&cx, Incarnation(1)),
            Owner::At(status(1).address)
        );
        let later = Context::new(start + cfg.membership.heartbeat_timeout, &cfg);
        assert_eq!(
            membership.owner_of(&later, Incarnation(1)),
            Owner::Unresponsive
        );
        membership.on_heartbeat(&later, status(2));
        assert_eq!(membership.owner_of(&later, Incarnation(1)), Owner::Unknown);
    }
}
