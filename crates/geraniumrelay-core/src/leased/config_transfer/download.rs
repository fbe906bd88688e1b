//! Decides when to download the configuration from a peer, and from which one.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::{Part, PartRequest};
use crate::Context;
use crate::collections::Map;
use crate::leased::EntryVm;

/// Change of a download by a received part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DownloadEvent {
    /// The part is not used.
    Unchanged,
    /// The next part is to be requested.
    Request(PartRequest),
    /// The configuration is complete.
    Complete {
        /// Version of the configuration.
        version: u64,
        /// Content of the configuration.
        row: Vec<u8>,
        /// Duration of the download.
        took: Duration,
    },
}

/// What a tick has changed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DownloadTick {
    /// Peer that has sent nothing for too long, and the number of bytes received so far.
    pub stalled: Option<(EntryVm, usize)>,
    /// Request to a peer that begins or resumes the download.
    pub request: Option<PartRequest>,
}

/// Versions of the peers, and the download from one of them.
#[derive(Debug)]
pub struct ConfigDownload {
    own: EntryVm,
    peers: Map<EntryVm, Peer>,
    /// Newest version that is in force or was downloaded. A version that was downloaded and can't
    /// be used here is not downloaded again.
    known: u64,
    lacking: Option<Lacking>,
    asked: Option<Asked>,
    partial: Option<Partial>,
    /// Number of requests that began or resumed a download; spreads them over the peers.
    attempts: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    version: u64,
    is_local: bool,
    /// Time from which a peer that did not deliver has been silent.
    silent_since: Option<Instant>,
    /// Number of parts that the peer has sent twice, because they took longer than the time-out. The
    /// time-out doubles with each, so that requests don't fill a slow link.
    repeated_parts: u32,
}

/// The version in force while a peer has a newer one.
#[derive(Debug, Clone, Copy)]
struct Lacking {
    own_version: u64,
    since: Instant,
}

/// The peer that was asked for the next part.
#[derive(Debug, Clone, Copy)]
struct Asked {
    peer: EntryVm,
    /// Time of the first request to the peer, or of its last part.
    last_progress: Instant,
}

/// The parts received so far.
#[derive(Debug)]
struct Partial {
    version: u64,
    total: usize,
    data: Vec<u8>,
    started: Instant,
}

impl ConfigDownload {
    /// Creates the state of a VM that knows no peer.
    pub fn new(own: EntryVm) -> Self {
        Self {
            own,
            peers: Map::default(),
            known: 0,
            lacking: None,
            asked: None,
            partial: None,
            attempts: 0,
        }
    }

    /// Records the version that a peer has in force, as of its last heartbeat.
    pub fn set_peer_version(&mut self, peer: EntryVm, version: u64, is_local: bool) {
        let peer = self.peers.entry(peer).or_default();
        peer.version = version;
        peer.is_local = is_local;
    }

    /// Forgets a peer whose link is lost.
    pub fn remove_peer(&mut self, peer: EntryVm) {
        self.peers.remove(&peer);
        self.asked = self.asked.filter(|a| a.peer != peer);
    }

    /// Begins a download where one is needed, and resumes one that has stalled at another peer.
    pub fn tick(
        &mut self,
        cx: &Context<'_>,
        own_version: u64,
        is_store_healthy: bool,
    ) -> DownloadTick {
        let mut tick = DownloadTick::default();
        self.known = self.known.max(own_version);
        let newest = self.peers.values().map(|p| p.version).max();
        if newest.is_none_or(|newest| newest <= self.known) {
            self.lacking = None;
            self.asked = None;
            self.partial = None;
            return tick;
        }
        let lacking = match self.lacking {
            // Each version that the store provides starts the wait for it anew.
            Some(lacking) if lacking.own_version == own_version => lacking,
            _ => {
                let since = cx.now;
                *self.lacking.insert(Lacking { own_version, since })
            }
        };
        if self
            .partial
            .as_ref()
            .is_some_and(|p| p.version <= self.known)
        {
            self.partial = None;
            self.asked = None;
        }
        let cfg = &cx.cfg.config_transfer;
        if let Some(asked) = self.asked {
            let silence = cx.now.saturating_duration_since(asked.last_progress);
            if silence < self.stall_timeout(cx, asked.peer) {
                return tick;
            }
            let received = self.partial.as_ref().map_or(0, |p| p.data.len());
            tick.stalled = Some((asked.peer, received));
            self.give_up(asked.peer, asked.last_progress);
        }
        let waited = cx.now.saturating_duration_since(lacking.since);
        if is_store_healthy && waited < cfg.store_grace {
            return tick;
        }
        if let Some(peer) = self.choose_peer(cx) {
            self.attempts = self.attempts.wrapping_add(1);
            self.asked = Some(Asked {
                peer,
                last_progress: cx.now,
            });
            tick.request = Some(self.next_request(peer));
        }
        tick
    }

    /// Adds a part to the download.
    pub fn on_part(&mut self, cx: &Context<'_>, from: EntryVm, part: &Part) -> DownloadEvent {
        let is_asked = self.asked.is_some_and(|a| a.peer == from);
        if is_asked && part.total == 0 {
            self.give_up(from, cx.now);
            return DownloadEvent::Unchanged;
        }
        let is_next = self
            .partial
            .as_ref()
            .is_some_and(|p| p.is_followed_by(part));
        if !is_next {
            if self.repeats_received_part(part) {
                if let Some(peer) = self.peers.get_mut(&from) {
                    peer.repeated_parts += 1;
                }
                return DownloadEvent::Unchanged;
            }
            if !is_asked || part.offset != 0 {
                return DownloadEvent::Unchanged;
            }
            if part.version <= self.known || !is_first_part(part, cx) {
                self.give_up(from, cx.now);
                return DownloadEvent::Unchanged;
            }
            self.partial = Some(Partial {
                version: part.version,
                total: part.total,
                data: Vec::new(),
                started: cx.now,
            });
        }
        let Some(partial) = &mut self.partial else {
            return DownloadEvent::Unchanged;
        };
        partial.data.extend_from_slice(&part.data);
        if let Some(peer) = self.peers.get_mut(&from) {
            peer.silent_since = None;
        }
        if partial.data.len() < partial.total {
            self.asked = Some(Asked {
                peer: from,
                last_progress: cx.now,
            });
            return DownloadEvent::Request(self.next_request(from));
        }
        let event = DownloadEvent::Complete {
            version: partial.version,
            took: cx.now.saturating_duration_since(partial.started),
            row: std::mem::take(&mut partial.data),
        };
        self.known = partial.version;
        for peer in self.peers.values_mut() {
            peer.repeated_parts = 0;
        }
        self.partial = None;
        self.asked = None;
        event
    }

    /// The request for the part that follows the received ones.
    fn next_request(&self, to: EntryVm) -> PartRequest {
        let partial = self.partial.as_ref();
        PartRequest {
            to,
            version: partial.map_or(0, |p| p.version),
            offset: partial.map_or(0, |p| p.data.len()),
            known: self.known,
        }
    }

    fn repeats_received_part(&self, part: &Part) -> bool {
        let partial = self.partial.as_ref();
        partial.is_some_and(|p| p.version == part.version && part.offset < p.data.len())
    }

    /// Time without a part after which a peer has stalled.
    fn stall_timeout(&self, cx: &Context<'_>, peer: EntryVm) -> Duration {
        let cfg = &cx.cfg.config_transfer;
        let repeated = self.peers.get(&peer).map_or(0, |p| p.repeated_parts);
        let doubled = cfg.stall_timeout * 1_u32.checked_shl(repeated).unwrap_or(u32::MAX).min(64);
        doubled.min(cfg.max_stall_timeout)
    }

    fn give_up(&mut self, peer: EntryVm, silent_since: Instant) {
        self.asked = None;
        if let Some(peer) = self.peers.get_mut(&peer) {
            peer.silent_since = Some(silent_since);
        }
    }

    /// Chooses a peer with a newer version: one that has not failed to deliver, in this data centre
    /// if there is one, else the one whose failure is longest ago. VMs that lack the same version
    /// choose different peers.
    fn choose_peer(&self, cx: &Context<'_>) -> Option<EntryVm> {
        let pause = cx.cfg.config_transfer.stall_timeout;
        let may_ask = |peer: &Peer| {
            let silence = peer
                .silent_since
                .map(|since| cx.now.saturating_duration_since(since));
            peer.version > self.known && silence.is_none_or(|silence| silence >= pause)
        };
        let rank = |peer: &Peer| (peer.silent_since, Reverse(peer.is_local));
        let candidates = || self.peers.iter().filter(|(_, peer)| may_ask(peer));
        let best = candidates().map(|(_, peer)| rank(peer)).min()?;
        let mut vms: Vec<EntryVm> = candidates()
            .filter(|(_, peer)| rank(peer) == best)
            .map(|(&vm, _)| vm)
            .collect();
        vms.sort_unstable();
        let index = (self.own.0.to_bits() as usize).wrapping_add(self.attempts);
        vms.get(index % vms.len()).copied()
    }
}

impl Partial {
    fn is_followed_by(&self, part: &Part) -> bool {
        part.version == self.version
            && part.total == self.total
            && part.offset == self.data.len()
            && !part.data.is_empty()
            && part.data.len() <= self.total - self.data.len()
    }
}

fn is_first_part(part: &Part, cx: &Context<'_>) -> bool {
    let total = part.total;
    !part.data.is_empty()
        && part.data.len() <= total
        && total <= cx.cfg.config_transfer.max_row_bytes
}
