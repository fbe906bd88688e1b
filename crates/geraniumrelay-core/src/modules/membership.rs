//! Entry VMs known to this one, from the platform's list and from their heartbeats.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rustc_hash::FxBuildHasher;

use crate::collections::Map;
use crate::context::Context;
use crate::modules::handover::Heir;
use crate::modules::loans::Spare;
use crate::names::{DataCentre, VmName};
use crate::ticket::Incarnation;

/// What is heard of one entry VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerNews {
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

#[derive(Debug, Clone)]
struct Peer {
    news: PeerNews,
    known_since: Instant,
    heard_at: Option<Instant>,
    beat_at: Option<Instant>,
}

/// What is known of a peer, for operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Its last news.
    pub news: PeerNews,
    /// Time since it was heard; `None` where it never was.
    pub heard_ago: Option<Duration>,
    /// Whether it was heard within the silence.
    pub is_reached: bool,
}

/// Where the owner of a ticket is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Owner {
    /// At this peer address.
    At(SocketAddr),
    /// Known, but not heard for a while.
    Silent,
    /// Not known here: gone, or never heard.
    Unknown,
}

/// Entry VMs known to this one.
#[derive(Debug, Default)]
pub struct Membership {
    /// Whether any peers can be known yet.
    has_list: bool,
    peers: Map<VmName, Peer>,
    /// VMs by the incarnation that they run.
    running: Map<Incarnation, VmName>,
    /// VMs by the incarnations that they hold by hand-over.
    holders: Map<Incarnation, VmName>,
}

impl Membership {
    /// Takes over the platform's list; VMs that are gone from it and silent are forgotten.
    pub fn list(&mut self, cx: &Context<'_>, listed: Vec<PeerNews>) {
        self.has_list = true;
        let names: Vec<VmName> = listed.iter().map(|news| news.vm).collect();
        for news in listed {
            let peer = self.peers.entry(news.vm).or_insert_with(|| Peer {
                news: news.clone(),
                known_since: cx.now,
                heard_at: None,
                beat_at: None,
            });
            peer.news.address = news.address;
            peer.news.is_leaving |= news.is_leaving;
        }
        self.peers
            .retain(|vm, peer| names.contains(vm) || peer.is_heard(cx));
        let peers = &self.peers;
        self.running
            .retain(|incarnation, vm| peers.get(vm).is_some_and(|p| p.runs(*incarnation)));
        self.holders
            .retain(|incarnation, vm| peers.get(vm).is_some_and(|p| p.holds(*incarnation)));
    }

    /// Notes a heartbeat.
    pub fn hear(&mut self, cx: &Context<'_>, news: PeerNews) {
        let Some(incarnation) = news.incarnation else {
            return;
        };
        self.has_list = true;
        self.running.insert(incarnation, news.vm);
        for held in &news.held {
            self.holders.insert(*held, news.vm);
        }
        let known = self.peers.get(&news.vm);
        let peer = Peer {
            known_since: known.map_or(cx.now, |peer| peer.known_since),
            heard_at: Some(cx.now),
            beat_at: known.and_then(|peer| peer.beat_at),
            news,
        };
        self.peers.insert(peer.news.vm, peer);
    }

    /// Where the tickets of an incarnation are decided: at its heir, else where it runs.
    pub fn owner_of(&self, cx: &Context<'_>, incarnation: Incarnation) -> Owner {
        let holder = self.holders.get(&incarnation);
        let holder = holder.and_then(|vm| self.peers.get(vm));
        let holder = holder.filter(|peer| peer.holds(incarnation));
        match (where_is(cx, holder), self.process_at(cx, incarnation)) {
            (Owner::At(address), _) | (_, Owner::At(address)) => Owner::At(address),
            (Owner::Silent, _) | (_, Owner::Silent) => Owner::Silent,
            (Owner::Unknown, Owner::Unknown) => Owner::Unknown,
        }
    }

    /// Where the process of an incarnation is.
    pub fn process_at(&self, cx: &Context<'_>, incarnation: Incarnation) -> Owner {
        let vm = self.running.get(&incarnation);
        let peer = vm.and_then(|vm| self.peers.get(vm));
        where_is(cx, peer.filter(|peer| peer.runs(incarnation)))
    }

    /// The entry VM of a data centre that takes the claims of `leaving` over, if any can.
    ///
    /// Rendezvous hashing spreads the tables of VMs that stop together.
    pub fn heir(
        &self,
        cx: &Context<'_>,
        data_centre: DataCentre,
        leaving: Incarnation,
    ) -> Option<Heir> {
        let peers = self.peers.values().filter(|peer| {
            peer.is_heard(cx) && !peer.news.is_leaving && peer.news.data_centre == data_centre
        });
        let heirs = peers.filter_map(|peer| {
            let (incarnation, address) = (peer.news.incarnation?, peer.news.address);
            Some(Heir {
                incarnation,
                address,
            })
        });
        heirs.max_by_key(|heir| FxBuildHasher.hash_one((heir.incarnation, leaving)))
    }

    /// Makes the heartbeats to all peers due at once.
    pub fn hurry_beats(&mut self) {
        for peer in self.peers.values_mut() {
            peer.beat_at = None;
        }
    }

    /// Peers whose heartbeat is due, which counts as sent.
    pub fn take_due_beats(&mut self, cx: &Context<'_>) -> Vec<SocketAddr> {
        let interval = cx.cfg.membership.heartbeat_interval;
        let mut due = Vec::new();
        for peer in self.peers.values_mut() {
            if peer.beat_at.is_none_or(|at| cx.now >= at + interval) {
                peer.beat_at = Some(cx.now);
                due.push(peer.news.address);
            }
        }
        due
    }

    /// Whether every known peer has been heard, or has had the time to be.
    ///
    /// Before that, a process that has just started may not know who holds which tickets.
    pub fn is_settled(&self, cx: &Context<'_>) -> bool {
        let grace = cx.cfg.membership.silence;
        let mut peers = self.peers.values();
        self.has_list && peers.all(|p| p.heard_at.is_some() || cx.now >= p.known_since + grace)
    }

    /// Entry VMs of a data centre that take new work; one that was never heard yet counts, as the
    /// platform's list names it.
    pub fn working(&self, cx: &Context<'_>, data_centre: DataCentre) -> Vec<(VmName, SocketAddr)> {
        let is_working = |peer: &&Peer| {
            peer.news.data_centre == data_centre
                && !peer.news.is_leaving
                && (peer.heard_at.is_none() || peer.is_heard(cx))
        };
        let peers = self.peers.values().filter(is_working);
        let mut working: Vec<_> = peers
            .map(|peer| (peer.news.vm, peer.news.address))
            .collect();
        working.sort_unstable();
        working
    }

    /// Number of peers heard within the silence.
    pub fn heard(&self, cx: &Context<'_>) -> usize {
        self.peers.values().filter(|peer| peer.is_heard(cx)).count()
    }

    /// The reachable peer with the newest sheet.
    pub fn newest_sheet(&self, cx: &Context<'_>) -> Option<&PeerNews> {
        let heard = self.peers.values().filter(|peer| peer.is_heard(cx));
        heard
            .map(|peer| &peer.news)
            .max_by_key(|news| news.revision)
    }

    /// News of all peers, with the time since each was heard and whether it counts as reached.
    pub fn reports(&self, cx: &Context<'_>) -> impl Iterator<Item = PeerReport> {
        self.peers.values().map(|peer| PeerReport {
            news: peer.news.clone(),
            heard_ago: peer.heard_at.map(|at| cx.now.saturating_duration_since(at)),
            is_reached: peer.is_heard(cx),
        })
    }

    /// News of all peers.
    pub fn peers(&self) -> impl Iterator<Item = &PeerNews> {
        self.peers.values().map(|peer| &peer.news)
    }
}

fn where_is(cx: &Context<'_>, peer: Option<&Peer>) -> Owner {
    match peer {
        Some(peer) if peer.is_heard(cx) => Owner::At(peer.news.address),
        Some(_) => Owner::Silent,
        None => Owner::Unknown,
    }
}

impl Peer {
    fn runs(&self, incarnation: Incarnation) -> bool {
        self.news.incarnation == Some(incarnation)
    }

    fn holds(&self, incarnation: Incarnation) -> bool {
        self.news.held.contains(&incarnation)
    }

    fn is_heard(&self, cx: &Context<'_>) -> bool {
        self.heard_at
            .is_some_and(|at| cx.now < at + cx.cfg.membership.silence)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::configs::Config;

    fn news(incarnation: u64) -> PeerNews {
        PeerNews {
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
    fn an_owner_is_found_until_it_is_silent_or_replaced() {
        let cfg = Config::default();
        let start = Instant::now();
        let cx = Context::new(start, &cfg);
        let mut membership = Membership::default();
        assert_eq!(membership.owner_of(&cx, Incarnation(1)), Owner::Unknown);
        membership.hear(&cx, news(1));
        assert_eq!(
            membership.owner_of(&cx, Incarnation(1)),
            Owner::At(news(1).address)
        );
        let later = Context::new(start + cfg.membership.silence, &cfg);
        assert_eq!(membership.owner_of(&later, Incarnation(1)), Owner::Silent);
        membership.hear(&later, news(2));
        assert_eq!(membership.owner_of(&later, Incarnation(1)), Owner::Unknown);
    }
}
